//! Hold or send: the threshold and the endpoint of a request.
mod common;
use common::*;
use leadrelay_core::*;

#[test]
fn held_until_queue_exceeds_threshold() {
    let list = vec![endpoint(1), Endpoint { machine_class: Some(MachineClassId(1)), ..endpoint(2) }];
    let mut harness = Harness::new(settings(1), list);
    harness.serve_in_turn(0, 120, |to| if to == 1 { 20.0 } else { 100.0 });
    harness.advance(300.0);
    let sent = burst(&mut harness, 1000, 30);
    let fast = sent.iter().filter(|s| s.1 == 1).count();
    assert!(fast > 0 && sent[..fast].iter().all(|s| s.1 == 1), "the fast endpoint fills first: {sent:?}");
    assert!(sent.len() < 30, "some are held");
    assert!(sent.iter().any(|s| s.1 == 2), "a long queue spills over to the slow one: {sent:?}");
    // The threshold lets the first of the held go only when the queue has grown.
    let spilled = 1000 + fast as u64;
    assert_eq!(sent[fast], (spilled, 2), "the oldest goes: {sent:?}");
    let mut again = Harness::new(
        settings(1),
        vec![endpoint(1), Endpoint { machine_class: Some(MachineClassId(1)), ..endpoint(2) }],
    );
    again.serve_in_turn(0, 120, |to| if to == 1 { 20.0 } else { 100.0 });
    again.advance(300.0);
    let short = burst(&mut again, 1000, fast as u64 + 3);
    assert_eq!(short.len(), fast, "a short queue is held: {short:?}");
}

#[test]
fn tried_endpoint_is_not_waited_for() {
    // A request that could not connect at the faster endpoint was held for that one until shortly before its objective.
    let list = vec![endpoint(1), Endpoint { machine_class: Some(MachineClassId(1)), ..endpoint(2) }];
    let mut harness = Harness::new(settings(1), list);
    harness.serve_in_turn(0, 120, |to| if to == 1 { 20.0 } else { 100.0 });
    harness.advance(300.0);
    assert_eq!(burst(&mut harness, 1000, 1), [(1000, 1)]);
    let again = sends(&harness.handle(ended(1000, 0, 1.0, Outcome::ConnectFailed)));
    assert_eq!(again, [(1000, 2)], "the slower one has a free slot");
}

#[test]
fn expected_latency_follows_responses() {
    // r7333: responses took 3 ms, yet a class was expected to take its first guess, a quarter of its objective, since
    // the endpoints' relative latencies had taken up the rest.
    let mut harness = Harness::new(settings(1), vec![Endpoint { weight: 1.0, ..endpoint(1) }]);
    harness.serve_in_turn(0, 60, |_| 20.0);
    harness.advance(200.0);
    assert_eq!(sends(&harness.handle(request(1000, 0, 2000.0))).len(), 1, "the one slot");
    assert!(sends(&harness.handle(request(1001, 0, 2000.0))).is_empty());
    let rejected = |actions: &[Action]| {
        actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == RequestId(1001)))
    };
    assert!(!rejected(&harness.advance(730.0)), "20 ms of work still fit into the 70 ms up to its objective");
    assert!(rejected(&harness.advance(70.0)), "at its objective it is of no more use");
}
