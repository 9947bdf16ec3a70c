//! When discovery is called again after calls that failed.
use leadrelay_core::{
    Action, Balancer, DiscoveryMode, Event, Limits, ListScope, Prices, Settings, WeightMeaning,
};

/// A proxy that asks for its lists, and the clock of its ticks.
struct Asking {
    proxy: Balancer,
    next: f64,
}

impl Asking {
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
        let mut asking = Asking { proxy: Balancer::new(settings, seed), next: 0.0 };
        asking.list(ListScope::Cached);
        assert!(asking.called() < 20.0, "the first call is not put off");
        asking
    }

    fn list(&mut self, scope: ListScope) {
        let mut actions = Vec::new();
        self.proxy.handle(self.next, Event::List { scope, entries: Vec::new() }, &mut actions);
        let timer =
            actions.iter().find_map(|a| if let Action::Timer { at, .. } = a { Some(*at) } else { None });
        self.next = timer.unwrap_or(self.next);
    }

    /// The wait until the next call, in ms.
    fn called(&mut self) -> f64 {
        let from = self.next;
        while self.next < from + 10_000.0 {
            let (now, mut actions) = (self.next, Vec::new());
            self.proxy.handle(now, Event::Timer(0), &mut actions);
            for action in &actions {
                if let Action::Timer { at, .. } = action {
                    self.next = *at;
                }
            }
            if actions.iter().any(|action| matches!(action, Action::Subscribe { .. })) {
                return now - from;
            }
        }
        panic!("it never calls again");
    }

    fn again(&mut self) -> f64 {
        self.list(ListScope::Failed);
        self.called()
    }
}

#[test]
fn failed_calls_back_off_with_full_jitter() {
    let mut waits: Vec<Vec<f64>> = vec![Vec::new(); 5];
    for seed in 0..400 {
        let mut asking = Asking::new(seed);
        waits.iter_mut().for_each(|all| all.push(asking.again()));
    }
    for (all, bound) in waits.iter().zip([500.0, 1000.0, 2000.0, 2000.0, 2000.0]) {
        let (most, mean) = (all.iter().fold(0.0, |a: f64, b| a.max(*b)), all.iter().sum::<f64>() / 400.0);
        assert!(most <= bound + 40.0 && most > 0.9 * bound, "up to {most} of {bound}");
        assert!((mean - bound / 2.0).abs() < 0.1 * bound + 20.0, "{mean} on the mean of {bound}");
        assert!(all.iter().any(|wait| *wait < 0.1 * bound + 40.0), "none at once");
    }
}

#[test]
fn received_list_resets_backoff() {
    for scope in [ListScope::Full, ListScope::Delta] {
        for seed in 0..50 {
            let mut asking = Asking::new(seed);
            for _ in 0..5 {
                asking.again();
            }
            asking.list(scope);
            assert!(asking.again() <= 540.0);
        }
    }
}
