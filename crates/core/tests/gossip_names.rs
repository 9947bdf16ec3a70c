//! The 16-bit names of endpoints in gossip messages, where several endpoints share their first hash.
mod common;

use std::collections::HashMap;

use common::*;
use leadrelay_core::*;

/// Returns the first 16-bit hash of an id, as every version of leadrelay computes it.
fn first_hash(id: u64) -> u16 {
    let mut x = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as u16
}

/// Returns ids of 1024 endpoints, among them pairs with equal first hashes.
fn ids() -> Vec<u64> {
    (1..=1024).map(|n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect()
}

/// Returns pairs of ids with equal first hashes.
fn pairs(ids: &[u64]) -> Vec<(u64, u64)> {
    let mut by_hash: HashMap<u16, u64> = HashMap::new();
    ids.iter().filter_map(|id| Some((by_hash.insert(first_hash(*id), *id)?, *id))).collect()
}

/// Returns the gossip messages among these actions.
fn broadcasts(actions: &[Action]) -> Vec<Vec<u8>> {
    let bytes = |a: &Action| if let Action::Broadcast(bytes) = a { Some(bytes.clone()) } else { None };
    actions.iter().filter_map(bytes).collect()
}

fn proxy(proxy_index: u32, endpoints: &[u64]) -> Harness {
    let settings = Settings { proxy_index, gossip_enabled: true, ..settings(3) };
    Harness::seeded(settings, endpoints.iter().map(|id| endpoint(*id)).collect(), u64::from(proxy_index) + 1)
}

/// Returns the message of a proxy that has one attempt in flight to each of the endpoints `targets` and has ejected
/// none.
fn message_with_attempts_at(listed: &[u64], targets: &[u64]) -> Vec<u8> {
    let mut sender = proxy(1, listed);
    let mut request_id = 0;
    // All other endpoints are in maintenance, so that the request goes to this one.
    for id in targets {
        for other in listed {
            sender.handle(Event::Maintenance { endpoint: EndpointId(*other), enabled: other != id });
        }
        request_id += 1;
        let mut sent = sender.handle(request(request_id, 1, 60_000.0));
        sent.extend(sender.advance(200.0));
        assert_eq!(sends(&sent), [(request_id, *id)]);
    }
    broadcasts(&sender.advance(400.0)).pop().expect("a message")
}

/// Returns the message of a proxy that has ejected one endpoint.
fn message_with_outlier(listed: &[u64], unhealthy: u64) -> Vec<u8> {
    let mut sender = proxy(1, listed);
    for other in listed.iter().filter(|id| **id != unhealthy) {
        sender.handle(Event::Maintenance { endpoint: EndpointId(*other), enabled: true });
    }
    let mut messages = Vec::new();
    for id in 1..=8 {
        sender.handle(request(id, 1, 400.0));
        messages.extend(broadcasts(&sender.handle(ended(id, 0, 1.0, Outcome::Reset))));
        messages.extend(broadcasts(&sender.advance(60.0)));
    }
    messages.extend(broadcasts(&sender.advance(300.0)));
    messages.into_iter().rfind(|message| message[2] == 1).expect("a message with one outlier")
}

/// Returns for each of two endpoints whether it is avoided once two peers have sent a message that reports an outlier.
fn avoided_after(message: &[u8], listed: &[u64], endpoints: (u64, u64)) -> (bool, bool) {
    let is_avoided = |id: u64| {
        let mut receiver = proxy(0, listed);
        receiver.advance(700.0); // an endpoint that has just responded is not avoided
        for from in [1, 2] {
            receiver.handle(Event::Gossip { from, bytes: message.to_vec() });
        }
        let others = listed.iter().filter(|other| **other != id);
        for other in others {
            receiver.handle(Event::Maintenance { endpoint: EndpointId(*other), enabled: true });
        }
        count_reported_by_peers(&receiver) == 1
    };
    (is_avoided(endpoints.0), is_avoided(endpoints.1))
}

/// Returns the number of endpoints that are avoided because other proxies report them as outliers.
fn count_reported_by_peers(harness: &Harness) -> usize {
    harness.balancer.gauges(harness.now).endpoints_by_status[EndpointStatus::ReportedByPeers as usize]
}

#[test]
fn some_of_1024_ids_share_their_first_hash() {
    let pairs = pairs(&ids());
    assert!(pairs.len() > 2, "{} pairs", pairs.len());
}

#[test]
fn outlier_report_affects_only_its_endpoint() {
    let (one, other) = pairs(&ids())[0];
    for listed in [[one, other, 7], [other, one, 7]] {
        for (unhealthy, healthy) in [(one, other), (other, one)] {
            let message = message_with_outlier(&listed, unhealthy);
            assert_eq!(
                avoided_after(&message, &listed, (unhealthy, healthy)),
                (true, false),
                "{unhealthy} of {listed:?}"
            );
        }
    }
}

#[test]
fn first_hash_is_a_name_again_once_colliding_endpoint_is_removed() {
    let (one, other) = pairs(&ids())[0];
    let mut sender = proxy(1, &[one, other]);
    sender.handle(full_list(vec![endpoint(one)]));
    sender.advance(5000.0); // the entry of the removed endpoint has been reclaimed by then
    sender.handle(request(1, 1, 60_000.0));
    let message = broadcasts(&sender.advance(400.0)).pop().expect("a message");
    assert_eq!(message[3..], first_hash(one).to_le_bytes());
    let outlier_message = message_with_outlier(&[one], one);
    let mut receiver = proxy(0, &[one, other, 7]);
    receiver.handle(full_list(vec![endpoint(one), endpoint(7)]));
    receiver.advance(5000.0);
    for from in [1, 2] {
        receiver.handle(Event::Gossip { from, bytes: outlier_message.clone() });
    }
    assert_eq!(count_reported_by_peers(&receiver), 1, "two peers report it");
}

#[test]
fn report_under_colliding_name_is_ignored() {
    let (one, other) = pairs(&ids())[0];
    let message = message_with_outlier(&[one, 7], one); // the sender's list lacks the colliding endpoint
    assert_eq!(avoided_after(&message, &[one, other, 7], (one, other)), (false, false));
}

#[test]
fn names_of_1024_endpoints_are_unique_in_any_order() {
    let listed = ids();
    let backwards: Vec<u64> = listed.iter().rev().copied().collect();
    let in_pairs: Vec<u64> = pairs(&listed).iter().flat_map(|(a, b)| [*a, *b]).collect();
    let mut names = Vec::new();
    for id in in_pairs {
        let message = message_with_attempts_at(&listed, &[id]);
        assert_eq!(message[3..].len(), 2);
        assert_eq!(message, message_with_attempts_at(&backwards, &[id]));
        names.push([message[3], message[4]]);
    }
    let count = names.len();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), count, "each name stands for one endpoint");
}
