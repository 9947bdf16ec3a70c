//! Requests with an affinity key.
mod common;
use common::*;
use leadrelay_core::*;

#[test]
fn key_has_same_affinity_endpoint_at_every_proxy() {
    let affinity_endpoint = |proxy_index: u32| {
        let base = settings(5);
        let mut harness = Harness::new(
            Settings { proxy_index, key_affinity: true, ..base },
            (0..12).map(endpoint).collect(),
        );
        let keyed_request = |id, key| Event::Request {
            id: RequestId(id),
            class: ClassId(0),
            tenant: None,
            key: Some(AffinityKey(key)),
            timeout: 2000.0,
            announcement: TimeoutAnnouncement::Individual,
            expected_cost: None,
        };
        let mut affinity_endpoints = vec![];
        for key in 1..9 {
            affinity_endpoints.push(sends(&harness.handle(keyed_request(key, key)))[0].1);
            harness.handle(ended(key, 0, 0.0, Outcome::Served));
        }
        affinity_endpoints
    };
    assert_eq!(affinity_endpoint(0), affinity_endpoint(3));
    assert!(affinity_endpoint(0).iter().any(|s| *s != affinity_endpoint(0)[0]), "keys spread");
}

/// Proxies of a large fleet that know how fast their one endpoint is, and what one of them tells while it holds
/// `n` requests there.
fn fleet_with_one_server(proxies: u32) -> (Vec<Harness>, impl Fn(u64) -> Vec<u8>) {
    let cfg = |proxy_index, proxies| Settings {
        proxy_index,
        proxies,
        key_affinity: true,
        gossip_enabled: true,
        ..settings(1)
    };
    let keyed = |id| Event::Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        key: Some(AffinityKey(id)),
        timeout: 2000.0,
        announcement: TimeoutAnnouncement::Individual,
        expected_cost: None,
    };
    let harnesses = (0..proxies).map(|proxy_index| {
        let mut harness = Harness::new(cfg(proxy_index, proxies), vec![endpoint(1)]);
        for id in 0..12 {
            let sent = sends(&harness.handle(keyed(id)));
            assert_eq!(sent, [(id, 1)], "an idle endpoint is used");
            harness.advance(50.0);
            harness.handle(ended(id, 0, 50.0, Outcome::Served));
            harness.advance(4000.0); // together they use it for half the time
        }
        harness
    });
    let word = move |n| {
        let mut harness = Harness::new(cfg(0, 2), vec![endpoint(1)]);
        (0..n).for_each(|id| assert_eq!(sends(&harness.handle(keyed(id))).len(), 1));
        let report = harness.advance(300.0);
        let report =
            report.iter().rev().find_map(|a| if let Action::Broadcast(b) = a { Some(b) } else { None });
        report.expect("it tells now and then").clone()
    };
    (harnesses.collect(), word)
}

#[test]
fn idle_slot_is_not_taken_by_all_proxies() {
    // zone+vast: 100 proxies saw a slot come free a quarter of a second late and each sent something there.
    let (mut harnesses, word) = fleet_with_one_server(40);
    let (full, idle) = (word(1), word(0));
    let mut sent = 0;
    for harness in &mut harnesses {
        for round in 0..5 {
            (1..5).for_each(|from| drop(harness.handle(Event::Gossip { from, bytes: full.clone() })));
            let (id, key) = (RequestId(100 + round), Some(AffinityKey(round)));
            let (class, tenant, expected_cost) = (ClassId(0), None, None);
            harness.handle(Event::Request {
                id,
                class,
                tenant,
                key,
                timeout: 2000.0,
                announcement: TimeoutAnnouncement::Individual,
                expected_cost,
            });
            harness.advance(100.0);
        }
        (1..5).for_each(|from| {
            sent += sends(&harness.handle(Event::Gossip { from, bytes: idle.clone() })).len();
        });
        sent += sends(&harness.advance(40.0)).len(); // within one epoch, or little more
    }
    assert!((1..=harnesses.len() / 2).contains(&sent), "{sent} of 40 proxies' requests for one endpoint");
}

/// Guards against a fleet whose gossip is lost and whose proxies each take the capacity of all endpoints for idle.
#[test]
fn load_of_unheard_proxies_is_not_taken_for_idle() {
    let (mut harnesses, word) = fleet_with_one_server(40);
    let (one, none) = (word(1), word(0));
    let mut sent = 0;
    for harness in &mut harnesses {
        for _ in 0..40 {
            for from in 1..40 {
                let bytes = if from < 9 { one.clone() } else { none.clone() };
                harness.handle(Event::Gossip { from, bytes });
            }
            harness.advance(100.0);
        }
        harness.advance(1000.0); // no proxy is heard any more
        let (id, class, tenant, expected_cost) = (RequestId(100), ClassId(0), None, None);
        let key = Some(AffinityKey(1));
        let request = Event::Request {
            id,
            class,
            tenant,
            key,
            timeout: 2000.0,
            announcement: TimeoutAnnouncement::Individual,
            expected_cost,
        };
        sent += sends(&harness.handle(request)).len() + sends(&harness.advance(200.0)).len();
    }
    assert!(sent <= 4, "{sent} of 40 proxies' requests for one endpoint that held eight");
}

#[test]
fn stale_reports_allow_extra_requests() {
    // herd+vast: a endpoint counted as full with one request, though it was idle again long before that showed.
    let (mut harnesses, word) = fleet_with_one_server(40);
    let one = word(1);
    let request = Event::Request {
        id: RequestId(100),
        class: ClassId(0),
        tenant: None,
        key: Some(AffinityKey(100)),
        timeout: 2000.0,
        announcement: TimeoutAnnouncement::Individual,
        expected_cost: None,
    };
    let harness = &mut harnesses[7];
    harness.handle(Event::Gossip { from: 1, bytes: one });
    assert_eq!(sends(&harness.handle(request)), [(100, 1)]);
}

#[test]
fn affinity_endpoint_admits_highest_weight() {
    // zone+vast: with half the endpoints gone each class was served alike, 34% of the weight for 33% of the requests.
    let low = class(Idempotency::Always, 800.0);
    let classes = vec![low.clone(), RequestClass { priority_weight: 10.0, ..low }];
    let base = Settings { classes, key_affinity: true, gossip_enabled: true, ..settings(40) };
    let (mut of_low, mut of_high) = (0, 0);
    let busy = fleet_with_one_server(2).1(1);
    for proxy_index in 0..40 {
        let mut harness = Harness::new(Settings { proxy_index, ..base.clone() }, vec![endpoint(1)]);
        harness.serve_in_turn(0, 30, |_| 50.0);
        harness.advance(4000.0);
        // Ten of each class a second, alike at all proxies: far more than one endpoint can do for 40 proxies.
        for step in 0..20 {
            (39..41).for_each(|i| {
                drop(harness.handle(Event::Gossip { from: (proxy_index + i) % 40, bytes: busy.clone() }))
            });
            let (key, class, id) = (Some(AffinityKey(1)), ClassId(step as usize % 2), RequestId(100 + step));
            let (tenant, expected_cost) = (None, None);
            let mut done = harness.handle(Event::Request {
                id,
                class,
                tenant,
                key,
                timeout: 2000.0,
                announcement: TimeoutAnnouncement::Individual,
                expected_cost,
            });
            done.extend(harness.advance(50.0));
            for (id, _) in sends(&done) {
                if id % 2 == 0 {
                    of_low += 1
                } else {
                    of_high += 1
                }
                harness.handle(ended(id, 0, 50.0, Outcome::Served));
            }
        }
    }
    assert!(4 * of_high > 5 * of_low, "{of_low} of little weight and {of_high} of much were sent");
}
