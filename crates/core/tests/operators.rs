//! Operator actions on a running proxy: maintenance, reconfiguration and draining.
mod common;

use std::collections::BTreeMap;

use common::*;
use leadrelay_core::*;

/// Returns the number of listed endpoints, and the number of those that get no requests.
fn listed_and_avoided(harness: &Harness) -> (usize, usize) {
    let counts = harness.balancer.gauges(harness.now).endpoints_by_status;
    let avoided = EndpointStatus::ALL.iter().zip(counts).filter(|(s, _)| s.is_avoided());
    (counts.iter().sum(), avoided.map(|(_, n)| n).sum())
}

fn maintenance(id: u64, enabled: bool) -> Event {
    Event::Maintenance { endpoint: EndpointId(id), enabled }
}

/// Serves safe requests, one a millisecond for a second and each in 5 ms; returns the number of sends to each
/// endpoint.
fn count_sends_by_endpoint(harness: &mut Harness, first_id: u64) -> BTreeMap<u64, usize> {
    let (mut in_flight, mut counts) = (vec![], BTreeMap::new());
    for step in 0..4100 {
        let mut actions = harness.advance(1.0);
        // After a second no more requests arrive, and the rest of the time is for the responses.
        if step < 1000 {
            actions.extend(harness.handle(request(first_id + step, 0, 3000.0)));
        }
        in_flight.retain(|&(id, sent)| {
            let finished = step - sent >= 5;
            if finished {
                actions.extend(harness.handle(ended(id, 0, 5.0, Outcome::Served)));
            }
            !finished
        });
        for (id, to) in sends(&actions) {
            in_flight.push((id, step));
            *counts.entry(to).or_default() += 1;
        }
    }
    counts
}

/// Serves requests as [`count_sends_by_endpoint`] does; returns the endpoints that got some.
fn endpoints_used(harness: &mut Harness, first_id: u64) -> Vec<u64> {
    count_sends_by_endpoint(harness, first_id).into_keys().collect()
}

#[test]
fn endpoint_in_maintenance_gets_no_requests_despite_list_updates() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.handle(maintenance(1, true));
    harness.handle(maintenance(1, true)); // repeating it has no effect
    assert_eq!(endpoints_used(&mut harness, 3000), [2]);
    harness.handle(full_list(vec![endpoint(1), endpoint(2)]));
    assert_eq!(endpoints_used(&mut harness, 5000), [2]);
    // The endpoint leaves the list, its table entry is used for another one, and it returns.
    harness.handle(full_list(vec![endpoint(2)]));
    assert_eq!(endpoints_used(&mut harness, 7000), [2]);
    harness.handle(full_list(vec![endpoint(2), endpoint(3)]));
    harness.handle(full_list(vec![endpoint(1), endpoint(2)]));
    assert_eq!(endpoints_used(&mut harness, 9000), [2]);
    assert_eq!(listed_and_avoided(&harness), (2, 1));
    harness.handle(maintenance(1, false)); // a single event ends it
    assert_eq!(listed_and_avoided(&harness), (2, 0));
    assert_eq!(endpoints_used(&mut harness, 11000), [1, 2]);
}

#[test]
fn endpoint_back_from_maintenance_is_in_slow_start() {
    let sends_to_endpoint = |harness: &mut Harness, first_id: u64| {
        count_sends_by_endpoint(harness, first_id).get(&1).copied().unwrap_or(0)
    };
    let mut long_slow_start = settings(2);
    long_slow_start.limits.slow_start_window = 60_000.0;
    let mut harness = Harness::new(long_slow_start, vec![endpoint(1), endpoint(2), endpoint(3)]);
    let warm = sends_to_endpoint(&mut harness, 10_000);
    harness.handle(maintenance(1, true));
    harness.advance(1000.0);
    harness.handle(maintenance(1, false));
    let in_slow_start = sends_to_endpoint(&mut harness, 20_000);
    assert!(in_slow_start < warm / 2, "{in_slow_start} of {warm}");
    harness.handle(full_list(vec![endpoint(1), endpoint(2), endpoint(3)])); // the list reports no new start
    let after_list = sends_to_endpoint(&mut harness, 30_000);
    assert!(after_list < warm / 2, "{after_list} of {warm}");
    harness.advance(60_000.0);
    let warm_again = sends_to_endpoint(&mut harness, 40_000);
    assert!(warm_again > warm / 2, "{warm_again} of {warm}");
}

#[test]
fn ending_maintenance_of_endpoint_in_use_changes_nothing() {
    let mut harness = Harness::new(settings(2), vec![endpoint(1), endpoint(2)]);
    let before = count_sends_by_endpoint(&mut harness, 10_000)[&1];
    harness.handle(maintenance(1, false));
    let after = count_sends_by_endpoint(&mut harness, 20_000)[&1];
    assert!(after > before * 4 / 5, "{after} of {before}");
}

/// Returns a reconfiguration that replaces the first class by a new fourth one. The first keeps its number for open
/// requests and is offered no more.
fn reconfigured(idempotency: Idempotency, max_attempts: u32) -> Event {
    let mut settings = settings(1);
    settings.limits.max_attempts = max_attempts;
    let new_class = RequestClass { idempotency, ..settings.classes[0].clone() };
    settings.classes.push(new_class);
    let (inherits_from, offered) = (vec![Some(0), Some(1), Some(2), Some(0)], vec![false, true, true, true]);
    Event::Reconfigure(Box::new(Reconfiguration { settings, inherits_from, offered }))
}

#[test]
fn open_requests_keep_their_rules_after_reconfiguration() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2), endpoint(3)]);
    let count_sends = |actions: Vec<Action>| sends(&actions).len();
    assert_eq!(count_sends(harness.handle(request(1, 0, 3000.0))), 1);
    harness.handle(reconfigured(Idempotency::Never, 1));
    // As on its arrival, the request is safe to repeat, more than once.
    assert_eq!(count_sends(harness.handle(ended(1, 0, 5.0, Outcome::Reset))), 1);
    assert_eq!(count_sends(harness.handle(ended(1, 1, 5.0, Outcome::Reset))), 1);
    assert_eq!(count_sends(harness.handle(request(2, 3, 3000.0))), 1);
    let actions = harness.handle(ended(2, 0, 5.0, Outcome::Reset));
    assert!(matches!(actions[..], [Action::Fail(RequestId(2))]), "{actions:?}");
    // A request that surely never ran could be repeated, but no more than one attempt is allowed now.
    assert_eq!(count_sends(harness.handle(request(3, 3, 3000.0))), 1);
    let actions = harness.handle(ended(3, 0, 5.0, Outcome::ConnectFailed));
    assert!(matches!(actions[..], [Action::Reject { request: RequestId(3), .. }]), "{actions:?}");
}

#[test]
fn waiting_requests_survive_reconfiguration() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    let mut sent: Vec<u64> = vec![];
    for id in 1..30 {
        sent.extend(sends(&harness.handle(request(id, 0, 3000.0))).iter().map(|s| s.0));
    }
    assert!(sent.len() < 20, "some requests wait");
    sent.extend(sends(&harness.handle(reconfigured(Idempotency::Always, 4))).iter().map(|s| s.0));
    let mut next = 0;
    while next < sent.len() {
        sent.extend(sends(&harness.handle(ended(sent[next], 0, 5.0, Outcome::Served))).iter().map(|s| s.0));
        next += 1;
    }
    sent.sort_unstable();
    assert_eq!(sent, (1..30).collect::<Vec<u64>>(), "each request is sent once");
}

#[test]
fn probation_uses_any_class_if_none_is_idempotent() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.handle(reconfigured(Idempotency::Never, 4));
    // Endpoint 1 fails until it is ejected, and is healthy afterwards.
    let (mut id, mut has_returned) = (0, false);
    for _ in 0..400 {
        id += 1;
        let Some(&(_, to)) = sends(&harness.handle(request(id, 3, 3000.0))).first() else { continue };
        harness.advance(20.0);
        let unhealthy = to == 1 && id < 100;
        has_returned |= to == 1 && id >= 100;
        harness.handle(ended(id, 0, 5.0, if unhealthy { Outcome::Error } else { Outcome::Served }));
    }
    assert!(has_returned);
}

/// Returns the gossip message of a proxy that is draining or not.
fn gossip_message(draining: bool) -> Vec<u8> {
    let mut sender = settings(2);
    (sender.gossip_enabled, sender.proxy_index) = (true, 1);
    let mut harness = Harness::new(sender, vec![endpoint(1)]);
    harness.handle(Event::Draining(draining));
    let mut broadcasts = harness.advance(2000.0).into_iter().filter_map(|a| match a {
        Action::Broadcast(bytes) => Some(bytes),
        _ => None,
    });
    broadcasts.next_back().expect("a gossip message")
}

#[test]
fn slots_of_draining_proxy_are_used_by_others() {
    // Returns how many of thirty safe requests are in flight at once while the other proxies have none in flight.
    let in_flight = |draining: bool| {
        let mut receiver = settings(4);
        receiver.gossip_enabled = true;
        let mut harness = Harness::new(receiver, (1..7).map(endpoint).collect());
        for _ in 0..20 {
            (1..4).for_each(|from| {
                drop(harness.handle(Event::Gossip { from, bytes: gossip_message(draining) }))
            });
            harness.advance(100.0);
        }
        (1..31).map(|id| sends(&harness.handle(request(id, 0, 3000.0))).len()).sum::<usize>()
    };
    let (active_count, draining_count) = (in_flight(false), in_flight(true));
    assert!(
        draining_count > active_count,
        "{draining_count} in flight if the others drain, {active_count} if not"
    );
}
