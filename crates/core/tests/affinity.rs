//! Requests with an affinity key.
mod common;
use common::*;
use leadrelay_core::*;

#[test]
fn key_has_same_affinity_endpoint_at_every_proxy() {
    let affinity_endpoints_at = |proxy_index: u32| {
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
    assert_eq!(affinity_endpoints_at(0), affinity_endpoints_at(3));
    assert!(
        affinity_endpoints_at(0).iter().any(|s| *s != affinity_endpoints_at(0)[0]),
        "keys are spread over the endpoints"
    );
}

/// Returns proxies of a large fleet that have measured their only endpoint, and a function that returns the gossip
/// message of a proxy with `n` requests in flight there.
fn fleet_with_one_endpoint(proxies: u32) -> (Vec<Harness>, impl Fn(u64) -> Vec<u8>) {
    let fleet_settings = |proxy_index, proxies| Settings {
        proxy_index,
        proxies,
        key_affinity: true,
        gossip_enabled: true,
        ..settings(1)
    };
    let keyed_request = |id| Event::Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        key: Some(AffinityKey(id)),
        timeout: 2000.0,
        announcement: TimeoutAnnouncement::Individual,
        expected_cost: None,
    };
    let harnesses = (0..proxies).map(|proxy_index| {
        let mut harness = Harness::new(fleet_settings(proxy_index, proxies), vec![endpoint(1)]);
        for id in 0..12 {
            let sent = sends(&harness.handle(keyed_request(id)));
            assert_eq!(sent, [(id, 1)], "an idle endpoint is used");
            harness.advance(50.0);
            harness.handle(ended(id, 0, 50.0, Outcome::Served));
            harness.advance(4000.0); // at this rate all proxies together keep the endpoint busy half of the time
        }
        harness
    });
    let message_reporting = move |n| {
        let mut harness = Harness::new(fleet_settings(0, 2), vec![endpoint(1)]);
        (0..n).for_each(|id| assert_eq!(sends(&harness.handle(keyed_request(id))).len(), 1));
        let actions = harness.advance(300.0);
        let actions =
            actions.iter().rev().find_map(|a| if let Action::Broadcast(b) = a { Some(b) } else { None });
        actions.expect("a gossip message within 300 ms").clone()
    };
    (harnesses.collect(), message_reporting)
}

#[test]
fn idle_slot_is_not_taken_by_all_proxies() {
    // Guards against herding: 100 proxies learned a quarter of a second late that a slot was free, and each of them
    // sent a request there.
    let (mut harnesses, message_reporting) = fleet_with_one_endpoint(40);
    let (busy, idle) = (message_reporting(1), message_reporting(0));
    let mut sent = 0;
    for harness in &mut harnesses {
        for round in 0..5 {
            (1..5).for_each(|from| drop(harness.handle(Event::Gossip { from, bytes: busy.clone() })));
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
        sent += sends(&harness.advance(40.0)).len(); // one review interval, or little more
    }
    assert!((1..=harnesses.len() / 2).contains(&sent), "40 proxies sent {sent} requests to one endpoint");
}

/// Guards against a fleet whose gossip is lost and whose proxies each treat the capacity of all endpoints as idle.
#[test]
fn capacity_does_not_count_as_idle_while_gossip_is_lost() {
    let (mut harnesses, message_reporting) = fleet_with_one_endpoint(40);
    let (one_attempt, no_attempt) = (message_reporting(1), message_reporting(0));
    let mut sent = 0;
    for harness in &mut harnesses {
        for _ in 0..40 {
            for from in 1..40 {
                let bytes = if from < 9 { one_attempt.clone() } else { no_attempt.clone() };
                harness.handle(Event::Gossip { from, bytes });
            }
            harness.advance(100.0);
        }
        harness.advance(1000.0); // all gossip reports have expired
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
    assert!(sent <= 4, "40 proxies sent {sent} requests to one endpoint that had eight in flight");
}

#[test]
fn stale_reports_allow_extra_requests() {
    // Guards against idle endpoints that count as full: one request in flight was reported, and the endpoint was idle
    // again long before a later report showed it.
    let (mut harnesses, message_reporting) = fleet_with_one_endpoint(40);
    let one_attempt = message_reporting(1);
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
    harness.handle(Event::Gossip { from: 1, bytes: one_attempt });
    assert_eq!(sends(&harness.handle(request)), [(100, 1)]);
}

#[test]
fn affinity_endpoint_prefers_high_priority_weight() {
    // Guards against admission that ignores weights: with half of the endpoints gone all classes were served alike,
    // and 33% of the requests earned only 34% of the weight.
    let low = class(Idempotency::Always, 800.0);
    let classes = vec![low.clone(), RequestClass { priority_weight: 10.0, ..low }];
    let base = Settings { classes, key_affinity: true, gossip_enabled: true, ..settings(40) };
    let (mut low_sent, mut high_sent) = (0, 0);
    let busy = fleet_with_one_endpoint(2).1(1);
    for proxy_index in 0..40 {
        let mut harness = Harness::new(Settings { proxy_index, ..base.clone() }, vec![endpoint(1)]);
        harness.serve_sequentially(0, 30, |_| 50.0);
        harness.advance(4000.0);
        // Each proxy gets ten requests of each class in a second. One endpoint can serve far less than 40 proxies get.
        for step in 0..20 {
            (39..41).for_each(|i| {
                drop(harness.handle(Event::Gossip { from: (proxy_index + i) % 40, bytes: busy.clone() }))
            });
            let (key, class, id) = (Some(AffinityKey(1)), ClassId(step as usize % 2), RequestId(100 + step));
            let (tenant, expected_cost) = (None, None);
            let mut actions = harness.handle(Event::Request {
                id,
                class,
                tenant,
                key,
                timeout: 2000.0,
                announcement: TimeoutAnnouncement::Individual,
                expected_cost,
            });
            actions.extend(harness.advance(50.0));
            for (id, _) in sends(&actions) {
                if id % 2 == 0 {
                    low_sent += 1
                } else {
                    high_sent += 1
                }
                harness.handle(ended(id, 0, 50.0, Outcome::Served));
            }
        }
    }
    assert!(
        4 * high_sent > 5 * low_sent,
        "{low_sent} requests of low weight and {high_sent} of high weight were sent"
    );
}
