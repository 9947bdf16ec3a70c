//! Limits the requests that this proxy has in flight where proxies share endpoints without gossip.

use crate::endpoints::EndpointTable;
use crate::estimators::LatencyModel;
use crate::settings::Settings;

/// Number of requests that a proxy may always have in flight.
const MIN_WINDOW: f64 = 4.0;
/// The factor by which the window is multiplied after a late response.
const WINDOW_DECREASE: f64 = 0.9;
/// Number of requests by which a response in time widens the window while the window is used.
const WINDOW_INCREASE: f64 = 0.5;
/// The window counts as used if fewer than this number of requests are missing to fill it.
const USED_MARGIN: f64 = 2.0;
/// Number of own slots below which proxies share all endpoints, for exponentially distributed latencies.
const MIN_OWN_SLOTS: f64 = 8.0;

/// An additive-increase, multiplicative-decrease (AIMD) window of requests in flight.
pub(crate) struct ConcurrencyLimiter {
    window: f64,
    /// Mean capacity of an endpoint, in requests.
    mean_capacity: f64,
}

impl ConcurrencyLimiter {
    pub fn new() -> Self {
        ConcurrencyLimiter { window: MIN_WINDOW, mean_capacity: 1.0 }
    }

    /// Recomputes the mean capacity of an endpoint.
    pub fn update_mean_capacity(&mut self, endpoints: &EndpointTable) {
        let total = endpoints.iter().map(|entry| entry.slots.capacity).sum::<f64>();
        self.mean_capacity = total / endpoints.len().max(1) as f64;
    }

    /// Whether this proxy's part of all slots is too small to be used without the slots of the others: with only a few
    /// own slots requests wait long, in proportion to (1 + cv²) / slots, where cv is the coefficient of variation of
    /// the latencies (Pollaczek and Khinchine).
    pub fn shares_all_endpoints(
        &self, settings: &Settings, endpoints: &EndpointTable, latency: &LatencyModel,
    ) -> bool {
        let own_slots = self.mean_capacity * endpoints.len() as f64 / f64::from(settings.proxies);
        let min_own_slots = MIN_OWN_SLOTS * latency.spread() / 2.0;
        !settings.gossip_enabled && settings.proxies > 1 && own_slots < min_own_slots
    }

    /// Number of requests that may be in flight while all endpoints are shared.
    pub fn window(&self) -> usize {
        self.window as usize
    }

    /// Updates the window after a response: one in time widens it, a late one shrinks it. This prevents overload and
    /// adapts to endpoints that slow down under load.
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
