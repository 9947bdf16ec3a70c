//! Selection of an endpoint, and the threshold for holding a request for a faster one.
mod common;
use common::*;
use leadrelay_core::*;

#[test]
fn requests_are_held_until_queue_exceeds_threshold() {
    let list = vec![endpoint(1), Endpoint { machine_class: Some(MachineClassId(1)), ..endpoint(2) }];
    let mut harness = Harness::new(settings(1), list);
    harness.serve_sequentially(0, 120, |to| if to == 1 { 20.0 } else { 100.0 });
    harness.advance(300.0);
    let sent = burst(&mut harness, 1000, 30);
    let on_fast = sent.iter().filter(|s| s.1 == 1).count();
    assert!(
        on_fast > 0 && sent[..on_fast].iter().all(|s| s.1 == 1),
        "the fast endpoint fills first: {sent:?}"
    );
    assert!(sent.len() < 30, "some requests are held");
    assert!(sent.iter().any(|s| s.1 == 2), "a long queue spills over to the slow endpoint: {sent:?}");
    // The oldest held request is sent only once the queue has grown beyond the threshold.
    let spilled = 1000 + on_fast as u64;
    assert_eq!(sent[on_fast], (spilled, 2), "the oldest request is sent: {sent:?}");
    let mut second = Harness::new(
        settings(1),
        vec![endpoint(1), Endpoint { machine_class: Some(MachineClassId(1)), ..endpoint(2) }],
    );
    second.serve_sequentially(0, 120, |to| if to == 1 { 20.0 } else { 100.0 });
    second.advance(300.0);
    let short_burst = burst(&mut second, 1000, on_fast as u64 + 3);
    assert_eq!(short_burst.len(), on_fast, "a short queue is held: {short_burst:?}");
}

#[test]
fn request_does_not_wait_for_an_endpoint_that_it_has_tried() {
    // Guards against waiting in vain: a request that failed to connect to the faster endpoint was held for that
    // endpoint until shortly before its objective.
    let list = vec![endpoint(1), Endpoint { machine_class: Some(MachineClassId(1)), ..endpoint(2) }];
    let mut harness = Harness::new(settings(1), list);
    harness.serve_sequentially(0, 120, |to| if to == 1 { 20.0 } else { 100.0 });
    harness.advance(300.0);
    assert_eq!(burst(&mut harness, 1000, 1), [(1000, 1)]);
    let retry = sends(&harness.handle(ended(1000, 0, 1.0, Outcome::ConnectFailed)));
    assert_eq!(retry, [(1000, 2)], "the slower endpoint has a free slot");
}

#[test]
fn expected_latency_follows_responses() {
    // Guards against an expected latency that never adapts: responses took 3 ms, but the expected latency of a class
    // stayed at its initial value, a quarter of its objective, as the endpoints' relative latencies absorbed the
    // difference.
    let mut harness = Harness::new(settings(1), vec![Endpoint { weight: 1.0, ..endpoint(1) }]);
    harness.serve_sequentially(0, 60, |_| 20.0);
    harness.advance(200.0);
    assert_eq!(sends(&harness.handle(request(1000, 0, 2000.0))).len(), 1, "the endpoint has one slot");
    assert!(sends(&harness.handle(request(1001, 0, 2000.0))).is_empty());
    let rejected = |actions: &[Action]| {
        actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == RequestId(1001)))
    };
    assert!(!rejected(&harness.advance(730.0)), "20 ms of work still fit into the 70 ms up to its objective");
    assert!(rejected(&harness.advance(70.0)), "at its objective a request is given up");
}
