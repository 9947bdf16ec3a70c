//! Scenarios: the parameters of a simulated fleet and its faults as TOML, many of them as ranges from which a seed
//! samples one workload.
//!
//! Keys of the files are the operators'; the fields map them to the field's terms once, here.

mod error;
mod fault;
mod file;
mod parameters;
mod validation;

pub use error::{InvalidScenario, ScenarioError};
pub use fault::{FaultKind, FaultSpec};
pub use parameters::{ContentionSpec, HandshakeSpec, KeyCacheSpec, KeyPopularity, SlowStartSpec};

use leadrelay_core::Millis;
use serde::Deserialize;

use crate::discovery::OutageMode;
use crate::random::Range;
use crate::time::MS_PER_S;

/// A kind of run. The unit of a time is part of its name; speeds are relative to a standard core.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name in results.
    pub name: String,
    /// Another scenario in the same folder whose keys apply where this one has none.
    #[serde(default)]
    pub base: Option<String>,
    /// For how long requests arrive.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// How many proxies.
    pub proxies: usize,
    /// How many backends.
    pub backends: usize,
    /// Names of the zones; backends and proxies are distributed over them.
    pub zones: Vec<String>,
    /// Offered work, as a fraction of the capacity of all backends.
    pub load: Range,
    /// How far the zones' traffic deviates from an even distribution, 0 to 1.
    pub zone_skew: Range,
    /// Coefficient of variation of the proxies' fractions of their zone's traffic.
    pub proxy_spread: Range,
    /// Distinct affinity keys.
    pub keys: KeyPopularity,
    /// The cache of a backend for affinity keys.
    #[serde(rename = "warm")]
    pub key_cache: KeyCacheSpec,
    /// The network.
    pub network: NetworkSpec,
    /// The clients.
    pub clients: ClientSpec,
    /// The service that lists backends.
    pub discovery: DiscoverySpec,
    /// The rule on backends in slow start.
    #[serde(rename = "cold")]
    pub slow_start: SlowStartRule,
    /// Classes of machines.
    #[serde(rename = "kinds")]
    pub machine_classes: Vec<MachineClassSpec>,
    /// Classes of requests.
    pub classes: Vec<ClassSpec>,
    /// Tenants.
    pub tenants: Vec<TenantSpec>,
    /// The weight of a request beyond its tenant's quota, as a fraction of its class's weight.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// Prices, as a fraction of the weight of a mean request.
    pub prices: PriceSpec,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
}

/// The network between all parts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkSpec {
    /// One-way latency within a zone.
    #[serde(rename = "same_ms")]
    pub same_zone_ms: Range,
    /// One-way latency between zones.
    #[serde(rename = "cross_ms")]
    pub cross_zone_ms: Range,
    /// One-way latency between a client and its proxy.
    pub client_ms: Range,
    /// Coefficient of variation of a one-way latency.
    pub jitter: f64,
    /// One-way latency of a datagram between proxies.
    #[serde(rename = "peer_ms")]
    pub gossip_ms: Range,
    /// The fraction of the datagrams that is lost.
    #[serde(rename = "peer_loss")]
    pub gossip_loss: f64,
    /// The cost of a new connection.
    pub handshake: HandshakeSpec,
    /// A connection that is not established by then has failed.
    pub connect_timeout_ms: f64,
    /// Connections that a backend accepts.
    #[serde(rename = "connections")]
    pub max_connections: Range,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientSpec {
    /// Retries that a client makes.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// The timeout of an attempt, as a fraction of the class's deadline.
    #[serde(rename = "try_share")]
    pub attempt_timeout: Range,
    /// First backoff before a retry; it doubles.
    pub backoff_ms: Range,
    /// The fraction of the clients that disconnect before their deadline.
    #[serde(rename = "impatient")]
    pub early_disconnects: Range,
    /// For how long the front still sends to a proxy that has crashed.
    #[serde(rename = "front_notice_s")]
    pub front_detection_s: Range,
}

/// The service that lists backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySpec {
    /// After this delay it has a change.
    #[serde(rename = "notice_s")]
    pub propagation_delay_s: Range,
    /// Calls a second that it can answer.
    pub calls_per_s: Range,
    /// A call that would wait longer fails.
    pub timeout_ms: f64,
    /// Interval at which changes are written to watches.
    #[serde(rename = "push_ms")]
    pub push_interval_ms: f64,
    /// Lists are pushed by an agent beside each proxy: no call waits in a queue.
    #[serde(default)]
    pub pushed: bool,
    /// What calls meet during an outage.
    #[serde(default)]
    pub outage: OutageMode,
    /// The fraction of the calls with a known version that get the complete list all the same.
    #[serde(default, rename = "whole_part")]
    pub full_list_fraction: f64,
    /// Complete lists leave out backends that are draining.
    #[serde(default, rename = "hides_draining")]
    pub omits_draining: bool,
}

/// What a backend in slow start withstands.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStartRule {
    /// The fraction of its capacity that it has at once, as proxies are configured.
    #[serde(rename = "start")]
    pub initial_capacity: f64,
    /// The time after which it has all of it, as proxies are configured.
    #[serde(rename = "span_s")]
    pub duration_s: f64,
    /// Sent more than this multiple of its capacity ...
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// ... for this time, it crashes.
    #[serde(rename = "fall_s")]
    pub overload_window_s: f64,
}

impl SlowStartRule {
    /// The time after which a backend has all of its capacity, as proxies are configured.
    pub fn duration(&self) -> Millis {
        self.duration_s * MS_PER_S
    }

    /// The time within which too much work overloads a backend.
    pub fn overload_window(&self) -> Millis {
        self.overload_window_s * MS_PER_S
    }
}

/// A class of machines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineClassSpec {
    /// Its name.
    pub name: String,
    /// Its fraction of the backends.
    pub share: f64,
    /// Cores.
    pub cores: f64,
    /// Speed of a core.
    pub speed: Range,
    /// Requests that it processes at once.
    pub slots: Range,
    /// Requests that wait beyond those; more are rejected.
    pub queue: Range,
    /// How efficiency falls with concurrency.
    #[serde(rename = "thrash")]
    pub contention: ContentionSpec,
    /// Its true slow start.
    #[serde(rename = "cold")]
    pub slow_start: SlowStartSpec,
    /// The fraction of its requests that fail.
    pub error_rate: Range,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its fraction of the requests.
    pub share: f64,
    /// Mean work on a standard core.
    pub work_ms: Range,
    /// Coefficient of variation of the work.
    #[serde(rename = "cv")]
    pub work_cv: Range,
    /// A response within this time earns the weight.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// How long a client waits over all its attempts.
    pub deadline_ms: f64,
    /// What a response in time is worth, relative to other classes.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Whether a request may be executed more than once.
    #[serde(rename = "effect")]
    pub idempotency: RequestIdempotency,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub enum RequestIdempotency {
    /// Any number of times.
    #[serde(rename = "safe")]
    Idempotent,
    /// Never.
    #[serde(rename = "unsafe")]
    NotIdempotent,
    /// With an idempotency key: within the cell of the first backend tried, for a while.
    #[serde(rename = "keyed")]
    WithKey,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its fraction of the traffic.
    pub share: f64,
    /// Its quota, as a multiple of its usual traffic.
    #[serde(rename = "allowance")]
    pub quota: Range,
}

/// What is charged.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriceSpec {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// A new connection.
    pub handshake: f64,
    /// A datagram of 256 bytes to one receiver.
    #[serde(rename = "peer")]
    pub gossip: f64,
    /// Wasted work, relative to the work offered.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
}
