//! Reads what the module has to know from a request's head; what can't be right goes no further.

use std::net::IpAddr;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use leadrelay_core::names::hash_name;
use leadrelay_core::{AffinityKey, Idempotency, TenantId};

use crate::classes::{ClassHandle, Classes};
use crate::config::{Dialect, Plain};

/// What a request's head says.
pub struct RequestMeta {
    pub id: String,
    pub class: ClassHandle,
    pub tenant: Option<TenantId>,
    pub key: Option<AffinityKey>,
    pub hint: Option<f64>,
    /// How long the client waits.
    pub patience: Duration,
    /// Whether its id may be used by one open request only.
    pub sole: bool,
}

/// Why a request can't be accepted, as its client is told.
pub struct Rejection {
    pub status: StatusCode,
    pub text: &'static str,
}

impl Rejection {
    pub fn new(status: StatusCode, text: &'static str) -> Self {
        Rejection { status, text }
    }
}

fn bad(text: &'static str) -> Rejection {
    Rejection::new(StatusCode::BAD_REQUEST, text)
}

/// Reads a head; `number` is told of no other request of this process.
pub fn read(
    classes: &Classes, method: &Method, uri: &Uri, headers: &HeaderMap, number: u64,
) -> Result<RequestMeta, Rejection> {
    match &classes.dialect {
        Dialect::Platform => platform(classes, method, uri, headers),
        Dialect::Plain(plain) => any(classes, plain, method, uri, headers, number),
    }
}

/// By the operators' protocol.
fn platform(
    classes: &Classes, method: &Method, uri: &Uri, headers: &HeaderMap,
) -> Result<RequestMeta, Rejection> {
    let name = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = classes.find(name).ok_or(Rejection::new(StatusCode::NOT_FOUND, "no such class"))?;
    let wanted = if class.rules.idempotency == Idempotency::Always { Method::GET } else { Method::POST };
    if *method != wanted {
        return Err(Rejection::new(StatusCode::METHOD_NOT_ALLOWED, "not the method of this class"));
    }
    let keyed = matches!(class.rules.idempotency, Idempotency::WithKey { .. });
    if keyed != one(headers, "idempotency-key")?.is_some() && *method == Method::POST {
        return Err(bad("Idempotency-Key does not fit the class"));
    }
    let id = one(headers, "x-request-id")?.filter(|id| !id.is_empty());
    let id = id.ok_or(bad("X-Request-ID is missing"))?.to_owned();
    let tenant = match one(headers, "x-tenant-id")? {
        _ if classes.tenants.is_empty() => None,
        Some(name) => {
            let tenant = classes.tenants.iter().position(|t| t == name);
            Some(TenantId(tenant.ok_or(bad("no such tenant"))?))
        }
        None => return Err(bad("X-Tenant-Id is missing")),
    };
    let patience = number(headers, "x-timeout")?.ok_or(bad("X-Timeout is missing"))?;
    let patience = Duration::from_secs_f64(patience.min(class.rules.deadline / 1000.0));
    let hint = number(headers, "x-cost")?.map(|us| us / 1000.0);
    Ok(RequestMeta { id, class, tenant, key: key(uri), hint, patience, sole: true })
}

/// Any HTTP/1.1. A repeat that a class would allow is not made where its key is missing.
fn any(
    classes: &Classes, plain: &Plain, method: &Method, uri: &Uri, headers: &HeaderMap, unique: u64,
) -> Result<RequestMeta, Rejection> {
    if *method == Method::CONNECT || headers.contains_key(hyper::header::UPGRADE) {
        return Err(Rejection::new(StatusCode::NOT_IMPLEMENTED, "no tunnels and no upgrades"));
    }
    let class = classes.route(plain, uri.path(), method);
    let class = class.ok_or(Rejection::new(StatusCode::NOT_FOUND, "no class takes this path and method"))?;
    let keyed = matches!(class.rules.idempotency, Idempotency::WithKey { .. });
    if keyed && one(headers, "idempotency-key")?.is_none() {
        return Err(bad("Idempotency-Key is missing"));
    }
    let id = headers.get("x-request-id").and_then(|id| id.to_str().ok()).filter(|id| !id.is_empty());
    let id = id.map_or_else(|| format!("{:08x}-{unique:x}", std::process::id()), str::to_owned);
    let name = headers.get(plain.tenant_header.as_str()).and_then(|name| name.to_str().ok());
    let tenant = name.and_then(|name| classes.tenants.iter().position(|t| t == name)).map(TenantId);
    let most = class.rules.deadline / 1000.0;
    let patience = number(headers, "x-timeout")?.map_or(most, |wanted| wanted.min(most));
    let patience = Duration::from_secs_f64(patience);
    Ok(RequestMeta { id, class, tenant, key: key(uri), hint: None, patience, sole: false })
}

/// What a request concerns.
fn key(uri: &Uri) -> Option<AffinityKey> {
    let query = uri.query().unwrap_or_default();
    query.split('&').find_map(|p| p.strip_prefix("sid=")).map(|sid| AffinityKey(hash_name(sid)))
}

/// A header that may stand once.
fn one<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().map(|v| v.to_str()).transpose();
    match (value, values.next()) {
        (Ok(value), None) => Ok(value),
        _ => Err(bad("a header is malformed or stands twice")),
    }
}

/// A header that is a number, none of which is below 0.
fn number(headers: &HeaderMap, name: &str) -> Result<Option<f64>, Rejection> {
    let Some(text) = one(headers, name)? else { return Ok(None) };
    let number = text.trim().parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
    number.map(Some).ok_or(bad("a header is no number"))
}

/// Path and query alone, as they came, also of a request in absolute form.
pub fn target(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(Uri::default, |p| Uri::from(p.clone()))
}

/// Whether a head as it came tells a length.
pub fn tells_length(raw: &[u8]) -> bool {
    let name = b"content-length";
    let lines =
        raw.trim_ascii_start().split(|b| *b == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    lines
        .take_while(|line| !line.is_empty())
        .any(|line| line.get(..name.len()).is_some_and(|start| start.eq_ignore_ascii_case(name)))
}

/// Tells a backend whom a request comes from, and under which id.
pub fn introduce(headers: &mut HeaderMap, id: &str, client: IpAddr) {
    if !headers.contains_key("x-request-id")
        && let Ok(id) = HeaderValue::from_str(id)
    {
        headers.insert(HeaderName::from_static("x-request-id"), id);
    }
    let forwarded = HeaderName::from_static("x-forwarded-for");
    let before: Vec<&str> = headers.get_all(&forwarded).iter().filter_map(|v| v.to_str().ok()).collect();
    let all =
        before.into_iter().map(str::to_owned).chain([client.to_string()]).collect::<Vec<_>>().join(", ");
    if let Ok(all) = HeaderValue::from_str(&all) {
        headers.insert(forwarded, all);
    }
    headers.insert(HeaderName::from_static("x-forwarded-proto"), HeaderValue::from_static("http"));
}
