//! The form of the file. The doc comments are shown to users: they are the descriptions in the JSON schema and in the
//! reference page. A field's name is the file's key, unless the standard term is another: then `serde(rename)` has the
//! key.

use std::sync::LazyLock;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::defaults;
use crate::config::values::{Address, FilterText, Size, Span};
use crate::config::{self, Format};

/// Configuration of leadrelay. One listener and one backend make a working proxy; every other key has a default.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The proxy's name in logs and in the files of an upgrade.
    #[serde(default = "defaults::proxy_name")]
    pub name: String,
    /// Where clients connect, as IP:PORT; port 0 lets the system choose. Needs a restart to change.
    pub listen: Address,
    /// A path at which clients' load balancers ask whether to send clients here: 200 while the proxy serves, 503
    /// before and while it drains. Without it every path is a request.
    pub up_path: Option<String>,
    /// Number that the random choices start from; drawn at each start if not given.
    pub seed: Option<u32>,
    /// The backends, where they are known beforehand. Give these or `discovery`.
    #[serde(default)]
    pub backends: Vec<Backend>,
    /// Where the list of backends comes from, if it changes. Give this or `backends`.
    pub discovery: Option<Discovery>,
    /// Kinds of requests, by path and method; the longest path that fits wins. Without any there are two: `read` for
    /// GET, HEAD and OPTIONS, which may be repeated, and `write` for all else, which may not.
    #[serde(default)]
    pub classes: Vec<Class>,
    /// Customers that share the capacity, each with what it may ask for. A request names its tenant in
    /// `tenant_header`.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// The header that names a request's tenant.
    #[serde(default = "defaults::tenant_header")]
    pub tenant_header: String,
    /// What a request beyond its tenant's allowance is still worth, as a part of its class's worth.
    #[serde(rename = "over_allowance_worth", default = "defaults::over_quota_fraction")]
    #[schemars(range(min = 0, max = 1))]
    pub over_quota_fraction: f64,
    /// The zone in which this proxy stands; backends of other zones count as further away.
    pub zone: Option<String>,
    /// Other proxies of the same backends.
    pub peers: Option<Peers>,
    /// Second address, for operators: figures, maintenance, draining.
    pub admin: Option<Admin>,
    /// What the process may take.
    #[serde(default)]
    pub limits: Limits,
    /// How long things may take.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// How backends are treated that discovery says have just started.
    #[serde(rename = "cold", default)]
    pub slow_start: SlowStart,
    /// What is written to standard error.
    #[serde(default)]
    pub logging: Logging,
}

/// A backend of a fixed list.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Where it listens for HTTP/1.1.
    pub address: Address,
    /// Its name for operators; its address if not given.
    pub name: Option<String>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its kind of machine: backends of one kind are taken to be about equally fast until measured.
    #[serde(rename = "kind")]
    pub machine_class: Option<String>,
    /// Its size compared with the others, in cores say.
    #[serde(default = "defaults::one")]
    #[schemars(range(min = 0.001, max = 1000))]
    pub weight: f64,
}

/// A discovery service.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "DiscoveryAt")]
pub struct Discovery {
    /// Its address; it is asked for `GET /discovery/hosts?watch=1`.
    pub address: Address,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "EffectOf")]
pub enum Effect {
    /// Repeating it does no harm.
    Safe,
    /// It must not run twice.
    Once,
    /// It carries an `Idempotency-Key`, by which backends drop repeats for `window`.
    Keyed,
}

/// Which backends drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// Each of them.
    #[default]
    All,
    /// Those in the zone of the first one tried.
    Zone,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "ClassOf")]
pub struct Class {
    /// Its name in figures and logs.
    #[schemars(length(min = 1))]
    pub name: String,
    /// The beginning of the paths that belong to it, whole segments: `/orders` takes `/orders/7`, not `/ordersheet`.
    #[serde(default = "defaults::path")]
    pub path: String,
    /// The methods that belong to it; all if not given.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// A client gives up after this span, unless its `X-Timeout` header says less.
    pub deadline: Span,
    /// An answer within this span earns the full worth; the deadline if not given.
    #[serde(rename = "aim")]
    pub latency_objective: Option<Span>,
    /// What an answer in time is worth, compared with other classes. Under overload the most worth is served.
    #[serde(rename = "worth", default = "defaults::one")]
    #[schemars(range(min = 0.000001, max = 1000000))]
    pub priority_weight: f64,
    /// The part of the worth that an answer after the aim still earns.
    #[serde(rename = "late_worth", default = "defaults::late_fraction")]
    #[schemars(range(min = 0, max = 1))]
    pub late_fraction: f64,
    /// For keyed requests: which backends drop a repeat.
    #[serde(default)]
    pub scope: Scope,
    /// For keyed requests: for how long after the first attempt.
    pub window: Option<Span>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "TenantOf")]
pub struct Tenant {
    /// Its name, as requests tell it.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Requests a second, over all proxies, that count in full.
    #[serde(rename = "per_second")]
    #[schemars(range(min = 0, max = 1000000000))]
    pub quota_per_second: f64,
}

/// Proxies of the same backends tell each other by UDP what they hold.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Every proxy's address for datagrams, this one's included, in the same order at each proxy.
    #[schemars(length(min = 1, max = 65536))]
    pub addresses: Vec<Address>,
    /// Which of them is this proxy's, counted from 0.
    #[serde(rename = "me")]
    pub proxy_index: u32,
}

/// The second address.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Where operators connect. Whoever reaches it may drain the proxy: keep it private.
    pub listen: Address,
}

/// Bounds of the process.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "LimitsOf")]
pub struct Limits {
    /// File descriptors that the proxy may use, for clients and backends together.
    #[schemars(range(min = 64, max = 1000000))]
    pub descriptors: usize,
    /// Memory that the process may take; a sixth of it is for bodies on their way.
    pub memory: Size,
    /// Attempts that one request may have.
    #[schemars(range(min = 1, max = 100))]
    pub attempts: u32,
}

/// Time-outs. The time for an answer is a class's deadline.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// A connection to a backend that is not up within this span has failed.
    pub connect: Span,
    /// Backends close a connection that has been idle for this span; it is not used for longer, and
    /// kept for less while backends turn new connections away.
    pub idle: Span,
}

/// Cold starts: what a backend can take that has just started.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Cold")]
pub struct SlowStart {
    /// The part of its capacity that it has at once.
    #[serde(rename = "capacity")]
    #[schemars(range(min = 0.01, max = 1))]
    pub initial_capacity: f64,
    /// It has all of it after this span.
    #[serde(rename = "span")]
    pub window: Span,
    /// Sent more than this multiple of what it can do ...
    #[serde(rename = "multiple")]
    #[schemars(range(min = 1, max = 1000))]
    pub overload_multiple: f64,
    /// ... for this span, it falls over.
    #[serde(rename = "fall")]
    pub overload_window: Span,
}

/// Logs.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "LoggingOf")]
pub struct Logging {
    /// Which events: a level (`error`, `warn`, `info`, `debug`, `trace`, `off`), or `target=level` pairs parted by
    /// commas.
    pub filter: FilterText,
    /// One line of text or one JSON object an event.
    pub format: Format,
    /// The part of the requests that leave an access event, from 0 for none to 1 for all.
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
        Timeouts { connect: Span::from_secs(1), idle: Span::from_secs(15) }
    }
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart {
            initial_capacity: 0.2,
            window: Span::from_secs(30),
            overload_multiple: 3.0,
            overload_window: Span::from_secs(1),
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
