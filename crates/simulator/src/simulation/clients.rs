//! Clients: attempts at proxies, timeouts, responses and retries.

use leadrelay_core::{ClassId, Event as ProxyEvent, Millis, RequestId, TenantId, TimeoutAnnouncement};

use super::Simulation;
use super::event::{ClientResponse, Event};
use crate::index::{AttemptIndex, BackendIndex, ClientAttemptIndex, IndexedVec, ProxyIndex, RequestIndex};
use crate::report::{RequestOutcome, RequestRecord, Rule};
use crate::workload::Workload;

/// Fraction of the proxies by which each further attempt of a request advances. The golden ratio spreads the attempts
/// evenly.
const PROXY_STEP: f64 = 0.618;
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// Maximum time that a client waits because of a proxy's Retry-After.
const MAX_RETRY_AFTER: Millis = 2000.0;
/// Minimum time before the deadline with which a client still retries.
const MIN_RETRY_TIME: Millis = 50.0;

/// An attempt that a client makes at a proxy.
pub(super) struct ClientAttempt {
    pub(super) request: RequestIndex,
    pub(super) proxy: ProxyIndex,
    /// Incarnation of the proxy that receives the attempt.
    pub(super) incarnation: u32,
    pub(super) sent_at: Millis,
    /// Time at which the client gives the attempt up.
    pub(super) deadline: Millis,
    /// Whether the client still waits for a response.
    pub(super) open: bool,
    /// Whether the proxy has responded or no longer needs to respond.
    pub(super) responded: bool,
    /// The attempts at backends that the proxy has made for this attempt.
    pub(super) attempts: Vec<AttemptIndex>,
}

/// The progress of a request.
#[derive(Clone, Copy, Default)]
pub(super) struct RequestProgress {
    /// Number of attempts that the client has made.
    pub(super) attempts: u32,
    pub(super) finished: bool,
    /// Whether the request was within the quota of its tenant on arrival.
    pub(super) within_quota: bool,
}

/// The attempts and requests of all clients.
pub(super) struct Clients {
    pub(super) attempts: IndexedVec<ClientAttemptIndex, ClientAttempt>,
    pub(super) requests: IndexedVec<RequestIndex, RequestProgress>,
}

impl Clients {
    pub(super) fn new(workload: &Workload) -> Self {
        let requests = vec![RequestProgress::default(); workload.requests.len()].into();
        Clients { attempts: IndexedVec::default(), requests }
    }
}

impl Simulation<'_> {
    /// Handles the arrival of a request and schedules the next arrival.
    pub(super) fn request_arrives(&mut self, request: RequestIndex) {
        let next = RequestIndex(request.0 + 1);
        if let Some(next_request) = self.workload.requests.get(next) {
            self.events.schedule_at(next_request.arrives_at, Event::RequestArrives(next));
        }
        let tenant = self.workload.requests[request].tenant;
        self.clients.requests[request].within_quota = self.quotas.take(self.now(), tenant);
        self.start_attempt(request);
    }

    /// Sends the next attempt of a request from its client.
    pub(super) fn start_attempt(&mut self, index: RequestIndex) {
        let workload = self.workload;
        let request = &workload.requests[index];
        self.clients.requests[index].attempts += 1;
        self.recorder.counters.client_attempts += 1;
        let earlier_attempts = self.clients.requests[index].attempts - 1;
        let position = (request.proxy_position + PROXY_STEP * f64::from(earlier_attempts)).fract();
        let deadline = self.attempt_deadline(index);
        let now = self.now();
        let Some(proxy) = self.front.select(&self.proxies, now, request.zone, position) else {
            return self.finish_without_proxy(index, RequestOutcome::ProxyDown);
        };
        let attempt = self.clients.attempts.push(ClientAttempt {
            request: index,
            proxy,
            incarnation: self.proxies[proxy].incarnation,
            sent_at: now,
            deadline,
            open: true,
            responded: false,
            attempts: Vec::new(),
        });
        let latency = self.network.client_latency();
        self.events.schedule_after(latency, Event::ReachesProxy(attempt));
        self.events.schedule_at(deadline, Event::ClientGivesUp(attempt));
    }

    /// Returns the time at which the client gives up an attempt that it sends now.
    fn attempt_deadline(&self, index: RequestIndex) -> Millis {
        let request = &self.workload.requests[index];
        let time_to_deadline = self.workload.deadline(request.class);
        let request_deadline = request.arrives_at + time_to_deadline;
        let deadline = (self.now() + time_to_deadline * request.attempt_timeout).min(request_deadline);
        match request.disconnects_after {
            Some(fraction) => deadline.min(request.arrives_at + fraction * time_to_deadline),
            None => deadline,
        }
    }

    /// Handles the arrival of a client attempt at its proxy.
    pub(super) fn reaches_proxy(&mut self, index: ClientAttemptIndex) {
        if !self.clients.attempts[index].open {
            return; // the client has given up in the meantime
        }
        let proxy = self.clients.attempts[index].proxy;
        if !self.proxies[proxy].up {
            return self.break_connection(index);
        }
        let attempt = &mut self.clients.attempts[index];
        attempt.incarnation = self.proxies[proxy].incarnation;
        let deadline = attempt.deadline;
        let request = &self.workload.requests[attempt.request];
        let has_quotas = !self.workload.tenant_quotas.is_empty();
        let event = ProxyEvent::Request {
            id: request_id(index),
            class: ClassId(request.class.0),
            tenant: has_quotas.then_some(TenantId(request.tenant.0)),
            key: Some(request.key),
            timeout: deadline - self.now() - self.workload.latencies.client,
            announcement: TimeoutAnnouncement::Individual,
            expected_cost: None,
        };
        self.deliver(proxy, event);
    }

    /// Breaks the connection between a client and its proxy.
    pub(super) fn break_connection(&mut self, index: ClientAttemptIndex) {
        self.clients.attempts[index].responded = true;
        self.send_to_client(index, ClientResponse::ConnectionBroken);
    }

    /// Sends a response from a proxy to its client.
    pub(super) fn send_to_client(&mut self, index: ClientAttemptIndex, response: ClientResponse) {
        let latency = self.network.client_latency();
        self.events.schedule_after(latency, Event::ReachesClient(index, response));
    }

    /// Handles a client giving an attempt up, because of a timeout or because the client disconnects.
    pub(super) fn client_gives_up(&mut self, index: ClientAttemptIndex) {
        if !self.clients.attempts[index].open {
            return;
        }
        self.clients.attempts[index].open = false;
        let request = self.clients.attempts[index].request;
        let disconnects = self.workload.requests[request].disconnects_after.is_some();
        let outcome =
            if disconnects { RequestOutcome::ClientDisconnected } else { self.observed_outcome(index) };
        if !self.clients.attempts[index].responded {
            self.close_without_response(index, disconnects);
        }
        if disconnects {
            let proxy = self.clients.attempts[index].proxy;
            self.finish(request, outcome, proxy, None);
        } else {
            self.retry_or_finish(index, outcome, 0.0);
        }
    }

    /// Closes the connection of a client attempt that its proxy has not responded to.
    fn close_without_response(&mut self, index: ClientAttemptIndex, disconnects: bool) {
        let attempt = &mut self.clients.attempts[index];
        attempt.responded = true;
        let proxy = attempt.proxy;
        let incarnation = attempt.incarnation;
        let request = attempt.request;
        if !self.is_running(proxy, incarnation) {
            return;
        }
        if !disconnects {
            self.record_violation(
                Rule::AnswerBeforeTimeout,
                format!("request {request}, client attempt {index}"),
            );
        }
        self.deliver(proxy, ProxyEvent::ClientClosed(request_id(index)));
    }

    /// Handles the arrival of a response at its client.
    pub(super) fn reaches_client(&mut self, index: ClientAttemptIndex, response: ClientResponse) {
        let attempt = &mut self.clients.attempts[index];
        if !std::mem::replace(&mut attempt.open, false) {
            return;
        }
        match response {
            ClientResponse::Served => self.finish_served(index),
            ClientResponse::ConnectionBroken => self.retry_or_finish(index, RequestOutcome::ProxyDown, 0.0),
            ClientResponse::Rejected { retry_after } => {
                let outcome = self.observed_outcome(index);
                self.retry_or_finish(index, outcome, retry_after);
            }
            ClientResponse::Failed => {
                let outcome = self.observed_outcome(index);
                self.retry_or_finish(index, outcome, 0.0);
            }
        }
    }

    fn finish_served(&mut self, index: ClientAttemptIndex) {
        let attempt = &self.clients.attempts[index];
        let request = &self.workload.requests[attempt.request];
        let in_time = self.now() - request.arrives_at <= self.workload.latency_objective(request.class);
        let outcome = if in_time { RequestOutcome::Served } else { RequestOutcome::Late };
        self.finish(attempt.request, outcome, attempt.proxy, self.last_backend(index));
    }

    /// Schedules a retry if the client has attempts and time left; otherwise finishes the request.
    fn retry_or_finish(&mut self, index: ClientAttemptIndex, outcome: RequestOutcome, retry_after: Millis) {
        let attempt = &self.clients.attempts[index];
        let request_index = attempt.request;
        let proxy = attempt.proxy;
        let request = &self.workload.requests[request_index];
        let attempts = self.clients.requests[request_index].attempts;
        let doublings = (attempts - 1).min(MAX_BACKOFF_DOUBLINGS);
        let mean_backoff = self.workload.retry_backoff * f64::from(1u32 << doublings);
        let backoff = mean_backoff * (0.5 + self.random.uniform());
        let wait = backoff.max(retry_after.min(MAX_RETRY_AFTER));
        let request_deadline = request.arrives_at + self.workload.deadline(request.class);
        let has_time = self.now() + wait < request_deadline - MIN_RETRY_TIME;
        if attempts <= self.workload.scenario.clients.max_retries && has_time {
            return self.events.schedule_after(wait, Event::RetryDue(request_index));
        }
        self.finish(request_index, outcome, proxy, self.last_backend(index));
    }

    /// Returns the backend of the last attempt that the proxy has made for a client attempt.
    fn last_backend(&self, index: ClientAttemptIndex) -> Option<BackendIndex> {
        let last = self.clients.attempts[index].attempts.last()?;
        Some(self.attempts[*last].backend)
    }

    /// Records the outcome of a request, unless the request is already finished.
    fn finish(
        &mut self, request: RequestIndex, outcome: RequestOutcome, proxy: ProxyIndex,
        backend: Option<BackendIndex>,
    ) {
        let progress = &mut self.clients.requests[request];
        if std::mem::replace(&mut progress.finished, true) {
            return;
        }
        let within_quota = progress.within_quota;
        self.recorder.requests.push(RequestRecord { request, outcome, proxy, backend, within_quota });
    }

    /// Finishes a request that no proxy handles; it is recorded for the first proxy.
    fn finish_without_proxy(&mut self, request: RequestIndex, outcome: RequestOutcome) {
        self.finish(request, outcome, ProxyIndex(0), None);
    }

    /// Finishes the requests that are still open at the end of the run, whose clients have not received a response.
    pub(super) fn finish_open_requests(&mut self) {
        for request in self.clients.requests.indices() {
            self.finish_without_proxy(request, RequestOutcome::QueuedAllBusy);
        }
    }
}

/// Returns the identifier that a proxy uses for a client attempt.
pub(super) fn request_id(index: ClientAttemptIndex) -> RequestId {
    RequestId(index.0 as u64)
}
