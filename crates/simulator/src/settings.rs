//! What a day's proxies are told at their start.

use leadrelay_core::{
    DeduplicationScope, DiscoveryMode, Idempotency, Limits, NotificationBounds, Prices, RequestClass,
    Settings, Tenant, WeightMeaning, ZoneId,
};

use crate::scenario::{ClassSpec, RequestIdempotency};
use crate::workload::Workload;

/// Attempts that a request may have.
pub const MAX_ATTEMPTS: usize = 5;
/// A keyed request may be repeated for this span after its first attempt, in ms.
pub const KEYED_WINDOW: f64 = 10_000.0;

/// What a proxy is told, as the operators' settings tell it.
pub fn settings(day: &Workload, p: usize) -> Settings {
    let s = &day.scenario;
    let class = |c: &ClassSpec| RequestClass {
        latency_objective: c.aim_ms,
        deadline: c.deadline_ms,
        objective_stretch: 0.0,
        priority_weight: c.worth,
        late_fraction: 0.0,
        idempotency: match c.effect {
            RequestIdempotency::Safe => Idempotency::Always,
            RequestIdempotency::Unsafe => Idempotency::Never,
            RequestIdempotency::Keyed => {
                Idempotency::WithKey { scope: DeduplicationScope::Cell, window: KEYED_WINDOW }
            }
        },
    };
    Settings {
        proxy_index: p as u32,
        proxies: day.proxies.len() as u32,
        zone: Some(ZoneId(day.proxies[p].0 as u32)),
        classes: s.classes.iter().map(class).collect(),
        tenants: day.allowances.iter().map(|a| Tenant { quota_per_second: *a }).collect(),
        over_quota_fraction: s.over_share_worth,
        weight_per_work: false,
        discovery: if s.discovery.pushed { DiscoveryMode::Pushed } else { DiscoveryMode::OnRequest },
        notification_bounds: Some(NotificationBounds::default()),
        weight_meaning: WeightMeaning::Capacity,
        key_affinity: true,
        gossip_enabled: s.network.peer_loss < 1.0,
        prices: Prices { cross_zone: s.prices.cross_zone },
        limits: Limits {
            drain_grace: 2000.0,
            notified_without_watch: 10_000.0,
            initial_capacity: s.cold.start,
            slow_start_window: s.cold.span_s * 1000.0,
            overload_multiple: s.cold.multiple,
            overload_window: s.cold.fall_s * 1000.0,
            max_open_requests: 320,
            max_attempts: MAX_ATTEMPTS as u32,
        },
    }
}
