//! Records of a run: one outcome for each request, counters and violations, and the result that is computed from these.
//!
//! The operators chose the keys of the results. Where the name of a field differs from its key, a serde attribute holds
//! the key.

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

/// The record of how one request ended.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request.
    pub request: RequestIndex,
    /// The outcome of the request.
    pub outcome: RequestOutcome,
    /// The proxy of the last attempt.
    pub proxy: ProxyIndex,
    /// The backend of the last attempt; `None` if there was no attempt at a backend.
    pub backend: Option<BackendIndex>,
    /// Whether the request was within its tenant's quota.
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
    /// Bytes of gossip, counted once for each receiver.
    #[serde(rename = "peer_bytes")]
    pub gossip_bytes: u64,
    /// Gossip messages sent.
    #[serde(rename = "messages")]
    pub gossip_messages: u64,
    /// Calls to discovery.
    #[serde(rename = "calls")]
    pub discovery_calls: u64,
    /// Calls to discovery that failed.
    #[serde(rename = "calls_failed")]
    pub discovery_calls_failed: u64,
    /// Rejections by proxies whose list might have been stale.
    #[serde(rename = "refused_without_list")]
    pub rejected_without_list: u64,
    /// Work for attempts whose response no client received, as time on a standard core.
    #[serde(rename = "wasted")]
    pub wasted_work: Millis,
    /// Events that proxies handled.
    pub events: u64,
    /// Mean utilisation of the backends' cores.
    #[serde(rename = "busy")]
    pub utilisation: f64,
}

/// All records of a run.
#[derive(Default)]
pub struct Recorder {
    /// One record for each request.
    pub requests: Vec<RequestRecord>,
    /// Counters of the run.
    pub counters: Counters,
    /// How close backends in slow start came to an overload.
    pub slow_start: SlowStartReport,
    /// Violations of rules.
    pub violations: Vec<Violation>,
}
