//! What changes in a head when it is forwarded.

use std::net::IpAddr;

use hyper::Uri;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const X_FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
const X_FORWARDED_PROTO: HeaderName = HeaderName::from_static("x-forwarded-proto");

/// Path and query alone, unchanged, also of a request in absolute form.
pub(super) fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from)
}

/// Tells a backend whom a request comes from, and under which id.
pub(super) fn add_forwarding_headers(headers: &mut HeaderMap, id: &str, client: IpAddr) {
    if !headers.contains_key(X_REQUEST_ID)
        && let Ok(id) = HeaderValue::from_str(id)
    {
        headers.insert(X_REQUEST_ID, id);
    }
    if let Ok(addresses) = HeaderValue::from_str(&forwarded_for(headers, client)) {
        headers.insert(X_FORWARDED_FOR, addresses);
    }
    headers.insert(X_FORWARDED_PROTO, HeaderValue::from_static("http"));
}

/// The addresses that the request came by, its client's last.
fn forwarded_for(headers: &HeaderMap, client: IpAddr) -> String {
    let earlier = headers.get_all(X_FORWARDED_FOR).iter().filter_map(|value| value.to_str().ok());
    let mut addresses: Vec<String> = earlier.map(str::to_owned).collect();
    addresses.push(client.to_string());
    addresses.join(", ")
}
