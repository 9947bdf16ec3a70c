//! The load of the other proxies while no gossip of them arrives.

use crate::endpoints::{EndpointEntry, EndpointTable};
use crate::estimators::AVERAGING_TIME;
use crate::schedule::REVIEW_INTERVAL;

/// Weight of a review in the means.
const REVIEW_GAIN: f64 = REVIEW_INTERVAL / AVERAGING_TIME;
/// Lower bound of the capacity of all endpoints, which is divided by.
const MIN_TOTAL_CAPACITY: f64 = 1.0;

/// What a review sees of the fleet.
pub(crate) struct FleetView {
    /// Proxies whose clients stay with them, this one included.
    pub active_proxies: f64,
    /// Other proxies whose reports count at present.
    pub reporting_peers: usize,
    /// Requests that arrive here per millisecond.
    pub arrivals_per_ms: f64,
}

/// An estimate of the attempts that all other proxies have in flight while none of them is heard. They are taken to go
/// on as they did when last heard, spread over the endpoints by capacity, less what their clients now send here.
/// Without it each proxy of a fleet whose gossip is lost would take the capacity of all endpoints for idle.
#[derive(Default)]
pub(crate) struct UnheardLoad {
    /// Mean of the attempts that they had in flight while some of them were heard.
    in_flight: f64,
    /// Mean of this proxy's arrivals per millisecond meanwhile.
    arrivals_per_ms: f64,
    /// Attempts for each request that the endpoints can hold.
    per_capacity: f64,
}

impl UnheardLoad {
    /// Follows the reports while there are any, and makes the estimate while there are none.
    pub fn update(&mut self, endpoints: &EndpointTable, view: &FleetView) {
        self.per_capacity = 0.0;
        if view.reporting_peers > 0 {
            self.follow_reports(endpoints, view);
        } else if view.active_proxies > 1.0 && self.arrivals_per_ms > 0.0 {
            let capacity: f64 = endpoints.iter().map(|entry| entry.slots.capacity).sum();
            self.per_capacity = self.estimate(view) / capacity.max(MIN_TOTAL_CAPACITY);
        }
    }

    fn follow_reports(&mut self, endpoints: &EndpointTable, view: &FleetView) {
        let reported: f64 = endpoints.iter().map(EndpointEntry::reported_concurrency).sum();
        let others = view.active_proxies - 1.0;
        let in_flight = reported * others / view.reporting_peers as f64;
        self.in_flight += REVIEW_GAIN * (in_flight - self.in_flight);
        self.arrivals_per_ms += REVIEW_GAIN * (view.arrivals_per_ms - self.arrivals_per_ms);
    }

    /// What all of them have in flight. Clients of proxies that have failed come to those that remain, so arrivals here
    /// that have grown are taken off the others.
    fn estimate(&self, view: &FleetView) -> f64 {
        let growth = view.arrivals_per_ms / self.arrivals_per_ms - 1.0;
        let remaining = 1.0 - growth / (view.active_proxies - 1.0);
        self.in_flight * remaining.clamp(0.0, 1.0)
    }

    /// The attempts that they are taken to have in flight to an endpoint.
    pub fn at(&self, entry: &EndpointEntry) -> f64 {
        self.per_capacity * entry.slots.capacity
    }
}
