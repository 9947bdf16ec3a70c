//! Running estimates on which decisions are based.

mod affinity;
mod arrivals;
mod client_timeouts;
mod latency;
mod request_cost;

pub(crate) use arrivals::{AVERAGING_TIME, ArrivalRate};
pub(crate) use client_timeouts::{ClientGroup, ClientTimeouts};
pub(crate) use latency::{HANG_FACTOR, LatencyModel, LatencySample};
pub(crate) use request_cost::RequestCosts;

/// Lower bound of a relative latency that is used as a divisor.
const MIN_RELATIVE_LATENCY: f64 = 0.05;
/// Upper bound of a latency sample relative to its expected value.
const MAX_RELATIVE_SAMPLE: f64 = 20.0;
