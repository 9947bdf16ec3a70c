//! How much an endpoint may get that has just started.

use crate::ids::Millis;
use crate::settings::Limits;

/// Requests that a core may hold: a little over one keeps it busy between responses.
pub(crate) const REQUESTS_PER_CORE: f64 = 1.1;
/// The part of what would overload an endpoint in slow start that all proxies together send it.
const SAFETY_FRACTION: f64 = 0.5;
/// The part of the budget of an overload window that one request may take.
const MAX_REQUEST_FRACTION: f64 = 0.25;
/// Sends that may be saved up, as a duration.
const MAX_SAVED: Millis = 300.0;

/// The part of its capacity that an endpoint has for certain: it warms up at least evenly.
pub(crate) fn slow_start_factor(started_at: Option<Millis>, now: Millis, limits: &Limits) -> f64 {
    let progress =
        started_at.map_or(1.0, |started_at| ((now - started_at) / limits.slow_start_window).clamp(0.0, 1.0));
    limits.initial_capacity + (1.0 - limits.initial_capacity) * progress
}

/// This proxy's share of what an endpoint in slow start can take.
pub(crate) struct SlowStartShare {
    /// Requests that the endpoint may hold when it is warm.
    pub capacity: f64,
    /// How long a request occupies a core of it.
    pub work_per_request: Millis,
    /// Proxies that share it.
    pub proxies: u32,
    /// The fraction of this proxy's part that this process may use.
    pub process_fraction: f64,
}

impl SlowStartShare {
    /// Sends per millisecond at that slow-start factor.
    fn sends_per_ms(&self, factor: f64, limits: &Limits) -> f64 {
        let throughput = self.capacity / REQUESTS_PER_CORE / self.work_per_request;
        SAFETY_FRACTION * limits.overload_multiple * factor * throughput / f64::from(self.proxies)
            * self.process_fraction
    }
}

/// The sends that an endpoint in slow start may still get from this proxy.
pub(crate) struct SlowStartBudget {
    /// Whether it has been seen within its slow-start window.
    active: bool,
    sends: f64,
    refilled_at: Millis,
    /// When the budget last came to cover a send.
    covers_send_since: Millis,
}

impl SlowStartBudget {
    pub fn new(now: Millis) -> Self {
        SlowStartBudget { active: false, sends: 0.0, refilled_at: now, covers_send_since: 0.0 }
    }

    /// Whether the endpoint has been seen within its slow-start window.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Whether the budget covers a send.
    pub fn covers_send(&self) -> bool {
        self.sends >= 1.0
    }

    /// When the budget was last refilled.
    pub fn refilled_at(&self) -> Millis {
        self.refilled_at
    }

    /// A new process has been seen. `initial_sends` is random below 1, so that the proxies don't all send their first
    /// request at once.
    pub fn restart(&mut self, now: Millis, initial_sends: f64) {
        self.active = true;
        self.sends = initial_sends;
        self.refilled_at = now;
    }

    /// Takes a send off.
    pub fn spend(&mut self) {
        self.sends -= 1.0;
    }

    /// Another process spends the budget.
    pub fn empty(&mut self) {
        self.sends = 0.0;
    }

    /// Adds what has become free since the last time, if the endpoint is still warming up.
    pub fn refill(
        &mut self, now: Millis, factor: f64, started_at: Option<Millis>, share: &SlowStartShare,
        limits: &Limits,
    ) {
        if !self.active || factor >= 1.0 {
            return;
        }
        let rate = share.sends_per_ms(factor, limits);
        if self.sends < 1.0 {
            self.covers_send_since = now;
        }
        let earned = rate * (now - self.refilled_at);
        self.sends = (self.sends + earned).min((rate * MAX_SAVED).max(1.0));
        if self.is_saved_too_long(now, factor, started_at, rate, limits) {
            self.sends -= 1.0;
        }
        self.refilled_at = now;
    }

    /// Whether a send has to be given up: saved up by many proxies, one each would be too much once a burst draws
    /// them all. Where all that was given since the start could overload the endpoint, none keeps a send for longer
    /// than the overload window.
    fn is_saved_too_long(
        &self, now: Millis, factor: f64, started_at: Option<Millis>, rate: f64, limits: &Limits,
    ) -> bool {
        let age = started_at.map_or(0.0, |started_at| now - started_at);
        // It warms up evenly, so the mean of the first and the present capacity counts.
        let given = SAFETY_FRACTION * age * (limits.initial_capacity + factor) / 2.0;
        let could_overload = given > factor * limits.overload_window;
        let is_rare = rate * limits.overload_window < 1.0;
        could_overload && is_rare && now - self.covers_send_since > limits.overload_window
    }

    /// Whether a request is too heavy for an endpoint in slow start.
    pub fn is_too_heavy(&self, expected_latency: Millis, factor: f64, limits: &Limits) -> bool {
        let max_work = MAX_REQUEST_FRACTION * limits.overload_multiple * factor * limits.overload_window;
        self.active && expected_latency > max_work
    }
}
