//! The keys of the TOML file. The doc comments are shown to users as the descriptions in the JSON schema and on the
//! reference page. The key of a field is the field's name, or the name in `serde(rename)` where the standard term in
//! the code differs from the key.

use std::sync::LazyLock;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::defaults;
use crate::config::values::{Address, DurationText, FilterText, Size};
use crate::config::{self, Format};

/// Configuration of leadrelay. One listener and one backend make a working proxy; every other key has a default.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The proxy's name in logs and in the files of an upgrade.
    #[serde(default = "defaults::proxy_name")]
    pub name: String,
    /// Address at which the proxy accepts client connections, as IP:PORT; with port 0 the operating system chooses the
    /// port. A change takes effect only after a restart.
    pub listen: Address,
    /// Path of the readiness check for load balancers in front of the proxy: it responds 200 while the proxy serves
    /// requests, and 503 before that and while it drains. If not given, requests to every path are forwarded.
    pub up_path: Option<String>,
    /// Seed of the proxy's random number generator; chosen at random at each start if not given.
    pub seed: Option<u32>,
    /// Fixed list of backends. Either `backends` or `discovery` has to be given, but not both.
    #[serde(default)]
    pub backends: Vec<Backend>,
    /// Discovery service that provides a changing list of backends. Either `discovery` or `backends` has to be given,
    /// but not both.
    pub discovery: Option<Discovery>,
    /// Classes of requests, selected by path and method; the class with the longest matching path applies. If none are
    /// given, there are two: `read` for GET, HEAD and OPTIONS, whose requests may run more than once, and `write` for
    /// all other methods, whose requests must not.
    #[serde(default)]
    pub classes: Vec<Class>,
    /// Tenants that share the capacity, each with a quota of requests per second. A request names its tenant in the
    /// header that `tenant_header` gives.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Name of the request header that carries the tenant's name.
    #[serde(default = "defaults::tenant_header")]
    pub tenant_header: String,
    /// Priority weight of a request beyond its tenant's quota (`per_second`), as a fraction of the priority weight of
    /// its class (`worth`).
    #[serde(rename = "over_allowance_worth", default = "defaults::over_quota_fraction")]
    #[schemars(range(min = 0, max = 1))]
    pub over_quota_fraction: f64,
    /// Zone in which this proxy runs; backends in other zones count as farther away.
    pub zone: Option<String>,
    /// The proxies that share the same backends and exchange gossip by UDP.
    pub peers: Option<Peers>,
    /// Admin interface for operators, on a separate address: metrics, maintenance of backends, draining.
    pub admin: Option<Admin>,
    /// Resource limits of the process and the limit on attempts per request.
    #[serde(default)]
    pub limits: Limits,
    /// Time-outs of connections to backends. The time allowed for a response is the deadline of the request's class.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Slow start: limits on the load of backends that have just started according to discovery.
    #[serde(rename = "cold", default)]
    pub slow_start: SlowStart,
    /// Log events on standard error.
    #[serde(default)]
    pub logging: Logging,
}

/// A backend in a fixed list.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Address at which the backend accepts HTTP/1.1, as IP:PORT.
    pub address: Address,
    /// Name of the backend for operators, for example in metrics; its address if not given.
    pub name: Option<String>,
    /// Zone in which the backend runs.
    pub zone: Option<String>,
    /// Machine class of the backend: backends of the same class are assumed to be about equally fast until their speed
    /// has been measured.
    #[serde(rename = "kind")]
    pub machine_class: Option<String>,
    /// Capacity of the backend relative to the other backends, for example its number of cores.
    #[serde(default = "defaults::one")]
    #[schemars(range(min = 0.001, max = 1000))]
    pub weight: f64,
}

/// A discovery service.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "DiscoveryAt")]
pub struct Discovery {
    /// Address of the discovery service, as IP:PORT; the proxy requests `GET /discovery/hosts?watch=1` from it.
    pub address: Address,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "EffectOf")]
pub enum Effect {
    /// The request may run more than once without harm.
    Safe,
    /// The request must not run more than once.
    Once,
    /// The request carries an `Idempotency-Key` header, by which backends discard repeats for the duration `window`.
    Keyed,
}

/// Deduplication scope: the backends that discard a repeat of a keyed request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All backends discard a repeat.
    #[default]
    All,
    /// Only backends in the zone of the first attempt's backend discard a repeat.
    Zone,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "ClassOf")]
pub struct Class {
    /// Name of the class in metrics and logs.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Path prefix of the class's requests, in whole segments: `/orders` matches `/orders/7` but not `/ordersheet`.
    #[serde(default = "defaults::path")]
    pub path: String,
    /// Methods of the class's requests, in upper case; all methods if not given.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Whether a request of the class may run more than once.
    pub effect: Effect,
    /// Time from a request's arrival after which its client gives up, unless the request's `X-Timeout` header, in
    /// seconds, is shorter.
    pub deadline: DurationText,
    /// Latency objective: a response within this time earns the full priority weight (`worth`). The deadline if not
    /// given.
    #[serde(rename = "aim")]
    pub latency_objective: Option<DurationText>,
    /// Priority weight of a response within the latency objective (`aim`), relative to other classes. Under overload
    /// the proxy serves the requests that earn the most priority weight.
    #[serde(rename = "worth", default = "defaults::one")]
    #[schemars(range(min = 0.000001, max = 1000000))]
    pub priority_weight: f64,
    /// Fraction of the priority weight (`worth`) that a response after the latency objective (`aim`) still earns.
    #[serde(rename = "late_worth", default = "defaults::late_fraction")]
    #[schemars(range(min = 0, max = 1))]
    pub late_fraction: f64,
    /// For keyed requests: the backends that discard a repeat.
    #[serde(default)]
    pub scope: Scope,
    /// For keyed requests: how long after the first attempt backends discard a repeat.
    pub window: Option<DurationText>,
}

/// A tenant, whose requests share a quota.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "TenantOf")]
pub struct Tenant {
    /// Name of the tenant, as requests give it in the header `tenant_header`.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Quota of the tenant, in requests per second over all proxies; requests beyond it have a lower priority weight
    /// (`over_allowance_worth`).
    #[serde(rename = "per_second")]
    #[schemars(range(min = 0, max = 1000000000))]
    pub quota_per_second: f64,
}

/// The proxies that share the same backends and exchange gossip by UDP, such as their load on each backend.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Gossip address (UDP) of every proxy, including this one, as IP:PORT and in the same order at each proxy.
    #[schemars(length(min = 1, max = 65536))]
    pub addresses: Vec<Address>,
    /// Index of this proxy's address in `addresses`, counted from 0.
    #[serde(rename = "me")]
    pub proxy_index: u32,
}

/// The admin interface.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Address of the admin interface, as IP:PORT. Anyone who can connect to it can drain the proxy: keep it private.
    pub listen: Address,
}

/// Resource limits of the process and the limit on attempts per request.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "LimitsOf")]
pub struct Limits {
    /// Number of file descriptors that the proxy may use, for clients and backends together.
    #[schemars(range(min = 64, max = 1000000))]
    pub descriptors: usize,
    /// Memory that the process may use; `docs/memory.md` says how it is divided.
    pub memory: Size,
    /// Maximum number of attempts per request.
    #[schemars(range(min = 1, max = 100))]
    pub attempts: u32,
}

/// Time-outs of connections to backends. The time allowed for a response is the deadline of the request's class.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// Time within which a connection to a backend has to be established; otherwise it has failed.
    pub connect: DurationText,
    /// Time after which backends close an idle connection. The proxy reuses no connection that has been idle for
    /// longer, and keeps idle connections for a shorter time while backends refuse new ones.
    pub idle: DurationText,
}

/// Slow start: the load that a backend can handle just after its start.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Cold")]
pub struct SlowStart {
    /// Fraction of its full capacity that a backend has immediately after its start.
    #[serde(rename = "capacity")]
    #[schemars(range(min = 0.01, max = 1))]
    pub initial_capacity: f64,
    /// Time after its start at which a backend has its full capacity.
    #[serde(rename = "span")]
    pub window: DurationText,
    /// Overload threshold of a backend in slow start, as a multiple of its current capacity: it fails if it receives
    /// more load than this for the duration `fall`.
    #[serde(rename = "multiple")]
    #[schemars(range(min = 1, max = 1000))]
    pub overload_multiple: f64,
    /// Time for which a backend in slow start withstands more load than the overload threshold (`multiple`).
    #[serde(rename = "fall")]
    pub overload_window: DurationText,
}

/// Log events.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "LoggingOf")]
pub struct Logging {
    /// Events to log: a level (`error`, `warn`, `info`, `debug`, `trace`, `off`), `target=level` pairs, or several of
    /// these separated by commas.
    pub filter: FilterText,
    /// Format of a log event: one line of text or one JSON object.
    pub format: Format,
    /// Fraction of the requests for which an access event is logged, from 0 for none to 1 for all.
    #[schemars(range(min = 0, max = 1))]
    pub access: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { descriptors: 1024, memory: defaults::MEMORY, attempts: 3 }
    }
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts { connect: DurationText::from_secs(1), idle: DurationText::from_secs(15) }
    }
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart {
            initial_capacity: 0.2,
            window: DurationText::from_secs(30),
            overload_multiple: 3.0,
            overload_window: DurationText::from_secs(1),
        }
    }
}

impl Default for Logging {
    fn default() -> Self {
        let config::Logging { filter, format, access } = config::Logging::default();
        Logging { filter: FilterText(filter), format, access }
    }
}

/// The JSON schema of the file.
pub static SCHEMA: LazyLock<Value> = LazyLock::new(|| {
    let mut schema = schemars::schema_for!(File).to_value();
    schema["title"] = "leadrelay".into();
    schema
});
