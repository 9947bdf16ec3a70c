//! Finds out from a head's raw bytes whether it gives one length only. Hyper shows only one of two.

use hyper::header::HeaderMap;

/// The header whose absence in the raw head of a chunked request proves that its length is given once.
const CONTENT_LENGTH: &[u8] = b"content-length";
/// How the first line of a chunked request ends: earlier versions have no chunks.
const REQUEST_LINE_END: &[u8] = b" HTTP/1.1";

/// Whether a chunked request's raw head proves that it has no content length besides, by the headers that hyper shows.
///
/// That proves something only if the bytes are the whole head. If its start is missing because it was read with the
/// request before, either the first line is none, or hyper shows headers that are not in it. If its end is missing,
/// no empty line ends it.
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

/// The lines of a head that have their end, without it; hyper skips empty ones in front.
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
