//! Scenarios: the parameters of a simulated fleet and its faults as TOML, many of them as ranges from which a seed
//! samples one workload.
//!
//! The operators chose the keys of the files. Where the name of a field differs from its key, a serde attribute holds
//! the key.

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

/// A scenario. The unit of a time is part of its name; speeds are relative to a standard core.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario in results.
    pub name: String,
    /// File name of another scenario in the same folder, whose keys apply where this one sets none.
    #[serde(default)]
    pub base: Option<String>,
    /// Time during which requests arrive, in seconds.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of backends.
    pub backends: usize,
    /// Names of the zones; backends and proxies are distributed over them.
    pub zones: Vec<String>,
    /// Offered work, as a fraction of the capacity of all backends.
    pub load: Range,
    /// Deviation of the zones' traffic from an even distribution, from 0 to 1.
    pub zone_skew: Range,
    /// Coefficient of variation of the proxies' fractions of their zone's traffic.
    pub proxy_spread: Range,
    /// Distinct affinity keys.
    pub keys: KeyPopularity,
    /// The cache of a backend for affinity keys.
    #[serde(rename = "warm")]
    pub key_cache: KeyCacheSpec,
    /// Parameters of the network.
    pub network: NetworkSpec,
    /// Behaviour of the clients.
    pub clients: ClientSpec,
    /// Discovery: the service that lists backends.
    pub discovery: DiscoverySpec,
    /// The rule on backends in slow start.
    #[serde(rename = "cold")]
    pub slow_start: SlowStartRule,
    /// Classes of machines.
    #[serde(rename = "kinds")]
    pub machine_classes: Vec<MachineClassSpec>,
    /// Classes of requests.
    pub classes: Vec<ClassSpec>,
    /// Tenants that send requests.
    pub tenants: Vec<TenantSpec>,
    /// The weight of a request beyond its tenant's quota, as a fraction of its class's weight.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// Prices, as a fraction of the weight of a mean request.
    pub prices: PriceSpec,
    /// Faults of the run.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
}

/// Parameters of the network between clients, proxies, backends and zones.
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
    /// Time in ms after which a connection that is not established has failed.
    pub connect_timeout_ms: f64,
    /// The most connections that a backend accepts.
    #[serde(rename = "connections")]
    pub max_connections: Range,
}

/// Behaviour of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientSpec {
    /// The most retries that a client makes.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// The timeout of an attempt, as a fraction of the class's deadline.
    #[serde(rename = "try_share")]
    pub attempt_timeout: Range,
    /// Backoff before the first retry, which doubles with each further retry.
    pub backoff_ms: Range,
    /// The fraction of the clients that disconnect before their deadline.
    #[serde(rename = "impatient")]
    pub early_disconnects: Range,
    /// Time in seconds for which the load balancer in front of the proxies still sends to a crashed proxy.
    #[serde(rename = "front_notice_s")]
    pub front_detection_s: Range,
}

/// Parameters of discovery, the service that lists backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySpec {
    /// Delay in seconds after which discovery has a change.
    #[serde(rename = "notice_s")]
    pub propagation_delay_s: Range,
    /// Calls a second that discovery can answer.
    pub calls_per_s: Range,
    /// Longest wait of a call in ms; a call that would wait longer fails.
    pub timeout_ms: f64,
    /// Interval in ms at which changes are written to watches.
    #[serde(rename = "push_ms")]
    pub push_interval_ms: f64,
    /// Whether an agent beside each proxy pushes lists, so that no call waits in a queue.
    #[serde(default)]
    pub pushed: bool,
    /// Behaviour of calls during an outage.
    #[serde(default)]
    pub outage: OutageMode,
    /// The fraction of the calls with a known version that get the complete list in place of the changes since it.
    #[serde(default, rename = "whole_part")]
    pub full_list_fraction: f64,
    /// Whether complete lists leave out backends that are draining.
    #[serde(default, rename = "hides_draining")]
    pub omits_draining: bool,
}

/// The load that a backend in slow start withstands.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStartRule {
    /// The fraction of its capacity that a backend has at its start, as proxies are configured.
    #[serde(rename = "start")]
    pub initial_capacity: f64,
    /// Time in seconds after which a backend has its full capacity, as proxies are configured.
    #[serde(rename = "span_s")]
    pub duration_s: f64,
    /// A backend crashes when it is sent more than this multiple of its capacity for `overload_window_s`.
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// Length in seconds of the window in which too much work makes a backend crash.
    #[serde(rename = "fall_s")]
    pub overload_window_s: f64,
}

impl SlowStartRule {
    /// The time after which a backend has its full capacity, as proxies are configured.
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
    /// Name of the machine class.
    pub name: String,
    /// Fraction of the backends that have this machine class.
    pub share: f64,
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core, relative to a standard core.
    pub speed: Range,
    /// Number of requests that the machine processes at once.
    pub slots: Range,
    /// Number of requests that may wait for a slot; further ones are rejected.
    pub queue: Range,
    /// Loss of efficiency with concurrency.
    #[serde(rename = "thrash")]
    pub contention: ContentionSpec,
    /// The true slow start of the machine, which may differ from the settings of the proxies.
    #[serde(rename = "cold")]
    pub slow_start: SlowStartSpec,
    /// The fraction of the machine's requests that fail.
    pub error_rate: Range,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name of the request class.
    pub name: String,
    /// Fraction of the requests that have this class.
    pub share: f64,
    /// Mean work of a request, in ms on a standard core.
    pub work_ms: Range,
    /// Coefficient of variation of the work.
    #[serde(rename = "cv")]
    pub work_cv: Range,
    /// Latency objective in ms; a response within this time earns the weight.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Time in ms that a client waits over all its attempts.
    pub deadline_ms: f64,
    /// Weight that a response in time earns, relative to other classes.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Whether a request may be executed more than once.
    #[serde(rename = "effect")]
    pub idempotency: RequestIdempotency,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub enum RequestIdempotency {
    /// The request may be executed any number of times.
    #[serde(rename = "safe")]
    Idempotent,
    /// The request must not be executed more than once.
    #[serde(rename = "unsafe")]
    NotIdempotent,
    /// The request has an idempotency key and may be executed again for a limited time, within the cell of the backend
    /// of the first attempt.
    #[serde(rename = "keyed")]
    WithKey,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Name of the tenant.
    pub name: String,
    /// Fraction of the traffic that this tenant sends.
    pub share: f64,
    /// Quota of the tenant, as a multiple of its usual traffic.
    #[serde(rename = "allowance")]
    pub quota: Range,
}

/// Prices of resources that the score is charged for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriceSpec {
    /// Price of an attempt that crosses zones.
    pub cross_zone: f64,
    /// Price of a new connection.
    pub handshake: f64,
    /// Price of a datagram of 256 bytes to one receiver.
    #[serde(rename = "peer")]
    pub gossip: f64,
    /// Price of wasted work, relative to the work offered.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
}
