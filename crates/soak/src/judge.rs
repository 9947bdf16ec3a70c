//! Holds what was seen against what proxies promise.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::ledger::{Attempt, End, OutOfService, ProcessEvent, Request, Seen, Start};
use crate::settings::{COLD, Class, DEADLINE, DRAIN_GRACE, FALL, FALL_MULTIPLE, START_CAPACITY, WINDOW};

/// A promise, as it is judged from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// Each request gets one final answer in time.
    Answered,
    /// What may have run is repeated only as its class allows.
    NoSecondEffect,
    /// Backends that are out of service get nothing.
    Drained,
    /// Cold backends are not pushed over.
    SlowStart,
    /// Nothing begins for a client that has left.
    Cancelled,
    /// The time told to a backend is at most what the client has left.
    Deadline,
    /// Processes run, start and end as they should.
    Processes,
    /// The proxy's own count of violations is zero.
    OwnInvariants,
}

/// A broken promise.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// When, if that is one moment.
    pub at: Option<Instant>,
    /// What happened.
    pub what: String,
}

/// The verdict on a play.
#[derive(Debug)]
pub struct Report {
    /// What was broken.
    pub violations: Vec<Violation>,
    /// Counts, by name.
    pub counts: BTreeMap<&'static str, usize>,
    /// What was done, by the time since the first.
    pub troubles: Vec<(Duration, String)>,
    begun: Option<Instant>,
}

impl Report {
    /// Adds the proxies' own counts of violations that are not zero.
    pub fn add_figures(&mut self, lines: Vec<String>) {
        let broken = |what| Violation { promise: Promise::OwnInvariants, at: None, what };
        self.violations.extend(lines.into_iter().map(broken));
    }

    /// Adds that the fleet itself failed.
    pub fn add_failure(&mut self, what: &str) {
        self.violations.push(Violation { promise: Promise::Processes, at: None, what: what.to_owned() });
    }

    /// When a violation happened, in seconds since the first trouble.
    pub fn seconds(&self, violation: &Violation) -> Option<f64> {
        let (at, begun) = (violation.at?, self.begun?);
        Some(if at < begun { -(begun - at).as_secs_f64() } else { (at - begun).as_secs_f64() })
    }
}

/// What a proxy may be held up for, and so what all sends may be late by.
const HOLD: Duration = Duration::from_millis(150);
/// What measuring itself may take while nothing lags.
const MEASURE: Duration = Duration::from_millis(60);
/// An answer that is later than this is lost.
const LATE: Duration = Duration::from_millis(500);
/// An attempt may begin this long after its client has left.
const CANCEL_GRACE: Duration = Duration::from_millis(100);
/// A change that could be told counts as told after this span at the latest.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// How long a process may take to end once it is told to.
const END_LIMIT: Duration = Duration::from_millis(700);

/// Judges a play.
pub fn judge(seen: &Seen, backends: &[Arc<Backend>]) -> Report {
    let judge =
        Judge { seen, cells: backends.iter().map(|backend| backend.cell).collect(), of: by_request(seen) };
    let mut violations = Vec::new();
    for (id, request) in &seen.requests {
        judge.answered(id, request, &mut violations);
        judge.second_effect(id, request, &mut violations);
    }
    for attempt in &seen.attempts {
        let Some(request) = seen.requests.get(&attempt.id) else {
            let what = format!("backend {} got {:?}, which no client sent", attempt.backend, attempt.id);
            violations.push(Violation { promise: Promise::NoSecondEffect, at: Some(attempt.begun_at), what });
            continue;
        };
        judge.attempt(attempt, request, &mut violations);
    }
    seen.starts.iter().for_each(|start| judge.slow_start(start, &mut violations));
    judge.processes(&mut violations);
    violations.sort_by_key(|violation| (violation.promise, violation.at));
    let begun = seen.troubles.first().map(|(at, _)| *at);
    let troubles =
        seen.troubles.iter().map(|(at, what)| (*at - begun.unwrap_or(*at), what.clone())).collect();
    Report { violations, counts: counts(seen), troubles, begun }
}

fn by_request(seen: &Seen) -> HashMap<&str, Vec<&Attempt>> {
    let mut of: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &seen.attempts {
        of.entry(&attempt.id).or_default().push(attempt);
    }
    of
}

fn counts(seen: &Seen) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::from([("attempts", seen.attempts.len()), ("requests", seen.requests.len())]);
    for request in seen.requests.values() {
        let name = match &request.end {
            Some(End::Answered { status: 200, .. }) => "served",
            Some(End::Answered { status: 429 | 503, .. }) => "refused",
            Some(End::Answered { .. }) => "failed",
            Some(End::Broken { .. }) => "broken",
            Some(End::Closed { .. }) => "closed",
            Some(End::Unanswered) => "unanswered",
            None => "left or open",
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

struct Judge<'a> {
    seen: &'a Seen,
    /// The cell of each backend.
    cells: Vec<usize>,
    of: HashMap<&'a str, Vec<&'a Attempt>>,
}

impl Judge<'_> {
    /// By how much a time measured then may be off.
    fn slack(&self, at: Instant) -> Duration {
        let near = |other: Instant| other.max(at) - other.min(at) < Duration::from_secs(1);
        let lag = self.seen.lags.iter().filter(|(other, _)| near(*other)).map(|(_, lag)| *lag).max();
        MEASURE + lag.unwrap_or_default()
    }

    fn process_events(&self, proxy: usize) -> impl Iterator<Item = (Instant, &ProcessEvent)> {
        self.seen.processes.iter().filter(move |(p, ..)| *p == proxy).map(|(_, at, event)| (*at, event))
    }

    /// Whether a proxy was killed within a span, so that what it held is nobody's fault.
    fn killed_within(&self, proxy: usize, from: Instant, to: Instant) -> bool {
        let mut events = self.process_events(proxy);
        events.any(|(at, event)| matches!(event, ProcessEvent::Killed) && at >= from && at <= to)
    }

    /// Whether a proxy was about to end in a span.
    fn ending_within(&self, proxy: usize, from: Instant, to: Instant) -> bool {
        let ends_by = |at: Instant| at + DEADLINE + END_LIMIT;
        let mut events = self.process_events(proxy);
        events.any(|(at, event)| matches!(event, ProcessEvent::Terminated) && at <= to && ends_by(at) >= from)
    }

    fn answered(&self, id: &str, request: &Request, violations: &mut Vec<Violation>) {
        let (Some(sent_at), None) = (request.sent_at, request.left_at) else { return };
        let due = sent_at + request.timeout + LATE;
        let killed = |until| self.killed_within(request.proxy, request.begun_at, until);
        let attempted = self.of.get(id).is_some_and(|attempts| attempts.iter().any(|a| a.whole_at.is_some()));
        let (at, what) = match &request.end {
            Some(End::Answered { at, status }) if !request.reads_slowly && *at > due + self.slack(*at) => {
                let late = (*at - due).as_millis();
                (*at, format!("answered {status}, {late} ms too late"))
            }
            Some(End::Unanswered) if !killed(due) => (due, "never answered".to_owned()),
            Some(End::Closed { at }) if !killed(*at) => {
                // A connection that is closed between requests may cross the next one.
                let crossed = request.reused && !attempted;
                let turned_away = !attempted && self.ending_within(request.proxy, request.begun_at, *at);
                if crossed || turned_away {
                    return;
                }
                (*at, format!("closed without an answer, attempted {attempted}, reused {}", request.reused))
            }
            _ => return,
        };
        let what = format!("{id} ({:?}) at proxy {}: {what}", request.class, request.proxy);
        violations.push(Violation { promise: Promise::Answered, at: Some(at), what });
    }

    fn second_effect(&self, id: &str, request: &Request, violations: &mut Vec<Violation>) {
        let Some(attempts) = self.of.get(id) else { return };
        let mut whole: Vec<_> = attempts.iter().filter_map(|a| Some((a.whole_at?, *a))).collect();
        whole.sort_by_key(|(at, _)| *at);
        let Some((first_at, first)) = whole.iter().find(|(_, attempt)| attempt.ran).copied() else { return };
        for (at, attempt) in whole.iter().filter(|(at, attempt)| *at > first_at && attempt.ran) {
            let dropped = self.cells[attempt.backend] == self.cells[first.backend]
                && *at <= first_at + WINDOW + HOLD + self.slack(*at);
            let allowed = match request.class {
                Class::Read => true,
                Class::Booking => dropped,
                Class::Submit => false,
            };
            if !allowed {
                let after = (*at - first_at).as_millis();
                let what = format!(
                    "{id} ({:?}) ran at backend {} and again at {} {after} ms later",
                    request.class, first.backend, attempt.backend
                );
                violations.push(Violation { promise: Promise::NoSecondEffect, at: Some(*at), what });
            }
        }
    }

    fn attempt(&self, attempt: &Attempt, request: &Request, violations: &mut Vec<Violation>) {
        if attempt.queued {
            return; // when it was written is not known
        }
        let (at, id) = (attempt.begun_at, &attempt.id);
        let slack = self.slack(at);
        let mut broken = |promise, what| violations.push(Violation { promise, at: Some(at), what });
        if let Some(left_at) = request.left_at
            && at > left_at + CANCEL_GRACE + slack
        {
            let late = (at - left_at).as_millis();
            broken(Promise::Cancelled, format!("{id} began {late} ms after its client had left"));
        }
        // Until its last byte has been sent, a request's time has not begun.
        let sent_at = request.sent_at.unwrap_or(at);
        let left = (sent_at + request.timeout).saturating_duration_since(at.max(sent_at)) + HOLD + slack;
        if let Some(told) = attempt.timeout.filter(|told| *told > left.as_secs_f64()) {
            let what =
                format!("{id} told {told:.3} s to backend {}, at most {left:?} were left", attempt.backend);
            broken(Promise::Deadline, what);
        }
        for span in self.seen.out_of_service.iter().filter(|span| self.concerns(span, attempt, request)) {
            let told_at = self.told_at(span, request.proxy);
            let limit = told_at + DRAIN_GRACE + slack;
            if at > limit && self.until(span, request.proxy).is_none_or(|until| at < until) {
                let late = (at - told_at).as_millis();
                let by = if span.proxy.is_some() { "operators" } else { "discovery" };
                let what = format!(
                    "{id} of proxy {} began at backend {} {late} ms after {by} had taken it out of use",
                    request.proxy, attempt.backend
                );
                broken(Promise::Drained, what);
            }
        }
    }

    fn concerns(&self, span: &OutOfService, attempt: &Attempt, request: &Request) -> bool {
        span.backend == attempt.backend && span.proxy.is_none_or(|proxy| proxy == request.proxy)
    }

    /// Until when a span holds at a proxy.
    fn until(&self, span: &OutOfService, proxy: usize) -> Option<Instant> {
        let started = |event: &ProcessEvent| matches!(event, ProcessEvent::Started);
        let mut starts = self.process_events(proxy).filter(|(at, event)| *at > span.since && started(event));
        let restart = starts.next().filter(|_| span.ends_with_process).map(|(at, _)| at);
        [span.until, restart].into_iter().flatten().min()
    }

    /// When a span counts as told to a proxy: what discovery could not tell, some time after it could again.
    fn told_at(&self, span: &OutOfService, proxy: usize) -> Instant {
        if span.proxy.is_some() {
            return span.since;
        }
        let later = |at: &Instant| *at >= span.since;
        let returned = self.seen.discovery_up.iter().copied().filter(later).max();
        let restarts = self.process_events(proxy).filter(|(_, event)| matches!(event, ProcessEvent::Started));
        let restarted = restarts.map(|(at, _)| at).filter(later).max();
        let disturbed = [returned, restarted].into_iter().flatten().max();
        disturbed.map_or(span.since, |at| at + TOLD_AFTER)
    }

    /// A cold backend must not get more than so many requests in any span of a fall.
    fn slow_start(&self, start: &Start, violations: &mut Vec<Violation>) {
        let of_process = |a: &&Attempt| a.backend == start.backend && a.process == start.process;
        let mut calls: Vec<Instant> =
            self.seen.attempts.iter().filter(of_process).filter_map(|a| a.whole_at).collect();
        calls.sort();
        calls.retain(|at| *at < start.at + COLD);
        for (last, at) in calls.iter().enumerate() {
            let in_span = calls[..=last].iter().filter(|call| **call + FALL > *at).count();
            let age = (*at - start.at).as_secs_f64();
            let warmth = START_CAPACITY + (1.0 - START_CAPACITY) * age / COLD.as_secs_f64();
            let allowed = slow_start_limit(FALL_MULTIPLE * start.capacity * warmth * FALL.as_secs_f64());
            if in_span as f64 > allowed {
                let what = format!(
                    "backend {} got {in_span} requests within {FALL:?}, {age:.1} s after its start; {allowed:.0} allowed",
                    start.backend
                );
                violations.push(Violation { promise: Promise::SlowStart, at: Some(*at), what });
                return;
            }
        }
    }

    fn processes(&self, violations: &mut Vec<Violation>) {
        for (proxy, at, event) in &self.seen.processes {
            let (promise, what) = match event {
                ProcessEvent::Crashed(status) => (Promise::Processes, format!("ended by itself: {status}")),
                ProcessEvent::OverLimit(what) => (Promise::Processes, format!("over its limits: {what}")),
                ProcessEvent::Logged(line) => (Promise::OwnInvariants, line.clone()),
                _ => continue,
            };
            violations.push(Violation { promise, at: Some(*at), what: format!("proxy {proxy}: {what}") });
        }
    }
}

/// What a cold backend may get where its settings allow `calls`.
pub fn slow_start_limit(calls: f64) -> f64 {
    if calls < 30.0 { calls + 3.0 * calls.sqrt() + 3.0 } else { calls + 2.0 * calls.sqrt() + 2.0 }
}
