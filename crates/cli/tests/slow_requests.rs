//! Requests that are written slowly: their clients may wait less than they announce. A client's time counts from the last
//! byte of its request.
mod sockets;

use std::thread;
use std::time::{Duration, Instant};

use sockets::cancellation::{delaying_backend, fill_slots, wait_for_pending};
use sockets::*;

/// What impatient clients announce, and what a slowly written request does.
const SHORT_TIMEOUT: Duration = Duration::from_millis(700);
const LONG_TIMEOUT: Duration = Duration::from_millis(2400);
/// The pause within a slowly written request.
const PAUSE: Duration = Duration::from_millis(400);
/// A response may come this long after the end of the client's time, and this long before it.
const MAX_LATENESS: Duration = Duration::from_millis(400);
const MAX_EARLINESS: Duration = Duration::from_millis(600);
/// Announcements by which a slowly written request is judged.
const ANNOUNCEMENTS: usize = 3;
/// Requests that keep the backend busy, most of them in the proxy's queue.
const HELD_REQUESTS: u64 = 12;

/// A proxy whose one backend answers requests named `r-held` only once it is released, and all others promptly.
struct Site {
    release: Gate,
    backend: Backend,
    proxy: Proxy,
    _discovery: Discovery,
}

impl Site {
    fn new() -> Self {
        let release = Gate::default();
        let backend = delaying_backend(&release, "r-held");
        let discovery = Discovery::new();
        discovery.publish(&all_up(&[&backend]));
        let setup = Setup { has_admin: true, deadline_ms: 60_000, ..Setup::default() };
        let proxy =
            Proxy::start_with_config(&with_short_objectives(config(discovery.address, &setup)), &setup);
        wait_for("/up", || proxy.is_up());
        Site { release, backend, proxy, _discovery: discovery }
    }

    /// Makes the backend busy; returns the clients that keep it so.
    fn keep_busy(&self) -> Vec<Client> {
        let held = fill_slots(&self.proxy);
        wait_for("requests that wait", || self.proxy.waiting() > 0);
        held
    }

    /// Lets clients announce a timeout with requests that they write at once, and waits until they have their answers.
    fn announce(&self, request: &str) {
        let announcing = |number| {
            let mut client = self.proxy.client();
            client.send(&request.replace("r-slow", &format!("r-other-{number}")));
            client
        };
        let clients: Vec<Client> = (0..ANNOUNCEMENTS).map(announcing).collect();
        for mut client in clients {
            client.response().expect("a response");
        }
    }

    /// Releases the backend once a request waits beside those that keep it busy.
    fn release_once_taken_in(&self) {
        wait_for_pending(&self.proxy, HELD_REQUESTS + 1);
        assert!(self.seen("r-slow").is_none(), "the backend is busy");
        self.release.open();
    }

    /// A request as the backend has seen it.
    fn seen(&self, id: &str) -> Option<Message> {
        self.backend.requests().into_iter().find(|request| request.id() == id)
    }
}

/// A configuration whose classes expect short latencies, except for `submit`, the class of the requests that are held:
/// a request waits until almost all of its time is over, and a held one does not count as hanging.
fn with_short_objectives(config: String) -> String {
    let objective = LONG_TIMEOUT.as_millis();
    ["idempotent\"", "\"cell\",\"window\":2500"].iter().fold(config, |config, before| {
        config.replace(&format!("{before},\"promise\":48000"), &format!("{before},\"promise\":{objective}"))
    })
}

/// An idempotent request without a body.
fn bodyless(timeout: Duration) -> String {
    page("r-slow").replace("X-Timeout: 5\r", &format!("X-Timeout: {}\r", timeout.as_secs_f64()))
}

/// A request with a body and an idempotency key.
fn with_body(timeout: Duration) -> String {
    submit("r-slow", &timeout.as_secs_f64().to_string(), &"x".repeat(1000))
        .replace("/submit", "/booking")
        .replace("Host: x\r\n", "Host: x\r\nIdempotency-Key: k\r\n")
}

/// The same as a client's retry.
fn marked_as_retry(request: &str) -> String {
    request.replace("Host: x\r\n", "Host: x\r\nX-Retried: 1\r\n")
}

/// Writes a request with a pause before its last bytes; returns when the last one was written.
fn write_slowly(client: &mut Client, request: &str) -> Instant {
    let (first, last) = request.split_at(request.len() - 20);
    client.send(first);
    thread::sleep(PAUSE);
    client.send(last);
    Instant::now()
}

/// Reads a response that has to be a rejection, and returns how long it took.
fn rejected_after(client: &mut Client, written_at: Instant) -> Duration {
    let response = client.response().expect("a response");
    let waited = written_at.elapsed();
    assert!([429, 503].contains(&response.status()), "{}", response.status());
    assert!(response.header("retry-after").is_some(), "a time after which to try again");
    println!("rejected {waited:?} after its last byte");
    waited
}

/// Asserts that a request was rejected when the time of its client was almost over.
fn assert_near_end(waited: Duration, timeout: Duration) {
    assert!(waited > timeout - MAX_EARLINESS, "rejected after {waited:?} of {timeout:?}");
    assert!(waited < timeout + MAX_LATENESS, "rejected after {waited:?} of {timeout:?}");
}

#[test]
fn slow_head_is_rejected_by_the_timeout_that_others_announce() {
    let site = Site::new();
    let _held = site.keep_busy();
    site.announce(&bodyless(SHORT_TIMEOUT));
    let mut client = site.proxy.client();
    let written_at = write_slowly(&mut client, &bodyless(LONG_TIMEOUT));
    let waited = rejected_after(&mut client, written_at);
    assert!(waited < SHORT_TIMEOUT, "its client may leave after {SHORT_TIMEOUT:?}, waited {waited:?}");
    assert!(site.seen("r-slow").is_none());
}

#[test]
fn slow_body_is_rejected_by_the_timeout_that_others_announce() {
    let site = Site::new();
    let _held = site.keep_busy();
    site.announce(&with_body(SHORT_TIMEOUT));
    let mut client = site.proxy.client();
    let written_at = write_slowly(&mut client, &with_body(LONG_TIMEOUT));
    let waited = rejected_after(&mut client, written_at);
    assert!(waited < SHORT_TIMEOUT, "its client may leave after {SHORT_TIMEOUT:?}, waited {waited:?}");
    assert!(site.seen("r-slow").is_none());
}

#[test]
fn slow_head_behind_request_is_rejected_by_the_timeout_that_others_announce() {
    let site = Site::new();
    let _held = site.keep_busy();
    site.announce(&bodyless(SHORT_TIMEOUT));
    let mut client = site.proxy.client();
    client.send(&bodyless(SHORT_TIMEOUT).replace("r-slow", "r-first"));
    rejected_after(&mut client, Instant::now());
    let written_at = write_slowly(&mut client, &bodyless(LONG_TIMEOUT));
    let waited = rejected_after(&mut client, written_at);
    assert!(waited < SHORT_TIMEOUT, "its client may leave after {SHORT_TIMEOUT:?}, waited {waited:?}");
}

#[test]
fn slow_head_is_served_by_open_backend_and_tells_it_the_time_that_others_announce() {
    let site = Site::new();
    site.announce(&bodyless(SHORT_TIMEOUT));
    let mut client = site.proxy.client();
    write_slowly(&mut client, &bodyless(LONG_TIMEOUT));
    assert_eq!(status(client.response()), 200);
    let told = site.seen("r-slow").expect("the backend has seen it");
    let told: f64 = told.header("x-timeout").expect("a time-out").parse().expect("seconds");
    assert!(told <= SHORT_TIMEOUT.as_secs_f64(), "told {told} s");
}

#[test]
fn slow_head_is_served_by_backend_that_becomes_free_in_that_time() {
    let site = Site::new();
    let _held = site.keep_busy();
    site.announce(&bodyless(LONG_TIMEOUT));
    let mut client = site.proxy.client();
    write_slowly(&mut client, &bodyless(LONG_TIMEOUT));
    site.release_once_taken_in();
    assert_eq!(status(client.response()), 200);
}

#[test]
fn slow_head_waits_for_its_timeout_from_its_last_byte_if_others_announce_the_same() {
    let site = Site::new();
    let _held = site.keep_busy();
    site.announce(&bodyless(LONG_TIMEOUT));
    let mut client = site.proxy.client();
    let written_at = write_slowly(&mut client, &bodyless(LONG_TIMEOUT));
    assert_near_end(rejected_after(&mut client, written_at), LONG_TIMEOUT);
}

#[test]
fn slow_head_waits_for_its_timeout_if_only_retries_announce_less() {
    let site = Site::new();
    let _held = site.keep_busy();
    site.announce(&marked_as_retry(&bodyless(SHORT_TIMEOUT)));
    let mut client = site.proxy.client();
    let written_at = write_slowly(&mut client, &bodyless(LONG_TIMEOUT));
    assert_near_end(rejected_after(&mut client, written_at), LONG_TIMEOUT);
}

#[test]
fn head_written_at_once_waits_for_its_timeout_whatever_others_announce() {
    let site = Site::new();
    let _held = site.keep_busy();
    site.announce(&bodyless(SHORT_TIMEOUT));
    let mut client = site.proxy.client();
    client.send(&bodyless(LONG_TIMEOUT));
    assert_near_end(rejected_after(&mut client, Instant::now()), LONG_TIMEOUT);
}
