//! Checks of single attempts: none begins for a cancelled request, none grants more time than the client has left, and
//! none goes to a backend that is out of service.

use std::time::Instant;

use super::evidence::Evidence;
use super::{CANCEL_GRACE, Invariant, MAX_PAUSE, Violation};
use crate::history::{Attempt, OutOfService, Request};
use crate::settings::DRAIN_GRACE;

/// Checks a single attempt against all invariants that concern attempts.
pub(super) fn check(evidence: &Evidence, attempt: &Attempt) -> Vec<Violation> {
    let Some(request) = evidence.history.requests.get(&attempt.request_id) else {
        let description =
            format!("backend {} received {:?}, which no client sent", attempt.backend, attempt.request_id);
        return vec![Violation::at(Invariant::NoSecondEffect, attempt.started_at, description)];
    };
    if attempt.may_have_queued {
        return Vec::new(); // the time at which the proxy wrote the attempt is unknown
    }
    let mut violations = Vec::new();
    violations.extend(check_cancelled(evidence, attempt, request));
    violations.extend(check_deadline(evidence, attempt, request));
    for period in &evidence.history.out_of_service {
        violations.extend(check_drained(evidence, attempt, request, period));
    }
    violations
}

fn check_cancelled(evidence: &Evidence, attempt: &Attempt, request: &Request) -> Option<Violation> {
    let at = attempt.started_at;
    let cancelled_at = request.cancelled_at?;
    if at <= cancelled_at + CANCEL_GRACE + evidence.tolerance(at) {
        return None;
    }
    let late = (at - cancelled_at).as_millis();
    let description = format!("{} began {late} ms after its client had cancelled it", attempt.request_id);
    Some(Violation::at(Invariant::Cancelled, at, description))
}

fn check_deadline(evidence: &Evidence, attempt: &Attempt, request: &Request) -> Option<Violation> {
    let at = attempt.started_at;
    // The timeout of a request counts from the time at which its last byte was sent.
    let sent_at = request.sent_at.unwrap_or(at);
    let left = (sent_at + request.timeout).saturating_duration_since(at.max(sent_at));
    let limit = left + MAX_PAUSE + evidence.tolerance(at);
    let timeout = attempt.timeout.filter(|timeout| *timeout > limit.as_secs_f64())?;
    let description = format!(
        "{} allowed backend {} {timeout:.3} s, but at most {limit:?} were left",
        attempt.request_id, attempt.backend
    );
    Some(Violation::at(Invariant::Deadline, at, description))
}

fn check_drained(
    evidence: &Evidence, attempt: &Attempt, request: &Request, period: &OutOfService,
) -> Option<Violation> {
    if !applies_to(period, attempt, request) {
        return None;
    }
    let at = attempt.started_at;
    let notified_at = evidence.notified_at(period, request.proxy);
    let limit = notified_at + DRAIN_GRACE + evidence.tolerance(at);
    let in_service_again = |until: Instant| at >= until;
    if at <= limit || evidence.in_service_at(period, request.proxy).is_some_and(in_service_again) {
        return None;
    }
    let source = if period.proxy.is_some() { "operators" } else { "discovery" };
    let description = format!(
        "{} of proxy {} began at backend {} {} ms after {source} had taken it out of service",
        attempt.request_id,
        request.proxy,
        attempt.backend,
        (at - notified_at).as_millis()
    );
    Some(Violation::at(Invariant::Drained, at, description))
}

fn applies_to(period: &OutOfService, attempt: &Attempt, request: &Request) -> bool {
    period.backend == attempt.backend && period.proxy.is_none_or(|proxy| proxy == request.proxy)
}
