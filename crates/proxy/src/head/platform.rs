//! Reads heads of requests in the protocol of the operators' platform, in which the path names the class.

use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use leadrelay_core::{Idempotency, TenantId};

use super::RequestMeta;
use super::fields::{affinity_key, number, single};
use crate::classes::{ClassHandle, Classes};
use crate::rejection::Rejection;

const MICROS_PER_MILLI: f64 = 1000.0;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Reads the head of a request in the platform's protocol.
pub(super) fn read(
    classes: &Classes, method: &Method, uri: &Uri, headers: &HeaderMap,
) -> Result<RequestMeta, Rejection> {
    let class = classes.find(first_segment(uri)).ok_or(Rejection::UnknownClass)?;
    check_method(&class, method)?;
    check_idempotency_key(&class, method, headers)?;
    let id = single(headers, "x-request-id")?.filter(|id| !id.is_empty());
    let id = id.ok_or(Rejection::MissingHeader("X-Request-ID"))?.to_owned();
    let tenant = tenant(classes, headers)?;
    let timeout_s = number(headers, "x-timeout")?.ok_or(Rejection::MissingHeader("X-Timeout"))?;
    let timeout = Duration::from_secs_f64(timeout_s.min(class.rules.deadline / MILLIS_PER_SECOND));
    let expected_cost = number(headers, "x-cost")?.map(|micros| micros / MICROS_PER_MILLI);
    Ok(RequestMeta {
        id,
        class,
        tenant,
        affinity_key: affinity_key(uri),
        expected_cost,
        timeout,
        is_first_client_attempt: headers.get("x-retried").is_none_or(|mark| mark != "1"),
        requires_unique_id: true,
        adds_forwarding_headers: false,
    })
}

/// Returns the first segment of the path, which names the class.
fn first_segment(uri: &Uri) -> &str {
    uri.path().trim_start_matches('/').split('/').next().unwrap_or_default()
}

/// Checks the method: GET for classes whose requests are always idempotent, POST for the others.
fn check_method(class: &ClassHandle, method: &Method) -> Result<(), Rejection> {
    let expected = if class.rules.idempotency == Idempotency::Always { Method::GET } else { Method::POST };
    if *method == expected { Ok(()) } else { Err(Rejection::WrongMethod) }
}

/// Rejects a POST that lacks an idempotency key which its class requires, or has one that its class does not use.
fn check_idempotency_key(class: &ClassHandle, method: &Method, headers: &HeaderMap) -> Result<(), Rejection> {
    let needs_key = matches!(class.rules.idempotency, Idempotency::WithKey { .. });
    let has_key = single(headers, "idempotency-key")?.is_some();
    if needs_key != has_key && *method == Method::POST {
        return Err(Rejection::IdempotencyKeyMismatch);
    }
    Ok(())
}

/// Returns the tenant, which is mandatory if any tenants are configured.
fn tenant(classes: &Classes, headers: &HeaderMap) -> Result<Option<TenantId>, Rejection> {
    let name = single(headers, "x-tenant-id")?;
    if classes.tenants.is_empty() {
        return Ok(None);
    }
    let name = name.ok_or(Rejection::MissingHeader("X-Tenant-Id"))?;
    let tenant = classes.tenants.iter().position(|tenant| tenant == name);
    let tenant = tenant.ok_or(Rejection::UnknownTenant)?;
    Ok(Some(TenantId(tenant)))
}
