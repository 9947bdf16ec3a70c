//! Removes hop-by-hop headers, which a proxy must not forward.

use hyper::header::{self, HeaderMap, HeaderName};

/// Headers that are hop-by-hop even if `Connection` does not list them, and the content length, which is set again for
/// each message.
const HOP_BY_HOP: [HeaderName; 11] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the hop-by-hop headers, the headers that `Connection` lists, and the content length.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    for name in listed_in_connection(headers).iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
