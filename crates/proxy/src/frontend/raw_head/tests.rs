//! Tests of which raw heads prove that a chunked request has no Content-Length.
//!
//! They guard against request smuggling: a chunked request with a Content-Length, which hyper's parsed headers don't
//! contain, must not be accepted.

use hyper::header::{HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};

use super::RawHead;

/// Whether a raw head proves that there is no Content-Length, read at once and byte by byte.
fn has_no_content_length(raw_head: &[u8], headers: &HeaderMap) -> bool {
    let read_in_pieces = |size: usize| {
        let mut head = RawHead::default();
        raw_head.chunks(size).for_each(|piece| head.append(piece));
        head.has_no_content_length(headers)
    };
    let proves_at_once = read_in_pieces(raw_head.len().max(1));
    for size in 1..20 {
        assert_eq!(read_in_pieces(size), proves_at_once, "in pieces of {size}: {raw_head:?}");
    }
    proves_at_once
}

/// The headers that hyper parses from a head with `Host` and `Transfer-Encoding`, whether or not the head has a
/// Content-Length.
fn parsed_headers() -> HeaderMap {
    let host = (HOST, HeaderValue::from_static("x"));
    let encoding = (TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    HeaderMap::from_iter([host, encoding])
}

// Guards against rejecting valid chunked requests, also with empty lines in front, bare line feeds, or a chunk behind
// the head that looks like a Content-Length header.
#[test]
fn whole_head_without_content_length_proves_one_length() {
    for raw_head in [
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        "\r\n\r\nPOST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\nHost: x\nTransfer-Encoding: chunked\n\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nContent-Length: 5\r\n",
    ] {
        assert!(has_no_content_length(raw_head.as_bytes(), &parsed_headers()), "{raw_head:?}");
    }
}

// Guards against accepting a Content-Length header in other case or without a space.
#[test]
fn head_with_content_length_proves_nothing() {
    for length in ["Content-Length: 5", "content-length:5", "CONTENT-LENGTH: 5"] {
        let raw_head =
            format!("POST / HTTP/1.1\r\n{length}\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
        assert!(!has_no_content_length(raw_head.as_bytes(), &parsed_headers()), "{raw_head:?}");
    }
}

// Guards against accepting a truncated head: its start was read with the previous request, or its end was cut off.
#[test]
fn head_of_which_a_part_is_missing_proves_nothing() {
    let whole = "POST / HTTP/1.1\r\nContent-Length: 5\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for start in 0..whole.len() {
        assert!(
            !has_no_content_length(&whole.as_bytes()[start..], &parsed_headers()),
            "{:?}",
            &whole[start..]
        );
    }
    let whole = whole.replace("Content-Length: 5\r\n", "");
    for end in 0..whole.len() {
        assert!(!has_no_content_length(&whole.as_bytes()[..end], &parsed_headers()), "{:?}", &whole[..end]);
    }
}

// Guards against accepting a head whose start is missing and whose remaining bytes happen to look like a whole head.
#[test]
fn end_of_a_head_that_looks_like_a_whole_one_proves_nothing() {
    let headers = "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    // The missing start is "POST / HTTP/1.1\r\nContent-Length: 5\r\nX-Any: ", so hyper has parsed one more header than
    // the raw bytes contain.
    let mut parsed_headers = parsed_headers();
    parsed_headers.insert("x-any", HeaderValue::from_static("POST / HTTP/1.1"));
    let raw_head = format!("POST / HTTP/1.1\r\n{headers}");
    assert!(!has_no_content_length(raw_head.as_bytes(), &parsed_headers));
}
