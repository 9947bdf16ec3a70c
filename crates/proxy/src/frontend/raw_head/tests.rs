//! Which raw heads prove that a chunked request gives one length only.

use hyper::header::{HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};

use super::has_no_content_length;

/// What hyper shows of a head with `Host` and `Transfer-Encoding`, whether it has a content length or not.
fn shown() -> HeaderMap {
    let host = (HOST, HeaderValue::from_static("x"));
    let encoding = (TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    HeaderMap::from_iter([host, encoding])
}

#[test]
fn whole_head_without_content_length_proves_one_length() {
    for raw_head in [
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        "\r\n\r\nPOST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\nHost: x\nTransfer-Encoding: chunked\n\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nContent-Length: 5\r\n",
    ] {
        assert!(has_no_content_length(raw_head.as_bytes(), &shown()), "{raw_head:?}");
    }
}

#[test]
fn head_with_content_length_proves_nothing() {
    for length in ["Content-Length: 5", "content-length:5", "CONTENT-LENGTH: 5"] {
        let raw_head =
            format!("POST / HTTP/1.1\r\n{length}\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
        assert!(!has_no_content_length(raw_head.as_bytes(), &shown()), "{raw_head:?}");
    }
}

#[test]
fn head_of_which_a_part_is_missing_proves_nothing() {
    let whole = "POST / HTTP/1.1\r\nContent-Length: 5\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for start in 0..whole.len() {
        assert!(!has_no_content_length(&whole.as_bytes()[start..], &shown()), "{:?}", &whole[start..]);
    }
    let whole = whole.replace("Content-Length: 5\r\n", "");
    for end in 0..whole.len() {
        assert!(!has_no_content_length(&whole.as_bytes()[..end], &shown()), "{:?}", &whole[..end]);
    }
}

#[test]
fn end_of_a_head_that_looks_like_a_whole_one_proves_nothing() {
    let headers = "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    // Behind "POST / HTTP/1.1\r\nContent-Length: 5\r\nX-Any: ", so hyper shows one header more.
    let mut shown = shown();
    shown.insert("x-any", HeaderValue::from_static("POST / HTTP/1.1"));
    let raw_head = format!("POST / HTTP/1.1\r\n{headers}");
    assert!(!has_no_content_length(raw_head.as_bytes(), &shown));
}
