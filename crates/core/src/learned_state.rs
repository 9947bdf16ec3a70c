//! Statistics and maintenance history that a successor process takes over from its predecessor.

use crate::ids::{EndpointId, Millis};
use crate::weighted_mean::WeightedMean;

/// The learned state that a successor process takes over from its predecessor.
#[derive(Clone, Debug, Default)]
pub struct LearnedState {
    /// Mean latency of each endpoint in service, relative to the mean latencies of the request classes.
    pub endpoints: Vec<(EndpointId, WeightedMean)>,
    /// Mean latency of each request class.
    pub classes: Vec<WeightedMean>,
    /// State of each machine class; the first entry is for endpoints without a machine class.
    pub machine_classes: Vec<MachineClassState>,
    /// Endpoints that have returned from maintenance.
    pub maintenance_returns: Vec<MaintenanceReturn>,
}

/// The learned state of a machine class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineClassState {
    /// Mean latency relative to the mean latencies of the request classes.
    pub relative_latency: WeightedMean,
    /// The lowest recent mean latency, in milliseconds.
    pub baseline: Millis,
    /// The fraction of the endpoints' slots that may be used.
    pub concurrency_factor: f64,
}

/// An endpoint that an operator has put back into service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MaintenanceReturn {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the endpoint was taken out of service.
    pub out_at: Millis,
    /// When the endpoint was put back into service.
    pub back_at: Millis,
}
