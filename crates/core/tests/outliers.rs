//! Outlier detection.
mod common;
use common::*;
use leadrelay_core::*;

#[test]
fn hanging_endpoint_is_ejected() {
    // hang: requests sent there were lost one after the other.
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.serve_in_turn(0, 60, |_| 50.0);
    let stuck = burst(&mut harness, 1000, 8);
    let on_one: Vec<u64> = stuck.iter().filter(|s| s.1 == 1).map(|s| s.0).collect();
    assert!(!on_one.is_empty());
    harness.advance(100.0);
    let mut later = vec![];
    for (id, _) in stuck.iter().filter(|s| s.1 == 2) {
        later.extend(sends(&harness.handle(ended(*id, 0, 100.0, Outcome::Served))));
    }
    harness.advance(500.0);
    later.extend(burst(&mut harness, 2000, 2));
    assert!(later.iter().all(|s| s.1 != 1), "still sent to the silent endpoint: {later:?}");
}

#[test]
fn fast_errors_eject_endpoint() {
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.serve_in_turn(0, 40, |_| 50.0);
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
    // iab5ffd: when most attempts failed, health was disbelieved and full endpoints were flooded.
    let mut harness = Harness::new(settings(1), (0..4).map(endpoint).collect());
    harness.serve_in_turn(0, 40, |_| 50.0);
    let mut attempts = 0;
    for id in 1000..1200 {
        let mut sent = sends(&harness.handle(request(id, 0, 2000.0)));
        let mut attempt = 0;
        while let Some((of, _)) = sent.pop() {
            attempts += 1;
            let out = harness.handle(ended(of, attempt, 1.0, Outcome::Rejected));
            attempt += 1;
            sent = sends(&out);
            if sent.first().is_some_and(|s| s.0 != of) {
                break;
            }
        }
        harness.advance(5.0);
    }
    assert!(attempts < 60, "{attempts} attempts within a second at four full endpoints");
}

/// As `Harness::serve_in_turn`, but request after request of one class.
fn serve(harness: &mut Harness, class: usize, first: u64, count: u64, latency: Millis) {
    for id in first..first + count {
        let sent = sends(&harness.handle(request(id, class, 2000.0)));
        assert_eq!(sent.len(), 1, "an idle endpoint takes it");
        harness.advance(latency);
        harness.handle(ended(id, 0, latency, Outcome::Served));
    }
}

#[test]
fn endpoint_unresponsive_for_one_class_serves_others() {
    // class_fail: requests of the ignored class were lost there to the end of the trouble, and each kept the
    // only slot from the other classes.
    let mut harness = Harness::new(settings(1), vec![endpoint(1), endpoint(2)]);
    harness.serve_in_turn(0, 60, |_| 50.0);
    serve(&mut harness, 2, 100, 20, 50.0);
    harness.advance(300.0);
    // Server 1 responses class 0 and leaves class 2 unanswered; endpoint 2 responses all.
    // Without health by class 7 are lost.
    let (mut lost, mut other, mut out) = (0, 0, vec![]);
    for id in 1000..1400 {
        let class = if id % 2 == 0 { 2 } else { 0 };
        out.extend(sends(&harness.handle(request(id, class, 2000.0))));
        out.extend(sends(&harness.advance(50.0)));
        for (id, to) in std::mem::take(&mut out) {
            let ignored = to == 1 && id % 2 == 0;
            lost += usize::from(ignored && id >= 1100);
            other += usize::from(to == 1 && id % 2 == 1 && id >= 1100);
            if !ignored {
                harness.handle(ended(id, 0, 50.0, Outcome::Served));
            }
        }
    }
    assert!(lost <= 5, "{lost} of 150 went on to where they are ignored");
    assert!(other >= 20, "only {other} of 150 of the other class went there");
}

#[test]
fn failures_common_to_all_endpoints_eject_none() {
    // wide+reset+stale: one attempt in six failed everywhere, and all endpoints were closed or on trial.
    let mut harness = Harness::new(settings(1), (1..=10).map(endpoint).collect());
    harness.serve_in_turn(0, 100, |_| 50.0);
    let (mut out, mut count, mut rejected) = (vec![], 0u64, 0i64);
    for id in 1000..4000 {
        let mut actions = harness.advance(5.0);
        actions.extend(harness.handle(request(id, 1, 1200.0)));
        if out.len() > 8 {
            let sent: u64 = out.remove(0);
            count += 1;
            let outcome = if count % 6 < 1 { Outcome::Reset } else { Outcome::Served };
            actions.extend(harness.handle(ended(sent, 0, 40.0, outcome)));
            rejected -= i64::from(outcome == Outcome::Reset); // its own answer, a failure
        }
        rejected += rejections(&actions) as i64;
        out.extend(sends(&actions).into_iter().map(|s| s.0));
    }
    assert!(count > 2500 && rejected < 100, "{count} answered, {rejected} rejected");
}

#[test]
fn one_lost_response_does_not_eject_single_slot_endpoint() {
    // r7333: one answer in fifty never came, and each closed its endpoint as hung, since nothing else can move
    // where there is one slot. Its reset, heard of later, counted against the endpoint once more.
    let mut harness =
        Harness::new(settings(1), (1..5).map(|id| Endpoint { weight: 1.0, ..endpoint(id) }).collect());
    harness.serve_in_turn(0, 100, |_| 20.0);
    harness.advance(200.0);
    let all_but_one = |harness: &mut Harness, first: u64| {
        let sent = burst(harness, first, 4);
        harness.advance(20.0);
        for (id, _) in sent.iter().filter(|s| s.1 != 1) {
            harness.handle(ended(*id, 0, 20.0, Outcome::Served));
        }
        harness.advance(200.0);
        sent
    };
    let first = all_but_one(&mut harness, 1000);
    assert_eq!(first.len(), 4, "a slot each");
    let lost = first.iter().find(|s| s.1 == 1).expect("one went there");
    harness.handle(ended(lost.0, 0, 220.0, Outcome::Reset));
    let second = all_but_one(&mut harness, 2000);
    assert!(second.iter().any(|s| s.1 == 1), "blamed once, it is still open: {second:?}");
    // Two in a row with nothing between them are a hang.
    let third = all_but_one(&mut harness, 3000);
    assert!(third.iter().all(|s| s.1 != 1) && third.len() == 3, "closed now: {third:?}");
}

#[test]
fn two_failures_do_not_eject_amid_background_failures() {
    // r6407: endpoints broke one connection in twenty, at random, and two in a row closed one for 250 ms and more.
    let list = || (1..5).map(|id| Endpoint { weight: 1.0, ..endpoint(id) }).collect();
    let still_open = |fail_every: u64| {
        let mut harness = Harness::new(settings(1), list());
        harness.serve_in_turn(0, 100, |_| 20.0);
        for id in 1000..1400 {
            assert_eq!(burst(&mut harness, id, 1).len(), 1);
            harness.advance(20.0);
            let outcome = if id % fail_every == 0 { Outcome::Reset } else { Outcome::Served };
            harness.handle(ended(id, 0, 20.0, outcome));
        }
        harness.advance(5000.0); // all are open again
        for first in [2000, 2010] {
            let sent = burst(&mut harness, first, 4);
            harness.advance(20.0);
            for (id, to) in sent {
                harness.handle(ended(id, 0, 20.0, if to == 1 { Outcome::Reset } else { Outcome::Served }));
            }
        }
        burst(&mut harness, 3000, 4).iter().any(|s| s.1 == 1)
    };
    assert!(still_open(17), "one in seventeen fails anywhere");
    assert!(!still_open(10_000), "nothing else fails");
}
