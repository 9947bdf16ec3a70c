//! Checks from the raw bytes of a request head that a chunked request has no Content-Length. The parsed headers can't
//! show this: if a request has both Transfer-Encoding and Content-Length, hyper's parsed headers contain only one of
//! the two.

use hyper::header::HeaderMap;

/// Name of the header that must be absent from the raw head of a chunked request.
const CONTENT_LENGTH: &[u8] = b"content-length";
/// End of the request line of a chunked request: earlier HTTP versions have no chunked encoding.
const REQUEST_LINE_END: &[u8] = b" HTTP/1.1";

/// Whether the raw head of a chunked request proves that the request has no Content-Length. `headers` are the headers
/// that hyper parsed from the same head.
///
/// The raw bytes prove this only if they are the whole head:
/// - If the start of the head is missing because it was read together with the previous request, then either the first
///   line is not a request line, or hyper has parsed more headers than the raw bytes contain.
/// - If the end of the head is missing, so is the empty line that ends it.
pub(super) fn has_no_content_length(raw_head: &[u8], headers: &HeaderMap) -> bool {
    let mut lines = complete_lines(raw_head);
    if !lines.next().is_some_and(|line| line.ends_with(REQUEST_LINE_END)) {
        return false;
    }
    for (header_count, line) in lines.enumerate() {
        if line.is_empty() {
            return header_count == headers.len();
        }
        if is_content_length(line) {
            return false;
        }
    }
    false
}

/// The complete lines of a head, without their line breaks. Empty lines before the head are skipped, as hyper does.
fn complete_lines(raw_head: &[u8]) -> impl Iterator<Item = &[u8]> {
    raw_head
        .trim_ascii_start()
        .split_inclusive(|byte| *byte == b'\n')
        .map_while(|line| line.strip_suffix(b"\n"))
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn is_content_length(line: &[u8]) -> bool {
    line.get(..CONTENT_LENGTH.len()).is_some_and(|name| name.eq_ignore_ascii_case(CONTENT_LENGTH))
}

#[cfg(test)]
mod tests;
