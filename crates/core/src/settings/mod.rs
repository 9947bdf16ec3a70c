//! What a proxy is told at its start: classes, tenants, limits and prices.

use crate::ids::{Millis, ZoneId};

#[cfg(feature = "settings")]
pub mod json;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may be repeated at any time.
    Always,
    /// It carries an idempotency key: for a while after the first attempt was sent, endpoints of the scope drop a
    /// repeat.
    WithKey {
        /// Which endpoints drop repeats.
        scope: DeduplicationScope,
        /// For how long, from the send of the first attempt that may have run.
        window: Millis,
    },
    /// It must never run twice.
    Never,
}

/// The endpoints among which a request with an idempotency key may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every endpoint.
    All,
    /// Those in the zone of the endpoint that was tried first.
    Zone,
    /// Those in the cell of the endpoint that was tried first.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this duration earns the full weight.
    pub latency_objective: Millis,
    /// How long a client waits at most.
    pub deadline: Millis,
    /// The objective extends by this multiple of a request's expected cost, up to the deadline.
    pub objective_stretch: f64,
    /// What a response within the objective is worth, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of the weight that a late response still earns.
    pub late_fraction: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second over all proxies that count in full.
    pub quota_per_second: f64,
}

/// How the endpoint list arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Without a request.
    Pushed,
    /// Only after [`Action::Subscribe`](crate::Action::Subscribe).
    OnRequest,
}

/// From when on a change of the endpoint list counts as notified to a proxy, whether or not it has arrived. The
/// durations are the platform's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotificationBounds {
    /// After discovery had the change and could be reached, or after a watch fell silent.
    pub after_change: Millis,
    /// After discovery has moved to another address.
    pub after_move: Millis,
    /// After a successor process has started beside its predecessor.
    pub after_takeover: Millis,
}

impl Default for NotificationBounds {
    fn default() -> Self {
        NotificationBounds { after_change: 6000.0, after_move: 4000.0, after_takeover: 2000.0 }
    }
}

/// What an endpoint's weight on the list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Nothing.
    Unknown,
    /// Its capacity, exactly or nearly so.
    Capacity,
    /// Its capacity, lowered by the load that it had a while ago.
    CapacityUnderLoad,
}

/// What an operator charges for, as a fraction of the weight of a mean request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
}

/// The figures of the rules that every proxy keeps. Two rules need none: nothing is sent to an endpoint once its
/// drain or removal has been notified, and no request has two attempts in flight at once.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A send to an endpoint is forbidden from this duration after its drain or removal counts as notified.
    pub drain_grace: Millis,
    /// Without a watch a change counts as notified this duration after it was made, where lists come on request.
    pub notified_without_watch: Millis,
    /// An endpoint that has just started has at least this fraction of its capacity.
    pub initial_capacity: f64,
    /// And all of it after this duration at the latest.
    pub slow_start_window: Millis,
    /// Sent more than this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...for this duration, an endpoint in slow start is overloaded.
    pub overload_window: Millis,
    /// Requests that may be open at once.
    pub max_open_requests: usize,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
}

/// What a proxy is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This proxy's index among the proxies, from 0.
    pub proxy_index: u32,
    /// How many proxies share the endpoints.
    pub proxies: u32,
    /// The zone of this proxy.
    pub zone: Option<ZoneId>,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// The weight of a request beyond its tenant's quota, as a fraction of its class's weight.
    pub over_quota_fraction: f64,
    /// Whether weight is counted per unit of work instead of per request.
    pub weight_per_work: bool,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// Where updates of the list cross a network that may fail: from when on missed changes count as notified. `None`
    /// where every update arrives, in order.
    pub notification_bounds: Option<NotificationBounds>,
    /// What the weights on the list say.
    pub weight_meaning: WeightMeaning,
    /// Whether an endpoint that has met a key does less work for it.
    pub key_affinity: bool,
    /// Clients mark their retries.
    pub clients_mark_retries: bool,
    /// Whether messages between proxies are allowed.
    pub gossip_enabled: bool,
    /// Prices.
    pub prices: Prices,
    /// Figures of the rules.
    pub limits: Limits,
}
