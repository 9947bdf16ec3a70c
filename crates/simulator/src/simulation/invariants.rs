//! Checks of sends and responses against the rules.

use leadrelay_core::Millis;

use super::Simulation;
use super::event::ClientResponse;
use crate::index::{BackendIndex, ClientAttemptIndex, ProxyIndex};
use crate::report::{Rule, Violation};
use crate::scenario::RequestIdempotency;
use crate::settings::{DEDUPLICATION_WINDOW, MAX_ATTEMPTS};

impl Simulation<'_> {
    pub(super) fn record_violation(&mut self, rule: Rule, details: String) {
        self.recorder.violations.push(Violation { rule, at: self.now(), details });
    }

    /// Checks a send against the rules on attempts.
    pub(super) fn check_send(&mut self, index: ClientAttemptIndex, backend: BackendIndex) {
        let details = format!("client attempt {index}, backend {backend}");
        let attempts = &self.clients.attempts[index].attempts;
        let has_attempt_in_flight = attempts.iter().any(|attempt| !self.attempts[*attempt].ended);
        let is_attempt_limit_reached = attempts.len() >= MAX_ATTEMPTS;
        if has_attempt_in_flight {
            self.record_violation(Rule::OneAttemptInFlight, details.clone());
        }
        if is_attempt_limit_reached {
            self.record_violation(Rule::MaxAttempts, details.clone());
        }
        if !self.may_execute(index, backend) {
            self.record_violation(Rule::IdempotentRetries, details);
        }
    }

    /// Whether a request may be executed at a backend, given its earlier attempts and its idempotency.
    fn may_execute(&self, index: ClientAttemptIndex, backend: BackendIndex) -> bool {
        let client_attempt = &self.clients.attempts[index];
        let mut attempts = client_attempt.attempts.iter().map(|attempt| &self.attempts[*attempt]);
        let Some(first) = attempts.find(|attempt| attempt.may_have_run) else { return true };
        let class = self.workload.requests[client_attempt.request].class;
        match self.workload.idempotency(class) {
            RequestIdempotency::Idempotent => true,
            RequestIdempotency::NotIdempotent => false,
            RequestIdempotency::WithKey => {
                let first_cell = self.backends[first.backend].machine.cell;
                let is_same_cell = first_cell == self.backends[backend].machine.cell;
                is_same_cell && self.now() - first.sent_at <= DEDUPLICATION_WINDOW
            }
        }
    }

    /// Checks a send against the drain rule, which applies to the time of its first byte.
    pub(super) fn check_drain(&mut self, proxy: ProxyIndex, backend: BackendIndex, first_byte: Millis) {
        if let Err(violation) = self.drain_rule.check(proxy, backend, first_byte) {
            self.record_violation(Rule::NoSendAfterDrain, violation.to_string());
        }
    }

    /// Checks that a rejected request was not executed, unless it is idempotent.
    pub(super) fn check_response(&mut self, index: ClientAttemptIndex, response: ClientResponse) {
        let client_attempt = &self.clients.attempts[index];
        let class = self.workload.requests[client_attempt.request].class;
        let may_have_run = client_attempt.attempts.iter().any(|attempt| self.attempts[*attempt].may_have_run);
        let is_idempotent = self.workload.idempotency(class) == RequestIdempotency::Idempotent;
        if matches!(response, ClientResponse::Rejected { .. }) && may_have_run && !is_idempotent {
            self.record_violation(Rule::RejectOnlyUnexecuted, format!("client attempt {index}"));
        }
    }
}
