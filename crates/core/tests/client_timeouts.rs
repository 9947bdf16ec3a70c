//! The timeout of slow requests, which is bounded by what other clients announce.
//!
//! A slow request is one that its client sent slowly; its client may wait for less time than it announced.
mod common;
use common::*;
use leadrelay_core::*;

/// The timeout that clients usually announce, in ms.
const LONG: Millis = 850.0;
/// The timeout that impatient clients announce, in ms.
const SHORT: Millis = 146.0;
/// Number of recent announcements that have to agree to bound the timeout of a slow request.
const REQUIRED_ANNOUNCEMENTS: u64 = 3;
/// Age up to which an announcement counts, in ms.
const MAX_AGE: Millis = 5000.0;

/// Returns the arrival of a request of this class and tenant.
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

/// Returns the arrival of a promptly sent request that announces this timeout.
fn typical_request(id: u64, timeout: Millis) -> Event {
    request_of(id, 0, 0, timeout, TimeoutAnnouncement::Typical(timeout))
}

/// Returns the arrival of a slow request that announces `LONG`.
fn slow_request(id: u64) -> Event {
    request_of(id, 0, 0, LONG, TimeoutAnnouncement::Doubtful(LONG))
}

/// Returns settings with two tenants.
fn with_tenants() -> Settings {
    let tenant = || Tenant { quota_per_second: 1e6 };
    Settings { tenants: vec![tenant(), tenant()], ..settings(1) }
}

/// Returns a proxy whose only endpoint is full.
fn busy_harness() -> Harness {
    busy_harness_with(with_tenants())
}

fn busy_harness_with(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings, vec![endpoint(1)]);
    let sent = burst(&mut harness, 1000, 40);
    assert!((1..40).contains(&sent.len()), "the endpoint takes {} requests", sent.len());
    harness
}

/// Passes in requests of clients that announce timeouts.
fn announce(harness: &mut Harness, events: impl IntoIterator<Item = Event>) {
    for event in events {
        harness.handle(event);
    }
}

/// Returns whether a request is rejected within `span`.
fn is_rejected_within(harness: &mut Harness, id: u64, span: Millis) -> bool {
    let is_rejection = |action: &Action| matches!(action, Action::Reject { request, .. } if request.0 == id);
    harness.advance(span).iter().any(is_rejection)
}

/// Returns whether a slow request that announces `LONG` is rejected within `SHORT`.
fn is_rejected_early(harness: &mut Harness) -> bool {
    harness.handle(slow_request(1));
    is_rejected_within(harness, 1, SHORT)
}

#[test]
fn slow_request_is_rejected_within_the_timeout_that_others_announce() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, SHORT)));
    assert!(is_rejected_early(&mut harness));
}

#[test]
fn too_few_announcements_are_ignored() {
    let mut harness = busy_harness();
    announce(&mut harness, (1..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, SHORT)));
    assert!(!is_rejected_early(&mut harness));
}

#[test]
fn slow_request_is_not_rejected_long_before_the_timeout_that_others_announce() {
    const ANNOUNCED: Millis = 600.0;
    const EARLY: Millis = 400.0;
    let mut harness = busy_harness();
    announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, ANNOUNCED)));
    harness.handle(slow_request(1));
    assert!(!is_rejected_within(&mut harness, 1, EARLY));
    assert!(is_rejected_within(&mut harness, 1, ANNOUNCED - EARLY));
}

#[test]
fn time_to_read_a_request_does_not_shorten_its_announcement() {
    let mut harness = busy_harness();
    let slowly_read = |id| request_of(id + 10, 0, 0, SHORT, TimeoutAnnouncement::Typical(LONG));
    announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(slowly_read));
    assert!(!is_rejected_early(&mut harness));
}

#[test]
fn time_to_read_a_slow_request_counts_toward_the_timeout_that_others_announce() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, SHORT)));
    let read_time = 50.0;
    harness.handle(request_of(1, 0, 0, LONG - read_time, TimeoutAnnouncement::Doubtful(LONG)));
    assert!(is_rejected_within(&mut harness, 1, SHORT - read_time));
}

#[test]
fn announcements_too_short_for_any_response_are_ignored() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, 0.0)));
    assert!(!is_rejected_early(&mut harness));
}

#[test]
fn slow_request_keeps_its_timeout_unless_it_is_always_idempotent() {
    for class in [1, 2] {
        let mut harness = busy_harness();
        let short_request = |id| request_of(id + 10, class, 0, SHORT, TimeoutAnnouncement::Typical(SHORT));
        announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(short_request));
        harness.handle(request_of(1, class, 0, LONG, TimeoutAnnouncement::Doubtful(LONG)));
        assert!(!is_rejected_within(&mut harness, 1, SHORT), "class {class}");
    }
}

#[test]
fn announcements_are_ignored_if_clients_do_not_mark_retries() {
    let mut harness = busy_harness_with(Settings { clients_mark_retries: false, ..with_tenants() });
    announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, SHORT)));
    assert!(!is_rejected_early(&mut harness));
}

#[test]
fn slow_request_keeps_its_timeout_without_announcements() {
    let mut harness = busy_harness();
    assert!(!is_rejected_early(&mut harness));
    assert!(is_rejected_within(&mut harness, 1, LONG - SHORT));
}

#[test]
fn slow_request_keeps_its_timeout_if_others_announce_the_same() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, LONG)));
    assert!(!is_rejected_early(&mut harness));
}

#[test]
fn slow_request_keeps_its_timeout_if_others_disagree() {
    let mut harness = busy_harness();
    announce(
        &mut harness,
        [typical_request(10, SHORT), typical_request(11, LONG), typical_request(12, SHORT)],
    );
    assert!(!is_rejected_early(&mut harness));
}

#[test]
fn only_the_latest_three_announcements_count() {
    let mut harness = busy_harness();
    announce(&mut harness, [typical_request(9, LONG)]);
    announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, SHORT)));
    assert!(is_rejected_early(&mut harness));
}

#[test]
fn announcements_expire() {
    for (age, counts) in [(MAX_AGE - 1.0, true), (MAX_AGE + 1.0, false)] {
        let mut harness = busy_harness();
        announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, SHORT)));
        harness.advance(age);
        burst(&mut harness, 2000, 40);
        assert_eq!(is_rejected_early(&mut harness), counts, "after {age} ms");
    }
}

#[test]
fn announcements_of_other_classes_and_tenants_are_ignored() {
    for (class, tenant) in [(2, 0), (0, 1)] {
        let mut harness = busy_harness();
        let other_request =
            |id| request_of(id + 10, class, tenant, SHORT, TimeoutAnnouncement::Typical(SHORT));
        announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(other_request));
        assert!(!is_rejected_early(&mut harness), "class {class}, tenant {tenant}");
    }
}

#[test]
fn retries_and_slow_requests_do_not_count_as_announcements() {
    for announcement in [TimeoutAnnouncement::Individual, TimeoutAnnouncement::Doubtful(SHORT)] {
        let mut harness = busy_harness();
        announce(
            &mut harness,
            (0..REQUIRED_ANNOUNCEMENTS).map(|id| request_of(id + 10, 0, 0, SHORT, announcement)),
        );
        assert!(!is_rejected_early(&mut harness), "{announcement:?}");
    }
}

#[test]
fn promptly_sent_request_keeps_its_timeout() {
    for announcement in [TimeoutAnnouncement::Typical(LONG), TimeoutAnnouncement::Individual] {
        let mut harness = busy_harness();
        announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, SHORT)));
        harness.handle(request_of(1, 0, 0, LONG, announcement));
        assert!(!is_rejected_within(&mut harness, 1, SHORT), "{announcement:?}");
    }
}

#[test]
fn slow_request_keeps_a_timeout_shorter_than_that_of_others() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, LONG)));
    harness.handle(request_of(1, 0, 0, SHORT, TimeoutAnnouncement::Doubtful(SHORT)));
    assert!(is_rejected_within(&mut harness, 1, SHORT));
}

#[test]
fn reconfiguration_clears_announcements() {
    let mut harness = busy_harness();
    announce(&mut harness, (0..REQUIRED_ANNOUNCEMENTS).map(|id| typical_request(id + 10, SHORT)));
    let inherits_from = (0..settings(1).classes.len()).map(Some).collect();
    let offered = vec![true; settings(1).classes.len()];
    let reconfiguration = Reconfiguration { settings: with_tenants(), inherits_from, offered };
    harness.handle(Event::Reconfigure(Box::new(reconfiguration)));
    assert!(!is_rejected_early(&mut harness));
}

#[test]
fn attempt_of_slow_request_is_sent_with_its_shortened_timeout() {
    let timeouts = |harness: &mut Harness, event| {
        let timeout = |action: &Action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        };
        harness.handle(event).iter().filter_map(timeout).collect::<Vec<_>>()
    };
    let mut harness = Harness::new(with_tenants(), (0..8).map(endpoint).collect());
    for id in 0..REQUIRED_ANNOUNCEMENTS {
        let sent = timeouts(&mut harness, typical_request(id + 10, SHORT));
        assert_eq!(sent, [None], "the transport already knows the announced timeout");
    }
    assert_eq!(timeouts(&mut harness, slow_request(1)), [Some(SHORT)]);
}
