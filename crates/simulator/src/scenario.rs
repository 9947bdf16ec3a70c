//! Scenarios: ranges in TOML, from which a seed makes a day.

use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::discovery::Outage;
use crate::random::Range;

/// What is wrong with a scenario file: one line with file and place.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// It can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It is no scenario.
    #[error("{}:{line}:{column}: {message}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// From 1.
        line: usize,
        /// From 1.
        column: usize,
        /// What is wrong there.
        message: String,
    },
    /// Its values don't fit together.
    #[error("{}: {message}", path.display())]
    Unfit {
        /// The file.
        path: PathBuf,
        /// What does not fit.
        message: String,
    },
}

/// A kind of day. Times are in the unit that their names tell; speeds are relative to the yardstick core.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name in results.
    pub name: String,
    /// Another scenario beside this file whose keys hold where this one has none.
    #[serde(default)]
    pub base: Option<String>,
    /// Length of the day.
    pub seconds: f64,
    /// How many proxies.
    pub proxies: usize,
    /// How many backends.
    pub backends: usize,
    /// Names of the zones; backends and proxies are dealt out over them.
    pub zones: Vec<String>,
    /// Work asked for, as a part of what all backends can do.
    pub load: Range,
    /// How far the zones' parts of the traffic lie from even, 0 to 1.
    pub zone_skew: Range,
    /// Coefficient of variation of the proxies' parts of their zone's traffic.
    pub proxy_spread: Range,
    /// Distinct keys, and the exponent of their popularity.
    pub keys: (Range, Range),
    /// The part of work that a backend saves for a key that it met of late, for how long, and for how many keys.
    pub warm: (Range, Range, Range),
    /// The network.
    pub network: Network,
    /// The clients.
    pub clients: Clients,
    /// The service that lists backends.
    pub discovery: DiscoverySpec,
    /// The rule on cold backends.
    pub cold: Cold,
    /// Kinds of machines.
    pub kinds: Vec<MachineClassSpec>,
    /// Classes of requests.
    pub classes: Vec<ClassSpec>,
    /// Tenants.
    pub tenants: Vec<TenantSpec>,
    /// Worth of a request beyond its tenant's share.
    pub over_share_worth: f64,
    /// Prices, as a part of the worth of a mean request.
    pub prices: Prices,
    /// What happens.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
}

/// Ways between the parts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// One way within a zone.
    pub same_ms: Range,
    /// One way between zones.
    pub cross_ms: Range,
    /// One way between a client and its proxy.
    pub client_ms: Range,
    /// Coefficient of variation of a way.
    pub jitter: f64,
    /// One way of a datagram between proxies.
    pub peer_ms: Range,
    /// The part of the datagrams that is lost.
    pub peer_loss: f64,
    /// Work that a new connection costs a backend, and ways until it stands.
    pub handshake: (Range, f64),
    /// A connection that is not up by then has failed.
    pub connect_timeout_ms: f64,
    /// Connections that a backend accepts.
    pub connections: Range,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Further tries that a client makes.
    pub retries: u32,
    /// A try is given up after this part of the class's deadline.
    pub try_share: Range,
    /// First wait before another try; it doubles.
    pub backoff_ms: Range,
    /// The part that leaves before its time is up.
    pub impatient: Range,
    /// The front goes on sending to a dead proxy for so long.
    pub front_notice_s: Range,
}

/// The list of backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySpec {
    /// It knows of a change after this span.
    pub notice_s: Range,
    /// Calls a second that it can answer.
    pub calls_per_s: Range,
    /// A call that waited longer fails.
    pub timeout_ms: f64,
    /// Span between looks for news to push to watchers.
    pub push_ms: f64,
    /// Lists come unasked, by an agent beside each proxy: a call waits for nobody.
    #[serde(default)]
    pub pushed: bool,
    /// What calls meet while it is down: `fails` after `timeout_ms`, or `refuses`.
    #[serde(default)]
    pub outage: Outage,
    /// The part of the calls after a known version that get the whole list all the same.
    #[serde(default)]
    pub whole_part: f64,
    /// Whole lists leave out backends that drain.
    #[serde(default)]
    pub hides_draining: bool,
}

/// What a cold backend bears.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// The part of its capacity that it surely has at once, as proxies are told.
    pub start: f64,
    /// The span after which it surely has all, as proxies are told.
    pub span_s: f64,
    /// Sent more than this multiple of what it can do ...
    pub multiple: f64,
    /// ... for this span, it falls over.
    pub fall_s: f64,
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineClassSpec {
    /// Its name.
    pub name: String,
    /// Its part of the backends.
    pub share: f64,
    /// Cores.
    pub cores: f64,
    /// Speed of a core.
    pub speed: Range,
    /// Requests that it works on at once.
    pub slots: Range,
    /// Requests that wait beyond those; more are turned away.
    pub queue: Range,
    /// Lost efficiency for each request in work beyond the second figure.
    pub thrash: (Range, Range),
    /// Its capacity right after a start, and the span until it has all.
    pub cold: (Range, Range),
    /// The part of its requests that fail.
    pub error_rate: Range,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its part of the requests.
    pub share: f64,
    /// Mean work on the yardstick, and its coefficient of variation.
    pub work_ms: Range,
    /// Coefficient of variation of work.
    pub cv: Range,
    /// An answer within this span earns its worth.
    pub aim_ms: f64,
    /// A client's whole patience.
    pub deadline_ms: f64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// `safe`, `unsafe` or `keyed`.
    pub effect: RequestIdempotency,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum RequestIdempotency {
    /// As often as one likes.
    Safe,
    /// Never.
    Unsafe,
    /// Within the cell of the first backend tried, for 10 s.
    Keyed,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its part of the traffic.
    pub share: f64,
    /// Its allowance, as a multiple of its usual traffic.
    pub allowance: Range,
}

/// What is charged.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// A request that crosses zones.
    pub cross_zone: f64,
    /// A new connection a request.
    pub handshake: f64,
    /// A message of 256 bytes to one receiver a request.
    pub peer: f64,
    /// Work done for nothing, as much as was asked for.
    pub waste: f64,
}

/// What may happen in a day.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A part of the proxies dies; each comes back after `size` seconds with its list as last seen.
    KillProxies,
    /// The proxies restart one after another over the length, each away for `size` seconds.
    RollProxies,
    /// A part of the backends is replaced over the length by new, cold ones.
    ReplaceBackends,
    /// The backends of one zone die and come back cold after the length.
    LoseZone,
    /// One zone is cut off from the others, for requests and messages.
    CutZone,
    /// A part of the backends falls silent: they take requests and answer nothing.
    SilentBackends,
    /// A part of the backends fails this part (`size`) of its requests, at once.
    FailingBackends,
    /// A part of the backends is slower by the factor `size`.
    SlowBackends,
    /// All traffic is multiplied by `size`.
    Burst,
    /// The first tenant's traffic is multiplied by `size`.
    TenantBurst,
    /// A part of the proxies gets `size` of all traffic.
    HotProxies,
    /// The discovery service answers nothing.
    DiscoveryDown,
    /// The watches of a part of the proxies fall silent; the connections stay open.
    SilentWatches,
    /// The watches of a part of the proxies are reset.
    BreakWatches,
    /// Discovery moves to another address, and every proxy is told so.
    MoveDiscovery,
    /// A part of the backends drains over the length; each stops after `size` seconds, with 0 it stays up.
    DrainBackends,
}

/// A fault with its ranges.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// What happens.
    pub kind: FaultKind,
    /// When, as a part of the day.
    pub at: Range,
    /// For how long, in seconds.
    #[serde(default = "zero")]
    pub seconds: Range,
    /// To which part.
    #[serde(default = "zero")]
    pub part: Range,
    /// How strongly; its meaning is the kind's.
    #[serde(default = "zero")]
    pub size: Range,
}

fn zero() -> Range {
    Range::One(0.0)
}

/// Lays `over` on `base`: tables key by key, all else whole.
fn merge(base: &mut toml::Table, over: toml::Table) {
    for (key, value) in over {
        match (base.get_mut(&key), value) {
            (Some(toml::Value::Table(base)), toml::Value::Table(over)) => merge(base, over),
            (_, value) => {
                base.insert(key, value);
            }
        }
    }
}

impl Scenario {
    /// Reads a scenario, with what it takes from the one that it names as its base.
    ///
    /// # Errors
    /// One line with file and place.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = |path: &Path| {
            let unreadable = |source| ScenarioError::Unreadable { path: path.to_owned(), source };
            std::fs::read_to_string(path).map_err(unreadable)
        };
        let own = text(path)?;
        let table =
            |path: &Path, text: &str| text.parse::<toml::Table>().map_err(|e| malformed(path, text, &e));
        let over = table(path, &own)?;
        let Some(base) = over.get("base").and_then(toml::Value::as_str) else {
            return Self::fit(path, toml::from_str(&own).map_err(|e| malformed(path, &own, &e))?);
        };
        let base = path.with_file_name(base);
        let mut all = table(&base, &text(&base)?)?;
        merge(&mut all, over);
        let unfit = |e: toml::de::Error| ScenarioError::Unfit {
            path: path.to_owned(),
            message: one_line(e.message()),
        };
        Self::fit(path, all.try_into().map_err(unfit)?)
    }

    /// Whether the values fit together.
    fn fit(path: &Path, scenario: Scenario) -> Result<Self, ScenarioError> {
        let unfit = |message: String| Err(ScenarioError::Unfit { path: path.to_owned(), message });
        let s = &scenario;
        if !(s.seconds > 0.0 && s.seconds <= 86_400.0) {
            return unfit(format!("seconds = {}: a day lasts up to 86400", s.seconds));
        }
        for (what, n, most) in [("proxies", s.proxies, 2000), ("backends", s.backends, 2000)] {
            if n == 0 || n > most {
                return unfit(format!("{what} = {n}: from 1 to {most}"));
            }
        }
        let lists = [("zones", s.zones.len()), ("kinds", s.kinds.len()), ("classes", s.classes.len())];
        if let Some((what, _)) = lists.into_iter().find(|l| l.1 == 0) {
            return unfit(format!("no {what}"));
        }
        if !(0.0..=1.0).contains(&s.discovery.whole_part) {
            return unfit(format!("whole_part = {}: a part from 0 to 1", s.discovery.whole_part));
        }
        let faults = s.faults.iter().flat_map(|f| [f.at, f.seconds, f.part, f.size]);
        let kinds =
            s.kinds.iter().flat_map(|k| [k.speed, k.slots, k.queue, k.cold.0, k.cold.1, k.error_rate]);
        let classes = s.classes.iter().flat_map(|c| [c.work_ms, c.cv]);
        let plain =
            [s.load, s.zone_skew, s.proxy_spread, s.keys.0, s.keys.1, s.network.same_ms, s.network.cross_ms];
        for range in faults.chain(kinds).chain(classes).chain(plain) {
            let (low, high) = range.bounds();
            if !(low.is_finite() && high.is_finite() && 0.0 <= low && low <= high) {
                return unfit(format!("[{low}, {high}] is an empty range, or below 0"));
            }
        }
        let most: f64 = s.faults.iter().map(|f| f.part.bounds().1.max(0.0)).fold(0.0, f64::max);
        if most > 1.0 {
            return unfit(format!("a fault strikes {most} of a whole"));
        }
        if let Some(fault) = s.faults.iter().find(|f| f.at.bounds().1 > 1.0) {
            return unfit(format!("{:?} begins after the day's end", fault.kind));
        }
        Ok(scenario)
    }
}

fn one_line(message: &str) -> String {
    message.lines().map(str::trim).collect::<Vec<_>>().join(", ")
}

fn malformed(path: &Path, text: &str, e: &toml::de::Error) -> ScenarioError {
    let before = &text[..e.span().map_or(0, |s| s.start.min(text.len()))];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    ScenarioError::Malformed { path: path.to_owned(), line, column, message: one_line(e.message()) }
}
