//! Responses that their backend writes slowly, with pauses.
mod sockets;

use std::time::Duration;

use sockets::*;

/// A client's timeout, in seconds as it stands in a request.
const TIMEOUT: &str = "1.5";
/// Length in bytes of a piece of a long response, and the pause after it: 64 kB a second.
const LONG_PIECE_BYTES: usize = 25_600;
const PAUSE: Duration = Duration::from_millis(400);
/// Pieces of a long response, which is timed by its first byte.
const LONG_PIECES: usize = 14;
/// Pieces of a response that is buffered, and the length of each in bytes.
const SHORT_PIECES: usize = 3;
const SHORT_PIECE_BYTES: usize = 20_000;

/// A response in pieces with pauses between them.
fn paced(head: &str, piece: String, pieces: usize, end: &'static str) -> PacedResponse {
    PacedResponse { head: head.into(), piece, pieces, pause: PAUSE, end }
}

/// Sends a request whose response has this form; returns the length of the body of a complete response.
fn length_of(response: PacedResponse, request: &str) -> Option<usize> {
    let backend = start_paced_backend(move |_| response.clone());
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", backend, "up", 0)]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    let response = proxy.client().request(request)?;
    assert_eq!(response.status(), 200);
    Some(response.body.len())
}

fn page_with_timeout() -> String {
    page("r-1").replace("X-Timeout: 5", &format!("X-Timeout: {TIMEOUT}"))
}

/// Guards against a long response without a length that is cut off when its backend pauses.
#[test]
fn long_response_without_length_is_complete_though_its_backend_pauses() {
    let piece = chunk(LONG_PIECE_BYTES);
    let response = paced(CHUNKED_HEAD, piece, LONG_PIECES, LAST_CHUNK);
    assert_eq!(length_of(response, &page_with_timeout()), Some(LONG_PIECES * LONG_PIECE_BYTES));
}

/// Guards against the same for a response whose backend pauses in its head.
#[test]
fn response_is_complete_though_its_backend_pauses_in_the_head() {
    let response =
        paced("HTTP/1.1 200 OK\r\nX-Any: 1", String::new(), 1, "\r\nContent-Length: 5\r\n\r\n12345");
    assert_eq!(length_of(response, &page_with_timeout()), Some(5));
}

/// Guards against a short response that is cut off when its backend pauses, though its client still waits.
#[test]
fn short_response_is_complete_though_its_backend_pauses() {
    let length = SHORT_PIECES * SHORT_PIECE_BYTES;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let response = paced(&head, "x".repeat(SHORT_PIECE_BYTES), SHORT_PIECES, "");
    assert_eq!(length_of(response, &page_with_timeout()), Some(length));
}
