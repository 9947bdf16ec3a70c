//! Parameters that scenario files write as short arrays.

use serde::Deserialize;

use crate::random::Range;

/// The affinity keys of the requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(from = "(Range, Range)")]
pub struct KeyPopularity {
    /// Number of distinct keys.
    pub distinct: Range,
    /// The exponent of Zipf's law for their popularity.
    pub exponent: Range,
}

impl From<(Range, Range)> for KeyPopularity {
    fn from((distinct, exponent): (Range, Range)) -> Self {
        KeyPopularity { distinct, exponent }
    }
}

/// The cache of a backend for affinity keys.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(from = "(Range, Range, Range)")]
pub struct KeyCacheSpec {
    /// The fraction of the work that a cached key saves.
    pub saving: Range,
    /// Time in seconds for which a key is cached.
    pub retention_s: Range,
    /// The most keys that are cached.
    pub capacity: Range,
}

impl From<(Range, Range, Range)> for KeyCacheSpec {
    fn from((saving, retention_s, capacity): (Range, Range, Range)) -> Self {
        KeyCacheSpec { saving, retention_s, capacity }
    }
}

/// The cost of a new connection.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(from = "(Range, f64)")]
pub struct HandshakeSpec {
    /// Work of the backend for the handshake, in ms on a standard core.
    pub work_ms: Range,
    /// Round trips until the connection is established.
    pub round_trips: f64,
}

impl From<(Range, f64)> for HandshakeSpec {
    fn from((work_ms, round_trips): (Range, f64)) -> Self {
        HandshakeSpec { work_ms, round_trips }
    }
}

/// Loss of a machine's efficiency with concurrency.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(from = "(Range, Range)")]
pub struct ContentionSpec {
    /// Efficiency lost for each request in process beyond the threshold.
    pub loss_per_request: Range,
    /// Number of requests in process up to which no efficiency is lost.
    pub threshold: Range,
}

impl From<(Range, Range)> for ContentionSpec {
    fn from((loss_per_request, threshold): (Range, Range)) -> Self {
        ContentionSpec { loss_per_request, threshold }
    }
}

/// The slow start of a machine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(from = "(Range, Range)")]
pub struct SlowStartSpec {
    /// The fraction of its capacity that the machine has at its start.
    pub initial_capacity: Range,
    /// Time in seconds until the machine has its full capacity.
    pub duration_s: Range,
}

impl From<(Range, Range)> for SlowStartSpec {
    fn from((initial_capacity, duration_s): (Range, Range)) -> Self {
        SlowStartSpec { initial_capacity, duration_s }
    }
}
