//! Backends: arriving and completed requests, and the starts and stops of the processes.

use leadrelay_core::{EndpointState, Millis, Outcome};

use super::Simulation;
use super::event::Event;
use crate::backend::{Admission, Backend, OverloadLimit};
use crate::index::{AttemptIndex, BackendIndex};
use crate::policy::TrueState;
use crate::report::{RequestOutcome, Rule};
use crate::slow_start::ReceivedRequest;

/// Time between the start of the drain of a replaced backend and its removal.
const DRAIN_PERIOD: Millis = 3000.0;
/// Time that a backend with a fault takes to respond with an error.
const FAILURE_LATENCY: Millis = 1.0;

impl Simulation<'_> {
    /// Copies the true state for policies that see it with a delay.
    pub(super) fn take_snapshot(&mut self) {
        self.delayed_state = std::mem::take(&mut self.true_state);
        self.rebuild_true_state();
    }

    /// Computes the true state of all backends from scratch.
    pub(super) fn rebuild_true_state(&mut self) {
        self.true_state = TrueState::default();
        for backend in self.backends.indices() {
            self.true_state.push_backend();
            self.update_true_state(backend);
        }
    }

    /// Updates the true state of one backend.
    pub(super) fn update_true_state(&mut self, index: BackendIndex) {
        let backend = &self.backends[index];
        let capacity = if backend.can_serve() { backend.capacity(self.now()) } else { 0.0 };
        self.true_state.in_flight[index] = backend.in_flight() as f64;
        self.true_state.capacity[index] = capacity;
    }

    /// Updates the true state of a backend after a change and reschedules its next completion.
    pub(super) fn backend_changed(&mut self, index: BackendIndex) {
        self.update_true_state(index);
        let backend = &self.backends[index];
        let generation = backend.generation;
        if let Some(at) = backend.next_completion(self.now()) {
            self.events.schedule_at(at, Event::BackendCompletes { backend: index, generation });
        }
    }

    /// Samples the one-way latency between an attempt's proxy and its backend.
    fn attempt_latency(&mut self, index: AttemptIndex) -> Millis {
        let attempt = &self.attempts[index];
        let proxy = self.clients.attempts[attempt.client_attempt].proxy;
        let backend_zone = self.backends[attempt.backend].machine.zone;
        self.network.zone_latency(self.proxies[proxy].zone, backend_zone)
    }

    /// Handles the arrival of an attempt at its backend.
    pub(super) fn reaches_backend(&mut self, index: AttemptIndex) {
        let backend = self.attempts[index].backend;
        let latency = self.attempt_latency(index);
        if self.is_attempt_partitioned(index) {
            return; // the request is lost
        }
        if self.backends[backend].up {
            self.check_slow_start(index);
        }
        let failure_rate = self.backends[backend].failure_rate;
        if self.backends[backend].up && failure_rate > 0.0 && self.random.chance(failure_rate) {
            self.attempts[index].observed = Some(RequestOutcome::BackendUnhealthy);
            let ended = Event::AttemptEnded(index, Outcome::Error);
            return self.events.schedule_after(FAILURE_LATENCY + latency, ended);
        }
        match self.admit(index) {
            Admission::Accepted => self.backend_changed(backend),
            Admission::Rejected => {
                self.attempts[index].observed = Some(RequestOutcome::BackendFull);
                self.events.schedule_after(latency, Event::AttemptEnded(index, Outcome::Rejected));
            }
            Admission::Unresponsive => {}
            Admission::Down => {
                self.attempts[index].observed = Some(RequestOutcome::BackendDown);
                self.events.schedule_after(latency, Event::AttemptEnded(index, Outcome::ConnectFailed));
            }
        }
    }

    fn admit(&mut self, index: AttemptIndex) -> Admission {
        let now = self.now();
        let attempt = &self.attempts[index];
        let request = self.clients.attempts[attempt.client_attempt].request;
        let key = self.workload.requests[request].key;
        self.backends[attempt.backend].arrive(now, index, attempt.work, key)
    }

    /// Records a request that reaches a backend in slow start; an overload crashes the backend.
    fn check_slow_start(&mut self, index: AttemptIndex) {
        let now = self.now();
        let workload = self.workload;
        let attempt = &self.attempts[index];
        let request = self.clients.attempts[attempt.client_attempt].request;
        let class = workload.requests[request].class;
        let backend = attempt.backend;
        let received = ReceivedRequest { at: now, backend, class, sender_was_notified: attempt.knows_start };
        self.slow_start.record(workload, &self.backends[backend], received);
        // The rule counts the mean work of the class, because no proxy can know the work of a single request; the rule
        // leaves slack for the difference.
        let mean_work = workload.mean_work_by_class[class];
        let rule = &workload.scenario.slow_start;
        let limit = OverloadLimit { multiple: rule.overload_multiple, window: rule.overload_window() };
        if self.backends[backend].record_slow_start_work(now, mean_work, limit) {
            let overload = self.backends[backend].describe_overload();
            self.record_violation(Rule::NoSlowStartOverload, format!("backend {backend}: {overload}"));
            self.backend_stops(backend);
        }
    }

    /// Completes a request at a backend, unless the backend has changed since the completion was scheduled.
    pub(super) fn backend_completes(&mut self, index: BackendIndex, generation: u64) {
        if self.backends[index].generation != generation {
            return;
        }
        let now = self.now();
        let Some(completed) = self.backends[index].complete_next(now) else { return };
        self.backend_changed(index);
        if !self.is_awaited(completed) {
            self.recorder.counters.wasted_work += self.attempts[completed].work;
        }
        let is_error = self.random.chance(self.backends[index].machine.error_rate);
        if is_error {
            self.attempts[completed].observed = Some(RequestOutcome::BackendError);
        }
        let outcome = if is_error { Outcome::Error } else { Outcome::Served };
        let latency = self.attempt_latency(completed);
        self.events.schedule_after(latency, Event::AttemptEnded(completed, outcome));
    }

    /// Whether the proxy and the client still wait for the response to an attempt.
    fn is_awaited(&self, index: AttemptIndex) -> bool {
        let attempt = &self.attempts[index];
        let client_attempt = &self.clients.attempts[attempt.client_attempt];
        let is_running = self.is_running(client_attempt.proxy, attempt.incarnation);
        !attempt.ended && !client_attempt.responded && is_running
    }

    /// Stops the process of a backend, which breaks its connections.
    pub(super) fn backend_stops(&mut self, index: BackendIndex) {
        let now = self.now();
        for attempt in self.backends[index].crash(now) {
            self.attempts[attempt].observed = Some(RequestOutcome::BackendDown);
            let latency = self.attempt_latency(attempt);
            self.events.schedule_after(latency, Event::AttemptEnded(attempt, Outcome::Reset));
        }
        for proxy in self.proxies.iter_mut() {
            proxy.idle_connections.remove(&index);
        }
        self.update_true_state(index);
    }

    /// Stops the process of a backend and removes the backend from the endpoint list.
    pub(super) fn backend_removed(&mut self, index: BackendIndex) {
        self.backend_stops(index);
        self.announce(index, EndpointState::Removed);
    }

    /// Starts a new process of a backend.
    pub(super) fn backend_restarts(&mut self, index: BackendIndex) {
        let now = self.now();
        self.backends[index].start(now);
        self.update_true_state(index);
        self.announce(index, EndpointState::Up);
    }

    /// Replaces a backend by a new one: the old one drains while the new one is in slow start.
    pub(super) fn backend_replaced(&mut self, index: BackendIndex) {
        let now = self.now();
        self.backends[index].draining = true;
        self.update_true_state(index);
        self.announce(index, EndpointState::Draining);
        self.events.schedule_after(DRAIN_PERIOD, Event::BackendRemoved(index));
        let mut successor = Backend::new(self.backends[index].machine.clone());
        successor.start(now);
        let successor = self.backends.push(successor);
        self.true_state.push_backend();
        self.delayed_state.push_backend();
        self.update_true_state(successor);
        self.announce(successor, EndpointState::Up);
    }
}
