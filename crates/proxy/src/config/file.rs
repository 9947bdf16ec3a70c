//! Our own configuration file: TOML for those who do not run on the operators' platform.

use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::sync::LazyLock;

use leadrelay_core::names::{Names, intern};
use leadrelay_core::settings::json::Connections;
use leadrelay_core::{
    DeduplicationScope, DiscoveryMode, Idempotency, Limits, NotificationBounds, Prices, RequestClass,
    Settings, Tenant, WeightMeaning, ZoneId,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::fault::{Fault, Text};
use super::values::{Address, FORMATS, Size, Span};
use super::{
    Config, Dialect, Format, Logging, Origin, PeerAddresses, Plain, Route, Source, max_open_requests,
};
use crate::listed_endpoint::{Health, ListedEndpoint};

/// Configuration of leadrelay. One listener and one backend make a working proxy; every other key has a default.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    /// The proxy's name in logs and in the files of an upgrade.
    #[serde(default = "name")]
    name: String,
    /// Where clients connect, as IP:PORT; port 0 lets the system choose. Needs a restart to change.
    listen: Address,
    /// A path at which clients' load balancers ask whether to send clients here: 200 while the proxy serves, 503
    /// before and while it drains. Without it every path is a request.
    up_path: Option<String>,
    /// Number that the random choices start from; drawn at each start if not given.
    seed: Option<u32>,
    /// The backends, where they are known beforehand. Give these or `discovery`.
    #[serde(default)]
    backends: Vec<Backend>,
    /// Where the list of backends comes from, if it changes. Give this or `backends`.
    discovery: Option<DiscoveryAt>,
    /// Kinds of requests, by path and method; the longest path that fits wins. Without any there are two: `read` for
    /// GET, HEAD and OPTIONS, which may be repeated, and `write` for all else, which may not.
    #[serde(default)]
    classes: Vec<ClassOf>,
    /// Customers that share the capacity, each with what it may ask for. A request names its tenant in
    /// `tenant_header`.
    #[serde(default)]
    tenants: Vec<TenantOf>,
    /// The header that names a request's tenant.
    #[serde(default = "tenant_header")]
    tenant_header: String,
    /// What a request beyond its tenant's allowance is still worth, as a part of its class's worth.
    #[serde(default = "tenth")]
    #[schemars(range(min = 0, max = 1))]
    over_allowance_worth: f64,
    /// The zone in which this proxy stands; backends of other zones count as further away.
    zone: Option<String>,
    /// Other proxies of the same backends.
    peers: Option<Peers>,
    /// Second address, for operators: figures, maintenance, draining.
    admin: Option<Admin>,
    /// What the process may take.
    #[serde(default)]
    limits: LimitsOf,
    /// How long things may take.
    #[serde(default)]
    timeouts: Timeouts,
    /// How backends are treated that discovery says have just started.
    #[serde(default)]
    cold: Cold,
    /// What is written to standard error.
    #[serde(default)]
    logging: LoggingOf,
}

/// A backend of a fixed list.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct Backend {
    /// Where it listens for HTTP/1.1.
    address: Address,
    /// Its name for operators; its address if not given.
    name: Option<String>,
    /// Its zone.
    zone: Option<String>,
    /// Its kind of machine: backends of one kind are taken to be about equally fast until measured.
    kind: Option<String>,
    /// Its size compared with the others, in cores say.
    #[serde(default = "one")]
    #[schemars(range(min = 0.001, max = 1000))]
    weight: f64,
}

/// A discovery service.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct DiscoveryAt {
    /// Its address; it is asked for `GET /discovery/hosts?watch=1`.
    address: Address,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema, PartialEq)]
#[serde(rename_all = "lowercase")]
enum EffectOf {
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
enum Scope {
    /// Each of them.
    #[default]
    All,
    /// Those in the zone of the first one tried.
    Zone,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct ClassOf {
    /// Its name in figures and logs.
    #[schemars(length(min = 1))]
    name: String,
    /// The beginning of the paths that belong to it, whole segments: `/orders` takes `/orders/7`, not `/ordersheet`.
    #[serde(default = "root")]
    path: String,
    /// The methods that belong to it; all if not given.
    #[serde(default)]
    methods: Vec<String>,
    /// Whether it may run more than once.
    effect: EffectOf,
    /// A client gives up after this span, unless its `X-Timeout` header says less.
    deadline: Span,
    /// An answer within this span earns the full worth; the deadline if not given.
    aim: Option<Span>,
    /// What an answer in time is worth, compared with other classes. Under overload the most worth is served.
    #[serde(default = "one")]
    #[schemars(range(min = 0.000001, max = 1000000))]
    worth: f64,
    /// The part of the worth that an answer after the aim still earns.
    #[serde(default = "half")]
    #[schemars(range(min = 0, max = 1))]
    late_worth: f64,
    /// For keyed requests: which backends drop a repeat.
    #[serde(default)]
    scope: Scope,
    /// For keyed requests: for how long after the first attempt.
    window: Option<Span>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct TenantOf {
    /// Its name, as requests tell it.
    #[schemars(length(min = 1))]
    name: String,
    /// Requests a second, over all proxies, that count in full.
    #[schemars(range(min = 0, max = 1000000000))]
    per_second: f64,
}

/// Proxies of the same backends tell each other by UDP what they hold.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct Peers {
    /// Every proxy's address for datagrams, this one's included, in the same order at each proxy.
    #[schemars(length(min = 1, max = 65536))]
    addresses: Vec<Address>,
    /// Which of them is this proxy's, counted from 0.
    me: u32,
}

/// The second address.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct Admin {
    /// Where operators connect. Whoever reaches it may drain the proxy: keep it private.
    listen: Address,
}

/// Bounds of the process.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct LimitsOf {
    /// File descriptors that the proxy may use, for clients and backends together.
    #[schemars(range(min = 64, max = 1000000))]
    descriptors: usize,
    /// Memory that the process may take; a sixth of it is for bodies on their way.
    memory: Size,
    /// Attempts that one request may have.
    #[schemars(range(min = 1, max = 100))]
    attempts: u32,
}

/// Time-outs. The time for an answer is a class's deadline.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct Timeouts {
    /// A connection to a backend that is not up within this span has failed.
    connect: Span,
    /// Backends close a connection that has been idle for this span; it is not used for longer, and
    /// kept for less while backends turn new connections away.
    idle: Span,
}

/// Cold starts: what a backend can take that has just started.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct Cold {
    /// The part of its capacity that it has at once.
    #[schemars(range(min = 0.01, max = 1))]
    capacity: f64,
    /// It has all of it after this span.
    span: Span,
    /// Sent more than this multiple of what it can do ...
    #[schemars(range(min = 1, max = 1000))]
    multiple: f64,
    /// ... for this span, it falls over.
    fall: Span,
}

/// Logs.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct LoggingOf {
    /// Which events: a level (`error`, `warn`, `info`, `debug`, `trace`, `off`), or `target=level` pairs parted by
    /// commas.
    filter: FilterText,
    /// One line of text or one JSON object an event.
    format: Format,
    /// The part of the requests that leave an access event, from 0 for none to 1 for all.
    #[schemars(range(min = 0, max = 1))]
    access: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
struct FilterText(String);

impl JsonSchema for FilterText {
    fn inline_schema() -> bool {
        true
    }

    fn schema_name() -> std::borrow::Cow<'static, str> {
        "FilterText".into()
    }

    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        schemars::json_schema!({ "type": "string", "format": "filter" })
    }
}

fn name() -> String {
    "leadrelay".into()
}

fn tenant_header() -> String {
    "X-Tenant-Id".into()
}

fn root() -> String {
    "/".into()
}

fn one() -> f64 {
    1.0
}

fn half() -> f64 {
    0.5
}

fn tenth() -> f64 {
    0.1
}

fn span(ms: u64) -> Span {
    Span(std::time::Duration::from_millis(ms))
}

impl Default for LimitsOf {
    fn default() -> Self {
        LimitsOf { descriptors: 1024, memory: Size(256 << 20), attempts: 3 }
    }
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts { connect: span(1000), idle: span(15_000) }
    }
}

impl Default for Cold {
    fn default() -> Self {
        Cold { capacity: 0.2, span: span(30_000), multiple: 3.0, fall: span(1000) }
    }
}

impl Default for LoggingOf {
    fn default() -> Self {
        let Logging { filter, format, access } = Logging::default();
        LoggingOf { filter: FilterText(filter), format, access }
    }
}

/// The JSON schema of the file.
pub(super) static SCHEMA: LazyLock<Value> = LazyLock::new(|| {
    let mut schema = schemars::schema_for!(File).to_value();
    schema["title"] = "leadrelay".into();
    schema
});

/// Reads a file; all that is wrong with it is told at once.
pub(super) fn parse(text: &str) -> Result<Config, Vec<Fault>> {
    let (places, value, mut faults) = Text::read(text);
    if faults.is_empty() {
        faults = super::check::against_schema(&SCHEMA, &FORMATS, &places, &value);
    }
    if faults.is_empty() {
        let file: File = serde_json::from_value(value).map_err(|e| vec![places.at("", e.to_string())])?;
        faults = file.faults(&places);
        if faults.is_empty() {
            return Ok(file.config());
        }
    }
    faults.sort();
    faults.dedup();
    Err(faults)
}

impl File {
    /// What the schema can't say.
    fn faults(&self, places: &Text) -> Vec<Fault> {
        let mut faults = Vec::new();
        match (self.backends.is_empty(), &self.discovery) {
            (true, None) => faults.push(places.at("", "no backends: give [[backends]] or [discovery]")),
            (false, Some(_)) => {
                faults.push(places.at_key("/discovery", "give 'backends' or 'discovery', not both"));
            }
            _ => {}
        }
        let mut twice = |list: &str, key: &str, names: Vec<String>| {
            let mut seen = HashSet::new();
            for (n, name) in names.into_iter().enumerate() {
                if !seen.insert(name.clone()) {
                    let at = format!("/{list}/{n}/{key}");
                    faults.push(places.at(&at, format!("'{name}' stands twice among the {list}")));
                }
            }
        };
        twice("backends", "name", self.backends.iter().map(Backend::label).collect());
        twice("classes", "name", self.classes.iter().map(|c| c.name.clone()).collect());
        twice("tenants", "name", self.tenants.iter().map(|t| t.name.clone()).collect());
        let of = |n: usize, key: &str| format!("/classes/{n}/{key}");
        for (n, class) in self.classes.iter().enumerate() {
            if class.deadline.ms() < 1.0 {
                faults.push(places.at(&of(n, "deadline"), "a deadline has to be 1ms or more"));
            }
            if class.aim.is_some_and(|aim| aim.ms() < 1.0 || aim.ms() > class.deadline.ms()) {
                faults.push(places.at(&of(n, "aim"), "an aim has to be 1ms or more and within the deadline"));
            }
            if !class.path.starts_with('/') {
                faults.push(places.at(&of(n, "path"), "a path begins with '/'"));
            }
            match (class.effect, class.window) {
                (EffectOf::Keyed, None) => {
                    faults.push(places.at(&of(n, "effect"), "a keyed class needs a 'window'"));
                }
                (EffectOf::Keyed, Some(_)) | (_, None) => {}
                (_, Some(_)) => {
                    faults.push(places.at_key(&of(n, "window"), "only a keyed class has a 'window'"))
                }
            }
            for (m, method) in class.methods.iter().enumerate() {
                let known = hyper::Method::from_bytes(method.as_bytes());
                if !known.is_ok_and(|known| known.as_str() == known.as_str().to_uppercase()) {
                    let at = format!("/classes/{n}/methods/{m}");
                    faults.push(places.at(&at, format!("'{method}' is no method: 'GET', 'POST', ...")));
                }
            }
        }
        if let Some(peers) = &self.peers
            && peers.me as usize >= peers.addresses.len()
        {
            let message = format!("proxy {} of {} (they count from 0)", peers.me, peers.addresses.len());
            faults.push(places.at("/peers/me", message));
        }
        if self.up_path.as_ref().is_some_and(|path| !path.starts_with('/')) {
            faults.push(places.at("/up_path", "a path begins with '/'"));
        }
        if hyper::header::HeaderName::from_bytes(self.tenant_header.as_bytes()).is_err() {
            faults.push(places.at("/tenant_header", "this can't be the name of a header"));
        }
        faults
    }

    /// The classes, or the two that there are where none is named.
    fn classes(&self) -> Vec<ClassOf> {
        if !self.classes.is_empty() {
            return self.classes.clone();
        }
        let of = |name: &str, methods: &[&str], effect| ClassOf {
            name: name.into(),
            path: root(),
            methods: methods.iter().map(|m| (*m).to_owned()).collect(),
            effect,
            deadline: span(30_000),
            aim: Some(span(2000)),
            worth: 1.0,
            late_worth: half(),
            scope: Scope::All,
            window: None,
        };
        vec![of("read", &["GET", "HEAD", "OPTIONS"], EffectOf::Safe), of("write", &[], EffectOf::Once)]
    }

    /// The typed configuration; the file has no faults.
    fn config(self) -> Config {
        let classes = self.classes();
        let mut names = Names {
            classes: classes.iter().map(|c| c.name.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.name.clone()).collect(),
            ..Names::default()
        };
        let zone = self.zone.as_ref().map(|zone| ZoneId(intern(&mut names.zones, zone) as u32));
        let limits = Limits {
            // The last list is used for as long as discovery can't be heard.
            drain_grace: f64::INFINITY,
            notified_without_watch: f64::INFINITY,
            initial_capacity: self.cold.capacity,
            slow_start_window: self.cold.span.ms().max(1.0),
            overload_multiple: self.cold.multiple,
            overload_window: self.cold.fall.ms().max(1.0),
            max_open_requests: max_open_requests(self.limits.descriptors),
            max_attempts: self.limits.attempts,
        };
        let settings = Settings {
            proxy_index: self.peers.as_ref().map_or(0, |p| p.me),
            proxies: self.peers.as_ref().map_or(1, |p| p.addresses.len() as u32),
            zone,
            classes: classes.iter().map(ClassOf::rules).collect(),
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_second: t.per_second }).collect(),
            over_quota_fraction: self.over_allowance_worth,
            weight_per_work: false,
            discovery: DiscoveryMode::Pushed,
            notification_bounds: self.discovery.is_some().then(NotificationBounds::default),
            weight_meaning: WeightMeaning::Capacity,
            key_affinity: false,
            gossip_enabled: self.peers.is_some(),
            prices: Prices::default(),
            limits,
        };
        let routes = classes.into_iter().map(|c| Route { class: c.name, path: c.path, methods: c.methods });
        let dialect = Dialect::Plain(Plain {
            routes: routes.collect(),
            up_path: self.up_path,
            tenant_header: self.tenant_header,
        });
        let peers = self.peers.map(|p| {
            let peers: Vec<_> = p.addresses.into_iter().map(|a| a.0).collect();
            PeerAddresses { listen: peers[p.me as usize], peers, all: None }
        });
        let source = match self.discovery {
            Some(at) => Source::Discovery(at.address.0),
            None => Source::Fixed(self.backends.iter().map(Backend::listed_endpoint).collect()),
        };
        let LoggingOf { filter, format, access } = self.logging;
        Config {
            name: self.name,
            listen: self.listen.0,
            admin: self.admin.map(|a| a.listen.0),
            source,
            // Two proxies started together must not draw alike.
            seed: self.seed.map_or_else(|| RandomState::new().hash_one(std::process::id()), u64::from),
            max_sockets: self.limits.descriptors,
            max_memory: self.limits.memory.0 as usize,
            peers,
            cached_list: Value::Null,
            connections: Connections {
                dial_timeout: self.timeouts.connect.ms(),
                idle_close: self.timeouts.idle.ms(),
            },
            settings,
            names,
            dialect,
            logging: Logging { filter: filter.0, format, access },
            origin: Origin::File,
        }
    }
}

impl ClassOf {
    fn rules(&self) -> RequestClass {
        let group = match self.scope {
            Scope::All => DeduplicationScope::All,
            Scope::Zone => DeduplicationScope::Zone,
        };
        RequestClass {
            latency_objective: self.aim.unwrap_or(self.deadline).ms(),
            deadline: self.deadline.ms(),
            objective_stretch: 0.0,
            priority_weight: self.worth,
            late_fraction: self.late_worth,
            idempotency: match self.effect {
                EffectOf::Safe => Idempotency::Always,
                EffectOf::Once => Idempotency::Never,
                EffectOf::Keyed => {
                    Idempotency::WithKey { scope: group, window: self.window.map_or(0.0, Span::ms) }
                }
            },
        }
    }
}

impl Backend {
    fn label(&self) -> String {
        self.name.clone().unwrap_or_else(|| self.address.0.to_string())
    }

    fn listed_endpoint(&self) -> ListedEndpoint {
        ListedEndpoint {
            name: self.label(),
            address: Some(self.address.0),
            zone: self.zone.clone(),
            machine_class: self.kind.clone(),
            cell: None,
            health: Health::Up,
            weight: Some(self.weight),
            started_unix_ms: 0.0,
        }
    }
}
