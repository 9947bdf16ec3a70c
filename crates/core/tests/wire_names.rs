//! What proxies tell each other of servers, where many share the 16 bits of a name.
mod common;

use std::collections::HashMap;

use common::*;
use leadrelay_core::*;

/// The first 16-bit hash of an id, as every version of the program works it out.
fn first_hash(id: u64) -> u16 {
    let mut x = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as u16
}

/// Ids of servers, among them pairs with equal first hashes.
fn ids() -> Vec<u64> {
    (1..=1024).map(|n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect()
}

fn pairs(ids: &[u64]) -> Vec<(u64, u64)> {
    let mut by_hash: HashMap<u16, u64> = HashMap::new();
    ids.iter().filter_map(|id| Some((by_hash.insert(first_hash(*id), *id)?, *id))).collect()
}

fn told(actions: &[Action]) -> Vec<Vec<u8>> {
    let bytes = |a: &Action| if let Action::Broadcast(bytes) = a { Some(bytes.clone()) } else { None };
    actions.iter().filter_map(bytes).collect()
}

fn proxy(proxy_index: u32, servers: &[u64]) -> Hand {
    let settings = Settings { proxy_index, gossip_enabled: true, ..settings(3) };
    Hand::seeded(settings, servers.iter().map(|id| server(*id)).collect(), u64::from(proxy_index) + 1)
}

/// The word of a proxy that has one request out at each of these servers and sees nothing wrong.
fn word_of_attempts_at(listed: &[u64], at: &[u64]) -> Vec<u8> {
    let mut teller = proxy(1, listed);
    let mut request_id = 0;
    // All others are taken out of use, so that the requests go where they should.
    for id in at {
        for other in listed {
            teller.give(Event::Maintenance { endpoint: EndpointId(*other), enabled: other != id });
        }
        request_id += 1;
        let mut sent = teller.give(request(request_id, 1, 60_000.0));
        sent.extend(teller.pass(200.0));
        assert_eq!(sends(&sent), [(request_id, *id)]);
    }
    told(&teller.pass(400.0)).pop().expect("a message")
}

/// The word of a proxy that holds one server for ill.
fn word_of_blame(listed: &[u64], ill: u64) -> Vec<u8> {
    let mut teller = proxy(1, listed);
    for other in listed.iter().filter(|id| **id != ill) {
        teller.give(Event::Maintenance { endpoint: EndpointId(*other), enabled: true });
    }
    let mut words = Vec::new();
    for id in 1..=8 {
        teller.give(request(id, 1, 400.0));
        words.extend(told(&teller.give(ended(id, 0, 1.0, Outcome::Reset))));
        words.extend(told(&teller.pass(60.0)));
    }
    words.extend(told(&teller.pass(300.0)));
    words.into_iter().rfind(|word| word[2] == 1).expect("a message with one blame")
}

/// Which of two servers the blame of two peers takes out of use.
fn closed_by(word: &[u8], listed: &[u64], of: (u64, u64)) -> (bool, bool) {
    let is_closed = |id: u64| {
        let mut hearer = proxy(0, listed);
        hearer.pass(700.0); // what has just been served is not believed to be ill
        for from in [1, 2] {
            hearer.give(Event::Gossip { from, bytes: word.to_vec() });
        }
        let banned = listed.iter().filter(|other| **other != id);
        for other in banned {
            hearer.give(Event::Maintenance { endpoint: EndpointId(*other), enabled: true });
        }
        blamed(&hearer) == 1
    };
    (is_closed(of.0), is_closed(of.1))
}

/// Servers that are out of use because other proxies hold them for ill.
fn blamed(hand: &Hand) -> usize {
    hand.balancer.gauges(hand.now).endpoints_by_status[EndpointStatus::ReportedByPeers as usize]
}

#[test]
fn of_1024_servers_some_share_their_first_hash() {
    let pairs = pairs(&ids());
    assert!(pairs.len() > 2, "{} pairs", pairs.len());
}

#[test]
fn blame_for_a_server_closes_no_other_one_with_the_same_first_hash() {
    let (one, other) = pairs(&ids())[0];
    for listed in [[one, other, 7], [other, one, 7]] {
        for (ill, well) in [(one, other), (other, one)] {
            let word = word_of_blame(&listed, ill);
            assert_eq!(closed_by(&word, &listed, (ill, well)), (true, false), "{ill} of {listed:?}");
        }
    }
}

#[test]
fn a_server_is_told_again_once_one_with_the_same_first_hash_has_left() {
    let (one, other) = pairs(&ids())[0];
    let mut teller = proxy(1, &[one, other]);
    teller.give(full(vec![server(one)]));
    teller.pass(5000.0); // the other one's place is vacant by then
    teller.give(request(1, 1, 60_000.0));
    let word = told(&teller.pass(400.0)).pop().expect("a message");
    assert_eq!(word[3..], first_hash(one).to_le_bytes());
    let hearer_word = word_of_blame(&[one], one);
    let mut hearer = proxy(0, &[one, other, 7]);
    hearer.give(full(vec![server(one), server(7)]));
    hearer.pass(5000.0);
    for from in [1, 2] {
        hearer.give(Event::Gossip { from, bytes: hearer_word.clone() });
    }
    assert_eq!(blamed(&hearer), 1, "two peers blame it");
}

#[test]
fn word_of_a_name_that_two_listed_servers_hash_to_is_passed_over() {
    let (one, other) = pairs(&ids())[0];
    let word = word_of_blame(&[one, 7], one); // the teller's list lacks the other one
    assert_eq!(closed_by(&word, &[one, other, 7], (one, other)), (false, false));
}

#[test]
fn each_of_1024_servers_has_a_name_of_its_own_whatever_the_order_of_the_list() {
    let listed = ids();
    let backwards: Vec<u64> = listed.iter().rev().copied().collect();
    let in_pairs: Vec<u64> = pairs(&listed).iter().flat_map(|(a, b)| [*a, *b]).collect();
    let mut names = Vec::new();
    for id in in_pairs {
        let word = word_of_attempts_at(&listed, &[id]);
        assert_eq!(word[3..].len(), 2);
        assert_eq!(word, word_of_attempts_at(&backwards, &[id]));
        names.push([word[3], word[4]]);
    }
    let count = names.len();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), count, "names stand for one server each");
}
