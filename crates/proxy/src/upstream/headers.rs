//! Prepares the headers of a message for the other side: removes hop-by-hop headers, which a proxy must not forward, and
//! keeps the table of the others small.

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

/// Capacity in headers up to which a map is kept, however few headers it has.
const MAX_KEPT_CAPACITY: usize = 24;

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

/// Copies headers into a smaller map if theirs is much larger than they need. The HTTP library parses a response into the
/// map of its request, and keeps the map of each response that it writes with the client's connection.
pub(super) fn shrink(headers: HeaderMap) -> HeaderMap {
    if headers.capacity() <= MAX_KEPT_CAPACITY.max(2 * headers.len()) {
        return headers;
    }
    let mut copy = HeaderMap::with_capacity(headers.len());
    copy.extend(headers);
    copy
}
