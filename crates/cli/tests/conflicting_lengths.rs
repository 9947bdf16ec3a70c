//! Requests with two conflicting lengths, which the proxy reads together with other bytes. Hyper reports only one of
//! the lengths; with the other one, the same bytes contain a second, smuggled request.
mod sockets;

use std::sync::{Arc, Mutex};

use sockets::*;

/// Length in bytes above which the proxy streams request and response bodies.
const STREAMED_BODY_BYTES: usize = 200_000;
/// Length in bytes of the proxy's first read from a connection.
const FIRST_READ_BYTES: usize = 8 << 10;
/// Length in bytes of a header that is longer than the part of a head that the proxy records.
const PADDING_BYTES: usize = 20_000;

/// A request with two lengths, of which hyper reports only the second one, the chunked encoding.
const TWO_LENGTHS: &str = "POST /submit?sid=7f HTTP/1.1\r\nContent-Length: 5\r\nHost: x\r\nX-Request-ID: r-two\r\n\
    X-Tenant-Id: acme\r\nX-Timeout: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";

/// Returns a request with a chunked body and no `Content-Length`.
fn chunked(id: &str) -> String {
    submit(id, "5", "").replace("Content-Length: 0", "Transfer-Encoding: chunked") + "4\r\nbody\r\n0\r\n\r\n"
}

/// Returns a backend that delays its response to each request `r-held` until the current latch opens; the test replaces
/// the latch for each request. For `GET` requests it delays only the second half of a long response.
fn delaying_backend_with_latch() -> (Backend, Arc<Mutex<Latch>>) {
    let latch = Arc::<Mutex<Latch>>::default();
    let backend_latch = latch.clone();
    let backend = Backend::with_handler(move |request| {
        let latch = backend_latch.lock().unwrap().clone();
        match request.id() {
            "r-held" if request.first_line.starts_with("GET") => {
                let response = ok(&"x".repeat(STREAMED_BODY_BYTES));
                let (start, rest) = response.split_at(STREAMED_BODY_BYTES / 2);
                Reply::InParts(start.into(), latch, rest.into())
            }
            "r-held" => Reply::Delayed(latch, ok("")),
            _ => Reply::Write(ok("")),
        }
    });
    (backend, latch)
}

/// The proxy reads the first part of the request with two lengths together with a pending request, and the rest after
/// the response to that one.
#[test]
fn two_lengths_started_behind_another_request_are_rejected() {
    let (backend, latch) = delaying_backend_with_latch();
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let held = [page("r-held"), submit("r-held", "5", ""), submit("r-held", "5", "body"), chunked("r-held")];
    for split_at in 1..=TWO_LENGTHS.len() {
        let held = &held[split_at % held.len()];
        let (start, rest) = TWO_LENGTHS.split_at(split_at);
        let seen = backend.requests().len();
        let mut client = proxy.client();
        client.send(&format!("{held}{start}"));
        wait_for("the delayed request", || backend.requests().len() == seen + 1);
        std::mem::take(&mut *latch.lock().unwrap()).open();
        assert_eq!(status(client.response()), 200, "{held}");
        client.send(rest);
        let (status, closed) = client.last_response().expect("a response");
        assert!((400..500).contains(&status) && closed, "{status} {closed} to {start:?} behind {held}");
    }
    assert!(backend.requests().iter().all(|request| request.id() == "r-held"));
}

#[test]
fn two_lengths_behind_an_unread_body_are_rejected() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    // The end of the body looks like the head of the request behind it, but has no `Content-Length`.
    let end_of_body = TWO_LENGTHS.replace("Content-Length: 5\r\n", "");
    let head = |length: usize| format!("POST /up HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    let start_length = FIRST_READ_BYTES - head(FIRST_READ_BYTES).len();
    let first = head(start_length + end_of_body.len()) + &"x".repeat(start_length) + &end_of_body;
    let mut client = proxy.client();
    client.send(&(first + TWO_LENGTHS));
    assert_eq!(status(client.response()), 200);
    let (status, closed) = client.last_response().expect("a response");
    assert!((400..500).contains(&status) && closed, "{status} {closed}");
    assert!(backend.requests().is_empty());
}

#[test]
fn two_lengths_in_a_head_longer_than_the_limit_are_rejected() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut client = proxy.client();
    // After a long body the proxy reads more at once than the longest head it records.
    assert_eq!(status(client.request(&submit("r-1", "5", &"x".repeat(STREAMED_BODY_BYTES)))), 200);
    let padding = format!("X-Padding: {}\r\n", "x".repeat(PADDING_BYTES));
    let chunked = TWO_LENGTHS.replace("Content-Length: 5\r\n", "");
    client.send(&chunked.replace("\r\n\r\n0", &format!("\r\n{padding}Content-Length: 5\r\n\r\n0")));
    let (status, closed) = client.last_response().expect("a response");
    assert!((400..500).contains(&status) && closed, "{status} {closed}");
    assert_eq!(backend.requests().len(), 1);
}

#[test]
fn chunked_request_behind_no_pending_request_is_accepted() {
    let backend = Backend::with_handler(|request| {
        let length = if request.id() == "r-long" { STREAMED_BODY_BYTES } else { 0 };
        Reply::Write(ok(&"x".repeat(length)))
    });
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let readiness_check = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n".to_owned();
    let long_body = "x".repeat(STREAMED_BODY_BYTES);
    let earlier = [
        readiness_check,
        page("r-1"),
        page("r-long"),
        submit("r-1", "5", "body"),
        submit("r-1", "5", &long_body),
        chunked("r-1"),
    ];
    let mut client = proxy.client();
    client.set_nodelay();
    for split_at in 1..chunked("r-2").len() {
        // Each request is sent in two parts, after the response to the one before it.
        for request in [&earlier[split_at % earlier.len()], &chunked("r-2")] {
            let (start, rest) = request.split_at(split_at.min(request.len() - 1));
            client.send(start);
            assert_eq!(status(client.request(rest)), 200, "{start:?}, {:.200}", rest);
        }
    }
    let received: Vec<_> = backend.requests().into_iter().filter(|request| request.id() == "r-2").collect();
    assert!(!received.is_empty() && received.iter().all(|request| request.body == b"body"));
}
