//! Requests that wait in the proxy while their clients' time runs: behind others in its queue, or on one connection.
mod sockets;

use std::time::{Duration, Instant};

use sockets::*;

/// By how much the time that a backend is told may exceed what the client has left.
const SLACK: f64 = 0.15;
/// More than is read of a body before its request is queued, and less than the system holds of one.
const LONG_BODY: usize = 200 << 10;

/// A proxy with one backend, which holds what is named so until the gate opens.
fn held_by(gate: &Gate) -> (Backend, Discovery, Proxy) {
    let gate = gate.clone();
    let backend = Backend::with(move |request| match request.id().starts_with("r-held") {
        true => Deed::Hold(gate.clone(), ok("held")),
        false => Deed::Write(ok("prompt")),
    });
    let discovery = Discovery::new();
    discovery.say(&list(1, true, &[host("s-0", backend.address, "up", 0)]));
    let setup = Setup { admin: true, deadline: 60_000, ..Setup::default() };
    let proxy = Proxy::up(&discovery, &setup);
    (backend, discovery, proxy)
}

/// Clients of requests that the backend holds: more than it has slots, so that what follows waits.
fn filled(proxy: &Proxy) -> Vec<Client> {
    let held = |n| {
        let mut client = Client::new(proxy);
        client.send(&submit(&format!("r-held-{n}"), "60", "x"));
        client
    };
    let clients = (0..12).map(held).collect();
    wait_for("requests that wait", || proxy.waiting() > 0);
    clients
}

/// The time that a backend was told for a request.
fn told(backend: &Backend, id: &str) -> f64 {
    let seen = backend.seen();
    let request = seen.iter().find(|request| request.id() == id).expect("it came");
    request.header("x-timeout").and_then(|seconds| seconds.parse().ok()).expect("a time")
}

#[test]
fn a_long_body_whose_request_waits_is_refused_in_its_clients_time() {
    let gate = Gate::default();
    let (backend, _discovery, proxy) = held_by(&gate);
    let _held = filled(&proxy);
    let mut client = Client::new(&proxy);
    client.send(&submit("r-long", "1", &"x".repeat(LONG_BODY)));
    let sent_at = Instant::now();
    let answer = client.answer().expect("an answer, while the backend holds all that it has");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(sent_at.elapsed() < Duration::from_secs(10), "{:?}", sent_at.elapsed());
    assert!(backend.seen().iter().all(|request| request.id() != "r-long"));
    gate.open();
}

#[test]
fn a_long_body_that_has_waited_tells_its_backend_what_is_left() {
    let gate = Gate::default();
    let (backend, _discovery, proxy) = held_by(&gate);
    let _held = filled(&proxy);
    let mut client = Client::new(&proxy);
    client.send(&submit("r-long", "20", &"x".repeat(LONG_BODY)));
    let sent_at = Instant::now();
    std::thread::sleep(Duration::from_millis(800));
    let waited = sent_at.elapsed().as_secs_f64();
    gate.open();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    let told = told(&backend, "r-long");
    assert!(told <= 20.0 - waited + SLACK, "{told} s after {waited} s");
}

#[test]
fn a_request_behind_another_tells_its_backend_what_is_left() {
    let gate = Gate::default();
    let (backend, _discovery, proxy) = held_by(&gate);
    let mut client = Client::new(&proxy);
    client.send(&(submit("r-held", "20", "x") + &submit("r-behind", "20", "x")));
    let sent_at = Instant::now();
    wait_for("the first request", || backend.seen().len() == 1);
    std::thread::sleep(Duration::from_millis(800));
    let waited = sent_at.elapsed().as_secs_f64();
    gate.open();
    assert_eq!(client.answer().expect("an answer").text(), "held");
    assert_eq!(client.answer().expect("an answer").text(), "prompt");
    let told = told(&backend, "r-behind");
    assert!(told <= 20.0 - waited + SLACK, "{told} s after {waited} s");
}
