//! Effects of changes to the endpoint list.
mod common;
use common::*;
use leadrelay_core::*;

#[test]
fn duplicate_restart_entry_keeps_slow_start() {
    // Guards against a fault that the property test found: a second entry for a restarted endpoint ended its slow
    // start.
    let restarted = Endpoint { started_at: Some(1000.0), ..endpoint(1) };
    let mut harness = Harness::new(settings(8), vec![endpoint(1)]);
    harness.handle(Event::List { scope: ListScope::Delta, entries: vec![restarted.clone(), restarted] });
    let sent = burst(&mut harness, 0, 20);
    assert!(sent.is_empty(), "an endpoint in slow start, shared by eight proxies: {sent:?}");
}

#[test]
fn draining_endpoint_gets_no_requests() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1)]);
    harness.handle(Event::List {
        scope: ListScope::Delta,
        entries: vec![Endpoint { state: EndpointState::Draining, ..endpoint(1) }],
    });
    let mut out = harness.handle(request(1, 1, 3000.0));
    out.extend(harness.advance(3000.0));
    assert!(sends(&out).is_empty());
    assert_eq!(rejections(&out), 1);
}

#[test]
fn invalid_and_extreme_weights_are_tolerated() {
    let with_weight = |weight| Endpoint { weight, ..endpoint(3) };
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300] {
        let mut harness = Harness::new(settings(3), vec![with_weight(weight), endpoint(4)]);
        burst(&mut harness, 0, 9);
        let out = harness.advance(4000.0);
        assert!(rejections(&out) <= 9);
    }
}

#[test]
fn removed_endpoints_are_reclaimed() {
    // Guards against a table that grows over long runs: each replaced endpoint kept its entry, and all entries were
    // examined ten times a second.
    for key_affinity in [false, true] {
        let mut harness =
            Harness::new(Settings { key_affinity, gossip_enabled: true, ..settings(2) }, vec![endpoint(0)]);
        // A request with an idempotency key: the endpoint of its first attempt must be known until it ends.
        harness.handle(request(1, 2, 1e9));
        let in_state = |id: u64, state| Endpoint { state, ..endpoint(id) };
        for id in 1..3000 {
            let entries = vec![in_state(id, EndpointState::Up), in_state(id - 1, EndpointState::Removed)];
            let mut actions = harness.handle(Event::List { scope: ListScope::Delta, entries });
            actions.extend(harness.advance(120.0));
            actions.extend(harness.handle(request(10 * id, 0, 3000.0)));
            let mut out = sends(&actions);
            // The endpoints that a complete list lacks are removed too.
            if id % 100 == 0 {
                out.extend(sends(&harness.handle(full_list(vec![in_state(id, EndpointState::Up)]))));
            }
            while let Some((sent, _)) = out.pop() {
                if sent > 1 {
                    out.extend(sends(&harness.handle(ended(sent, 0, 20.0, Outcome::Served))));
                }
            }
        }
        assert!(
            harness.balancer.endpoint_table_len() <= 8,
            "{} entries in the endpoint table",
            harness.balancer.endpoint_table_len()
        );
    }
}
