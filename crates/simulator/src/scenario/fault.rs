//! The faults of a scenario.

use serde::Deserialize;

use crate::random::Range;

/// What may go wrong in a run. The names are those of the files.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A fraction of the proxies crashes; each recovers after `size` seconds with its cached list.
    KillProxies,
    /// All proxies restart one after another over the duration, each down for `size` seconds.
    RollProxies,
    /// A fraction of the backends is replaced over the duration by new ones, which warm up.
    ReplaceBackends,
    /// The backends of one zone crash and restart after the duration.
    LoseZone,
    /// One zone is partitioned from the others, for requests and gossip.
    CutZone,
    /// A fraction of the backends is unresponsive: they accept requests and answer none.
    SilentBackends,
    /// A fraction of the backends fails this fraction (`size`) of its requests, at once.
    FailingBackends,
    /// A fraction of the backends is slower by the factor `size`.
    SlowBackends,
    /// All traffic is multiplied by `size`.
    Burst,
    /// The first tenant's traffic is multiplied by `size`.
    TenantBurst,
    /// A fraction of the proxies gets the fraction `size` of all traffic.
    HotProxies,
    /// Discovery has an outage.
    DiscoveryDown,
    /// The watches of a fraction of the proxies stall; their connections stay open.
    SilentWatches,
    /// The watches of a fraction of the proxies are reset.
    BreakWatches,
    /// Discovery moves to another address, and every proxy is notified.
    MoveDiscovery,
    /// A fraction of the backends drains over the duration; each stops after `size` seconds, with 0 it stays up.
    DrainBackends,
}

/// A fault with its ranges.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// What happens.
    pub kind: FaultKind,
    /// When it starts, as a fraction of the run.
    #[serde(rename = "at")]
    pub start: Range,
    /// For how long.
    #[serde(default = "zero", rename = "seconds")]
    pub duration_s: Range,
    /// Which fraction of its targets it affects.
    #[serde(default = "zero", rename = "part")]
    pub fraction: Range,
    /// How strong it is; see [`FaultKind`].
    #[serde(default = "zero", rename = "size")]
    pub magnitude: Range,
}

fn zero() -> Range {
    Range::Fixed(0.0)
}
