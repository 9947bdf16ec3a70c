//! What operators do to the module, and bodies that come while they are sent on.
mod common;

use std::collections::BTreeMap;

use common::*;
use leadrelay_core::*;

/// Listed servers, and those of them that get nothing.
fn standings(hand: &Hand) -> (usize, usize) {
    let counts = hand.balancer.gauges(hand.now).endpoints_by_status;
    let avoided = EndpointStatus::ALL.iter().zip(counts).filter(|(s, _)| s.is_avoided());
    (counts.iter().sum(), avoided.map(|(_, n)| n).sum())
}

fn maintenance(id: u64, enabled: bool) -> Event {
    Event::Maintenance { endpoint: EndpointId(id), enabled }
}

/// Serves safe requests, one a millisecond for a second and each in 5 ms; how many went to each server.
fn served(hand: &mut Hand, first: u64) -> BTreeMap<u64, usize> {
    let (mut out, mut counts) = (vec![], BTreeMap::new());
    for step in 0..4100 {
        // ... and then until each has its answer.
        let mut actions = hand.pass(1.0);
        if step < 1000 {
            actions.extend(hand.give(request(first + step, 0, 3000.0)));
        }
        out.retain(|&(id, sent)| {
            let over = step - sent >= 5;
            if over {
                actions.extend(hand.give(ended(id, 0, 5.0, Outcome::Served)));
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

fn used(hand: &mut Hand, first: u64) -> Vec<u64> {
    served(hand, first).into_keys().collect()
}

#[test]
fn nothing_goes_to_a_server_in_maintenance_whatever_the_list_says() {
    let mut hand = Hand::new(settings(1), vec![server(1), server(2)]);
    hand.give(maintenance(1, true));
    hand.give(maintenance(1, true)); // may be said again
    assert_eq!(used(&mut hand, 3000), [2]);
    hand.give(full(vec![server(1), server(2)]));
    assert_eq!(used(&mut hand, 5000), [2]);
    // It leaves, its place goes to another one, and it returns.
    hand.give(full(vec![server(2)]));
    assert_eq!(used(&mut hand, 7000), [2]);
    hand.give(full(vec![server(2), server(3)]));
    hand.give(full(vec![server(1), server(2)]));
    assert_eq!(used(&mut hand, 9000), [2]);
    assert_eq!(standings(&hand), (2, 1));
    hand.give(maintenance(1, false)); // once is enough
    assert_eq!(standings(&hand), (2, 0));
    assert_eq!(used(&mut hand, 11000), [1, 2]);
}

#[test]
fn back_from_maintenance_a_server_is_cold_until_the_list_tells_more() {
    let sends = |hand: &mut Hand, first: u64| served(hand, first).get(&1).copied().unwrap_or(0);
    let mut slowly = settings(2);
    slowly.limits.slow_start_window = 60_000.0;
    let mut hand = Hand::new(slowly, vec![server(1), server(2), server(3)]);
    let warm = sends(&mut hand, 10_000);
    hand.give(maintenance(1, true));
    hand.pass(1000.0);
    hand.give(maintenance(1, false));
    let cold = sends(&mut hand, 20_000);
    assert!(cold < warm / 2, "{cold} of {warm}");
    hand.give(full(vec![server(1), server(2), server(3)])); // as old as before
    let still = sends(&mut hand, 30_000);
    assert!(still < warm / 2, "{still} of {warm}");
    hand.pass(60_000.0);
    let again = sends(&mut hand, 40_000);
    assert!(again > warm / 2, "{again} of {warm}");
}

#[test]
fn a_call_back_for_a_server_in_use_changes_nothing() {
    let mut hand = Hand::new(settings(2), vec![server(1), server(2)]);
    let before = served(&mut hand, 10_000)[&1];
    hand.give(maintenance(1, false));
    let after = served(&mut hand, 20_000)[&1];
    assert!(after > before * 4 / 5, "{after} of {before}");
}

fn upload(id: u64, stage: UploadStage) -> Event {
    Event::Upload { request: RequestId(id), stage }
}

fn answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count()
}

#[test]
fn a_body_that_still_comes_takes_no_slot_and_no_time() {
    let filled = |uploading: bool| {
        let mut hand = Hand::new(settings(1), vec![server(1)]);
        assert_eq!(sends(&hand.give(request(1, 1, 3000.0))).len(), 1);
        if uploading {
            hand.give(upload(1, UploadStage::Started));
        }
        let more: usize = (2..20).map(|id| sends(&hand.give(request(id, 0, 3000.0))).len()).sum();
        (hand, more)
    };
    let (mut hand, more) = filled(true);
    assert_eq!(more, filled(false).1 + 1, "one more slot is free");
    // The others are answered in time; the one that still comes is not.
    let others = answers(&hand.pass(10_000.0));
    assert_eq!(others, 18);
    hand.give(upload(1, UploadStage::Complete));
    assert_eq!(answers(&hand.pass(500.0)), 0, "its time has begun just now");
    assert_eq!(answers(&hand.pass(3000.0)), 1);
}

#[test]
fn a_body_that_is_spent_is_not_sent_again() {
    for spent in [false, true] {
        let mut hand = Hand::new(settings(1), vec![server(1), server(2)]);
        assert_eq!(sends(&hand.give(request(1, 0, 3000.0))).len(), 1);
        hand.give(upload(1, UploadStage::Started));
        if spent {
            hand.give(upload(1, UploadStage::NotReplayable));
        }
        let next = hand.give(ended(1, 0, 5.0, Outcome::ConnectFailed));
        assert_eq!((sends(&next).len(), answers(&next)), if spent { (0, 1) } else { (1, 0) });
    }
}

/// The settings with another class in place of the first, and the first one's number kept for open requests.
fn retuned(idempotency: Idempotency, max_attempts: u32) -> Event {
    let mut settings = settings(1);
    settings.limits.max_attempts = max_attempts;
    let new = RequestClass { idempotency, ..settings.classes[0].clone() };
    settings.classes.push(new);
    let (inherits_from, offered) = (vec![Some(0), Some(1), Some(2), Some(0)], vec![false, true, true, true]);
    Event::Reconfigure(Box::new(Reconfiguration { settings, inherits_from, offered }))
}

#[test]
fn open_requests_keep_their_rules_and_new_ones_go_by_the_new() {
    let mut hand = Hand::new(settings(1), vec![server(1), server(2), server(3)]);
    let first = |actions: Vec<Action>| sends(&actions).len();
    assert_eq!(first(hand.give(request(1, 0, 3000.0))), 1);
    hand.give(retuned(Idempotency::Never, 1));
    // Safe to repeat, and more than once, as when it came.
    assert_eq!(first(hand.give(ended(1, 0, 5.0, Outcome::Reset))), 1);
    assert_eq!(first(hand.give(ended(1, 1, 5.0, Outcome::Reset))), 1);
    assert_eq!(first(hand.give(request(2, 3, 3000.0))), 1);
    let answer = hand.give(ended(2, 0, 5.0, Outcome::Reset));
    assert!(matches!(answer[..], [Action::Fail(RequestId(2))]), "{answer:?}");
    // What surely never ran could be repeated, but for the attempts that are allowed now.
    assert_eq!(first(hand.give(request(3, 3, 3000.0))), 1);
    let answer = hand.give(ended(3, 0, 5.0, Outcome::ConnectFailed));
    assert!(matches!(answer[..], [Action::Reject { request: RequestId(3), .. }]), "{answer:?}");
}

#[test]
fn who_waits_survives_a_retuning() {
    let mut hand = Hand::new(settings(1), vec![server(1)]);
    let mut sent: Vec<u64> = vec![];
    for id in 1..30 {
        sent.extend(sends(&hand.give(request(id, 0, 3000.0))).iter().map(|s| s.0));
    }
    assert!(sent.len() < 20, "some wait");
    sent.extend(sends(&hand.give(retuned(Idempotency::Always, 4))).iter().map(|s| s.0));
    let mut at = 0;
    while at < sent.len() {
        sent.extend(sends(&hand.give(ended(sent[at], 0, 5.0, Outcome::Served))).iter().map(|s| s.0));
        at += 1;
    }
    sent.sort_unstable();
    assert_eq!(sent, (1..30).collect::<Vec<u64>>(), "each is sent once");
}

#[test]
fn where_nothing_safe_is_left_a_server_is_tried_with_what_there_is() {
    let mut hand = Hand::new(settings(1), vec![server(1), server(2)]);
    hand.give(retuned(Idempotency::Never, 4));
    // One fails until it is closed, and is well afterwards.
    let (mut id, mut back) = (0, false);
    for _ in 0..400 {
        id += 1;
        let Some(&(_, to)) = sends(&hand.give(request(id, 3, 3000.0))).first() else { continue };
        hand.pass(20.0);
        let ill = to == 1 && id < 100;
        back |= to == 1 && id >= 100;
        hand.give(ended(id, 0, 5.0, if ill { Outcome::Error } else { Outcome::Served }));
    }
    assert!(back);
}

/// What a proxy tells the others while it leaves or stays.
fn word(leaving: bool) -> Vec<u8> {
    let mut tells = settings(2);
    (tells.gossip_enabled, tells.proxy_index) = (true, 1);
    let mut hand = Hand::new(tells, vec![server(1)]);
    hand.give(Event::Draining(leaving));
    let mut told = hand.pass(2000.0).into_iter().filter_map(|a| match a {
        Action::Broadcast(bytes) => Some(bytes),
        _ => None,
    });
    told.next_back().expect("a word")
}

#[test]
fn the_slots_of_a_proxy_that_leaves_are_the_others() {
    // Safe requests that are out at once, of thirty that come while the other proxies hold nothing.
    let out = |leaving: bool| {
        let mut hears = settings(4);
        hears.gossip_enabled = true;
        let mut hand = Hand::new(hears, (1..7).map(server).collect());
        for _ in 0..20 {
            (1..4).for_each(|from| drop(hand.give(Event::Gossip { from, bytes: word(leaving) })));
            hand.pass(100.0);
        }
        (1..31).map(|id| sends(&hand.give(request(id, 0, 3000.0))).len()).sum::<usize>()
    };
    let (stays, leaves) = (out(false), out(true));
    assert!(leaves > stays, "{leaves} against {stays}");
}
