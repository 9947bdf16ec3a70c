//! Requests with two lengths that the proxy reads together with something else: hyper shows one of the lengths, and the
//! other hides a second request.
mod sockets;

use std::sync::{Arc, Mutex};

use sockets::*;

/// A body that is longer is streamed, in both directions.
const STREAMED_BODY_BYTES: usize = 200_000;
/// How many bytes the proxy reads at first.
const FIRST_READ_BYTES: usize = 8 << 10;
/// More than the proxy records of a head.
const PADDING_BYTES: usize = 20_000;

/// A request with two lengths, of which hyper shows the second one only.
const TWO_LENGTHS: &str = "POST /submit?sid=7f HTTP/1.1\r\nContent-Length: 5\r\nHost: x\r\nX-Request-ID: r-two\r\n\
    X-Tenant-Id: acme\r\nX-Timeout: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";

/// A request with one length, which is chunked.
fn chunked(id: &str) -> String {
    submit(id, "5", "").replace("Content-Length: 0", "Transfer-Encoding: chunked") + "4\r\nbody\r\n0\r\n\r\n"
}

/// A backend that holds the requests `r-held` until its latch opens, which is a new one each time, and streams its
/// responses to pages.
fn holding_backend() -> (Backend, Arc<Mutex<Latch>>) {
    let latch = Arc::<Mutex<Latch>>::default();
    let backend_latch = latch.clone();
    let backend = Backend::with(move |request| {
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

#[test]
fn two_lengths_begun_behind_another_request_are_rejected() {
    let (backend, latch) = holding_backend();
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let held = [page("r-held"), submit("r-held", "5", ""), submit("r-held", "5", "body"), chunked("r-held")];
    for split_at in 1..=TWO_LENGTHS.len() {
        let held = &held[split_at % held.len()];
        let (start, rest) = TWO_LENGTHS.split_at(split_at);
        let seen = backend.requests().len();
        let mut client = proxy.client();
        client.send(&format!("{held}{start}"));
        wait_for("the held request", || backend.requests().len() == seen + 1);
        std::mem::take(&mut *latch.lock().unwrap()).open();
        assert_eq!(status(client.response()), 200, "{held}");
        client.send(rest);
        let (status, closed) = client.last_response().expect("a response");
        assert!((400..500).contains(&status) && closed, "{status} {closed} to {start:?} behind {held}");
    }
    assert!(backend.requests().iter().all(|request| request.id() == "r-held"));
}

#[test]
fn two_lengths_behind_a_body_that_nobody_reads_are_rejected() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    // The end of the body looks like the head behind it, without the second length.
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
    // Behind a long body one read brings more than the longest head.
    assert_eq!(status(client.request(&submit("r-1", "5", &"x".repeat(STREAMED_BODY_BYTES)))), 200);
    let padding = format!("X-Padding: {}\r\n", "x".repeat(PADDING_BYTES));
    let chunked = TWO_LENGTHS.replace("Content-Length: 5\r\n", "");
    client.send(&chunked.replace("\r\n\r\n0", &format!("\r\n{padding}Content-Length: 5\r\n\r\n0")));
    let (status, closed) = client.last_response().expect("a response");
    assert!((400..500).contains(&status) && closed, "{status} {closed}");
    assert_eq!(backend.requests().len(), 1);
}

#[test]
fn chunked_request_begun_behind_no_other_is_accepted() {
    let backend = Backend::with(|request| {
        let length = if request.id() == "r-long" { STREAMED_BODY_BYTES } else { 0 };
        Reply::Write(ok(&"x".repeat(length)))
    });
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n".to_owned();
    let long_body = "x".repeat(STREAMED_BODY_BYTES);
    let earlier = [
        up,
        page("r-1"),
        page("r-long"),
        submit("r-1", "5", "body"),
        submit("r-1", "5", &long_body),
        chunked("r-1"),
    ];
    let mut client = proxy.client();
    client.set_nodelay();
    for split_at in 1..chunked("r-2").len() {
        // Each request is written in two pieces.
        for request in [&earlier[split_at % earlier.len()], &chunked("r-2")] {
            let (start, rest) = request.split_at(split_at.min(request.len() - 1));
            client.send(start);
            assert_eq!(status(client.request(rest)), 200, "{start:?}, {:.200}", rest);
        }
    }
    let bodies: Vec<_> = backend.requests().into_iter().filter(|request| request.id() == "r-2").collect();
    assert!(!bodies.is_empty() && bodies.iter().all(|request| request.body == b"body"));
}
