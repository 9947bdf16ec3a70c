//! Access events: the log entries for single requests, and the sampling that selects the requests to log.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use leadrelay_core::EndpointId;
use tokio::time::Instant;
use tracing::info;

use crate::cause::Cause;

/// Selects the requests for which an access event is logged. Samples are spaced evenly rather than drawn at random.
pub struct AccessSampler {
    /// The fraction of requests to log, from 0 to 1.
    rate: Rc<Cell<f64>>,
    /// The accumulated rate; when it reaches 1, the request is sampled and 1 is subtracted.
    accumulated: Cell<f64>,
}

impl AccessSampler {
    /// Creates a sampler that reads `rate` at each request, as a reload may change it.
    pub fn new(rate: Rc<Cell<f64>>) -> Self {
        AccessSampler { rate, accumulated: Cell::new(0.0) }
    }

    /// Returns whether to log an access event for the next request.
    pub fn sample(&self) -> bool {
        let accumulated = self.accumulated.get() + self.rate.get();
        let sampled = accumulated >= 1.0;
        self.accumulated.set(if sampled { accumulated - 1.0 } else { accumulated });
        sampled
    }
}

/// The data of one request's access event, filled in while the proxy handles the request.
pub struct AccessRecord {
    id: String,
    class: String,
    tenant: Option<String>,
    arrived_at: Instant,
    /// When the first attempt started.
    first_attempt_at: Cell<Option<Instant>>,
    /// When the latest attempt started.
    last_attempt_at: Cell<Option<Instant>>,
    attempts: Cell<u32>,
    /// The name, or else the endpoint id in hexadecimal, of the backend of the latest attempt.
    backend: RefCell<Option<String>>,
}

impl AccessRecord {
    /// Creates the record of a request whose last byte arrived at `arrived_at`.
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

    /// Records the start of an attempt. `name` is the name of the backend, or `None` if it is no longer on the endpoint
    /// list.
    pub fn record_attempt(&self, backend: EndpointId, name: Option<&str>) {
        let now = Instant::now();
        self.first_attempt_at.set(self.first_attempt_at.get().or(Some(now)));
        self.last_attempt_at.set(Some(now));
        self.attempts.set(self.attempts.get() + 1);
        let name = name.map_or_else(|| format!("{:016x}", backend.0), str::to_owned);
        *self.backend.borrow_mut() = Some(name);
    }

    /// Logs the access event. Its times are in milliseconds: `waited_ms` from arrival to the first attempt, or the
    /// whole time if there was no attempt; `backend_ms` since the start of the latest attempt; and `total_ms` for the
    /// whole request.
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

/// Converts a duration to milliseconds, rounded to three decimal places.
fn rounded_ms(duration: Duration) -> f64 {
    let micros = (duration.as_secs_f64() * 1e6).round();
    micros / 1e3
}

#[cfg(test)]
mod tests;
