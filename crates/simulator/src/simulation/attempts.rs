//! Attempts of proxies at backends: connections, sends and outcomes.

use leadrelay_core::{Event as ProxyEvent, Millis, Outcome};

use super::Simulation;
use super::clients::request_id;
use super::event::{ClientResponse, Event};
use crate::index::{AttemptIndex, BackendIndex, ClientAttemptIndex, ProxyIndex};
use crate::report::RequestOutcome;

/// An attempt that a proxy makes at a backend.
pub(super) struct Attempt {
    pub(super) client_attempt: ClientAttemptIndex,
    /// Number of the attempt among those for the same client attempt, counted from 0.
    number: u32,
    pub(super) backend: BackendIndex,
    /// Incarnation of the proxy that made the attempt.
    pub(super) incarnation: u32,
    pub(super) sent_at: Millis,
    /// Work of the request on a standard core.
    pub(super) work: Millis,
    /// Whether the proxy has seen the end of the attempt.
    pub(super) ended: bool,
    /// Whether the backend may have executed the request, as far as the proxy can tell.
    pub(super) may_have_run: bool,
    /// Whether the proxy had been notified of the backend's last start when it sent the attempt.
    pub(super) knows_start: bool,
    /// The outcome according to the true state, once it is known.
    pub(super) observed: Option<RequestOutcome>,
}

impl Simulation<'_> {
    /// Sends an attempt of a proxy to a backend.
    pub(super) fn send(
        &mut self, proxy: ProxyIndex, client_attempt: ClientAttemptIndex, backend: BackendIndex,
        timeout: Option<Millis>,
    ) {
        self.check_send(client_attempt, backend);
        self.recorder.counters.attempts += 1;
        let attempt = self.create_attempt(proxy, client_attempt, backend);
        self.schedule_timeout(attempt, timeout);
        let proxy_zone = self.proxies[proxy].zone;
        let backend_zone = self.backends[backend].machine.zone;
        self.recorder.counters.cross_zone_attempts += u64::from(proxy_zone != backend_zone);
        let latency = self.network.zone_latency(proxy_zone, backend_zone);
        let reuses_connection = self.proxies[proxy].take_idle_connection(backend);
        let is_partitioned = self.network.is_partitioned(proxy_zone, backend_zone);
        let target = &self.backends[backend];
        let has_connections = target.connections < target.machine.max_connections;
        let is_accepted = !is_partitioned && target.up && has_connections;
        let handshake = 2.0 * self.workload.scenario.network.handshake.round_trips * latency;
        // A send that never gets a connection is checked with the time of the decision.
        let opens_connection = is_accepted && !reuses_connection;
        let first_byte = if opens_connection { self.now() + handshake } else { self.now() };
        self.check_drain(proxy, backend, first_byte);
        match (is_partitioned, reuses_connection) {
            // On an open connection the request is lost without a notification to the proxy.
            (true, true) => {}
            (true, false) => self.connect_times_out(attempt),
            (false, true) => self.events.schedule_after(latency, Event::ReachesBackend(attempt)),
            (false, false) if is_accepted => {
                self.open_connection(backend);
                self.events.schedule_after(latency + handshake, Event::ReachesBackend(attempt));
            }
            (false, false) => self.connect_is_refused(attempt, latency),
        }
    }

    fn create_attempt(
        &mut self, proxy: ProxyIndex, client_attempt: ClientAttemptIndex, backend: BackendIndex,
    ) -> AttemptIndex {
        let now = self.now();
        let parent = &mut self.clients.attempts[client_attempt];
        let known_start = self.proxies[proxy].known_starts.get(&backend);
        let attempt = self.attempts.push(Attempt {
            client_attempt,
            number: parent.attempts.len() as u32,
            backend,
            incarnation: self.proxies[proxy].incarnation,
            sent_at: now,
            work: self.workload.requests[parent.request].work,
            ended: false,
            may_have_run: true,
            knows_start: known_start == Some(&self.backends[backend].started_at),
            observed: None,
        });
        parent.attempts.push(attempt);
        attempt
    }

    /// Schedules the timeout of an attempt, when the proxy or the client gives it up, whichever comes first.
    fn schedule_timeout(&mut self, attempt: AttemptIndex, timeout: Option<Millis>) {
        let client_attempt = self.attempts[attempt].client_attempt;
        let deadline = self.clients.attempts[client_attempt].deadline - self.workload.latencies.client;
        let at = timeout.map_or(deadline, |timeout| deadline.min(self.now() + timeout));
        self.events.schedule_at(at, Event::AttemptEnded(attempt, Outcome::TimedOut));
    }

    fn connect_times_out(&mut self, attempt: AttemptIndex) {
        self.attempts[attempt].observed = Some(RequestOutcome::NetworkPartition);
        let timeout = self.workload.scenario.network.connect_timeout_ms;
        self.events.schedule_after(timeout, Event::AttemptEnded(attempt, Outcome::ConnectFailed));
    }

    fn connect_is_refused(&mut self, attempt: AttemptIndex, latency: Millis) {
        let is_up = self.backends[self.attempts[attempt].backend].up;
        let observed = if is_up { RequestOutcome::BackendFull } else { RequestOutcome::BackendDown };
        self.attempts[attempt].observed = Some(observed);
        let round_trip = 2.0 * latency;
        self.events.schedule_after(round_trip, Event::AttemptEnded(attempt, Outcome::ConnectFailed));
    }

    fn open_connection(&mut self, backend: BackendIndex) {
        let now = self.now();
        self.recorder.counters.handshakes += 1;
        self.backends[backend].connections += 1;
        self.backends[backend].add_work(now, self.workload.handshake_work);
        self.backend_changed(backend);
    }

    /// Handles the end of an attempt reaching its proxy.
    pub(super) fn attempt_ended(&mut self, index: AttemptIndex, outcome: Outcome) {
        let attempt = &self.attempts[index];
        let client_attempt = attempt.client_attempt;
        let proxy = self.clients.attempts[client_attempt].proxy;
        if attempt.ended || !self.is_running(proxy, attempt.incarnation) {
            return;
        }
        let needs_network = !matches!(outcome, Outcome::TimedOut | Outcome::ConnectFailed);
        if needs_network && self.is_attempt_partitioned(index) {
            return; // the response is lost: the attempt times out
        }
        if attempt.observed.is_none() && outcome == Outcome::TimedOut {
            self.attempts[index].observed = Some(self.outcome_without_response(attempt));
        }
        self.attempts[index].ended = true;
        self.attempts[index].may_have_run = outcome.may_have_run();
        self.release_connection(proxy, index, outcome);
        let finished = self.respond_if_served(client_attempt, outcome);
        let attempt = &self.attempts[index];
        let event = ProxyEvent::Ended {
            request: request_id(client_attempt),
            attempt: attempt.number,
            latency: self.now() - attempt.sent_at,
            outcome,
            finished,
        };
        self.deliver(proxy, event);
    }

    /// Whether a partition separates an attempt's proxy from its backend.
    pub(super) fn is_attempt_partitioned(&self, index: AttemptIndex) -> bool {
        let attempt = &self.attempts[index];
        let proxy = self.clients.attempts[attempt.client_attempt].proxy;
        let backend_zone = self.backends[attempt.backend].machine.zone;
        self.network.is_partitioned(self.proxies[proxy].zone, backend_zone)
    }

    /// Returns the connection to the idle ones after a response; closes it after a timeout.
    fn release_connection(&mut self, proxy: ProxyIndex, index: AttemptIndex, outcome: Outcome) {
        let backend = self.attempts[index].backend;
        match outcome {
            Outcome::Served | Outcome::Error | Outcome::Rejected => {
                *self.proxies[proxy].idle_connections.entry(backend).or_default() += 1;
            }
            Outcome::TimedOut => {
                let connections = &mut self.backends[backend].connections;
                *connections = connections.saturating_sub(1);
            }
            Outcome::ConnectFailed | Outcome::Reset | Outcome::Cancelled | Outcome::Withdrawn => {}
        }
    }

    /// Passes the response of a served attempt on; returns whether the client attempt has been responded to.
    fn respond_if_served(&mut self, index: ClientAttemptIndex, outcome: Outcome) -> bool {
        if self.clients.attempts[index].responded {
            return true;
        }
        if outcome != Outcome::Served {
            return false;
        }
        self.clients.attempts[index].responded = true;
        self.send_to_client(index, ClientResponse::Served);
        true
    }
}
