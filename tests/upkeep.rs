//! What operators do to the module, and bodies that come while they are sent on.
mod common;

use std::collections::BTreeMap;

use common::*;
use wharfhitch::*;

fn maintenance(id: u64, banned: bool) -> Event {
    Event::Maintenance { backend: BackendId(id), banned }
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
    assert_eq!(hand.balancer.members(hand.now), (2, 1));
    hand.give(maintenance(1, false)); // once is enough
    assert_eq!(hand.balancer.members(hand.now), (2, 0));
    assert_eq!(used(&mut hand, 11000), [1, 2]);
}

#[test]
fn back_from_maintenance_a_server_is_cold_until_the_list_tells_more() {
    let sends = |hand: &mut Hand, first: u64| served(hand, first).get(&1).copied().unwrap_or(0);
    let mut slowly = settings(2);
    slowly.limits.cold = 60_000.0;
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

fn upload(id: u64, stage: Upload) -> Event {
    Event::Upload { request: RequestId(id), stage }
}

fn answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_))).count()
}

#[test]
fn a_body_that_still_comes_takes_no_slot_and_no_time() {
    let filled = |uploading: bool| {
        let mut hand = Hand::new(settings(1), vec![server(1)]);
        assert_eq!(sends(&hand.give(request(1, 1, 3000.0))).len(), 1);
        if uploading {
            hand.give(upload(1, Upload::Begun));
        }
        let more: usize = (2..20).map(|id| sends(&hand.give(request(id, 0, 3000.0))).len()).sum();
        (hand, more)
    };
    let (mut hand, more) = filled(true);
    assert_eq!(more, filled(false).1 + 1, "one more slot is free");
    // The others are answered in time; the one that still comes is not.
    let others = answers(&hand.pass(10_000.0));
    assert_eq!(others, 18);
    hand.give(upload(1, Upload::Whole));
    assert_eq!(answers(&hand.pass(500.0)), 0, "its time has begun just now");
    assert_eq!(answers(&hand.pass(3000.0)), 1);
}

#[test]
fn a_body_that_is_spent_is_not_sent_again() {
    for spent in [false, true] {
        let mut hand = Hand::new(settings(1), vec![server(1), server(2)]);
        assert_eq!(sends(&hand.give(request(1, 0, 3000.0))).len(), 1);
        hand.give(upload(1, Upload::Begun));
        if spent {
            hand.give(upload(1, Upload::Spent));
        }
        let next = hand.give(ended(1, 0, 5.0, Outcome::ConnectFailed));
        assert_eq!((sends(&next).len(), answers(&next)), if spent { (0, 1) } else { (1, 0) });
    }
}
