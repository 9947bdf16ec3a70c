//! A site whose clients write requests slowly, or announce how long they wait with requests that they write at once.

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

/// What impatient clients announce, and what a slowly written request does.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(700);
pub const LONG_TIMEOUT: Duration = Duration::from_millis(2400);
/// The pause within a slowly written request.
pub const PAUSE: Duration = Duration::from_millis(400);
/// A response may come this long after the end of the client's time, and this long before it.
pub const MAX_LATENESS: Duration = Duration::from_millis(400);
pub const MAX_EARLINESS: Duration = Duration::from_millis(600);
/// An attempt at an open backend starts this soon.
pub const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(300);
/// Announcements by which a slowly written request is judged.
pub const ANNOUNCEMENTS: usize = 3;
/// Requests that keep the backend busy, most of them in the proxy's queue.
pub const HELD_REQUESTS: u64 = 12;

/// A proxy whose one backend answers requests named `r-held` only once it is released, and all others promptly.
pub struct Site {
    pub release: Latch,
    backend: Backend,
    pub proxy: Proxy,
    _discovery: Discovery,
}

impl Site {
    pub fn new() -> Self {
        let release = Latch::default();
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
    pub fn keep_busy(&self) -> Vec<Client> {
        let held = fill_slots(&self.proxy);
        wait_for("requests that wait", || self.proxy.waiting() > 0);
        held
    }

    /// Lets clients announce a timeout with requests that they write at once, and waits until they have their answers.
    pub fn announce(&self, request: &str) {
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
    pub fn release_once_taken_in(&self) {
        wait_for_pending(&self.proxy, HELD_REQUESTS + 1);
        assert!(self.seen("r-slow").is_none(), "the backend is busy");
        self.release.open();
    }

    /// The time that the backend was told for a request.
    pub fn told_timeout(&self, id: &str) -> Duration {
        let request = self.seen(id).expect("the backend has seen it");
        let seconds = request.header("x-timeout").expect("a time-out").parse().expect("seconds");
        Duration::from_secs_f64(seconds)
    }

    /// Asserts that a request was sent with most of what it announced.
    pub fn assert_kept_its_timeout(&self, id: &str) {
        let told = self.told_timeout(id);
        assert!(told > LONG_TIMEOUT - MAX_ATTEMPT_DELAY, "told {told:?} of {LONG_TIMEOUT:?}");
    }

    /// A request as the backend has seen it.
    pub fn seen(&self, id: &str) -> Option<Message> {
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
pub fn bodyless(timeout: Duration) -> String {
    page("r-slow").replace("X-Timeout: 5\r", &format!("X-Timeout: {}\r", timeout.as_secs_f64()))
}

/// A request that must not run twice, with a body.
pub fn unsafe_request(timeout: Duration) -> String {
    submit("r-slow", &timeout.as_secs_f64().to_string(), &"x".repeat(1000))
}

/// A request with a body and an idempotency key.
pub fn with_key(timeout: Duration) -> String {
    unsafe_request(timeout)
        .replace("/submit", "/booking")
        .replace("Host: x\r\n", "Host: x\r\nIdempotency-Key: k\r\n")
}

/// The same as a client's retry.
pub fn marked_as_retry(request: &str) -> String {
    request.replace("Host: x\r\n", "Host: x\r\nX-Retried: 1\r\n")
}

/// Writes a request with a pause before its last bytes; returns when the last one was written.
pub fn write_slowly(client: &mut Client, request: &str) -> Instant {
    let (first, last) = request.split_at(request.len() - 20);
    client.send(first);
    thread::sleep(PAUSE);
    client.send(last);
    Instant::now()
}

/// Reads a response that has to be a rejection, and returns how long it took.
pub fn rejected_after(client: &mut Client, written_at: Instant) -> Duration {
    let response = client.response().expect("a response");
    let waited = written_at.elapsed();
    assert!([429, 503].contains(&response.status()), "{}", response.status());
    assert!(response.header("retry-after").is_some(), "a time after which to try again");
    println!("rejected {waited:?} after its last byte");
    waited
}

/// Asserts that a request was rejected when the time of its client was almost over.
pub fn assert_near_end(waited: Duration, timeout: Duration) {
    assert!(waited > timeout - MAX_EARLINESS, "rejected after {waited:?} of {timeout:?}");
    assert!(waited < timeout + MAX_LATENESS, "rejected after {waited:?} of {timeout:?}");
}
