//! A fleet whose watches all break at once, before a discovery that answers few calls.
use leadrelay_simulator::reconnect::{ReconnectStorm, play};

fn storm(proxies: u32, patience_ms: f64) -> ReconnectStorm {
    ReconnectStorm {
        proxies,
        calls_per_s: 0.25,
        limit_ms: 2000.0,
        late_refusals: true,
        patience_ms,
        length_ms: 15_000.0,
    }
}

#[test]
fn every_proxy_has_its_list_before_changes_count_as_told() {
    for (proxies, seeds) in [(3, 20), (30, 10), (100, 2)] {
        for seed in 1..=seeds {
            let outcome = play(&storm(proxies, 3000.0), seed);
            assert_eq!((outcome.ignorant, outcome.given_up), (0, 0), "{proxies} proxies: {outcome:?}");
        }
    }
}

#[test]
fn calls_given_up_while_they_wait_keep_an_overbooked_discovery_overbooked() {
    let outcome = play(&storm(30, 1000.0), 1);
    assert!(outcome.ignorant > 15 && outcome.given_up > 50, "the model shows the collapse: {outcome:?}");
}

#[test]
fn the_same_seed_gives_the_same_storm() {
    let [one, two, other] = [1, 1, 2].map(|seed| format!("{:?}", play(&storm(30, 3000.0), seed)));
    assert_eq!(one, two);
    assert_ne!(one, other);
}
