//! Changes to a request head before it is forwarded.

use std::net::IpAddr;

use hyper::Uri;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;

const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const X_FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
const X_FORWARDED_PROTO: HeaderName = HeaderName::from_static("x-forwarded-proto");

/// Converts a request target to origin form: path and query, unchanged, without the scheme and authority of an absolute
/// URI. They are copied out of the buffer into which the head was read.
pub(super) fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map(copy_path).map_or_else(Uri::default, Uri::from)
}

fn copy_path(path: &PathAndQuery) -> PathAndQuery {
    path.as_str().parse().unwrap_or_else(|_| path.clone())
}

/// Adds the client's address, the protocol and, if the client sent none, the request id to the headers.
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

/// The value of `X-Forwarded-For`: the addresses that the client sent in this header, then the client's own address.
fn forwarded_for(headers: &HeaderMap, client: IpAddr) -> String {
    let earlier = headers.get_all(X_FORWARDED_FOR).iter().filter_map(|value| value.to_str().ok());
    let mut addresses: Vec<String> = earlier.map(str::to_owned).collect();
    addresses.push(client.to_string());
    addresses.join(", ")
}
