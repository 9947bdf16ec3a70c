//! Responses without a length that never end, and those that only take long.
mod sockets;

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use sockets::*;

/// A client's timeout, in seconds as it stands in a request.
const TIMEOUT: &str = "1";
/// The time after its request by which a client must have a final response or see that there is none: its timeout and
/// half a second.
const ANSWERED_WITHIN: Duration = Duration::from_millis(1500);
/// Longest response in bytes that is timed by its last byte; longer ones are timed by their first.
const SHORT_RESPONSE_BYTES: usize = 64 << 10;
/// Length in bytes of a request body that is forwarded while it is received.
const STREAMED_BODY_BYTES: usize = 1_000_000;

/// The head of a response that lasts to the end of its connection.
const UNDELIMITED_HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// Starts a proxy before a backend that gives this response to each request.
fn proxy_before(response: PacedResponse) -> (Discovery, Proxy) {
    let backend = start_paced_backend(move |_| response.clone());
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", backend, "up", 0)]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    (discovery, proxy)
}

fn page_with_timeout(id: &str) -> String {
    page(id).replace("X-Timeout: 5", &format!("X-Timeout: {TIMEOUT}"))
}

/// Sends a request, and asserts that the client sees within its time that the response is not complete.
fn assert_broken_off_in_time(proxy: &Proxy, request: &str) {
    let mut client = proxy.client();
    client.send(request);
    let received = read_until_closed(client.into_stream(), Instant::now() + ANSWERED_WITHIN);
    let received = String::from_utf8(received.expect("the connection ends in time")).expect("ASCII");
    assert!(received.starts_with("HTTP/1.1 200 OK"), "{received}");
    assert!(!received.ends_with("0\r\n\r\n"), "the end of the body shows that it is not complete");
}

/// Reads until the proxy closes the connection; `None` if it is still open at `end`.
fn read_until_closed(mut stream: TcpStream, end: Instant) -> Option<Vec<u8>> {
    let mut received = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let left = end.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).expect("a timeout");
        match stream.read(&mut buffer) {
            Ok(0) => return Some(received),
            Ok(length) => received.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return Some(received),
        }
    }
}

/// Guards against a response that never ends and leaves its request without a final response.
#[test]
fn response_that_never_ends_is_broken_off_at_its_deadline() {
    for head in [CHUNKED_HEAD, UNDELIMITED_HEAD] {
        let (_discovery, proxy) = proxy_before(PacedResponse::endless(head));
        assert_broken_off_in_time(&proxy, &page_with_timeout("r-1"));
        wait_for("the request to fail", || proxy.stat("/failed/page") == 1);
        assert_eq!(proxy.stat("/pending"), 0);
        wait_for("the connection to the backend to close", || {
            proxy.metric("leadrelay_connections{side=\"backends\"}") == 0
        });
    }
}

/// Guards against the same for a request whose body is forwarded while it is received: its time counts from its last
/// byte.
#[test]
fn response_that_never_ends_to_a_long_body_is_broken_off_at_its_deadline() {
    let (_discovery, proxy) = proxy_before(PacedResponse::endless(CHUNKED_HEAD));
    assert_broken_off_in_time(&proxy, &submit("r-1", TIMEOUT, &"x".repeat(STREAMED_BODY_BYTES)));
    wait_for("the request to fail", || proxy.stat("/failed/submit") == 1);
}

/// Guards against a process that can't end because a response never ends.
#[test]
fn response_that_never_ends_does_not_outlast_its_deadline_at_shutdown() {
    let (_discovery, mut proxy) = proxy_before(PacedResponse::endless(CHUNKED_HEAD));
    let mut client = proxy.client();
    client.send(&page_with_timeout("r-1"));
    client.read_head();
    proxy.terminate();
    assert!(proxy.wait().success());
}

/// Guards against a limit that also ends long responses: over 64 KiB the first byte decides.
#[test]
fn response_without_length_over_64_kib_may_outlast_its_deadline() {
    let response = PacedResponse {
        piece: chunk(SHORT_RESPONSE_BYTES + 1),
        pieces: 2,
        pause: ANSWERED_WITHIN,
        end: LAST_CHUNK,
        ..PacedResponse::endless(CHUNKED_HEAD)
    };
    let (_discovery, proxy) = proxy_before(response);
    let response = proxy.client().request(&page_with_timeout("r-1")).expect("a complete response");
    assert_eq!(response.body.len(), 2 * (SHORT_RESPONSE_BYTES + 1));
}

/// Guards against breaking off a long response that is still short at its deadline, but comes as fast as the slowest
/// peers write.
#[test]
fn steady_response_without_length_may_outlast_its_deadline() {
    let response = PacedResponse {
        piece: chunk(6_400),
        pieces: 18,
        pause: Duration::from_millis(100),
        end: LAST_CHUNK,
        ..PacedResponse::endless(CHUNKED_HEAD)
    };
    let (_discovery, proxy) = proxy_before(response);
    let request = page("r-1").replace("X-Timeout: 5", "X-Timeout: 0.5");
    let response = proxy.client().request(&request).expect("a complete response");
    assert_eq!(response.body.len(), 18 * 6_400);
}
