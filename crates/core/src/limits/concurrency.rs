//! How many requests this proxy may have in flight, where proxies share endpoints without gossip.

use crate::endpoints::EndpointTable;
use crate::estimators::LatencyModel;
use crate::settings::Settings;

/// Requests that a proxy may always have in flight.
const MIN_WINDOW: f64 = 4.0;
/// By which factor a late response shrinks the window.
const WINDOW_DECREASE: f64 = 0.9;
/// By how much a response in time widens the window while it is used.
const WINDOW_INCREASE: f64 = 0.5;
/// Requests below the window from which on it counts as used.
const USED_MARGIN: f64 = 2.0;
/// Own slots below which proxies share all endpoints, for exponentially distributed latencies.
const MIN_OWN_SLOTS: f64 = 8.0;

/// An additive-increase, multiplicative-decrease window of requests in flight.
pub(crate) struct ConcurrencyLimiter {
    window: f64,
    /// Mean capacity of an endpoint, in requests.
    mean_capacity: f64,
}

impl ConcurrencyLimiter {
    pub fn new() -> Self {
        ConcurrencyLimiter { window: MIN_WINDOW, mean_capacity: 1.0 }
    }

    /// Computes the mean capacity anew.
    pub fn update_mean_capacity(&mut self, endpoints: &EndpointTable) {
        let total = endpoints.iter().map(|entry| entry.slots.capacity).sum::<f64>();
        self.mean_capacity = total / endpoints.len().max(1) as f64;
    }

    /// Whether this proxy's part of all slots is too small to do without the others': a few slots of its own mean long
    /// waits, in proportion to (1 + cv²) / slots (Pollaczek and Khinchine).
    pub fn shares_all_endpoints(
        &self, settings: &Settings, endpoints: &EndpointTable, latency: &LatencyModel,
    ) -> bool {
        let own_slots = self.mean_capacity * endpoints.len() as f64 / f64::from(settings.proxies);
        let min_own_slots = MIN_OWN_SLOTS * latency.spread() / 2.0;
        !settings.gossip_enabled && settings.proxies > 1 && own_slots < min_own_slots
    }

    /// Requests that may be in flight while all endpoints are shared.
    pub fn window(&self) -> usize {
        self.window as usize
    }

    /// A response in time widens the window, a late one shrinks it: against overload, and for endpoints that slow down
    /// under load.
    pub fn record_response(&mut self, in_time: bool, in_flight: usize, endpoints: usize) {
        let is_used = in_flight as f64 + USED_MARGIN > self.window;
        let window = match (in_time, is_used) {
            (true, true) => self.window + WINDOW_INCREASE,
            (true, false) => self.window,
            (false, _) => self.window * WINDOW_DECREASE,
        };
        self.window = window.clamp(MIN_WINDOW, endpoints.max(4) as f64);
    }
}
