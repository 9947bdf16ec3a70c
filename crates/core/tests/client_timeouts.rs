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
fn request_of(
    id: u64, class: usize, tenant: usize, timeout: Millis, announcement: TimeoutAnnouncement,
) -> Event {
    Event::Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: Some(TenantId(tenant)),
        key: None,
        timeout,
        announcement,
        expected_cost: None,
    }
}

fn typical(id: u64, timeout: Millis) -> Event {
    request_of(id, 0, 0, timeout, TimeoutAnnouncement::Typical(timeout))
}

fn slow(id: u64) -> Event {
    request_of(id, 0, 0, LONG, TimeoutAnnouncement::Doubtful(LONG))
}

/// Settings with two tenants.
fn with_tenants() -> Settings {
    let tenant = || Tenant { quota_per_second: 1e6 };
    Settings { tenants: vec![tenant(), tenant()], ..settings(1) }
}

/// A proxy whose one endpoint takes no further request.
fn busy_harness() -> Harness {
    busy_harness_with(with_tenants())
}

fn busy_harness_with(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings, vec![endpoint(1)]);
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
fn too_few_announcements_do_not_count() {
    let mut harness = busy_harness();
    announce(&mut harness, (1..ANNOUNCEMENTS).map(|id| typical(id + 10, SHORT)));
    assert!(!is_judged_impatient(&mut harness));
}

#[test]
fn slow_request_is_not_rejected_before_most_of_the_time_that_others_announce() {
    const LESS: Millis = 600.0;
    const MOST: Millis = 400.0;
    let mut harness = busy_harness();
    announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, LESS)));
    harness.handle(slow(1));
    assert!(!is_rejected_within(&mut harness, 1, MOST));
    assert!(is_rejected_within(&mut harness, 1, LESS - MOST));
}

#[test]
fn time_that_is_over_when_a_request_is_read_does_not_shorten_announcements() {
    let mut harness = busy_harness();
    let waited = |id| request_of(id + 10, 0, 0, SHORT, TimeoutAnnouncement::Typical(LONG));
    announce(&mut harness, (0..ANNOUNCEMENTS).map(waited));
    assert!(!is_judged_impatient(&mut harness));
}

#[test]
fn time_that_is_over_when_a_slow_request_is_read_is_taken_off_what_others_announce() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, SHORT)));
    let over = 50.0;
    harness.handle(request_of(1, 0, 0, LONG - over, TimeoutAnnouncement::Doubtful(LONG)));
    assert!(is_rejected_within(&mut harness, 1, SHORT - over));
}

#[test]
fn announcements_by_which_nobody_is_served_do_not_count() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, 0.0)));
    assert!(!is_judged_impatient(&mut harness));
}

#[test]
fn requests_that_may_not_be_repeated_freely_keep_their_timeout() {
    for class in [1, 2] {
        let mut harness = busy_harness();
        let short = |id| request_of(id + 10, class, 0, SHORT, TimeoutAnnouncement::Typical(SHORT));
        announce(&mut harness, (0..ANNOUNCEMENTS).map(short));
        harness.handle(request_of(1, class, 0, LONG, TimeoutAnnouncement::Doubtful(LONG)));
        assert!(!is_rejected_within(&mut harness, 1, SHORT), "class {class}");
    }
}

#[test]
fn nothing_is_compared_where_clients_do_not_mark_retries() {
    let mut harness = busy_harness_with(Settings { clients_mark_retries: false, ..with_tenants() });
    announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, SHORT)));
    assert!(!is_judged_impatient(&mut harness));
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
        let other = |id| request_of(id + 10, class, tenant, SHORT, TimeoutAnnouncement::Typical(SHORT));
        announce(&mut harness, (0..ANNOUNCEMENTS).map(other));
        assert!(!is_judged_impatient(&mut harness), "class {class}, tenant {tenant}");
    }
}

#[test]
fn retries_and_slow_requests_are_no_announcements() {
    for announcement in [TimeoutAnnouncement::Individual, TimeoutAnnouncement::Doubtful(SHORT)] {
        let mut harness = busy_harness();
        announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| request_of(id + 10, 0, 0, SHORT, announcement)));
        assert!(!is_judged_impatient(&mut harness), "{announcement:?}");
    }
}

#[test]
fn quick_request_keeps_its_timeout_whatever_others_announce() {
    for announcement in [TimeoutAnnouncement::Typical(LONG), TimeoutAnnouncement::Individual] {
        let mut harness = busy_harness();
        announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, SHORT)));
        harness.handle(request_of(1, 0, 0, LONG, announcement));
        assert!(!is_rejected_within(&mut harness, 1, SHORT), "{announcement:?}");
    }
}

#[test]
fn slow_request_that_announces_less_than_others_keeps_that() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, LONG)));
    harness.handle(request_of(1, 0, 0, SHORT, TimeoutAnnouncement::Doubtful(SHORT)));
    assert!(is_rejected_within(&mut harness, 1, SHORT));
}

#[test]
fn reload_forgets_announcements() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..ANNOUNCEMENTS).map(|id| typical(id + 10, SHORT)));
    let inherits_from = (0..settings(1).classes.len()).map(Some).collect();
    let offered = vec![true; settings(1).classes.len()];
    let reconfiguration = Reconfiguration { settings: with_tenants(), inherits_from, offered };
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
    let mut harness = Harness::new(with_tenants(), (0..8).map(endpoint).collect());
    for id in 0..ANNOUNCEMENTS {
        let sent = timeouts(&mut harness, typical(id + 10, SHORT));
        assert_eq!(sent, [None], "the transport knows the announced deadline");
    }
    assert_eq!(timeouts(&mut harness, slow(1)), [Some(SHORT)]);
}
