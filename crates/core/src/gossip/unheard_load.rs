//! An estimate of the load of the other proxies while no gossip arrives from any of them.

use crate::endpoints::{EndpointEntry, EndpointTable};
use crate::estimators::AVERAGING_TIME;
use crate::schedule::REVIEW_INTERVAL;

/// Weight of one review in the moving averages.
const REVIEW_GAIN: f64 = REVIEW_INTERVAL / AVERAGING_TIME;
/// Lower bound of the total capacity of the endpoints, which prevents a division by zero.
const MIN_TOTAL_CAPACITY: f64 = 1.0;

/// The state of the fleet at the time of a review.
pub(crate) struct FleetView {
    /// Proxies that are not draining, including this one.
    pub active_proxies: f64,
    /// Other proxies that have a current report.
    pub reporting_peers: usize,
    /// Requests that arrive at this proxy per millisecond.
    pub arrivals_per_ms: f64,
}

/// An estimate of the attempts that all other proxies have in flight while no reports of them arrive. The estimate
/// assumes that their load is the same as when they last reported, minus the load of clients that now use this proxy,
/// and that it is distributed over the endpoints by capacity. Without the estimate, each proxy of a fleet that has lost
/// its gossip would treat the capacity of all endpoints as idle.
#[derive(Default)]
pub(crate) struct UnheardLoad {
    /// Moving average of the attempts of all other proxies in flight, updated while reports arrive.
    in_flight: f64,
    /// Moving average of the requests that arrive at this proxy per millisecond, updated while reports arrive.
    arrivals_per_ms: f64,
    /// Estimated attempts of the other proxies per unit of endpoint capacity; 0 while reports arrive.
    attempts_per_capacity: f64,
}

impl UnheardLoad {
    /// Updates the moving averages while reports arrive, and the estimate while none do.
    pub fn update(&mut self, endpoints: &EndpointTable, view: &FleetView) {
        self.attempts_per_capacity = 0.0;
        if view.reporting_peers > 0 {
            self.update_averages(endpoints, view);
        } else if view.active_proxies > 1.0 && self.arrivals_per_ms > 0.0 {
            let capacity: f64 = endpoints.iter().map(|entry| entry.slots.capacity).sum();
            self.attempts_per_capacity = self.estimate(view) / capacity.max(MIN_TOTAL_CAPACITY);
        }
    }

    /// Updates the moving averages. The load of proxies without a current report is extrapolated from the others.
    fn update_averages(&mut self, endpoints: &EndpointTable, view: &FleetView) {
        let reported: f64 = endpoints.iter().map(EndpointEntry::reported_concurrency).sum();
        let others = view.active_proxies - 1.0;
        let in_flight = reported * others / view.reporting_peers as f64;
        self.in_flight += REVIEW_GAIN * (in_flight - self.in_flight);
        self.arrivals_per_ms += REVIEW_GAIN * (view.arrivals_per_ms - self.arrivals_per_ms);
    }

    /// Estimates the attempts that all other proxies have in flight. Clients of failed proxies move to the remaining
    /// ones, so growth of the arrivals at this proxy is subtracted from the load of the others.
    fn estimate(&self, view: &FleetView) -> f64 {
        let growth = view.arrivals_per_ms / self.arrivals_per_ms - 1.0;
        let remaining = 1.0 - growth / (view.active_proxies - 1.0);
        self.in_flight * remaining.clamp(0.0, 1.0)
    }

    /// The estimated attempts of all other proxies in flight to an endpoint.
    pub fn on_endpoint(&self, entry: &EndpointEntry) -> f64 {
        self.attempts_per_capacity * entry.slots.capacity
    }
}
