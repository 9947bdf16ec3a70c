//! Cold servers under the sum of all proxies, no message heard: what the operators' term allows, and no more.
mod common;
use common::*;
use leadrelay_core::*;

const WORK: Millis = 100.0; // of each request, on a core of speed 1; the servers here have one
const COLD: u64 = 100;

/// A fleet beside a server that starts, and what may trouble it.
#[derive(Clone)]
struct Start {
    settings: Settings,
    proxies: u32,
    quiet: Millis,  // no requests for this long after the start, then many
    restarted: u32, // these proxies start anew at the same moment, with what discovery tells
    twins: bool,    // each proxy is two processes, of which one has just come
    span: Millis,   // how long is looked on
}

fn start(proxies: u32) -> Start {
    let mut settings = Settings { gossip_enabled: true, ..settings(proxies) };
    settings.limits = Limits {
        initial_capacity: 0.31,
        slow_start_window: 9000.0,
        overload_multiple: 3.0,
        overload_window: 3000.0,
        ..settings.limits
    };
    Start { settings, proxies, quiet: 0.0, restarted: 0, twins: false, span: 9000.0 }
}

fn one_core(id: u64) -> Endpoint {
    Endpoint { weight: 1.0, ..server(id) }
}

/// The worst window: requests to the cold server over N + 2√N + 2, and when.
fn worst(of: &Start, seed: u64) -> (f64, Millis) {
    let warm: Vec<Endpoint> = (0..4).map(one_core).collect();
    let mut hands: Vec<Hand> = vec![];
    let mut next = 1;
    let hand = |proxy_index: u32, turn: u64| {
        let cfg = Settings { proxy_index, ..of.settings.clone() };
        Hand::seeded(cfg, warm.clone(), seed ^ (turn << 32) ^ (u64::from(proxy_index) * 7919 + 1))
    };
    for proxy_index in 0..of.proxies {
        let mut h = hand(proxy_index, 0);
        h.train(next, 40, |_| WORK);
        next += 40;
        hands.push(h);
    }
    let began = hands.iter().map(|h| h.now).fold(0.0, f64::max);
    for (proxy_index, h) in hands.iter_mut().enumerate() {
        h.pass(began - h.now);
        if (proxy_index as u32) < of.restarted {
            *h = hand(proxy_index as u32, 1);
            h.pass(began - h.now);
        }
    }
    if of.twins {
        for proxy_index in 0..of.proxies {
            let mut twin = hand(proxy_index, 2);
            twin.pass(began - twin.now);
            twin.balancer.restore(hands[proxy_index as usize].balancer.learned_state());
            twin.give(Event::OverlappingProcess(true));
            hands[proxy_index as usize].give(Event::OverlappingProcess(true));
            hands.push(twin);
        }
    }
    let cold = Endpoint { started_at: Some(began), ..one_core(COLD) };
    for h in &mut hands {
        h.give(Event::List { scope: ListScope::Delta, entries: vec![cold.clone()] });
    }
    let mut out: Vec<Vec<(u64, Millis)>> = vec![vec![]; hands.len()];
    let mut sent: Vec<Millis> = vec![];
    let mut now = began;
    while now < began + of.span {
        now += 10.0;
        for (i, h) in hands.iter_mut().enumerate() {
            let mut actions = h.pass(10.0);
            // Far more than the servers can do, from the burst on.
            let every = (u64::from(of.proxies) / 5).max(1);
            if now - began >= of.quiet && ((now / 10.0) as u64 + i as u64).is_multiple_of(every) {
                next += 1;
                let mut event = request(next, 0, 2000.0);
                if let Event::Request { key, .. } = &mut event {
                    *key =
                        of.settings.key_affinity.then_some(AffinityKey(next.wrapping_mul(0x9e37_79b9) % 499));
                }
                actions.extend(h.give(event));
            }
            let (over, still) =
                std::mem::take(&mut out[i]).into_iter().partition::<Vec<_>, _>(|o| o.1 <= now);
            out[i] = still;
            for (id, _) in over {
                actions.extend(h.give(ended(id, 0, WORK, Outcome::Served)));
            }
            for (id, to) in sends(&actions) {
                out[i].push((id, now + WORK));
                if to == COLD {
                    sent.push(now);
                }
            }
        }
    }
    let l = of.settings.limits;
    let ratio = |&at: &Millis| {
        let count = sent.iter().filter(|s| **s > at - l.overload_window && **s <= at).count() as f64;
        let sure =
            l.initial_capacity + (1.0 - l.initial_capacity) * ((at - began) / l.slow_start_window).min(1.0);
        let n = l.overload_multiple * sure * l.overload_window / WORK;
        (count / (n + 2.0 * n.sqrt() + 2.0), at - began)
    };
    sent.iter().map(ratio).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0.0))
}

/// The worst window over some days.
fn worst_of(of: &Start) -> f64 {
    (1..4).map(|seed| worst(of, seed).0).fold(0.0, f64::max)
}

#[test]
fn what_many_proxies_have_saved_up_does_not_push_a_cold_server_over_in_a_burst() {
    // Cold for long beside the span of a fall, and nothing to do until it is almost warm.
    for proxies in [3, 30, 100] {
        for gossip_enabled in [true, false] {
            let mut of = start(proxies);
            (of.settings.key_affinity, of.settings.gossip_enabled) = (true, gossip_enabled);
            (of.settings.limits.slow_start_window, of.settings.limits.overload_window) = (20_000.0, 1500.0);
            (of.quiet, of.span) = (14_000.0, 17_000.0);
            let ratio = worst_of(&of);
            assert!(ratio > 0.1 && ratio < 1.0, "{proxies} proxies, word {gossip_enabled}: {ratio:.2}");
        }
    }
}

#[test]
fn just_restarted_proxies_and_two_processes_keep_the_budget_too() {
    let mut base = start(30);
    base.settings.key_affinity = true;
    for of in [
        Start { restarted: 30, ..base.clone() },
        Start { restarted: 10, quiet: 4000.0, ..base.clone() },
        Start { twins: true, ..base.clone() },
        Start { twins: true, quiet: 4000.0, ..base.clone() },
    ] {
        let ratio = worst_of(&of);
        assert!(ratio > 0.1 && ratio < 1.0, "{} restarted, twins {}: {ratio:.2}", of.restarted, of.twins);
    }
}

#[test]
fn a_few_proxies_are_not_kept_from_a_cold_server() {
    // Beyond its slots nothing holds them back: what the server gets under load is a third of its budget at least.
    for gossip_enabled in [true, false] {
        let mut of = start(3);
        of.settings.gossip_enabled = gossip_enabled;
        let ratio = worst_of(&of);
        assert!(ratio > 0.25, "word {gossip_enabled}: {ratio:.2}");
    }
}
