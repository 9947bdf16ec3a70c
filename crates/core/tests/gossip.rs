//! Gossip messages in large fleets: zones, attempts in flight and the size of messages.
mod common;

use std::collections::HashSet;

use common::*;
use leadrelay_core::*;

/// Returns the gossip messages among these actions.
fn broadcasts(actions: &[Action]) -> Vec<Vec<u8>> {
    let bytes = |a: &Action| if let Action::Broadcast(bytes) = a { Some(bytes.clone()) } else { None };
    actions.iter().filter_map(bytes).collect()
}

fn in_zone(zone: u32, proxy_index: u32) -> Settings {
    Settings { proxy_index, zone: Some(ZoneId(zone)), gossip_enabled: true, ..settings(2) }
}

/// Returns whether a proxy in `zone` treats two attempts to an endpoint there as crossing zones, if a proxy in
/// `sender_zone` reports them. Such attempts are at the endpoint for a small part of their time only, and leave its
/// slot free.
fn counts_as_crossing(zone: u32, sender_zone: u32) -> bool {
    let local = |id| Endpoint { zone: Some(ZoneId(zone)), weight: 1.0, ..endpoint(id) };
    let remote = Endpoint { zone: Some(ZoneId(zone + 1)), ..local(9) };
    let mut harness = Harness::new(in_zone(zone, 0), vec![remote.clone()]);
    harness.serve_sequentially(0, 40, |_| 20.0);
    harness.handle(full_list(vec![local(1), remote]));
    harness.serve_sequentially(100, 120, |to| if to == 1 { 4.0 } else { 20.0 });
    let mut sender = Harness::new(in_zone(sender_zone, 1), vec![Endpoint { weight: 16.0, ..local(1) }]);
    (0..2).for_each(|id| assert_eq!(sends(&sender.handle(request(id, 1, 3000.0))), [(id, 1)]));
    let message = broadcasts(&sender.advance(300.0)).pop().expect("a message with its attempts");
    assert!(message.len() <= 256, "{} bytes", message.len());
    let message = Event::Gossip { from: 1, bytes: message };
    harness.handle(message.clone());
    harness.advance(2000.0); // own slots are assigned again, among the proxies of each zone
    harness.handle(message);
    sends(&harness.handle(request(1000, 1, 3000.0))) == [(1000, 1)]
}

#[test]
fn message_carries_any_of_1024_zones() {
    for zone in [0, 1, 254, 255, 256, 511, 512, 767, 1023] {
        assert!(!counts_as_crossing(zone, zone), "sender and receiver are both in zone {zone}");
        for other in [zone & 0xff, zone ^ 0x100, 255, 0].into_iter().filter(|other| *other != zone) {
            assert!(
                counts_as_crossing(other, zone),
                "the sender is in zone {zone}, the receiver in zone {other}"
            );
        }
    }
}

#[test]
fn attempts_at_1024_endpoints_are_reported_in_turn() {
    let single_core = |id: u64| Endpoint { weight: 1.0, ..endpoint(id) };
    let classes = vec![class(Idempotency::Always, 800.0), class(Idempotency::Never, 600_000.0)];
    let settings = Settings { zone: Some(ZoneId(1023)), classes, gossip_enabled: true, ..settings(2) };
    let mut harness = Harness::new(settings, (1..=1024).map(single_core).collect());
    let mut loaded = HashSet::new();
    for id in 0..1024 {
        let mut actions = harness.handle(request(id, 1, 600_000.0));
        actions.extend(harness.advance(if id % 16 == 0 { 20.0 } else { 0.0 }));
        loaded.extend(sends(&actions).iter().map(|(_, to)| *to));
    }
    loaded.extend(sends(&harness.advance(2000.0)).iter().map(|(_, to)| *to));
    assert_eq!(loaded.len(), 1024, "endpoints with a request");
    let mut reported_names = HashSet::new();
    for message in broadcasts(&harness.advance(4000.0)) {
        assert!(message.len() <= 256, "{} bytes", message.len());
        assert_eq!(message[2], 0, "the message reports no outlier");
        reported_names.extend(message[3..].chunks_exact(2).map(<[u8]>::to_vec));
    }
    assert_eq!(reported_names.len(), loaded.len(), "endpoints reported, of those with requests in flight");
}
