//! Requests that wait in the proxy, in its queue or behind other requests of the same connection: backends receive the
//! remaining time of the client as the timeout.
mod sockets;

use std::time::{Duration, Instant};

use sockets::cancellation::send_delayed_requests;
use sockets::*;

/// The largest difference by which the timeout that a backend receives may exceed the remaining time of the client, in
/// seconds.
const TOLERANCE: f64 = 0.15;
/// The length of a long body in bytes: more than the proxy reads before it queues the request, and less than the socket
/// buffers of the operating system hold.
const LONG_BODY: usize = 200 << 10;

/// A proxy with one backend, which delays requests named `r-held` until the latch opens.
fn proxy_with_delays(latch: &Latch) -> (Backend, Discovery, Proxy) {
    let backend = delaying_backend(latch, "r-held");
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", backend.address, "up", 0)]));
    let setup = Setup { has_admin: true, deadline_ms: 60_000, ..Setup::default() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    (backend, discovery, proxy)
}

/// Sends more requests that the backend delays than it has slots, so that later requests wait in the proxy's queue.
fn fill_slots(proxy: &Proxy) -> Vec<Client> {
    let clients = send_delayed_requests(proxy);
    wait_for("queued requests", || proxy.waiting() > 0);
    clients
}

/// The remaining time that a backend received with a request, in seconds.
fn remaining_time(backend: &Backend, id: &str) -> f64 {
    let seen = backend.requests();
    let request = seen.iter().find(|request| request.id() == id).expect("the backend has received it");
    request.header("x-timeout").and_then(|seconds| seconds.parse().ok()).expect("a timeout")
}

#[test]
fn waiting_request_with_long_body_is_rejected_in_time() {
    let latch = Latch::default();
    let (backend, _discovery, proxy) = proxy_with_delays(&latch);
    let _delayed = fill_slots(&proxy);
    let mut client = proxy.client();
    client.send(&submit("r-long", "1", &"x".repeat(LONG_BODY)));
    let sent_at = Instant::now();
    let response = client.response().expect("a response while the backend delays all other requests");
    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").is_some());
    assert!(sent_at.elapsed() < Duration::from_secs(10), "{:?}", sent_at.elapsed());
    assert!(backend.requests().iter().all(|request| request.id() != "r-long"));
    latch.open();
}

#[test]
fn waiting_request_with_long_body_sends_its_remaining_time() {
    let latch = Latch::default();
    let (backend, _discovery, proxy) = proxy_with_delays(&latch);
    let _delayed = fill_slots(&proxy);
    let mut client = proxy.client();
    client.send(&submit("r-long", "20", &"x".repeat(LONG_BODY)));
    let sent_at = Instant::now();
    std::thread::sleep(Duration::from_millis(800));
    let waited = sent_at.elapsed().as_secs_f64();
    latch.open();
    assert_eq!(client.response().expect("a response").status(), 200);
    let remaining = remaining_time(&backend, "r-long");
    assert!(remaining <= 20.0 - waited + TOLERANCE, "{remaining} s after {waited} s");
}

#[test]
fn pipelined_request_sends_its_remaining_time() {
    let latch = Latch::default();
    let (backend, _discovery, proxy) = proxy_with_delays(&latch);
    let mut client = proxy.client();
    client.send(&(submit("r-held", "20", "x") + &submit("r-behind", "20", "x")));
    let sent_at = Instant::now();
    wait_for("the first request", || backend.requests().len() == 1);
    std::thread::sleep(Duration::from_millis(800));
    let waited = sent_at.elapsed().as_secs_f64();
    latch.open();
    assert_eq!(client.response().expect("a response").text(), "held");
    assert_eq!(client.response().expect("a response").text(), "prompt");
    let remaining = remaining_time(&backend, "r-behind");
    assert!(remaining <= 20.0 - waited + TOLERANCE, "{remaining} s after {waited} s");
}
