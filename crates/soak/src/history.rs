//! Record of everything that was observed from outside the proxies: requests and their outcomes, attempts that reached
//! backends, changes that proxies were notified of, and events of processes.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::settings::RequestClass;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// The client received a complete response.
    Answered {
        /// Status of the response.
        status: u16,
        /// Time at which its last byte arrived.
        at: Instant,
    },
    /// The response broke off after its head.
    Broken {
        /// Time at which the client noticed it.
        at: Instant,
    },
    /// The proxy closed the connection without a response.
    Closed {
        /// Time at which the client noticed it.
        at: Instant,
    },
    /// The client stopped waiting for a response.
    Unanswered,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of the proxy that the request was sent to.
    pub proxy: usize,
    /// Class of the request.
    pub class: RequestClass,
    /// How long the client allows for the response, counted from the last byte of the request.
    pub timeout: Duration,
    /// Time at which the client began to write the request.
    pub started_at: Instant,
    /// Time at which the client had written the whole request.
    pub sent_at: Option<Instant>,
    /// Whether the connection had carried another request before.
    pub connection_reused: bool,
    /// Whether the client reads the response slowly, so that the arrival of its last byte says nothing about the proxy.
    pub reads_slowly: bool,
    /// Time at which the client cancelled the request by closing the connection.
    pub cancelled_at: Option<Instant>,
    /// How the request ended; `None` while it is open and for cancelled requests.
    pub outcome: Option<RequestOutcome>,
}

/// An attempt of which at least the first byte reached a backend.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// ID of the request.
    pub request_id: String,
    /// Index of the backend.
    pub backend: usize,
    /// Number of the backend process, counted from 0.
    pub process: u32,
    /// Time at which the backend read the first byte.
    pub started_at: Instant,
    /// Whether the connection may have waited in the accept queue, so that the attempt may have been sent earlier.
    pub may_have_queued: bool,
    /// Time at which the backend read the last byte.
    pub received_at: Option<Instant>,
    /// Remaining time that the proxy put into the `X-Timeout` header, in seconds.
    pub timeout: Option<f64>,
    /// Whether the backend executed the request, or may have.
    pub may_have_run: bool,
}

/// A period in which proxies must not send new attempts to a backend.
#[derive(Clone, Copy, Debug)]
pub struct OutOfService {
    /// Index of the backend.
    pub backend: usize,
    /// Index of the proxy that the period applies to; `None` if it applies to all.
    pub proxy: Option<usize>,
    /// Time at which proxies were notified.
    pub since: Instant,
    /// End of the period, if it has ended.
    pub until: Option<Instant>,
    /// Whether the period also ends when the proxy's process does, because that process has no handover to its
    /// successor.
    pub ends_with_process: bool,
}

/// The start of a backend's process.
#[derive(Clone, Copy, Debug)]
pub struct BackendStart {
    /// Index of the backend.
    pub backend: usize,
    /// Number of the new process, counted from 0.
    pub process: u32,
    /// Time of the start.
    pub at: Instant,
    /// Requests per second that the backend can serve after slow start.
    pub capacity: f64,
}

/// An event of a proxy's process.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessEvent {
    /// The process was started.
    Started,
    /// The health check of the process succeeded for the first time.
    Ready,
    /// SIGTERM was sent to the process.
    Terminated,
    /// SIGKILL was sent to the process.
    Killed,
    /// The process exited as requested.
    Ended,
    /// The process exited unrequested, or with an error.
    Crashed(String),
    /// The process logged a line that reports a defect.
    Logged(String),
    /// The process used more descriptors or memory than its limits allow.
    OverLimit(String),
}

/// A process event with its proxy and time.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// Index of the proxy.
    pub proxy: usize,
    /// Time of the event.
    pub at: Instant,
    /// The event.
    pub event: ProcessEvent,
}

/// A delay of this process itself, caused by late scheduling.
#[derive(Clone, Copy, Debug)]
pub struct SchedulingDelay {
    /// Time at which the delay was noticed.
    pub at: Instant,
    /// Length of the delay.
    pub delay: Duration,
}

/// A fault that was injected, for the report.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// Time at which the fault began.
    pub at: Instant,
    /// Description of the fault.
    pub description: String,
}

/// Everything that has been observed so far.
#[derive(Debug, Default)]
pub struct History {
    /// Requests by ID.
    pub requests: HashMap<String, Request>,
    /// Attempts in the order in which they reached backends.
    pub attempts: Vec<Attempt>,
    /// Periods in which proxies must not send new attempts to a backend.
    pub out_of_service: Vec<OutOfService>,
    /// Times at which discovery recovered.
    pub discovery_recoveries: Vec<Instant>,
    /// Starts of backend processes, except the first of each backend.
    pub backend_starts: Vec<BackendStart>,
    /// Events of the proxies' processes.
    pub processes: Vec<ProcessRecord>,
    /// Delays of this process itself.
    pub scheduling_delays: Vec<SchedulingDelay>,
    /// Faults that were injected.
    pub faults: Vec<InjectedFault>,
}

/// Index of a period in [`History::out_of_service`].
#[derive(Clone, Copy, Debug)]
pub struct OutOfServiceIndex(usize);

/// Collects the observations of all parts of a fleet.
#[derive(Debug, Default)]
pub struct Recorder(Mutex<History>);

impl Recorder {
    /// Locks the history for reading or recording.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event of a proxy's process that happens now.
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

    /// Records the start of an out-of-service period.
    pub fn record_out_of_service(&self, period: OutOfService) -> OutOfServiceIndex {
        let mut history = self.history();
        history.out_of_service.push(period);
        OutOfServiceIndex(history.out_of_service.len() - 1)
    }

    /// Records that out-of-service periods end now.
    pub fn end_out_of_service(&self, periods: &[OutOfServiceIndex]) {
        let now = Instant::now();
        let mut history = self.history();
        for period in periods {
            history.out_of_service[period.0].until = Some(now);
        }
    }

    /// Records that discovery responds again from now on.
    pub fn record_discovery_recovery(&self) {
        self.history().discovery_recoveries.push(Instant::now());
    }

    /// Records a fault that begins now.
    pub fn record_fault(&self, description: String) {
        let fault = InjectedFault { at: Instant::now(), description };
        self.history().faults.push(fault);
    }
}
