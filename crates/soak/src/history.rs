//! What was observed from outside: requests and their outcomes, attempts that reached backends, what proxies were notified
//! of, and what happened to processes.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::settings::RequestClass;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// With a complete response.
    Answered {
        /// Its status.
        status: u16,
        /// When its last byte came.
        at: Instant,
    },
    /// The response broke off after it had begun.
    Broken {
        /// When.
        at: Instant,
    },
    /// The proxy closed the connection without a response.
    Closed {
        /// When.
        at: Instant,
    },
    /// The client gave up waiting.
    Unanswered,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// The proxy that received it.
    pub proxy: usize,
    /// Its class.
    pub class: RequestClass,
    /// How long its client waits from its last byte.
    pub timeout: Duration,
    /// When its first byte was written.
    pub started_at: Instant,
    /// When its last byte was written.
    pub sent_at: Option<Instant>,
    /// Whether its connection had carried another request before.
    pub connection_reused: bool,
    /// Whether its client reads the response slowly, so that the time of its last byte says nothing about the proxy.
    pub reads_slowly: bool,
    /// When its client cancelled it by closing the connection.
    pub cancelled_at: Option<Instant>,
    /// How it ended.
    pub outcome: Option<RequestOutcome>,
}

/// An attempt that reached a backend, if only with its first byte.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The id of its request.
    pub request_id: String,
    /// The backend.
    pub backend: usize,
    /// The process of the backend, counted from 0.
    pub process: u32,
    /// When its first byte was read.
    pub started_at: Instant,
    /// Whether it may have been sent earlier: its connection may have waited in the accept queue.
    pub queued: bool,
    /// When its last byte was read.
    pub received_at: Option<Instant>,
    /// The time left that the proxy put into its header, in seconds.
    pub timeout: Option<f64>,
    /// Whether the backend ran it, or may have.
    pub ran: bool,
}

/// A period in which a backend may get nothing new from a proxy.
#[derive(Clone, Copy, Debug)]
pub struct OutOfService {
    /// The backend.
    pub backend: usize,
    /// The proxy; `None` for all.
    pub proxy: Option<usize>,
    /// When proxies were notified.
    pub since: Instant,
    /// Until when.
    pub until: Option<Instant>,
    /// Whether it ends with the proxy's process, which passes nothing on to the next one.
    pub ends_with_process: bool,
}

/// The start of a backend's process.
#[derive(Clone, Copy, Debug)]
pub struct BackendStart {
    /// The backend.
    pub backend: usize,
    /// Its process, counted from 0.
    pub process: u32,
    /// When it started.
    pub at: Instant,
    /// Requests a second that it serves after slow start.
    pub capacity: f64,
}

/// What happened to a process of a proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// Its health check succeeds.
    Ready,
    /// It was sent SIGTERM.
    Terminated,
    /// It was sent SIGKILL.
    Killed,
    /// It exited as requested.
    Ended,
    /// It exited unrequested, or with an error.
    Crashed(String),
    /// It logged a line that reports a defect.
    Logged(String),
    /// It held more than its limits allow.
    OverLimit(String),
}

/// A process event with its proxy and its time.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// The proxy.
    pub proxy: usize,
    /// When.
    pub at: Instant,
    /// What happened.
    pub event: ProcessEvent,
}

/// A time at which this process itself was scheduled late.
#[derive(Clone, Copy, Debug)]
pub struct SchedulingDelay {
    /// When it was noticed.
    pub at: Instant,
    /// By how much.
    pub delay: Duration,
}

/// A fault that was injected, for whoever reads the report.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// When it began.
    pub at: Instant,
    /// What it was.
    pub description: String,
}

/// What has been observed so far.
#[derive(Debug, Default)]
pub struct History {
    /// By id.
    pub requests: HashMap<String, Request>,
    /// In the order in which they reached backends.
    pub attempts: Vec<Attempt>,
    /// Periods in which backends may get nothing.
    pub out_of_service: Vec<OutOfService>,
    /// When discovery recovered.
    pub discovery_recoveries: Vec<Instant>,
    /// Starts of backends.
    pub backend_starts: Vec<BackendStart>,
    /// What happened to processes.
    pub processes: Vec<ProcessRecord>,
    /// When this process itself ran late.
    pub scheduling_delays: Vec<SchedulingDelay>,
    /// Faults that were injected.
    pub faults: Vec<InjectedFault>,
}

/// The place of a period in [`History::out_of_service`].
#[derive(Clone, Copy, Debug)]
pub struct OutOfServiceIndex(usize);

/// Records what all parts of a fleet observe.
#[derive(Debug, Default)]
pub struct Recorder(Mutex<History>);

impl Recorder {
    /// What has been observed, to read or to add to.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what just happened to a process of a proxy.
    pub fn record_process(&self, proxy: usize, event: ProcessEvent) {
        let record = ProcessRecord { proxy, at: Instant::now(), event };
        self.history().processes.push(record);
    }

    /// Records how a request ended.
    pub fn record_outcome(&self, request_id: &str, outcome: RequestOutcome) {
        self.update_request(request_id, |request| request.outcome = Some(outcome));
    }

    /// Changes the record of a request.
    pub fn update_request(&self, request_id: &str, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.history().requests.get_mut(request_id) {
            change(request);
        }
    }

    /// Records that a backend may get nothing from now on.
    pub fn record_out_of_service(&self, period: OutOfService) -> OutOfServiceIndex {
        let mut history = self.history();
        history.out_of_service.push(period);
        OutOfServiceIndex(history.out_of_service.len() - 1)
    }

    /// Records that backends may be used again.
    pub fn end_out_of_service(&self, periods: &[OutOfServiceIndex]) {
        let now = Instant::now();
        let mut history = self.history();
        for period in periods {
            history.out_of_service[period.0].until = Some(now);
        }
    }

    /// Records that discovery answers again.
    pub fn record_discovery_recovery(&self) {
        self.history().discovery_recoveries.push(Instant::now());
    }

    /// Records a fault that begins now.
    pub fn record_fault(&self, description: String) {
        let fault = InjectedFault { at: Instant::now(), description };
        self.history().faults.push(fault);
    }
}
