//! Outlier detection.
mod common;
use common::*;
use leadrelay_core::*;

#[test]
fn hanging_endpoint_is_ejected() {
    // Guards against an endpoint that hangs and still gets requests, which are lost one after the other.
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.serve_sequentially(0, 60, |_| 50.0);
    let stuck = burst(&mut harness, 1000, 8);
    let at_endpoint_1: Vec<u64> = stuck.iter().filter(|s| s.1 == 1).map(|s| s.0).collect();
    assert!(!at_endpoint_1.is_empty());
    harness.advance(100.0);
    let mut later_sends = vec![];
    for (id, _) in stuck.iter().filter(|s| s.1 == 2) {
        later_sends.extend(sends(&harness.handle(ended(*id, 0, 100.0, Outcome::Served))));
    }
    harness.advance(500.0);
    later_sends.extend(burst(&mut harness, 2000, 2));
    assert!(later_sends.iter().all(|s| s.1 != 1), "still sent to the silent endpoint: {later_sends:?}");
}

#[test]
fn fast_errors_eject_endpoint() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.serve_sequentially(0, 40, |_| 50.0);
    let mut failed = 0;
    for id in 1000..1060 {
        let sent = sends(&harness.handle(request(id, 1, 3000.0)));
        let Some(&(_, to)) = sent.first() else { continue };
        harness.advance(2.0);
        failed += u32::from(to == 1);
        harness.handle(ended(id, 0, 2.0, if to == 1 { Outcome::Error } else { Outcome::Served }));
    }
    assert!((2..8).contains(&failed), "{failed} of 60 went to the failing endpoint");
}

#[test]
fn panic_mode_does_not_open_rejecting_endpoints() {
    // Guards against flooding full endpoints: when most attempts failed, panic mode ignored all ejections, also those
    // of endpoints that rejected requests because they had no capacity left.
    let mut harness = Harness::new(settings(1), (0..4).map(endpoint).collect());
    harness.serve_sequentially(0, 40, |_| 50.0);
    let mut attempts = 0;
    for id in 1000..1200 {
        let mut sent = sends(&harness.handle(request(id, 0, 2000.0)));
        let mut attempt = 0;
        while let Some((id, _)) = sent.pop() {
            attempts += 1;
            let out = harness.handle(ended(id, attempt, 1.0, Outcome::Rejected));
            attempt += 1;
            sent = sends(&out);
            if sent.first().is_some_and(|s| s.0 != id) {
                break;
            }
        }
        harness.advance(5.0);
    }
    assert!(attempts < 60, "{attempts} attempts within a second at four full endpoints");
}

/// Serves requests of one class one after the other, each in `latency`.
fn serve_class(harness: &mut Harness, class: usize, first_id: u64, count: u64, latency: Millis) {
    for id in first_id..first_id + count {
        let sent = sends(&harness.handle(request(id, class, 2000.0)));
        assert_eq!(sent.len(), 1, "an idle endpoint takes the request");
        harness.advance(latency);
        harness.handle(ended(id, 0, latency, Outcome::Served));
    }
}

#[test]
fn endpoint_unresponsive_for_one_class_serves_others() {
    // Guards against an endpoint that ignores one class: requests of that class were lost there until the fault ended,
    // and each kept the only slot from the other classes.
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.serve_sequentially(0, 60, |_| 50.0);
    serve_class(&mut harness, 2, 100, 20, 50.0);
    harness.advance(300.0);
    // Endpoint 1 responds to class 0 and not to class 2; endpoint 2 responds to both. Without outlier detection by
    // class, 7 requests are lost.
    let (mut lost, mut other_class, mut in_flight) = (0, 0, vec![]);
    for id in 1000..1400 {
        let class = if id % 2 == 0 { 2 } else { 0 };
        in_flight.extend(sends(&harness.handle(request(id, class, 2000.0))));
        in_flight.extend(sends(&harness.advance(50.0)));
        for (id, to) in std::mem::take(&mut in_flight) {
            let ignored = to == 1 && id % 2 == 0;
            lost += usize::from(ignored && id >= 1100);
            other_class += usize::from(to == 1 && id % 2 == 1 && id >= 1100);
            if !ignored {
                harness.handle(ended(id, 0, 50.0, Outcome::Served));
            }
        }
    }
    assert!(lost <= 5, "{lost} of 150 requests were still sent to the endpoint that ignores them");
    assert!(other_class >= 20, "only {other_class} of 150 requests of the other class were sent to it");
}

#[test]
fn failures_common_to_all_endpoints_eject_none() {
    // Guards against ejections of all endpoints: one attempt in six failed everywhere, and all endpoints were ejected
    // or on probation.
    let mut harness = Harness::new(settings(1), (1..=10).map(endpoint).collect());
    harness.serve_sequentially(0, 100, |_| 50.0);
    let (mut in_flight, mut ended_count, mut rejected) = (vec![], 0u64, 0i64);
    for id in 1000..4000 {
        let mut actions = harness.advance(5.0);
        actions.extend(harness.handle(request(id, 1, 1200.0)));
        if in_flight.len() > 8 {
            let sent: u64 = in_flight.remove(0);
            ended_count += 1;
            let outcome = if ended_count % 6 < 1 { Outcome::Reset } else { Outcome::Served };
            actions.extend(harness.handle(ended(sent, 0, 40.0, outcome)));
            // The failure response to the request that was reset does not count.
            rejected -= i64::from(outcome == Outcome::Reset);
        }
        rejected += rejections(&actions) as i64;
        in_flight.extend(sends(&actions).into_iter().map(|s| s.0));
    }
    assert!(
        ended_count > 2500 && rejected < 100,
        "{ended_count} attempts ended, {rejected} requests rejected"
    );
}

#[test]
fn one_lost_response_does_not_eject_single_slot_endpoint() {
    // Guards against ejections for a single lost response: one response in fifty was lost, and each loss ejected its
    // endpoint as hanging, since with one slot no other response can arrive. The reset of the same attempt, which
    // followed, counted against the endpoint once more.
    let mut harness =
        Harness::new(settings(1), (1..5).map(|id| Endpoint { weight: 1.0, ..endpoint(id) }).collect());
    harness.serve_sequentially(0, 100, |_| 20.0);
    harness.advance(200.0);
    let respond_except_at_endpoint_1 = |harness: &mut Harness, first_id: u64| {
        let sent = burst(harness, first_id, 4);
        harness.advance(20.0);
        for (id, _) in sent.iter().filter(|s| s.1 != 1) {
            harness.handle(ended(*id, 0, 20.0, Outcome::Served));
        }
        harness.advance(200.0);
        sent
    };
    let first = respond_except_at_endpoint_1(&mut harness, 1000);
    assert_eq!(first.len(), 4, "one slot of each endpoint");
    let lost = first.iter().find(|s| s.1 == 1).expect("a request at endpoint 1");
    harness.handle(ended(lost.0, 0, 220.0, Outcome::Reset));
    let second = respond_except_at_endpoint_1(&mut harness, 2000);
    assert!(second.iter().any(|s| s.1 == 1), "after one lost response endpoint 1 is in use: {second:?}");
    // Two lost responses in a row, without another response between them, count as a hang.
    let third = respond_except_at_endpoint_1(&mut harness, 3000);
    assert!(third.iter().all(|s| s.1 != 1) && third.len() == 3, "endpoint 1 is ejected: {third:?}");
}

#[test]
fn two_failures_do_not_eject_amid_background_failures() {
    // Guards against ejections by chance: endpoints reset one connection in twenty at random, and two resets in a row
    // ejected an endpoint for at least 250 ms.
    let single_core_endpoints = || (1..5).map(|id| Endpoint { weight: 1.0, ..endpoint(id) }).collect();
    let stays_in_use = |fail_every: u64| {
        let mut harness = Harness::new(settings(1), single_core_endpoints());
        harness.serve_sequentially(0, 100, |_| 20.0);
        for id in 1000..1400 {
            assert_eq!(burst(&mut harness, id, 1).len(), 1);
            harness.advance(20.0);
            let outcome = if id % fail_every == 0 { Outcome::Reset } else { Outcome::Served };
            harness.handle(ended(id, 0, 20.0, outcome));
        }
        harness.advance(5000.0); // all ejections have ended
        for first_id in [2000, 2010] {
            let sent = burst(&mut harness, first_id, 4);
            harness.advance(20.0);
            for (id, to) in sent {
                harness.handle(ended(id, 0, 20.0, if to == 1 { Outcome::Reset } else { Outcome::Served }));
            }
        }
        burst(&mut harness, 3000, 4).iter().any(|s| s.1 == 1)
    };
    assert!(stays_in_use(17), "one attempt in seventeen fails at any endpoint");
    assert!(!stays_in_use(10_000), "nothing else fails");
}
