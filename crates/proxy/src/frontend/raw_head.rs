//! Checks from the raw bytes of a request head that a chunked request has no Content-Length. The parsed headers can't
//! show this: if a request has both Transfer-Encoding and Content-Length, hyper's parsed headers contain only one of
//! the two.
//!
//! The bytes are looked at as they are read, and not kept.

use hyper::header::HeaderMap;

/// Name of the header that must be absent from the raw head of a chunked request.
const CONTENT_LENGTH: &[u8] = b"content-length";
/// End of the request line of a chunked request: earlier HTTP versions have no chunked encoding.
const REQUEST_LINE_END: &[u8] = b" HTTP/1.1";

/// What the raw bytes of a request head have shown so far.
#[derive(Default)]
pub(super) struct RawHead {
    part: HeadPart,
    line: Line,
    /// Complete header lines.
    header_count: usize,
    /// Whether the first line is a request line of HTTP/1.1.
    has_request_line: bool,
    has_content_length: bool,
}

/// The part of a head to which the next byte belongs.
#[derive(Default, PartialEq)]
enum HeadPart {
    /// Empty lines before the head, which hyper skips.
    #[default]
    Blank,
    RequestLine,
    Headers,
    /// The empty line that ends the head has been read.
    Complete,
}

impl RawHead {
    /// Whether nothing but line breaks has been read.
    pub(super) fn is_blank(&self) -> bool {
        self.part == HeadPart::Blank
    }

    /// Looks at the next bytes of the head. Bytes behind its end are ignored.
    pub(super) fn append(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        if self.is_blank() {
            rest = bytes.trim_ascii_start();
            if rest.is_empty() {
                return;
            }
            self.part = HeadPart::RequestLine;
        }
        for part in rest.split_inclusive(|byte| *byte == b'\n') {
            if self.part == HeadPart::Complete {
                return;
            }
            self.line.append(part);
            if part.ends_with(b"\n") {
                self.end_line();
            }
        }
    }

    /// Whether the raw head of a chunked request proves that the request has no Content-Length. `headers` are the headers
    /// that hyper parsed from the same head.
    ///
    /// The raw bytes prove this only if they are the whole head:
    /// - If the start of the head is missing because it was read together with the previous request, then either the
    ///   first line is not a request line, or hyper has parsed more headers than the raw bytes contain.
    /// - If the end of the head is missing, so is the empty line that ends it.
    pub(super) fn has_no_content_length(&self, headers: &HeaderMap) -> bool {
        self.part == HeadPart::Complete
            && self.has_request_line
            && !self.has_content_length
            && self.header_count == headers.len()
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.part == HeadPart::RequestLine {
            self.has_request_line = line.ends_with(REQUEST_LINE_END);
            self.part = HeadPart::Headers;
        } else if line.is_empty() {
            self.part = HeadPart::Complete;
        } else {
            self.header_count += 1;
            self.has_content_length |= line.starts_with_ignore_case(CONTENT_LENGTH);
        }
    }
}

/// Bytes of a line that are kept from its start and from its end.
const KEPT_BYTES: usize = 16;

/// The first and the last bytes of one line.
#[derive(Default)]
struct Line {
    length: usize,
    start: [u8; KEPT_BYTES],
    /// The last bytes, the latest one last.
    end: [u8; KEPT_BYTES],
}

impl Line {
    /// Appends bytes of the line, up to and including its line break.
    fn append(&mut self, bytes: &[u8]) {
        let start_length = self.length.min(KEPT_BYTES);
        let kept_at_start = bytes.len().min(KEPT_BYTES - start_length);
        self.start[start_length..start_length + kept_at_start].copy_from_slice(&bytes[..kept_at_start]);
        let kept_at_end = bytes.len().min(KEPT_BYTES);
        self.end.rotate_left(kept_at_end);
        self.end[KEPT_BYTES - kept_at_end..].copy_from_slice(&bytes[bytes.len() - kept_at_end..]);
        self.length += bytes.len();
    }

    /// The last bytes of the complete line, without its line break.
    fn end(&self) -> &[u8] {
        let end = &self.end[KEPT_BYTES - self.length.min(KEPT_BYTES)..];
        let end = end.strip_suffix(b"\n").unwrap_or(end);
        end.strip_suffix(b"\r").unwrap_or(end)
    }

    fn is_empty(&self) -> bool {
        self.end().is_empty()
    }

    fn ends_with(&self, suffix: &[u8]) -> bool {
        self.end().ends_with(suffix)
    }

    fn starts_with_ignore_case(&self, prefix: &[u8]) -> bool {
        self.length > prefix.len() && self.start[..prefix.len()].eq_ignore_ascii_case(prefix)
    }
}

#[cfg(test)]
mod tests;
