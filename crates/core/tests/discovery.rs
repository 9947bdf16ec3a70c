//! Backoff between calls to discovery after failed calls.
use leadrelay_core::{
    Action, Balancer, DiscoveryMode, Event, Limits, ListScope, Prices, Settings, WeightMeaning,
};

/// A proxy that requests its endpoint lists, and its clock.
struct DiscoveryClient {
    balancer: Balancer,
    /// When the next tick is due, in ms.
    next_tick: f64,
}

impl DiscoveryClient {
    fn new(seed: u64) -> Self {
        let limits = Limits {
            drain_grace: 2000.0,
            notified_without_watch: 10_000.0,
            initial_capacity: 1.0,
            slow_start_window: 1.0,
            overload_multiple: 1.0,
            overload_window: 1000.0,
            max_open_requests: usize::MAX,
            max_attempts: 1,
        };
        let settings = Settings {
            proxy_index: 0,
            proxies: 30,
            zone: None,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_fraction: 1.0,
            weight_per_work: false,
            discovery: DiscoveryMode::OnRequest,
            notification_bounds: None,
            weight_meaning: WeightMeaning::Unknown,
            key_affinity: false,
            clients_mark_retries: true,
            gossip_enabled: false,
            prices: Prices::default(),
            limits,
        };
        let mut client = DiscoveryClient { balancer: Balancer::new(settings, seed), next_tick: 0.0 };
        client.update_list(ListScope::Cached);
        assert!(client.wait_for_call() < 20.0, "the first call is made at once");
        client
    }

    /// Passes in an update of the endpoint list without entries.
    fn update_list(&mut self, scope: ListScope) {
        let mut actions = Vec::new();
        self.balancer.handle(self.next_tick, Event::List { scope, entries: Vec::new() }, &mut actions);
        let timer =
            actions.iter().find_map(|a| if let Action::Timer { at, .. } = a { Some(*at) } else { None });
        self.next_tick = timer.unwrap_or(self.next_tick);
    }

    /// Advances to the next call; returns the wait until then, in ms.
    fn wait_for_call(&mut self) -> f64 {
        let started_at = self.next_tick;
        while self.next_tick < started_at + 10_000.0 {
            let (now, mut actions) = (self.next_tick, Vec::new());
            self.balancer.handle(now, Event::Timer(0), &mut actions);
            for action in &actions {
                if let Action::Timer { at, .. } = action {
                    self.next_tick = *at;
                }
            }
            if actions.iter().any(|action| matches!(action, Action::Subscribe { .. })) {
                return now - started_at;
            }
        }
        panic!("no further call within 10 s");
    }

    /// Fails the open call; returns the wait until the next call, in ms.
    fn fail_call(&mut self) -> f64 {
        self.update_list(ListScope::Failed);
        self.wait_for_call()
    }
}

#[test]
fn failed_calls_back_off_with_full_jitter() {
    let mut waits: Vec<Vec<f64>> = vec![Vec::new(); 5];
    for seed in 0..400 {
        let mut client = DiscoveryClient::new(seed);
        waits.iter_mut().for_each(|waits_of_call| waits_of_call.push(client.fail_call()));
    }
    for (waits_of_call, bound) in waits.iter().zip([500.0, 1000.0, 2000.0, 2000.0, 2000.0]) {
        let (longest, mean) = (
            waits_of_call.iter().fold(0.0, |a: f64, b| a.max(*b)),
            waits_of_call.iter().sum::<f64>() / 400.0,
        );
        assert!(
            longest <= bound + 40.0 && longest > 0.9 * bound,
            "the longest wait is {longest}, with a bound of {bound}"
        );
        assert!(
            (mean - bound / 2.0).abs() < 0.1 * bound + 20.0,
            "the mean wait is {mean}, with a bound of {bound}"
        );
        assert!(waits_of_call.iter().any(|wait| *wait < 0.1 * bound + 40.0), "no wait is close to 0");
    }
}

#[test]
fn received_list_resets_backoff() {
    for scope in [ListScope::Full, ListScope::Delta] {
        for seed in 0..50 {
            let mut client = DiscoveryClient::new(seed);
            for _ in 0..5 {
                client.fail_call();
            }
            client.update_list(scope);
            assert!(client.fail_call() <= 540.0);
        }
    }
}
