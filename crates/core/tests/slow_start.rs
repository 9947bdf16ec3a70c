//! Endpoints in slow start under the sum of all proxies, without gossip: they get what the operators' rule allows.
mod common;
use common::*;
use leadrelay_core::*;

const WORK: Millis = 100.0; // of each request, on a core of speed 1; the endpoints here have one
const STARTED: u64 = 100;

/// A fleet beside an endpoint that starts, with faults.
#[derive(Clone)]
struct Start {
    settings: Settings,
    proxies: u32,
    idle_before_burst: Millis, // no requests for this long after the start, then many
    restarted: u32,            // these proxies start anew at the same moment, with what discovery tells
    overlapping_processes: bool, // each proxy is two processes, of which one has just come
    duration: Millis,          // how long it is observed
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
    Start {
        settings,
        proxies,
        idle_before_burst: 0.0,
        restarted: 0,
        overlapping_processes: false,
        duration: 9000.0,
    }
}

fn one_core(id: u64) -> Endpoint {
    Endpoint { weight: 1.0, ..endpoint(id) }
}

/// The worst window: requests to the starting endpoint over N + 2√N + 2, and when.
fn worst(scenario: &Start, seed: u64) -> (f64, Millis) {
    let warm: Vec<Endpoint> = (0..4).map(one_core).collect();
    let mut harnesses: Vec<Harness> = vec![];
    let mut next = 1;
    let harness = |proxy_index: u32, turn: u64| {
        let cfg = Settings { proxy_index, ..scenario.settings.clone() };
        Harness::seeded(cfg, warm.clone(), seed ^ (turn << 32) ^ (u64::from(proxy_index) * 7919 + 1))
    };
    for proxy_index in 0..scenario.proxies {
        let mut h = harness(proxy_index, 0);
        h.serve_in_turn(next, 40, |_| WORK);
        next += 40;
        harnesses.push(h);
    }
    let began = harnesses.iter().map(|h| h.now).fold(0.0, f64::max);
    for (proxy_index, h) in harnesses.iter_mut().enumerate() {
        h.advance(began - h.now);
        if (proxy_index as u32) < scenario.restarted {
            *h = harness(proxy_index as u32, 1);
            h.advance(began - h.now);
        }
    }
    if scenario.overlapping_processes {
        for proxy_index in 0..scenario.proxies {
            let mut overlapping = harness(proxy_index, 2);
            overlapping.advance(began - overlapping.now);
            overlapping.balancer.restore(harnesses[proxy_index as usize].balancer.learned_state());
            overlapping.handle(Event::OverlappingProcess(true));
            harnesses[proxy_index as usize].handle(Event::OverlappingProcess(true));
            harnesses.push(overlapping);
        }
    }
    let started = Endpoint { started_at: Some(began), ..one_core(STARTED) };
    for h in &mut harnesses {
        h.handle(Event::List { scope: ListScope::Delta, entries: vec![started.clone()] });
    }
    let mut out: Vec<Vec<(u64, Millis)>> = vec![vec![]; harnesses.len()];
    let mut sent: Vec<Millis> = vec![];
    let mut now = began;
    while now < began + scenario.duration {
        now += 10.0;
        for (i, h) in harnesses.iter_mut().enumerate() {
            let mut actions = h.advance(10.0);
            // Far more than the endpoints can do, from the burst on.
            let every = (u64::from(scenario.proxies) / 5).max(1);
            if now - began >= scenario.idle_before_burst
                && ((now / 10.0) as u64 + i as u64).is_multiple_of(every)
            {
                next += 1;
                let mut event = request(next, 0, 2000.0);
                if let Event::Request { key, .. } = &mut event {
                    *key = scenario
                        .settings
                        .key_affinity
                        .then_some(AffinityKey(next.wrapping_mul(0x9e37_79b9) % 499));
                }
                actions.extend(h.handle(event));
            }
            let (over, still) =
                std::mem::take(&mut out[i]).into_iter().partition::<Vec<_>, _>(|o| o.1 <= now);
            out[i] = still;
            for (id, _) in over {
                actions.extend(h.handle(ended(id, 0, WORK, Outcome::Served)));
            }
            for (id, to) in sends(&actions) {
                out[i].push((id, now + WORK));
                if to == STARTED {
                    sent.push(now);
                }
            }
        }
    }
    let l = scenario.settings.limits;
    let ratio = |&at: &Millis| {
        let count = sent.iter().filter(|s| **s > at - l.overload_window && **s <= at).count() as f64;
        let certain_capacity =
            l.initial_capacity + (1.0 - l.initial_capacity) * ((at - began) / l.slow_start_window).min(1.0);
        let n = l.overload_multiple * certain_capacity * l.overload_window / WORK;
        (count / (n + 2.0 * n.sqrt() + 2.0), at - began)
    };
    sent.iter().map(ratio).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0.0))
}

/// The worst window over some days.
fn worst_over_seeds(scenario: &Start) -> f64 {
    (1..4).map(|seed| worst(scenario, seed).0).fold(0.0, f64::max)
}

#[test]
fn saved_up_sends_do_not_overload_in_a_burst() {
    // Cold for long beside the span of a fall, and nothing to do until it is almost warm.
    for proxies in [3, 30, 100] {
        for gossip_enabled in [true, false] {
            let mut scenario = start(proxies);
            (scenario.settings.key_affinity, scenario.settings.gossip_enabled) = (true, gossip_enabled);
            (scenario.settings.limits.slow_start_window, scenario.settings.limits.overload_window) =
                (20_000.0, 1500.0);
            (scenario.idle_before_burst, scenario.duration) = (14_000.0, 17_000.0);
            let ratio = worst_over_seeds(&scenario);
            assert!(ratio > 0.1 && ratio < 1.0, "{proxies} proxies, word {gossip_enabled}: {ratio:.2}");
        }
    }
}

#[test]
fn restarted_and_overlapping_processes_keep_the_budget() {
    let mut base = start(30);
    base.settings.key_affinity = true;
    for scenario in [
        Start { restarted: 30, ..base.clone() },
        Start { restarted: 10, idle_before_burst: 4000.0, ..base.clone() },
        Start { overlapping_processes: true, ..base.clone() },
        Start { overlapping_processes: true, idle_before_burst: 4000.0, ..base.clone() },
    ] {
        let ratio = worst_over_seeds(&scenario);
        assert!(
            ratio > 0.1 && ratio < 1.0,
            "{} restarted, overlapping processes {}: {ratio:.2}",
            scenario.restarted,
            scenario.overlapping_processes
        );
    }
}

#[test]
fn few_proxies_use_a_third_of_the_budget() {
    // Beyond its slots nothing holds them back: what the endpoint gets under load is a third of its budget at least.
    for gossip_enabled in [true, false] {
        let mut scenario = start(3);
        scenario.settings.gossip_enabled = gossip_enabled;
        let ratio = worst_over_seeds(&scenario);
        assert!(ratio > 0.25, "word {gossip_enabled}: {ratio:.2}");
    }
}

#[test]
fn endpoint_that_turns_out_to_have_just_started_is_in_slow_start() {
    let scenario = start(1);
    let long_ago = Endpoint { started_at: Some(0.0), ..one_core(STARTED) };
    let mut h = Harness::seeded(scenario.settings.clone(), vec![long_ago.clone(), one_core(1)], 7);
    h.advance(2.0 * scenario.settings.limits.slow_start_window);
    let warming_up =
        |h: &Harness| h.balancer.gauges(h.now).endpoints_by_status[EndpointStatus::WarmingUp as usize];
    assert_eq!(warming_up(&h), 0);
    let (unknown, earlier) = (EndpointId(99), (EndpointId(STARTED), -1.0));
    h.handle(Event::StartTimes(vec![(unknown, h.now), earlier]));
    assert_eq!(warming_up(&h), 0, "no start is taken for earlier");
    h.handle(Event::StartTimes(vec![(EndpointId(STARTED), 10.0)]));
    assert_eq!(warming_up(&h), 0, "it has warmed up since");
    let started_at = h.now - 1000.0;
    h.handle(Event::StartTimes(vec![(EndpointId(STARTED), started_at)]));
    assert_eq!(warming_up(&h), 1);
    let relisted = Endpoint { started_at: Some(started_at), ..long_ago };
    h.handle(Event::List { scope: ListScope::Delta, entries: vec![relisted] });
    h.advance(scenario.settings.limits.slow_start_window - 1500.0);
    assert_eq!(warming_up(&h), 1);
    h.advance(600.0);
    assert_eq!(warming_up(&h), 0, "a window after its start");
}
