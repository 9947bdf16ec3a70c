//! The faults of a scenario.

use serde::Deserialize;

use crate::random::Range;

/// The kind of a fault. Scenario files name the kinds in snake case; `size` stands for the fault's magnitude.
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
    /// A fraction of the backends is unresponsive: they accept requests and send no responses.
    SilentBackends,
    /// A fraction of the backends fails the fraction `size` of their requests immediately.
    FailingBackends,
    /// A fraction of the backends is slower by the factor `size`.
    SlowBackends,
    /// All traffic is multiplied by `size`.
    Burst,
    /// The first tenant's traffic is multiplied by `size`.
    TenantBurst,
    /// A fraction of the proxies receives the fraction `size` of all traffic.
    HotProxies,
    /// Discovery has an outage.
    DiscoveryDown,
    /// The watches of a fraction of the proxies stall; their connections stay open.
    SilentWatches,
    /// The watches of a fraction of the proxies are reset.
    BreakWatches,
    /// Discovery moves to another address, and every proxy is notified.
    MoveDiscovery,
    /// A fraction of the backends drains over the duration. Each stops after `size` seconds, or stays up if `size`
    /// is 0.
    DrainBackends,
}

/// A fault with its ranges.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, as a fraction of the run.
    #[serde(rename = "at")]
    pub start: Range,
    /// Duration of the fault, in seconds.
    #[serde(default = "zero", rename = "seconds")]
    pub duration_s: Range,
    /// Fraction of the targets that the fault affects.
    #[serde(default = "zero", rename = "part")]
    pub fraction: Range,
    /// Magnitude of the fault (`size`), whose meaning and unit depend on the [`FaultKind`].
    #[serde(default = "zero", rename = "size")]
    pub magnitude: Range,
}

fn zero() -> Range {
    Range::Fixed(0.0)
}
