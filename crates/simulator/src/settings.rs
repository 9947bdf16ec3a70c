//! The settings of the proxies of a run, as operators would configure them.

use leadrelay_core::{
    DeduplicationScope, DiscoveryMode, Idempotency, Limits, Millis, NotificationBounds, Prices, RequestClass,
    Settings, Tenant, WeightMeaning, ZoneId,
};

use crate::index::ProxyIndex;
use crate::scenario::{ClassSpec, RequestIdempotency};
use crate::workload::Workload;

/// Maximum number of attempts per request.
pub const MAX_ATTEMPTS: usize = 5;
/// Time after the first attempt within which a request with an idempotency key may be retried.
pub const DEDUPLICATION_WINDOW: Millis = 10_000.0;
/// Time for which a proxy may still send to a backend after it counts as notified of its drain.
const DRAIN_GRACE: Millis = 2000.0;
/// Time after which a change counts as notified if the proxy has no watch.
const NOTIFIED_WITHOUT_WATCH: Millis = 10_000.0;
/// Maximum number of open requests of a proxy.
const MAX_OPEN_REQUESTS: usize = 320;

/// Returns the settings of a proxy.
pub fn settings(workload: &Workload, proxy: ProxyIndex) -> Settings {
    let scenario = &workload.scenario;
    let discovery = if scenario.discovery.pushed { DiscoveryMode::Pushed } else { DiscoveryMode::OnRequest };
    let tenant = |quota: &f64| Tenant { quota_per_second: *quota };
    Settings {
        proxy_index: proxy.0 as u32,
        proxies: workload.proxies.len() as u32,
        zone: Some(ZoneId(workload.proxies[proxy].zone.0 as u32)),
        classes: scenario.classes.iter().map(request_class).collect(),
        tenants: workload.tenant_quotas.iter().map(tenant).collect(),
        over_quota_fraction: scenario.over_quota_weight,
        weight_per_work: false,
        discovery,
        notification_bounds: Some(NotificationBounds::default()),
        weight_meaning: WeightMeaning::Capacity,
        key_affinity: true,
        clients_mark_retries: false,
        gossip_enabled: scenario.network.gossip_loss < 1.0,
        prices: Prices { cross_zone: scenario.prices.cross_zone },
        limits: limits(workload),
    }
}

fn request_class(class: &ClassSpec) -> RequestClass {
    RequestClass {
        latency_objective: class.latency_objective_ms,
        deadline: class.deadline_ms,
        objective_stretch: 0.0,
        priority_weight: class.priority_weight,
        late_fraction: 0.0,
        idempotency: idempotency(class.idempotency),
    }
}

fn idempotency(idempotency: RequestIdempotency) -> Idempotency {
    match idempotency {
        RequestIdempotency::Idempotent => Idempotency::Always,
        RequestIdempotency::NotIdempotent => Idempotency::Never,
        RequestIdempotency::WithKey => {
            Idempotency::WithKey { scope: DeduplicationScope::Cell, window: DEDUPLICATION_WINDOW }
        }
    }
}

fn limits(workload: &Workload) -> Limits {
    let slow_start = &workload.scenario.slow_start;
    Limits {
        drain_grace: DRAIN_GRACE,
        notified_without_watch: NOTIFIED_WITHOUT_WATCH,
        initial_capacity: slow_start.initial_capacity,
        slow_start_window: slow_start.duration(),
        overload_multiple: slow_start.overload_multiple,
        overload_window: slow_start.overload_window(),
        max_open_requests: MAX_OPEN_REQUESTS,
        max_attempts: MAX_ATTEMPTS as u32,
    }
}
