//! Slow start: limits the requests sent to an endpoint that has just started.

use crate::ids::Millis;
use crate::settings::Limits;

/// Number of requests that a core may hold; slightly more than one keeps it busy between responses.
pub(crate) const REQUESTS_PER_CORE: f64 = 1.1;
/// The fraction of the overload limit of an endpoint in slow start that all proxies together may send to it.
const SAFETY_FRACTION: f64 = 0.5;
/// A single request may take this fraction of the work that an endpoint is allowed in an overload window.
const MAX_REQUEST_FRACTION: f64 = 0.25;
/// The largest number of sends that may be saved up, as the duration in which they are earned.
const MAX_SAVED: Millis = 300.0;

/// The fraction of its capacity that an endpoint has at least. Its capacity is assumed to grow at least linearly from
/// the initial capacity over the slow-start window.
pub(crate) fn slow_start_factor(started_at: Option<Millis>, now: Millis, limits: &Limits) -> f64 {
    let progress =
        started_at.map_or(1.0, |started_at| ((now - started_at) / limits.slow_start_window).clamp(0.0, 1.0));
    limits.initial_capacity + (1.0 - limits.initial_capacity) * progress
}

/// The parameters for this proxy's share of the requests that an endpoint in slow start can take.
pub(crate) struct SlowStartShare {
    /// Number of requests that the endpoint may hold after slow start.
    pub capacity: f64,
    /// The time for which a request occupies a core of the endpoint.
    pub work_per_request: Millis,
    /// Number of proxies that share the endpoint.
    pub proxies: u32,
    /// The fraction of this proxy's share that this process may use.
    pub process_fraction: f64,
}

impl SlowStartShare {
    /// The number of sends per millisecond at this slow-start factor.
    fn sends_per_ms(&self, factor: f64, limits: &Limits) -> f64 {
        let throughput = self.capacity / REQUESTS_PER_CORE / self.work_per_request;
        SAFETY_FRACTION * limits.overload_multiple * factor * throughput / f64::from(self.proxies)
            * self.process_fraction
    }
}

/// The number of sends that this proxy may still make to an endpoint in slow start.
pub(crate) struct SlowStartBudget {
    /// Whether slow start has been started for a process of the endpoint. It stays true after slow start.
    active: bool,
    /// Number of sends left; fractions are being saved up.
    sends: f64,
    refilled_at: Millis,
    /// The time since which the budget has covered at least one send.
    covers_send_since: Millis,
}

impl SlowStartBudget {
    pub fn new(now: Millis) -> Self {
        SlowStartBudget { active: false, sends: 0.0, refilled_at: now, covers_send_since: 0.0 }
    }

    /// Whether slow start has been started for a process of the endpoint. It stays true after slow start.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Whether at least one send is left.
    pub fn covers_send(&self) -> bool {
        self.sends >= 1.0
    }

    /// The time of the last refill.
    pub fn refilled_at(&self) -> Millis {
        self.refilled_at
    }

    /// Starts slow start for a new process of the endpoint. `initial_sends` is random below 1, so that the proxies
    /// don't all send their first request at once.
    pub fn restart(&mut self, now: Millis, initial_sends: f64) {
        self.active = true;
        self.sends = initial_sends;
        self.refilled_at = now;
    }

    /// Takes one send from the budget.
    pub fn spend(&mut self) {
        self.sends -= 1.0;
    }

    /// Sets the budget to 0, because another process uses it.
    pub fn clear(&mut self) {
        self.sends = 0.0;
    }

    /// Adds the sends that were earned since the last refill, if the endpoint is still in slow start.
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

    /// Whether a saved send has to be dropped. If each of many proxies has saved up one send, a burst that uses all of
    /// them at once would be too much for the endpoint. So once the sends that all proxies have earned since the start
    /// could overload the endpoint, a proxy that earns less than one send per overload window keeps no send for longer
    /// than that window.
    fn is_saved_too_long(
        &self, now: Millis, factor: f64, started_at: Option<Millis>, rate: f64, limits: &Limits,
    ) -> bool {
        let age = started_at.map_or(0.0, |started_at| now - started_at);
        // The capacity is assumed to grow linearly, so its mean is that of the initial and the present capacity.
        let earned = SAFETY_FRACTION * age * (limits.initial_capacity + factor) / 2.0;
        let could_overload = earned > factor * limits.overload_window;
        let is_rare = rate * limits.overload_window < 1.0;
        could_overload && is_rare && now - self.covers_send_since > limits.overload_window
    }

    /// Whether a request is too heavy for an endpoint for which slow start has been started. The limit rises with the
    /// slow-start factor and still applies after slow start.
    pub fn is_too_heavy(&self, expected_latency: Millis, factor: f64, limits: &Limits) -> bool {
        let max_work = MAX_REQUEST_FRACTION * limits.overload_multiple * factor * limits.overload_window;
        self.active && expected_latency > max_work
    }
}
