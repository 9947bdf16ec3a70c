//! What operators do to a proxy that runs.
mod common;

use std::collections::BTreeMap;

use common::*;
use leadrelay_core::*;

/// Listed endpoints, and those of them that get nothing.
fn listed_and_avoided(harness: &Harness) -> (usize, usize) {
    let counts = harness.balancer.gauges(harness.now).endpoints_by_status;
    let avoided = EndpointStatus::ALL.iter().zip(counts).filter(|(s, _)| s.is_avoided());
    (counts.iter().sum(), avoided.map(|(_, n)| n).sum())
}

fn maintenance(id: u64, enabled: bool) -> Event {
    Event::Maintenance { endpoint: EndpointId(id), enabled }
}

/// Serves safe requests, one a millisecond for a second and each in 5 ms; how many went to each endpoint.
fn served(harness: &mut Harness, first: u64) -> BTreeMap<u64, usize> {
    let (mut out, mut counts) = (vec![], BTreeMap::new());
    for step in 0..4100 {
        // ... and then until each has its answer.
        let mut actions = harness.advance(1.0);
        if step < 1000 {
            actions.extend(harness.handle(request(first + step, 0, 3000.0)));
        }
        out.retain(|&(id, sent)| {
            let over = step - sent >= 5;
            if over {
                actions.extend(harness.handle(ended(id, 0, 5.0, Outcome::Served)));
            }
            !over
        });
        for (id, to) in sends(&actions) {
            out.push((id, step));
            *counts.entry(to).or_default() += 1;
        }
    }
    counts
}

fn used(harness: &mut Harness, first: u64) -> Vec<u64> {
    served(harness, first).into_keys().collect()
}

#[test]
fn endpoint_in_maintenance_gets_nothing_whatever_the_list_says() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.handle(maintenance(1, true));
    harness.handle(maintenance(1, true)); // may be said again
    assert_eq!(used(&mut harness, 3000), [2]);
    harness.handle(full(vec![endpoint(1), endpoint(2)]));
    assert_eq!(used(&mut harness, 5000), [2]);
    // It leaves, its place goes to another one, and it returns.
    harness.handle(full(vec![endpoint(2)]));
    assert_eq!(used(&mut harness, 7000), [2]);
    harness.handle(full(vec![endpoint(2), endpoint(3)]));
    harness.handle(full(vec![endpoint(1), endpoint(2)]));
    assert_eq!(used(&mut harness, 9000), [2]);
    assert_eq!(listed_and_avoided(&harness), (2, 1));
    harness.handle(maintenance(1, false)); // once is enough
    assert_eq!(listed_and_avoided(&harness), (2, 0));
    assert_eq!(used(&mut harness, 11000), [1, 2]);
}

#[test]
fn endpoint_back_from_maintenance_is_in_slow_start() {
    let sends = |harness: &mut Harness, first: u64| served(harness, first).get(&1).copied().unwrap_or(0);
    let mut slowly = settings(2);
    slowly.limits.slow_start_window = 60_000.0;
    let mut harness = Harness::new(slowly, vec![endpoint(1), endpoint(2), endpoint(3)]);
    let warm = sends(&mut harness, 10_000);
    harness.handle(maintenance(1, true));
    harness.advance(1000.0);
    harness.handle(maintenance(1, false));
    let in_slow_start = sends(&mut harness, 20_000);
    assert!(in_slow_start < warm / 2, "{in_slow_start} of {warm}");
    harness.handle(full(vec![endpoint(1), endpoint(2), endpoint(3)])); // started as long ago as before
    let still = sends(&mut harness, 30_000);
    assert!(still < warm / 2, "{still} of {warm}");
    harness.advance(60_000.0);
    let again = sends(&mut harness, 40_000);
    assert!(again > warm / 2, "{again} of {warm}");
}

#[test]
fn ending_maintenance_of_endpoint_in_use_changes_nothing() {
    let mut harness = Harness::new(settings(2), vec![endpoint(1), endpoint(2)]);
    let before = served(&mut harness, 10_000)[&1];
    harness.handle(maintenance(1, false));
    let after = served(&mut harness, 20_000)[&1];
    assert!(after > before * 4 / 5, "{after} of {before}");
}

/// The settings with another class in place of the first, and the first one's number kept for open requests.
fn reconfigured(idempotency: Idempotency, max_attempts: u32) -> Event {
    let mut settings = settings(1);
    settings.limits.max_attempts = max_attempts;
    let new = RequestClass { idempotency, ..settings.classes[0].clone() };
    settings.classes.push(new);
    let (inherits_from, offered) = (vec![Some(0), Some(1), Some(2), Some(0)], vec![false, true, true, true]);
    Event::Reconfigure(Box::new(Reconfiguration { settings, inherits_from, offered }))
}

#[test]
fn open_requests_keep_their_rules_after_reconfiguration() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2), endpoint(3)]);
    let first = |actions: Vec<Action>| sends(&actions).len();
    assert_eq!(first(harness.handle(request(1, 0, 3000.0))), 1);
    harness.handle(reconfigured(Idempotency::Never, 1));
    // Safe to repeat, and more than once, as when it came.
    assert_eq!(first(harness.handle(ended(1, 0, 5.0, Outcome::Reset))), 1);
    assert_eq!(first(harness.handle(ended(1, 1, 5.0, Outcome::Reset))), 1);
    assert_eq!(first(harness.handle(request(2, 3, 3000.0))), 1);
    let answer = harness.handle(ended(2, 0, 5.0, Outcome::Reset));
    assert!(matches!(answer[..], [Action::Fail(RequestId(2))]), "{answer:?}");
    // What surely never ran could be repeated, but for the attempts that are allowed now.
    assert_eq!(first(harness.handle(request(3, 3, 3000.0))), 1);
    let answer = harness.handle(ended(3, 0, 5.0, Outcome::ConnectFailed));
    assert!(matches!(answer[..], [Action::Reject { request: RequestId(3), .. }]), "{answer:?}");
}

#[test]
fn waiting_requests_survive_reconfiguration() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    let mut sent: Vec<u64> = vec![];
    for id in 1..30 {
        sent.extend(sends(&harness.handle(request(id, 0, 3000.0))).iter().map(|s| s.0));
    }
    assert!(sent.len() < 20, "some wait");
    sent.extend(sends(&harness.handle(reconfigured(Idempotency::Always, 4))).iter().map(|s| s.0));
    let mut at = 0;
    while at < sent.len() {
        sent.extend(sends(&harness.handle(ended(sent[at], 0, 5.0, Outcome::Served))).iter().map(|s| s.0));
        at += 1;
    }
    sent.sort_unstable();
    assert_eq!(sent, (1..30).collect::<Vec<u64>>(), "each is sent once");
}

#[test]
fn probation_uses_any_class_without_idempotent_ones() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.handle(reconfigured(Idempotency::Never, 4));
    // One fails until it is closed, and is well afterwards.
    let (mut id, mut back) = (0, false);
    for _ in 0..400 {
        id += 1;
        let Some(&(_, to)) = sends(&harness.handle(request(id, 3, 3000.0))).first() else { continue };
        harness.advance(20.0);
        let unhealthy = to == 1 && id < 100;
        back |= to == 1 && id >= 100;
        harness.handle(ended(id, 0, 5.0, if unhealthy { Outcome::Error } else { Outcome::Served }));
    }
    assert!(back);
}

/// What a proxy tells the others while it leaves or stays.
fn message(draining: bool) -> Vec<u8> {
    let mut sender = settings(2);
    (sender.gossip_enabled, sender.proxy_index) = (true, 1);
    let mut harness = Harness::new(sender, vec![endpoint(1)]);
    harness.handle(Event::Draining(draining));
    let mut broadcasts = harness.advance(2000.0).into_iter().filter_map(|a| match a {
        Action::Broadcast(bytes) => Some(bytes),
        _ => None,
    });
    broadcasts.next_back().expect("a word")
}

#[test]
fn slots_of_draining_proxy_are_used_by_others() {
    // Safe requests that are out at once, of thirty that come while the other proxies hold nothing.
    let out = |draining: bool| {
        let mut receiver = settings(4);
        receiver.gossip_enabled = true;
        let mut harness = Harness::new(receiver, (1..7).map(endpoint).collect());
        for _ in 0..20 {
            (1..4).for_each(|from| drop(harness.handle(Event::Gossip { from, bytes: message(draining) })));
            harness.advance(100.0);
        }
        (1..31).map(|id| sends(&harness.handle(request(id, 0, 3000.0))).len()).sum::<usize>()
    };
    let (active_count, draining_count) = (out(false), out(true));
    assert!(draining_count > active_count, "{draining_count} against {active_count}");
}
