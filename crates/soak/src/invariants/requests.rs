//! Checks of whole requests: each gets its response in time and takes effect at most as often as its class allows.

use std::time::Instant;

use super::evidence::Evidence;
use super::{Invariant, MAX_PAUSE, MAX_RESPONSE_DELAY, Violation};
use crate::history::{Attempt, Request, RequestOutcome};
use crate::settings::{IDEMPOTENCY_WINDOW, RequestClass};

/// Checks that a request got one final response in time.
pub(super) fn check_answered(evidence: &Evidence, id: &str, request: &Request) -> Option<Violation> {
    let sent_at = request.sent_at?;
    if request.cancelled_at.is_some() {
        return None;
    }
    let due_at = sent_at + request.timeout + MAX_RESPONSE_DELAY;
    let was_killed_before = |until| evidence.killed_within(request.proxy, request.started_at, until);
    let (at, description) = match request.outcome.as_ref()? {
        RequestOutcome::Answered { at, status } => {
            if request.reads_slowly || *at <= due_at + evidence.tolerance(*at) {
                return None;
            }
            let late = (*at - due_at).as_millis();
            (*at, format!("got status {status}, {late} ms too late"))
        }
        RequestOutcome::Unanswered if !was_killed_before(due_at) => (due_at, "got no response".to_owned()),
        RequestOutcome::Closed { at } if !was_killed_before(*at) => {
            (*at, unexpected_close(evidence, id, request, *at)?)
        }
        _ => return None,
    };
    let description = format!("{id} ({:?}) at proxy {}: {description}", request.class, request.proxy);
    Some(Violation::at(Invariant::Answered, at, description))
}

/// Describes a close without a response; `None` if the close is allowed. It is allowed if no attempt reached a backend
/// and either the connection was reused (the proxy may have closed it as idle while the request was on its way) or the
/// proxy was terminating (a terminating proxy need not read further requests).
fn unexpected_close(evidence: &Evidence, id: &str, request: &Request, at: Instant) -> Option<String> {
    let attempted = evidence.attempts(id).iter().any(|attempt| attempt.received_at.is_some());
    let terminating = evidence.terminating_within(request.proxy, request.started_at, at);
    if !attempted && (request.connection_reused || terminating) {
        return None;
    }
    let reused = request.connection_reused;
    Some(format!("connection closed without a response, attempted {attempted}, reused {reused}"))
}

/// Checks that a request that may have run was not run again, except as its class allows.
pub(super) fn check_single_effect(evidence: &Evidence, id: &str, request: &Request) -> Vec<Violation> {
    let mut received: Vec<(Instant, &Attempt)> = Vec::new();
    for attempt in evidence.attempts(id) {
        if let Some(at) = attempt.received_at.filter(|_| attempt.may_have_run) {
            received.push((at, attempt));
        }
    }
    received.sort_by_key(|(at, _)| *at);
    let Some((first_at, first)) = received.first().copied() else { return Vec::new() };
    let mut violations = Vec::new();
    for (at, attempt) in received.into_iter().filter(|(at, _)| *at > first_at) {
        let same_cell = evidence.cells[attempt.backend] == evidence.cells[first.backend];
        let window_end = first_at + IDEMPOTENCY_WINDOW + MAX_PAUSE + evidence.tolerance(at);
        let is_allowed = match request.class {
            RequestClass::Read => true,
            RequestClass::Booking => same_cell && at <= window_end,
            RequestClass::Submit => false,
        };
        if !is_allowed {
            let description = format!(
                "{id} ({:?}) ran at backend {} and again at {} {} ms later",
                request.class,
                first.backend,
                attempt.backend,
                (at - first_at).as_millis()
            );
            violations.push(Violation::at(Invariant::NoSecondEffect, at, description));
        }
    }
    violations
}
