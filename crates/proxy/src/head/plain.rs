//! Reads heads of general HTTP/1.1 requests, whose class is given by the configured routes.

use std::time::Duration;

use hyper::header::{self, HeaderMap};
use hyper::{Method, Uri};
use leadrelay_core::{Idempotency, TenantId};

use super::RequestMeta;
use super::fields::{affinity_key, number, single};
use crate::classes::Classes;
use crate::config::HttpRules;
use crate::rejection::Rejection;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// Reads the head of a general HTTP/1.1 request. The header `Idempotency-Key` is mandatory for a class whose requests
/// are idempotent with a key.
pub(super) fn read(
    classes: &Classes, plain: &HttpRules, method: &Method, uri: &Uri, headers: &HeaderMap,
    request_number: u64,
) -> Result<RequestMeta, Rejection> {
    if *method == Method::CONNECT || headers.contains_key(header::UPGRADE) {
        return Err(Rejection::TunnelOrUpgrade);
    }
    let class = classes.route(plain, uri.path(), method).ok_or(Rejection::NoRoute)?;
    let needs_key = matches!(class.rules.idempotency, Idempotency::WithKey { .. });
    if needs_key && single(headers, "idempotency-key")?.is_none() {
        return Err(Rejection::MissingHeader("Idempotency-Key"));
    }
    let max_timeout_s = class.rules.deadline / MILLIS_PER_SECOND;
    let timeout_s =
        number(headers, "x-timeout")?.map_or(max_timeout_s, |requested| requested.min(max_timeout_s));
    Ok(RequestMeta {
        id: request_id(headers, request_number),
        class,
        tenant: tenant(classes, plain, headers),
        affinity_key: affinity_key(uri),
        expected_cost: None,
        timeout: Duration::from_secs_f64(timeout_s),
        is_first_client_attempt: false,
        requires_unique_id: false,
        adds_forwarding_headers: true,
    })
}

/// Returns the request id that the client sent, or else a generated one that is unique within this process.
fn request_id(headers: &HeaderMap, request_number: u64) -> String {
    match printable(headers, "x-request-id").filter(|id| !id.is_empty()) {
        Some(id) => id.to_owned(),
        None => format!("{:08x}-{request_number:x}", std::process::id()),
    }
}

/// Returns the tenant that the head names; `None` if there is none or it is not configured.
fn tenant(classes: &Classes, plain: &HttpRules, headers: &HeaderMap) -> Option<TenantId> {
    let name = printable(headers, &plain.tenant_header)?;
    let tenant = classes.tenants.iter().position(|tenant| tenant == name)?;
    Some(TenantId(tenant))
}

/// Returns the first value of a header if it consists of visible ASCII characters.
fn printable<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
