//! Determines how long idle connections are kept open.

use std::cell::Cell;
use std::time::Duration;

/// Number of requests over which a rejection rate is averaged: each request has the weight 1 / 16.
const AVERAGED_REQUESTS: f64 = 16.0;
/// A rejection rate above this counts as high.
const HIGH_REJECTION_RATE: f64 = 0.15;
/// The rejection rate on new connections counts as high only above this multiple of the rate on reused connections.
const MIN_RATIO_TO_REUSED_RATE: f64 = 2.0;
/// Factor by which each new connection shortens the timeout while the rejection rate on new connections is high.
const SHRINK_FACTOR: f64 = 0.8;
/// Factor by which each new connection lengthens the timeout otherwise.
const GROWTH_FACTOR: f64 = 1.05;
/// At a timeout of this or less, connections are closed at once instead of being kept idle.
pub(super) const MIN_KEEP_ALIVE: Duration = Duration::from_millis(100);
/// Added each time the timeout is lengthened, so that it also grows from zero.
const GROWTH_STEP: Duration = Duration::from_millis(10);

/// The adaptive keep-alive timeout of idle connections.
///
/// Each backend accepts a limited number of connections and rejects requests on connections beyond that. The limit is
/// not published, and an idle connection of this proxy may take the place of one that another proxy needs. So the
/// timeout is shortened while requests on new connections are rejected more often than requests on reused ones, and
/// lengthened again once requests on new connections are accepted.
pub(super) struct KeepAlive {
    max: Cell<Duration>,
    timeout: Cell<Duration>,
    /// Rejection rate of requests that were the first on their connection, 0 to 1.
    new_rejection_rate: Cell<f64>,
    /// Rejection rate of requests on reused connections, 0 to 1.
    reused_rejection_rate: Cell<f64>,
}

impl KeepAlive {
    pub(super) fn new(max: Duration) -> Self {
        KeepAlive {
            max: Cell::new(max),
            timeout: Cell::new(max),
            new_rejection_rate: Cell::default(),
            reused_rejection_rate: Cell::default(),
        }
    }

    /// Sets the longest timeout.
    pub(super) fn set_max(&self, max: Duration) {
        self.max.set(max);
        self.timeout.set(self.timeout.get().min(max));
    }

    /// How long a connection may currently be idle.
    pub(super) fn timeout(&self) -> Duration {
        self.timeout.get()
    }

    /// Records whether a request was rejected, and whether it was the first on its connection.
    pub(super) fn record(&self, is_new: bool, is_rejected: bool) {
        let rate = if is_new { &self.new_rejection_rate } else { &self.reused_rejection_rate };
        let sample = if is_rejected { 1.0 } else { 0.0 };
        rate.set(rate.get() + (sample - rate.get()) / AVERAGED_REQUESTS);
        if is_new {
            self.adjust_timeout();
        }
    }

    fn adjust_timeout(&self) {
        let timeout = if self.is_connection_limit_reached() {
            self.timeout.get().mul_f64(SHRINK_FACTOR)
        } else {
            self.timeout.get().mul_f64(GROWTH_FACTOR) + GROWTH_STEP
        };
        self.timeout.set(timeout.min(self.max.get()));
    }

    /// Whether backends reject requests because they have too many connections. A backend that rejects because its
    /// queue is full also rejects requests on reused connections.
    fn is_connection_limit_reached(&self) -> bool {
        let new = self.new_rejection_rate.get();
        let reused = self.reused_rejection_rate.get();
        new > HIGH_REJECTION_RATE && new > MIN_RATIO_TO_REUSED_RATE * reused
    }
}
