//! What was seen from outside: requests and their ends, attempts that reached backends, and when what was told to whom.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::settings::Class;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// With a final answer.
    Answered {
        /// Its status.
        status: u16,
        /// When its last byte came.
        at: Instant,
    },
    /// An answer broke off after it had begun.
    Broken {
        /// When.
        at: Instant,
    },
    /// The proxy closed the connection without an answer.
    Closed {
        /// When.
        at: Instant,
    },
    /// Nothing came for so long that nobody waited any longer.
    Unanswered,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// The proxy that got it.
    pub proxy: usize,
    /// Its class.
    pub class: Class,
    /// How long its client waits from its last byte.
    pub timeout: Duration,
    /// When its first byte was written.
    pub begun_at: Instant,
    /// When its last byte was written.
    pub sent_at: Option<Instant>,
    /// Whether its connection had carried another request before.
    pub reused: bool,
    /// Whether its client reads the answer slowly, so that the time of its last byte says nothing of the proxy.
    pub reads_slowly: bool,
    /// When its client left.
    pub left_at: Option<Instant>,
    /// How it ended.
    pub end: Option<End>,
}

/// An attempt that reached a backend, if only with its first byte.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The id of its request.
    pub id: String,
    /// The backend, and which of its processes.
    pub backend: usize,
    /// The process of the backend, counted from 0.
    pub process: u32,
    /// When its first byte came.
    pub begun_at: Instant,
    /// Whether it may have come before: its connection had stood in the accept queue.
    pub queued: bool,
    /// When its last byte came.
    pub whole_at: Option<Instant>,
    /// The time that it told.
    pub timeout: Option<f64>,
    /// Whether the backend ran it, as far as it promised nothing else.
    pub ran: bool,
}

/// A span in which a backend may get nothing from a proxy.
#[derive(Clone, Copy, Debug)]
pub struct OutOfService {
    /// The backend.
    pub backend: usize,
    /// The proxy; `None` for all.
    pub proxy: Option<usize>,
    /// From when on this counts as told.
    pub since: Instant,
    /// Until when.
    pub until: Option<Instant>,
    /// Whether it ends with the proxy's process: nothing that it was told outlives that.
    pub ends_with_process: bool,
}

/// The start of a backend's process.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The backend.
    pub backend: usize,
    /// Its process, counted from 0.
    pub process: u32,
    /// When it started.
    pub at: Instant,
    /// Requests a second that it serves once it is warm.
    pub capacity: f64,
}

/// What happened to a process of a proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It can serve.
    Ready,
    /// It was told to end.
    Terminated,
    /// It was killed.
    Killed,
    /// It ended by itself, as told.
    Ended,
    /// It ended untold, or not as it should.
    Crashed(String),
    /// A line of its log that tells of a fault.
    Logged(String),
    /// It held more than it may.
    OverLimit(String),
}

/// What has been seen so far.
#[derive(Debug, Default)]
pub struct Seen {
    /// By id.
    pub requests: HashMap<String, Request>,
    /// In the order in which they reached backends.
    pub attempts: Vec<Attempt>,
    /// Spans in which backends may get nothing.
    pub out_of_service: Vec<OutOfService>,
    /// When discovery came back after it could not be heard.
    pub discovery_up: Vec<Instant>,
    /// Starts of backends.
    pub starts: Vec<Start>,
    /// What happened to processes: the proxy, when, what.
    pub processes: Vec<(usize, Instant, ProcessEvent)>,
    /// When this process itself ran late, and by how much.
    pub lags: Vec<(Instant, Duration)>,
    /// What was done to the fleet, for whoever reads the report.
    pub troubles: Vec<(Instant, String)>,
}

/// Where all parts note what they see.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<Seen>);

impl Ledger {
    /// What has been seen, to read or to add to.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what happened to a process of a proxy just now.
    pub fn process(&self, proxy: usize, event: ProcessEvent) {
        self.seen().processes.push((proxy, Instant::now(), event));
    }

    /// Notes how a request ended.
    pub fn end(&self, id: &str, end: End) {
        if let Some(request) = self.seen().requests.get_mut(id) {
            request.end = Some(end);
        }
    }

    /// Changes what is known of a request.
    pub fn update(&self, id: &str, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.seen().requests.get_mut(id) {
            change(request);
        }
    }
}
