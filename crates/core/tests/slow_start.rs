//! The load on an endpoint in slow start by all proxies together stays within the operators' limit, even if no gossip
//! arrives.
mod common;
use common::*;
use leadrelay_core::*;

/// Processing time of each request on a core of speed 1, in ms. The endpoints have one such core each.
const WORK_PER_REQUEST: Millis = 100.0;
/// Id of the endpoint that starts.
const STARTED: u64 = 100;

/// A fleet of proxies, an endpoint that starts, and the faults that occur meanwhile.
#[derive(Clone)]
struct Scenario {
    settings: Settings,
    proxies: u32,
    /// Time without requests after the start and before a burst, in ms.
    idle_before_burst: Millis,
    /// Number of proxies that restart when the endpoint starts; afterwards they know only the endpoint list.
    restarted: u32,
    /// Whether each proxy consists of two processes, one of which has just started.
    overlapping_processes: bool,
    /// Time from the start for which sends are counted, in ms.
    duration: Millis,
}

/// Returns a scenario without faults.
fn scenario_with(proxies: u32) -> Scenario {
    let mut settings = Settings { gossip_enabled: true, ..settings(proxies) };
    settings.limits = Limits {
        initial_capacity: 0.31,
        slow_start_window: 9000.0,
        overload_multiple: 3.0,
        overload_window: 3000.0,
        ..settings.limits
    };
    Scenario {
        settings,
        proxies,
        idle_before_burst: 0.0,
        restarted: 0,
        overlapping_processes: false,
        duration: 9000.0,
    }
}

/// Returns an endpoint with one core.
fn one_core(id: u64) -> Endpoint {
    Endpoint { weight: 1.0, ..endpoint(id) }
}

/// Returns the worst overload window of the starting endpoint: the ratio of the requests that it gets in the window to
/// N + 2√N + 2, where N is what the limit allows, and the time from the start of the endpoint to the end of the
/// window.
fn worst_window(scenario: &Scenario, seed: u64) -> (f64, Millis) {
    let warm: Vec<Endpoint> = (0..4).map(one_core).collect();
    let mut harnesses: Vec<Harness> = vec![];
    let mut next_id = 1;
    let new_harness = |proxy_index: u32, generation: u64| {
        let settings = Settings { proxy_index, ..scenario.settings.clone() };
        Harness::seeded(
            settings,
            warm.clone(),
            seed ^ (generation << 32) ^ (u64::from(proxy_index) * 7919 + 1),
        )
    };
    for proxy_index in 0..scenario.proxies {
        let mut harness = new_harness(proxy_index, 0);
        harness.serve_sequentially(next_id, 40, |_| WORK_PER_REQUEST);
        next_id += 40;
        harnesses.push(harness);
    }
    let start_time = harnesses.iter().map(|harness| harness.now).fold(0.0, f64::max);
    for (proxy_index, harness) in harnesses.iter_mut().enumerate() {
        harness.advance(start_time - harness.now);
        if (proxy_index as u32) < scenario.restarted {
            *harness = new_harness(proxy_index as u32, 1);
            harness.advance(start_time - harness.now);
        }
    }
    if scenario.overlapping_processes {
        for proxy_index in 0..scenario.proxies {
            let mut overlapping = new_harness(proxy_index, 2);
            overlapping.advance(start_time - overlapping.now);
            overlapping.balancer.restore(harnesses[proxy_index as usize].balancer.learned_state());
            overlapping.handle(Event::OverlappingProcess(true));
            harnesses[proxy_index as usize].handle(Event::OverlappingProcess(true));
            harnesses.push(overlapping);
        }
    }
    let started = Endpoint { started_at: Some(start_time), ..one_core(STARTED) };
    for harness in &mut harnesses {
        harness.handle(Event::List { scope: ListScope::Delta, entries: vec![started.clone()] });
    }
    let mut in_flight: Vec<Vec<(u64, Millis)>> = vec![vec![]; harnesses.len()];
    let mut sent: Vec<Millis> = vec![];
    let mut now = start_time;
    while now < start_time + scenario.duration {
        now += 10.0;
        for (i, harness) in harnesses.iter_mut().enumerate() {
            let mut actions = harness.advance(10.0);
            // From the burst on, far more requests arrive than the endpoints can serve.
            let every = (u64::from(scenario.proxies) / 5).max(1);
            if now - start_time >= scenario.idle_before_burst
                && ((now / 10.0) as u64 + i as u64).is_multiple_of(every)
            {
                next_id += 1;
                let mut event = request(next_id, 0, 2000.0);
                if let Event::Request { key, .. } = &mut event {
                    *key = scenario
                        .settings
                        .key_affinity
                        .then_some(AffinityKey(next_id.wrapping_mul(0x9e37_79b9) % 499));
                }
                actions.extend(harness.handle(event));
            }
            let (finished, remaining) =
                std::mem::take(&mut in_flight[i]).into_iter().partition::<Vec<_>, _>(|o| o.1 <= now);
            in_flight[i] = remaining;
            for (id, _) in finished {
                actions.extend(harness.handle(ended(id, 0, WORK_PER_REQUEST, Outcome::Served)));
            }
            for (id, to) in sends(&actions) {
                in_flight[i].push((id, now + WORK_PER_REQUEST));
                if to == STARTED {
                    sent.push(now);
                }
            }
        }
    }
    let limits = scenario.settings.limits;
    let ratio = |&at: &Millis| {
        let count = sent.iter().filter(|s| **s > at - limits.overload_window && **s <= at).count() as f64;
        let certain_capacity = limits.initial_capacity
            + (1.0 - limits.initial_capacity) * ((at - start_time) / limits.slow_start_window).min(1.0);
        let allowed = limits.overload_multiple * certain_capacity * limits.overload_window / WORK_PER_REQUEST;
        (count / (allowed + 2.0 * allowed.sqrt() + 2.0), at - start_time)
    };
    sent.iter().map(ratio).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0.0))
}

/// Returns the highest ratio of [`worst_window`] over several seeds.
fn worst_over_seeds(scenario: &Scenario) -> f64 {
    (1..4).map(|seed| worst_window(scenario, seed).0).fold(0.0, f64::max)
}

#[test]
fn saved_up_sends_do_not_overload_in_a_burst() {
    // Guards against sends that each proxy saves up: the slow start is long compared to the overload window, and no
    // requests arrive until the endpoint is almost warm.
    for proxies in [3, 30, 100] {
        for gossip_enabled in [true, false] {
            let mut scenario = scenario_with(proxies);
            (scenario.settings.key_affinity, scenario.settings.gossip_enabled) = (true, gossip_enabled);
            (scenario.settings.limits.slow_start_window, scenario.settings.limits.overload_window) =
                (20_000.0, 1500.0);
            (scenario.idle_before_burst, scenario.duration) = (14_000.0, 17_000.0);
            let ratio = worst_over_seeds(&scenario);
            assert!(
                ratio > 0.1 && ratio < 1.0,
                "{proxies} proxies, gossip enabled {gossip_enabled}: {ratio:.2}"
            );
        }
    }
}

#[test]
fn restarted_and_overlapping_processes_stay_within_the_limit() {
    let mut base = scenario_with(30);
    base.settings.key_affinity = true;
    for scenario in [
        Scenario { restarted: 30, ..base.clone() },
        Scenario { restarted: 10, idle_before_burst: 4000.0, ..base.clone() },
        Scenario { overlapping_processes: true, ..base.clone() },
        Scenario { overlapping_processes: true, idle_before_burst: 4000.0, ..base.clone() },
    ] {
        let ratio = worst_over_seeds(&scenario);
        assert!(
            ratio > 0.1 && ratio < 1.0,
            "{} proxies restarted, overlapping processes {}: {ratio:.2}",
            scenario.restarted,
            scenario.overlapping_processes
        );
    }
}

#[test]
fn few_proxies_use_at_least_a_third_of_the_budget() {
    // Nothing but the slots of the endpoint holds few proxies back: under load it gets at least a third of its budget
    // N, which is about a quarter of N + 2√N + 2.
    for gossip_enabled in [true, false] {
        let mut scenario = scenario_with(3);
        scenario.settings.gossip_enabled = gossip_enabled;
        let ratio = worst_over_seeds(&scenario);
        assert!(ratio > 0.25, "gossip enabled {gossip_enabled}: {ratio:.2}");
    }
}

#[test]
fn endpoint_reported_to_have_just_started_is_in_slow_start() {
    let scenario = scenario_with(1);
    let long_ago = Endpoint { started_at: Some(0.0), ..one_core(STARTED) };
    let mut harness = Harness::seeded(scenario.settings.clone(), vec![long_ago.clone(), one_core(1)], 7);
    harness.advance(2.0 * scenario.settings.limits.slow_start_window);
    let warming_up = |harness: &Harness| {
        harness.balancer.gauges(harness.now).endpoints_by_status[EndpointStatus::WarmingUp as usize]
    };
    assert_eq!(warming_up(&harness), 0);
    let (unknown, earlier) = (EndpointId(99), (EndpointId(STARTED), -1.0));
    harness.handle(Event::StartTimes(vec![(unknown, harness.now), earlier]));
    assert_eq!(warming_up(&harness), 0, "a start time is never replaced by an earlier one");
    harness.handle(Event::StartTimes(vec![(EndpointId(STARTED), 10.0)]));
    assert_eq!(warming_up(&harness), 0, "the endpoint has warmed up since that start");
    let started_at = harness.now - 1000.0;
    harness.handle(Event::StartTimes(vec![(EndpointId(STARTED), started_at)]));
    assert_eq!(warming_up(&harness), 1);
    let relisted = Endpoint { started_at: Some(started_at), ..long_ago };
    harness.handle(Event::List { scope: ListScope::Delta, entries: vec![relisted] });
    harness.advance(scenario.settings.limits.slow_start_window - 1500.0);
    assert_eq!(warming_up(&harness), 1);
    harness.advance(600.0);
    assert_eq!(warming_up(&harness), 0, "slow start ends one window after the start");
}
