//! Access events: which requests leave one in the log, and what it says.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use leadrelay_core::EndpointId;
use tokio::time::Instant;
use tracing::info;

use crate::cause::Cause;

/// Selects the requests that leave an access event. Samples are spaced evenly, not drawn at random.
pub struct AccessSampler {
    /// The fraction of requests that leave one.
    rate: Rc<Cell<f64>>,
    /// The sum of the rate since the last sample, which is due at 1.
    accumulated: Cell<f64>,
}

impl AccessSampler {
    /// A sampler by a rate that may change.
    pub fn new(rate: Rc<Cell<f64>>) -> Self {
        AccessSampler { rate, accumulated: Cell::new(0.0) }
    }

    /// Whether the next request leaves an access event.
    pub fn sample(&self) -> bool {
        let accumulated = self.accumulated.get() + self.rate.get();
        let sampled = accumulated >= 1.0;
        self.accumulated.set(if sampled { accumulated - 1.0 } else { accumulated });
        sampled
    }
}

/// What is known of one request; filled in as the request goes through the proxy.
pub struct AccessRecord {
    id: String,
    class: String,
    tenant: Option<String>,
    arrived_at: Instant,
    /// When the first attempt started, and when the last one.
    first_attempt_at: Cell<Option<Instant>>,
    last_attempt_at: Cell<Option<Instant>>,
    attempts: Cell<u32>,
    backend: RefCell<Option<String>>,
}

impl AccessRecord {
    /// A request with these names, whose last byte arrived at `arrived_at`.
    pub fn new(id: &str, class: &str, tenant: Option<&str>, arrived_at: Instant) -> Self {
        AccessRecord {
            id: id.to_owned(),
            class: class.to_owned(),
            tenant: tenant.map(str::to_owned),
            arrived_at,
            first_attempt_at: Cell::default(),
            last_attempt_at: Cell::default(),
            attempts: Cell::default(),
            backend: RefCell::default(),
        }
    }

    /// Records that an attempt starts; `name` is the backend's, if it is still listed.
    pub fn record_attempt(&self, backend: EndpointId, name: Option<&str>) {
        let now = Instant::now();
        self.first_attempt_at.set(self.first_attempt_at.get().or(Some(now)));
        self.last_attempt_at.set(Some(now));
        self.attempts.set(self.attempts.get() + 1);
        let name = name.map_or_else(|| format!("{:016x}", backend.0), str::to_owned);
        *self.backend.borrow_mut() = Some(name);
    }

    /// Writes the event. Times are in milliseconds: until the first attempt, since the last one, in total.
    pub fn log(&self, cause: Cause, total: Duration) {
        let until_first_attempt =
            self.first_attempt_at.get().map_or(total, |at| at.saturating_duration_since(self.arrived_at));
        let since_last_attempt = self.last_attempt_at.get().map(|at| at.elapsed());
        info!(
            target: "leadrelay::access",
            request = self.id,
            class = self.class,
            tenant = self.tenant,
            cause = cause.name(),
            backend = self.backend.borrow().as_deref(),
            attempts = self.attempts.get(),
            waited_ms = rounded_ms(until_first_attempt),
            backend_ms = since_last_attempt.map(rounded_ms),
            total_ms = rounded_ms(total),
            "request"
        );
    }
}

/// Milliseconds to three decimal places.
fn rounded_ms(duration: Duration) -> f64 {
    let micros = (duration.as_secs_f64() * 1e6).round();
    micros / 1e3
}

#[cfg(test)]
mod tests;
