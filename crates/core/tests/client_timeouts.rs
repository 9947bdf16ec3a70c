//! How long the client of a slowly written request is taken to wait.
mod common;
use common::*;
use leadrelay_core::*;

/// What clients usually announce, and what impatient ones do.
const LONG: Millis = 850.0;
const SHORT: Millis = 146.0;
/// Announcements by which a slowly written request is judged.
const ANNOUNCEMENTS: u64 = 3;
/// An announcement counts for this long.
const MAX_AGE: Millis = 5000.0;

/// A request of a class and a tenant.
fn request_of(id: u64, class: usize, tenant: usize, timeout: Millis, evidence: TimeoutEvidence) -> Event {
    Event::Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: Some(TenantId(tenant)),
        key: None,
        timeout,
        timeout_evidence: evidence,
        expected_cost: None,
    }
}

fn typical(id: u64, timeout: Millis) -> Event {
    request_of(id, 0, 0, timeout, TimeoutEvidence::Typical)
}

fn slow(id: u64) -> Event {
    request_of(id, 0, 0, LONG, TimeoutEvidence::Doubtful)
}

/// A proxy for two tenants, whose one endpoint takes no further request.
fn busy_harness() -> Harness {
    let tenant = || Tenant { quota_per_second: 1e6 };
    let with_tenants = Settings { tenants: vec![tenant(), tenant()], ..settings(1) };
    let mut harness = Harness::new(with_tenants, vec![endpoint(1)]);
    let held = burst(&mut harness, 1000, 40);
    assert!((1..40).contains(&held.len()), "the endpoint is busy with {}", held.len());
    harness
}

/// Lets clients announce timeouts.
fn announce(harness: &mut Harness, events: impl IntoIterator<Item = Event>) {
    for event in events {
        harness.handle(event);
    }
}

/// Whether a request is rejected within `span`.
fn is_rejected_within(harness: &mut Harness, id: u64, span: Millis) -> bool {
    let is_rejection = |action: &Action| matches!(action, Action::Reject { request, .. } if request.0 == id);
    harness.advance(span).iter().any(is_rejection)
}

/// Whether a slowly written request is rejected by the time that impatient clients wait.
fn is_judged_impatient(harness: &mut Harness) -> bool {
    harness.handle(slow(1));
    is_rejected_within(harness, 1, SHORT)
}

#[test]
fn slow_request_is_rejected_by_the_timeout_that_others_announce() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, SHORT)));
    assert!(is_judged_impatient(&mut harness));
}

#[test]
fn single_announcement_counts_as_long_as_there_is_no_other() {
    let mut harness = busy_harness();
    announce(&mut harness, [typical(10, SHORT)]);
    assert!(is_judged_impatient(&mut harness));
}

#[test]
fn slow_request_keeps_its_timeout_without_announcements() {
    let mut harness = busy_harness();
    assert!(!is_judged_impatient(&mut harness));
    assert!(is_rejected_within(&mut harness, 1, LONG - SHORT));
}

#[test]
fn slow_request_keeps_its_timeout_if_others_announce_the_same() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, LONG)));
    assert!(!is_judged_impatient(&mut harness));
}

#[test]
fn slow_request_keeps_its_timeout_if_others_disagree() {
    let mut harness = busy_harness();
    announce(&mut harness, [typical(10, SHORT), typical(11, LONG), typical(12, SHORT)]);
    assert!(!is_judged_impatient(&mut harness));
}

#[test]
fn announcements_before_the_latest_three_do_not_count() {
    let mut harness = busy_harness();
    announce(&mut harness, [typical(9, LONG)]);
    announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, SHORT)));
    assert!(is_judged_impatient(&mut harness));
}

#[test]
fn announcements_count_for_a_limited_time() {
    for (age, counts) in [(MAX_AGE - 1.0, true), (MAX_AGE + 1.0, false)] {
        let mut harness = busy_harness();
        announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, SHORT)));
        harness.advance(age);
        burst(&mut harness, 2000, 40);
        assert_eq!(is_judged_impatient(&mut harness), counts, "after {age} ms");
    }
}

#[test]
fn announcements_of_other_classes_and_tenants_do_not_count() {
    for (class, tenant) in [(2, 0), (0, 1)] {
        let mut harness = busy_harness();
        let other = |id| request_of(id + 10, class, tenant, SHORT, TimeoutEvidence::Typical);
        announce(&mut harness, (0..ANNOUNCEMENTS).map(other));
        assert!(!is_judged_impatient(&mut harness), "class {class}, tenant {tenant}");
    }
}

#[test]
fn retries_and_slow_requests_are_no_announcements() {
    for evidence in [TimeoutEvidence::Individual, TimeoutEvidence::Doubtful] {
        let mut harness = busy_harness();
        announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| request_of(id + 10, 0, 0, SHORT, evidence)));
        assert!(!is_judged_impatient(&mut harness), "{evidence:?}");
    }
}

#[test]
fn quick_request_keeps_its_timeout_whatever_others_announce() {
    for evidence in [TimeoutEvidence::Typical, TimeoutEvidence::Individual] {
        let mut harness = busy_harness();
        announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, SHORT)));
        harness.handle(request_of(1, 0, 0, LONG, evidence));
        assert!(!is_rejected_within(&mut harness, 1, SHORT), "{evidence:?}");
    }
}

#[test]
fn slow_request_that_announces_less_than_others_keeps_that() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, LONG)));
    harness.handle(request_of(1, 0, 0, SHORT, TimeoutEvidence::Doubtful));
    assert!(is_rejected_within(&mut harness, 1, SHORT));
}

#[test]
fn reload_forgets_announcements() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, SHORT)));
    let inherits_from = (0..settings(1).classes.len()).map(Some).collect();
    let offered = vec![true; settings(1).classes.len()];
    let reconfiguration = Reconfiguration { settings: settings(1), inherits_from, offered };
    harness.handle(Event::Reconfigure(Box::new(reconfiguration)));
    assert!(!is_judged_impatient(&mut harness));
}

#[test]
fn attempt_of_shortened_request_ends_with_its_timeout() {
    let timeouts = |harness: &mut Harness, event| {
        let timeout = |action: &Action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        };
        harness.handle(event).iter().filter_map(timeout).collect::<Vec<_>>()
    };
    let with_tenant = Settings { tenants: vec![Tenant { quota_per_second: 1e6 }], ..settings(1) };
    let mut harness = Harness::new(with_tenant, (0..8).map(endpoint).collect());
    assert_eq!(
        timeouts(&mut harness, typical(10, SHORT)),
        [None],
        "the transport knows the announced deadline"
    );
    assert_eq!(timeouts(&mut harness, slow(1)), [Some(SHORT)]);
}
