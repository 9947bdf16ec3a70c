//! Clients: attempts at proxies, timeouts, answers and retries.

use leadrelay_core::{ClassId, Event as ProxyEvent, Millis, RequestId, TenantId, TimeoutAnnouncement};

use super::Simulation;
use super::event::{Answer, Event};
use crate::index::{AttemptIndex, BackendIndex, ClientAttemptIndex, IndexedVec, ProxyIndex, RequestIndex};
use crate::report::{RequestOutcome, RequestRecord, Rule};
use crate::workload::Workload;

/// Each further attempt of a request moves on by this fraction of the proxies: the golden ratio spreads them evenly.
const PROXY_STEP: f64 = 0.618;
/// The backoff doubles at most this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// A client waits no longer than this for a proxy's Retry-After.
const MAX_RETRY_AFTER: Millis = 2000.0;
/// A client does not retry with less time than this before its deadline.
const MIN_REMAINING: Millis = 50.0;

/// An attempt of a client at a proxy.
pub(super) struct ClientAttempt {
    pub(super) request: RequestIndex,
    pub(super) proxy: ProxyIndex,
    /// The incarnation of the proxy that it meets.
    pub(super) incarnation: u32,
    pub(super) sent_at: Millis,
    /// When the client gives it up.
    pub(super) deadline: Millis,
    /// The client still waits.
    pub(super) open: bool,
    /// The proxy has given its answer, or owes none any more.
    pub(super) answered: bool,
    /// The attempts that the proxy has made for it.
    pub(super) attempts: Vec<AttemptIndex>,
}

/// The state of a request.
#[derive(Clone, Copy, Default)]
pub(super) struct RequestProgress {
    pub(super) attempts: u32,
    pub(super) finished: bool,
    pub(super) within_quota: bool,
}

/// All clients.
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
    /// A request arrives; the next one is scheduled.
    pub(super) fn request_arrives(&mut self, request: RequestIndex) {
        let next = RequestIndex(request.0 + 1);
        if let Some(next_request) = self.workload.requests.get(next) {
            self.events.schedule_at(next_request.arrives_at, Event::RequestArrives(next));
        }
        let tenant = self.workload.requests[request].tenant;
        self.clients.requests[request].within_quota = self.quotas.take(self.now(), tenant);
        self.start_attempt(request);
    }

    /// A client sends an attempt.
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
            answered: false,
            attempts: Vec::new(),
        });
        let latency = self.network.client_latency();
        self.events.schedule_after(latency, Event::ReachesProxy(attempt));
        self.events.schedule_at(deadline, Event::ClientGivesUp(attempt));
    }

    /// When the client gives up an attempt that it sends now.
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

    pub(super) fn reaches_proxy(&mut self, index: ClientAttemptIndex) {
        if !self.clients.attempts[index].open {
            return; // its client has given up meanwhile
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

    /// The connection between a client and its proxy breaks.
    pub(super) fn break_connection(&mut self, index: ClientAttemptIndex) {
        self.clients.attempts[index].answered = true;
        self.send_to_client(index, Answer::ConnectionBroken);
    }

    /// An answer goes out to its client.
    pub(super) fn send_to_client(&mut self, index: ClientAttemptIndex, answer: Answer) {
        let latency = self.network.client_latency();
        self.events.schedule_after(latency, Event::ReachesClient(index, answer));
    }

    /// A client gives an attempt up: it has timed out, or the client disconnects.
    pub(super) fn client_gives_up(&mut self, index: ClientAttemptIndex) {
        if !self.clients.attempts[index].open {
            return;
        }
        self.clients.attempts[index].open = false;
        let request = self.clients.attempts[index].request;
        let disconnects = self.workload.requests[request].disconnects_after.is_some();
        let outcome =
            if disconnects { RequestOutcome::ClientDisconnected } else { self.observed_outcome(index) };
        if !self.clients.attempts[index].answered {
            self.close_unanswered(index, disconnects);
        }
        if disconnects {
            let proxy = self.clients.attempts[index].proxy;
            self.finish(request, outcome, proxy, None);
        } else {
            self.retry_or_finish(index, outcome, 0.0);
        }
    }

    /// A client closes the connection of an attempt that its proxy has not answered.
    fn close_unanswered(&mut self, index: ClientAttemptIndex, disconnects: bool) {
        let attempt = &mut self.clients.attempts[index];
        attempt.answered = true;
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

    pub(super) fn reaches_client(&mut self, index: ClientAttemptIndex, answer: Answer) {
        let attempt = &mut self.clients.attempts[index];
        if !std::mem::replace(&mut attempt.open, false) {
            return;
        }
        match answer {
            Answer::Served => self.finish_served(index),
            Answer::ConnectionBroken => self.retry_or_finish(index, RequestOutcome::ProxyDown, 0.0),
            Answer::Rejected { retry_after } => {
                let outcome = self.observed_outcome(index);
                self.retry_or_finish(index, outcome, retry_after);
            }
            Answer::Failed => {
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

    /// The client retries, if it has attempts and time left.
    fn retry_or_finish(&mut self, index: ClientAttemptIndex, outcome: RequestOutcome, retry_after: Millis) {
        let attempt = &self.clients.attempts[index];
        let request_index = attempt.request;
        let proxy = attempt.proxy;
        let request = &self.workload.requests[request_index];
        let attempts = self.clients.requests[request_index].attempts;
        let doublings = (attempts - 1).min(MAX_BACKOFF_DOUBLINGS);
        let mean_backoff = self.workload.retry_backoff * f64::from(1u32 << doublings);
        let backoff = mean_backoff * (0.5 + self.random.unit());
        let wait = backoff.max(retry_after.min(MAX_RETRY_AFTER));
        let request_deadline = request.arrives_at + self.workload.deadline(request.class);
        let has_time = self.now() + wait < request_deadline - MIN_REMAINING;
        if attempts <= self.workload.scenario.clients.max_retries && has_time {
            return self.events.schedule_after(wait, Event::RetryDue(request_index));
        }
        self.finish(request_index, outcome, proxy, self.last_backend(index));
    }

    /// The backend of the last attempt that the proxy has made for a client's.
    fn last_backend(&self, index: ClientAttemptIndex) -> Option<BackendIndex> {
        let last = self.clients.attempts[index].attempts.last()?;
        Some(self.attempts[*last].backend)
    }

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

    /// Finishes a request that no proxy has; it counts for the first one.
    fn finish_without_proxy(&mut self, request: RequestIndex, outcome: RequestOutcome) {
        self.finish(request, outcome, ProxyIndex(0), None);
    }

    /// Finishes what is still open at the end of the run: it waits for an answer that did not come in all this time.
    pub(super) fn finish_open_requests(&mut self) {
        for request in self.clients.requests.indices() {
            self.finish_without_proxy(request, RequestOutcome::QueuedAllBusy);
        }
    }
}

/// The number by which a proxy knows a client's attempt.
pub(super) fn request_id(index: ClientAttemptIndex) -> RequestId {
    RequestId(index.0 as u64)
}
