//! Support for tests of slowly written requests. A client announces in `X-Timeout` how long it waits for a response.
//! The client of a slowly written request may wait less than it announces, so the proxy goes by the timeouts that other
//! clients announce with requests that they write at once.

use std::thread;
use std::time::{Duration, Instant};

use super::backend::{Backend, Latch};
use super::cancellation::{delaying_backend, fill_slots, wait_for_pending};
use super::client::{Client, page, submit};
use super::discovery::{Discovery, all_up};
use super::message::Message;
use super::proxy::Proxy;
use super::setup::{Setup, config};
use super::wait_for;

/// The timeout that impatient clients announce.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(700);
/// The timeout that a slowly written request announces.
pub const LONG_TIMEOUT: Duration = Duration::from_millis(2400);
/// The pause before the last bytes of a slowly written request.
pub const PAUSE: Duration = Duration::from_millis(400);
/// The maximum time by which a rejection may come after the client's timeout.
pub const MAX_LATENESS: Duration = Duration::from_millis(400);
/// The maximum time by which a rejection may come before the client's timeout.
pub const MAX_EARLINESS: Duration = Duration::from_millis(600);
/// The maximum time until an attempt starts if the backend has a free slot.
pub const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(300);
/// The number of requests with which the other clients announce their timeout, enough for the proxy to rely on it.
pub const ANNOUNCEMENTS: usize = 3;
/// The number of requests that keep the backend busy. Most of them are in the proxy's queue.
pub const DELAYED_REQUESTS: u64 = 12;

/// A proxy with a single backend, which delays requests whose id starts with `r-held` until it is released, and
/// responds to all others at once.
pub struct SlowWriterFixture {
    pub release: Latch,
    backend: Backend,
    pub proxy: Proxy,
    _discovery: Discovery,
}

impl SlowWriterFixture {
    /// Starts the backend, its discovery and the proxy; waits until the proxy is ready.
    pub fn new() -> Self {
        let release = Latch::default();
        let backend = delaying_backend(&release, "r-held");
        let discovery = Discovery::new();
        discovery.publish(&all_up(&[&backend]));
        let setup = Setup { has_admin: true, deadline_ms: 60_000, ..Setup::default() };
        let proxy =
            Proxy::start_with_config(&with_short_objectives(config(discovery.address, &setup)), &setup);
        wait_for("/up", || proxy.is_up());
        SlowWriterFixture { release, backend, proxy, _discovery: discovery }
    }

    /// Fills all slots of the backend with delayed requests, until some wait in the queue. Returns their clients, which
    /// have to stay connected.
    pub fn keep_busy(&self) -> Vec<Client> {
        let clients = fill_slots(&self.proxy);
        wait_for("queued requests", || self.proxy.waiting() > 0);
        clients
    }

    /// Sends copies of a request, each written at once by another client to announce its timeout, and waits for all
    /// responses.
    pub fn announce(&self, request: &str) {
        let send_announcement = |number| {
            let mut client = self.proxy.client();
            client.send(&request.replace("r-slow", &format!("r-other-{number}")));
            client
        };
        let clients: Vec<Client> = (0..ANNOUNCEMENTS).map(send_announcement).collect();
        for mut client in clients {
            client.response().expect("a response");
        }
    }

    /// Waits until one more request is open than those that keep the backend busy, then releases the backend.
    pub fn release_once_queued(&self) {
        wait_for_pending(&self.proxy, DELAYED_REQUESTS + 1);
        assert!(
            self.received_request("r-slow").is_none(),
            "the backend receives no request while it is busy"
        );
        self.release.open();
    }

    /// The remaining time that the proxy announced to the backend for a request (`X-Timeout`).
    pub fn forwarded_timeout(&self, id: &str) -> Duration {
        let request = self.received_request(id).expect("the backend has received it");
        let seconds = request.header("x-timeout").expect("a timeout").parse().expect("seconds");
        Duration::from_secs_f64(seconds)
    }

    /// Asserts that a request was forwarded with almost all of [`LONG_TIMEOUT`], the timeout that it announced.
    pub fn assert_timeout_forwarded(&self, id: &str) {
        let forwarded = self.forwarded_timeout(id);
        assert!(forwarded > LONG_TIMEOUT - MAX_ATTEMPT_DELAY, "forwarded {forwarded:?} of {LONG_TIMEOUT:?}");
    }

    /// The request with this id, as the backend received it.
    pub fn received_request(&self, id: &str) -> Option<Message> {
        self.backend.requests().into_iter().find(|request| request.id() == id)
    }
}

/// Shortens the latency objective of all classes but `submit` to [`LONG_TIMEOUT`], so that a request waits in the queue
/// until almost all of its time is over. `submit`, the class of the delayed requests, keeps its long objective, so that
/// the proxy does not count a delayed request as hanging.
fn with_short_objectives(config: String) -> String {
    let objective = LONG_TIMEOUT.as_millis();
    ["idempotent\"", "\"cell\",\"window\":2500"].iter().fold(config, |config, before| {
        config.replace(&format!("{before},\"promise\":48000"), &format!("{before},\"promise\":{objective}"))
    })
}

/// An idempotent request without a body, with this timeout.
pub fn request_without_body(timeout: Duration) -> String {
    page("r-slow").replace("X-Timeout: 5\r", &format!("X-Timeout: {}\r", timeout.as_secs_f64()))
}

/// A request with a body that must not run twice, with this timeout.
pub fn non_idempotent_request(timeout: Duration) -> String {
    submit("r-slow", &timeout.as_secs_f64().to_string(), &"x".repeat(1000))
}

/// A request with a body and an idempotency key, with this timeout.
pub fn request_with_key(timeout: Duration) -> String {
    non_idempotent_request(timeout)
        .replace("/submit", "/booking")
        .replace("Host: x\r\n", "Host: x\r\nIdempotency-Key: k\r\n")
}

/// The same request, marked as a client's retry.
pub fn marked_as_retry(request: &str) -> String {
    request.replace("Host: x\r\n", "Host: x\r\nX-Retried: 1\r\n")
}

/// Writes a request with a pause before its last 20 bytes; returns the time at which the last byte was written.
pub fn write_slowly(client: &mut Client, request: &str) -> Instant {
    let (start, end) = request.split_at(request.len() - 20);
    client.send(start);
    thread::sleep(PAUSE);
    client.send(end);
    Instant::now()
}

/// Reads a response and asserts that it is a rejection; returns the time since the last byte of the request was
/// written.
pub fn read_rejection(client: &mut Client, written_at: Instant) -> Duration {
    let response = client.response().expect("a response");
    let waited = written_at.elapsed();
    assert!([429, 503].contains(&response.status()), "{}", response.status());
    assert!(response.header("retry-after").is_some(), "a rejection has the header Retry-After");
    println!("rejected {waited:?} after its last byte");
    waited
}

/// Asserts that a request was rejected close to its client's timeout.
pub fn assert_rejected_near_timeout(waited: Duration, timeout: Duration) {
    assert!(waited > timeout - MAX_EARLINESS, "rejected after {waited:?} of {timeout:?}");
    assert!(waited < timeout + MAX_LATENESS, "rejected after {waited:?} of {timeout:?}");
}
