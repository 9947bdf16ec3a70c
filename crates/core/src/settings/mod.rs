//! Settings of the balancer: classes of requests, tenants, limits and prices.

use crate::ids::{Millis, ZoneId};

#[cfg(feature = "settings")]
pub mod json;

/// The conditions under which a request may be sent again after it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The request may be repeated at any time.
    Always,
    /// The request carries an idempotency key: the endpoints in the scope drop a repeat for a limited time after the
    /// first attempt was sent.
    WithKey {
        /// The endpoints that drop repeats.
        scope: DeduplicationScope,
        /// How long they drop repeats, from the send of the first attempt that may have been executed.
        window: Millis,
    },
    /// The request must never be executed twice.
    Never,
}

/// The endpoints among which a request with an idempotency key may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every endpoint.
    All,
    /// The endpoints in the zone of the endpoint that got the first attempt that may have been executed.
    Zone,
    /// The endpoints in the cell of the endpoint that got the first attempt that may have been executed.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this duration earns the full weight.
    pub latency_objective: Millis,
    /// The longest time for which a client waits.
    pub deadline: Millis,
    /// The multiple of a request's expected cost by which the latency objective is extended, up to the deadline.
    pub objective_stretch: f64,
    /// The weight of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of the weight that a response earns after the latency objective.
    pub late_fraction: f64,
    /// The conditions under which a request may be repeated.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, over all proxies, that count with their full weight.
    pub quota_per_second: f64,
}

/// How the proxy obtains the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The list is pushed to the proxy without a request.
    Pushed,
    /// The list is sent only after [`Action::Subscribe`](crate::Action::Subscribe).
    OnRequest,
}

/// The durations after which a change of the endpoint list counts as notified to a proxy, whether or not it has
/// arrived. They are defined by the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotificationBounds {
    /// The duration from the time at which discovery had the change and could be reached, or at which a watch fell
    /// silent.
    pub after_change: Millis,
    /// The duration from the move of discovery to another address.
    pub after_move: Millis,
    /// The duration from the start of a successor process that runs beside its predecessor.
    pub after_takeover: Millis,
}

impl Default for NotificationBounds {
    fn default() -> Self {
        NotificationBounds { after_change: 6000.0, after_move: 4000.0, after_takeover: 2000.0 }
    }
}

/// The meaning of the weight that the list gives for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// The weight has no known meaning.
    Unknown,
    /// The weight is the capacity of the endpoint, exactly or approximately.
    Capacity,
    /// The weight is the capacity of the endpoint, reduced by its load of some time ago.
    CapacityUnderLoad,
}

/// Costs that the operator assigns, as fractions of the weight of an average request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// The cost of an attempt that crosses zones.
    pub cross_zone: f64,
}

/// The parameters of the rules that every proxy follows. Two rules have no parameter: nothing is sent to an endpoint
/// after its drain or removal has been notified, and no request has two attempts in flight at once.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The duration after which sends to an endpoint are forbidden once its drain or removal counts as notified.
    pub drain_grace: Millis,
    /// The duration after which a change counts as notified to a proxy without a watch, from the time of the change. It
    /// applies to lists that are sent on request.
    pub notified_without_watch: Millis,
    /// The fraction of its capacity that an endpoint has at least when it has just started.
    pub initial_capacity: f64,
    /// The duration after its start at which an endpoint has reached its full capacity at the latest.
    pub slow_start_window: Millis,
    /// The multiple of its current capacity beyond which an endpoint in slow start is overloaded, if the excess lasts
    /// for [`overload_window`](Limits::overload_window).
    pub overload_multiple: f64,
    /// The duration of excess load after which an endpoint in slow start is overloaded.
    pub overload_window: Millis,
    /// The maximum number of requests that are open at once.
    pub max_open_requests: usize,
    /// The maximum number of attempts for one request.
    pub max_attempts: u32,
}

/// The settings of the balancer of one proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This proxy's index among the proxies, from 0.
    pub proxy_index: u32,
    /// The number of proxies that share the endpoints.
    pub proxies: u32,
    /// The zone of this proxy.
    pub zone: Option<ZoneId>,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// The weight of a request beyond its tenant's quota, as a fraction of its class's weight.
    pub over_quota_fraction: f64,
    /// Whether the weight of a class counts per unit of work instead of per request.
    pub weight_per_work: bool,
    /// How the proxy obtains the endpoint list.
    pub discovery: DiscoveryMode,
    /// When missed changes of the list count as notified, for updates over a network that may fail. `None` if every
    /// update arrives, in order.
    pub notification_bounds: Option<NotificationBounds>,
    /// The meaning of the weights on the list.
    pub weight_meaning: WeightMeaning,
    /// Whether an endpoint needs less work for a request whose affinity key it has served before.
    pub key_affinity: bool,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Whether gossip between proxies is allowed.
    pub gossip_enabled: bool,
    /// Costs of attempts.
    pub prices: Prices,
    /// Parameters of the rules that every proxy follows.
    pub limits: Limits,
}
