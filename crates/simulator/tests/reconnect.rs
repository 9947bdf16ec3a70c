//! Reconnection storms: all watches of a fleet break at once, and discovery answers few calls a second.

use leadrelay_simulator::reconnect::{ReconnectStorm, simulate_storm};

fn storm(proxies: u32, call_timeout: f64) -> ReconnectStorm {
    ReconnectStorm {
        proxies,
        calls_per_s: 0.25,
        max_wait: 2000.0,
        late_refusals: true,
        call_timeout,
        duration: 15_000.0,
    }
}

#[test]
fn every_proxy_has_its_list_before_changes_count_as_notified() {
    for (proxies, seeds) in [(3, 20), (30, 10), (100, 2)] {
        for seed in 1..=seeds {
            let result = simulate_storm(&storm(proxies, 3000.0), seed);
            assert_eq!((result.without_list, result.given_up), (0, 0), "{proxies} proxies: {result:?}");
        }
    }
}

#[test]
fn calls_given_up_while_queued_keep_discovery_overloaded() {
    let result = simulate_storm(&storm(30, 1000.0), 1);
    assert!(result.without_list > 15 && result.given_up > 50, "the model shows the collapse: {result:?}");
}

#[test]
fn same_seed_gives_same_storm() {
    let [one, two, other] = [1, 1, 2].map(|seed| format!("{:?}", simulate_storm(&storm(30, 3000.0), seed)));
    assert_eq!(one, two);
    assert_ne!(one, other);
}
