//! What is recorded of a run: one outcome for each request, counters, violations and, from these, the result.
//!
//! Keys of the results are the operators'; the fields map them to the field's terms once, here.

mod outcome;
mod result;
mod violation;

use leadrelay_core::Millis;
use serde::Serialize;

pub use self::outcome::RequestOutcome;
pub use self::result::{Charges, Dimension, OutcomeWeights, RunResult, WorstWindow};
pub use self::violation::{Rule, Violation};
use crate::index::{BackendIndex, ProxyIndex, RequestIndex};
use crate::slow_start::SlowStartReport;

/// How one request ended.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Which request.
    pub request: RequestIndex,
    /// Its outcome.
    pub outcome: RequestOutcome,
    /// The proxy of its last attempt.
    pub proxy: ProxyIndex,
    /// The backend of its last attempt.
    pub backend: Option<BackendIndex>,
    /// Whether it was within its tenant's quota.
    pub within_quota: bool,
}

/// Counters of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counters {
    /// Attempts of clients at proxies.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// Attempts of proxies at backends.
    pub attempts: u64,
    /// Attempts that crossed zones.
    #[serde(rename = "crossings")]
    pub cross_zone_attempts: u64,
    /// Connections opened to backends.
    pub handshakes: u64,
    /// Bytes of gossip, each receiver counted.
    #[serde(rename = "peer_bytes")]
    pub gossip_bytes: u64,
    /// Gossip messages sent.
    #[serde(rename = "messages")]
    pub gossip_messages: u64,
    /// Calls to discovery.
    #[serde(rename = "calls")]
    pub discovery_calls: u64,
    /// Those that failed.
    #[serde(rename = "calls_failed")]
    pub discovery_calls_failed: u64,
    /// Rejections by proxies whose list might have been stale.
    #[serde(rename = "refused_without_list")]
    pub rejected_without_list: u64,
    /// Work done for attempts whose response nobody received, on a standard core.
    #[serde(rename = "wasted")]
    pub wasted_work: Millis,
    /// Events that proxies handled.
    pub events: u64,
    /// Mean utilisation of the cores.
    #[serde(rename = "busy")]
    pub utilisation: f64,
}

/// All that is recorded of a run.
#[derive(Default)]
pub struct Recorder {
    /// One record for each request.
    pub requests: Vec<RequestRecord>,
    /// Counters.
    pub counters: Counters,
    /// How close backends in slow start came to an overload.
    pub slow_start: SlowStartReport,
    /// Violated rules.
    pub violations: Vec<Violation>,
}
