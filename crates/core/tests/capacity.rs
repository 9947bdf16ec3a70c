//! How many requests endpoints hold, and which part of that is a proxy's own.
mod common;
use common::*;
use leadrelay_core::*;

#[test]
fn overloaded_machine_class_gets_fewer_slots() {
    // i7496cc: overfilled endpoints looked as if they had more cores, and stayed overfilled.
    let large = |id| Endpoint { weight: 12.0, ..endpoint(id) };
    let mut harness = Harness::new(settings(1), vec![large(1), large(2)]);
    harness.serve_in_turn(0, 120, |_| 40.0);
    harness.advance(200.0);
    let baseline_slots = burst(&mut harness, 1000, 60).len();
    let mut second = Harness::new(settings(1), vec![large(1), large(2)]);
    second.serve_in_turn(0, 120, |_| 40.0);
    second.serve_in_turn(200, 200, |_| 200.0);
    let overloaded_slots = burst(&mut second, 1000, 60).len();
    assert!(
        overloaded_slots < baseline_slots * 2 / 3,
        "{overloaded_slots} slots under overload, {baseline_slots} without"
    );
}

#[test]
fn few_slow_endpoints_do_not_shrink_their_machine_class() {
    // ib2a989: three of fourteen endpoints eight times slower, and the slots of all others shrank.
    let gossiping = Settings { gossip_enabled: true, ..settings(1) };
    let mut harness = Harness::new(gossiping, (1..=10).map(endpoint).collect());
    harness.serve_in_turn(0, 300, |_| 40.0);
    let (sent, _) = harness.serve_open_loop(20_000, 2, |to, _| if to <= 7 { 600.0 } else { 40.0 });
    // Six slots, 40 ms each, for twenty seconds: they are never given up.
    let taken = sent.iter().filter(|s| s.1 > 7).count();
    assert!(taken >= 2900, "the healthy took {taken}");
}

#[test]
fn queueing_at_one_core_does_not_shrink_other_classes() {
    // i30d937: one-core endpoints that held two requests looked slow, and so others seemed to have few cores.
    let gossiping = Settings { gossip_enabled: true, ..settings(2) };
    let large = |id| Endpoint { machine_class: Some(MachineClassId(1)), weight: 8.0, ..endpoint(id) };
    let list: Vec<Endpoint> =
        (1..=8).map(|id| Endpoint { weight: 1.6, ..endpoint(id) }).chain((11..=14).map(large)).collect();
    let mut harness = Harness::new(gossiping, list);
    // A second request at a single core waits for the first.
    let (_, out) = harness
        .serve_open_loop(60_000, 1, |to, before| if to > 10 { 50.0 } else { 100.0 + 300.0 * before as f64 });
    let in_flight = out.iter().filter(|&&to| to > 10).count();
    assert!(in_flight >= 12, "four endpoints of four cores each hold {in_flight}");
}

#[test]
fn unmeasured_machine_class_gets_half_its_slots() {
    // La59078: a fleet jammed from the first second took the jam for calm and stayed in it.
    let gossiping = Settings { gossip_enabled: true, ..settings(1) };
    let list = vec![Endpoint { weight: 8.0, ..endpoint(1) }];
    let first = burst(&mut Harness::new(gossiping.clone(), list.clone()), 1000, 20).len();
    assert!((4..=6).contains(&first), "half of 8.8 slots at first: {first}");
    let mut harness = Harness::new(gossiping, list);
    harness.serve_in_turn(0, 80, |_| 50.0);
    harness.advance(2000.0);
    let later = burst(&mut harness, 2000, 20).len();
    assert!((8..=9).contains(&later), "all of them once the machine class is measured: {later}");
}

#[test]
fn too_low_baseline_recovers() {
    // A reload day: a lucky start passed for calm, and ten seconds long a third of the slots had to do.
    let gossiping = Settings { gossip_enabled: true, ..settings(1) };
    let mut harness = Harness::new(gossiping, vec![Endpoint { weight: 8.0, ..endpoint(1) }]);
    harness.serve_in_turn(0, 120, |_| 20.0);
    harness.serve_in_turn(1000, 400, |_| 50.0);
    let slots = burst(&mut harness, 5000, 20).len();
    assert!(slots >= 7, "{slots} of 8.8 slots");
}

#[test]
fn slots_of_proxies_do_not_overlap() {
    // Herding: many proxies saw the same open endpoints. Each slot is owned by one proxy.
    let n = 12;
    let list: Vec<Endpoint> = (0..20).map(endpoint).collect();
    let mut at = vec![0u32; 20];
    for proxy_index in 0..n {
        let base = settings(n);
        let mut harness = Harness::new(Settings { proxy_index, gossip_enabled: true, ..base }, list.clone());
        for (_, to) in burst(&mut harness, 0, 40) {
            at[to as usize] += 1;
        }
    }
    // Even before any message has come through, and with 480 requests for about 50 slots at once.
    let (max, all) = (*at.iter().max().unwrap(), at.iter().sum::<u32>());
    assert!((20..=200).contains(&all), "{all} sent in all: {at:?}");
    assert!(max <= 20, "{max} at one endpoint: {at:?}");
}

#[test]
fn each_of_many_proxies_owns_endpoints() {
    // bern: with 250 proxies on 60 small endpoints most proxies had no endpoint at all and rejected everything.
    let single_core = |id| Endpoint { weight: 1.0, ..endpoint(id) };
    let mut without = 0;
    for proxy_index in 0..50 {
        let base = settings(250);
        let mut harness = Harness::new(Settings { proxy_index, ..base }, (0..60).map(single_core).collect());
        harness.advance(1500.0);
        let sent = burst(&mut harness, 0, 30);
        assert!(sent.len() <= 20, "a small part of the fleet only: {}", sent.len());
        without += usize::from(sent.is_empty());
    }
    assert!(without <= 2, "{without} of 50 proxies have no endpoint");
}

#[test]
fn own_slots_are_kept_without_reports() {
    // The quiet day of three proxies fell from 0.81 to 0.76: slots were taken from owners whom all know by a hash.
    let mut at = [0u32; 30];
    for proxy_index in 0..3 {
        let list = (0..30).map(|id| Endpoint { weight: 1.0, ..endpoint(id) }).collect();
        let mut harness = Harness::new(Settings { proxy_index, gossip_enabled: true, ..settings(3) }, list);
        harness.serve_in_turn(0, 60, |_| 5.0);
        harness.advance(1000.0); // nothing is heard of the others
        for (_, to) in burst(&mut harness, 1000, 7) {
            at[to as usize] += 1;
        }
    }
    // About seven of the thirty slots are each one's own; the rest is borrowed, perhaps by two.
    assert!(at.iter().sum::<u32>() >= 18, "{at:?}");
    let shared = at.iter().filter(|n| **n > 1).count();
    assert!(shared <= 5, "two proxies at {shared} endpoints while others are idle: {at:?}");
}

#[test]
fn proxies_without_gossip_keep_few_in_flight() {
    // i1ce7d3: one slot at each endpoint for each of 38 proxies tipped endpoints into lasting slowness.
    let base = settings(38);
    let mut harness = Harness::new(Settings { key_affinity: true, ..base }, (0..40).map(endpoint).collect());
    harness.advance(500.0);
    let keyed_request = |id| Event::Request {
        id: RequestId(id),
        class: ClassId(1),
        tenant: None,
        key: Some(AffinityKey(id + 1)),
        timeout: 3000.0,
        announcement: TimeoutAnnouncement::Individual,
        expected_cost: None,
    };
    let sent: usize = (0..200).map(|id| sends(&harness.handle(keyed_request(id))).len()).sum();
    // Its fair part of some 104 slots is under three.
    assert!((4..=9).contains(&sent), "{sent} out at once");
}

#[test]
fn proxies_without_gossip_share_no_slot() {
    // At full size random subsets of 20 endpoints for each of 36 proxies overlapped twice and endpoints choked.
    let single_core = |id| Endpoint { weight: 1.0, ..endpoint(id) };
    let mut holders = std::collections::HashMap::<u64, usize>::new();
    for proxy_index in 0..8 {
        let mut harness =
            Harness::new(Settings { proxy_index, ..settings(8) }, (0..160).map(single_core).collect());
        harness.advance(1500.0);
        let sent = burst(&mut harness, 0, 60);
        assert!((8..=40).contains(&sent.len()), "{} of 20 slots in the mean", sent.len());
        sent.iter().for_each(|s| *holders.entry(s.1).or_default() += 1);
    }
    // A part of a slot above one a endpoint is rounded at random, so that some have two.
    let shared = holders.values().filter(|n| **n > 1).count();
    assert!(shared <= 40, "{shared} of 160 endpoints are held by several");
}

#[test]
fn proxies_without_gossip_pool_few_endpoints() {
    // 20 proxies with 29 one-core endpoints: one endpoint of one's own leaves long waits and idles for a round trip
    // between responses.
    let single_core = |id| Endpoint { weight: 1.0, ..endpoint(id) };
    let mut harness = Harness::new(settings(20), (0..29).map(single_core).collect());
    harness.advance(500.0);
    let mut reached = std::collections::HashSet::new();
    for id in 0..200 {
        for (id, to) in sends(&harness.handle(request(id, 0, 2000.0))) {
            reached.insert(to);
            harness.advance(20.0);
            harness.handle(ended(id, 0, 20.0, Outcome::Served));
        }
    }
    assert!(reached.len() >= 15, "only {} of 29 endpoints", reached.len());
}

#[test]
fn late_responses_shrink_window() {
    let out_at_once = |latency: Millis| {
        let single_core = |id| Endpoint { weight: 1.0, ..endpoint(id) };
        let mut harness = Harness::new(settings(20), (0..40).map(single_core).collect());
        let (_, still) = harness.serve_open_loop(6000, 12, |_, _| latency);
        still.len()
    };
    let (good, late) = (out_at_once(200.0), out_at_once(1100.0));
    assert!(good >= 12, "responses in good time widen it: {good}");
    assert!(late <= 6, "late ones, of 1200 ms, do not: {late}");
}

#[test]
fn attempt_in_transit_across_zones_takes_no_slot() {
    // r7333: where the way to another zone takes four times as long as the work, the attempts of another zone's
    // proxy kept a endpoint of one slot from its own proxy for the whole of that way.
    let here = |id| Endpoint { weight: 1.0, ..endpoint(id) };
    let there = Endpoint { zone: Some(ZoneId(1)), ..here(9) };
    let talks = Settings { gossip_enabled: true, ..settings(2) };
    let mut harness = Harness::new(talks.clone(), vec![there.clone()]);
    harness.serve_in_turn(0, 40, |_| 20.0);
    harness.handle(full(vec![here(1), there]));
    harness.serve_in_turn(100, 120, |to| if to == 1 { 4.0 } else { 20.0 });
    // A proxy of the other zone tells that it has two attempts out at endpoint 1.
    let large = Endpoint { weight: 16.0, ..here(1) };
    let mut other = Harness::new(Settings { proxy_index: 1, zone: Some(ZoneId(1)), ..talks }, vec![large]);
    assert_eq!(burst(&mut other, 0, 2).len(), 2);
    let gossiping = other.advance(300.0).into_iter().rev().find_map(|a| match a {
        Action::Broadcast(bytes) => Some(bytes),
        _ => None,
    });
    let gossiping = Event::Gossip { from: 1, bytes: gossiping.expect("it tells what it holds") };
    harness.handle(gossiping.clone());
    harness.advance(2000.0); // slots are shared out anew between the proxies of each zone
    harness.handle(gossiping);
    assert_eq!(burst(&mut harness, 1000, 1), [(1000, 1)], "its own slot is open");
    assert!(burst(&mut harness, 1001, 1).iter().all(|s| s.1 != 1), "and there is but one");
}
