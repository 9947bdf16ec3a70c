//! What a successor process takes over.

use crate::ids::{EndpointId, Millis};
use crate::weighted_mean::WeightedMean;

/// What a successor process takes over.
#[derive(Clone, Debug, Default)]
pub struct LearnedState {
    /// Mean latency of each endpoint relative to its classes' means.
    pub endpoints: Vec<(EndpointId, WeightedMean)>,
    /// Mean latency of each request class.
    pub classes: Vec<WeightedMean>,
    /// Classes of machines; the first is that of endpoints without one.
    pub machine_classes: Vec<MachineClassState>,
    /// Endpoints that are back from maintenance.
    pub maintenance_returns: Vec<MaintenanceReturn>,
}

/// What is known of a class of machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineClassState {
    /// Mean relative latency.
    pub relative_latency: WeightedMean,
    /// The lowest mean latency of late.
    pub baseline: Millis,
    /// The fraction of its slots in use.
    pub concurrency_factor: f64,
}

/// An endpoint that an operator has put back into service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MaintenanceReturn {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// When it was taken out of service.
    pub out_at: Millis,
    /// When it was put back.
    pub back_at: Millis,
}
