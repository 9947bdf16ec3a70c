//! For how long idle connections are kept.

use std::cell::Cell;
use std::time::Duration;

/// Requests over which the rate of rejections is averaged.
const SAMPLE_REQUESTS: f64 = 16.0;
/// A rate of rejections from here on counts as high.
const HIGH_REJECTION_RATE: f64 = 0.15;
/// The rate on new connections counts as high only above this multiple of the rate on reused ones.
const REUSED_RATE_MULTIPLE: f64 = 2.0;
/// Factor by which each new connection shortens the keep-alive time while their rejection rate is high.
const SHRINK_FACTOR: f64 = 0.8;
/// Factor by which each new connection lengthens it otherwise.
const GROWTH_FACTOR: f64 = 1.05;
/// A connection that would be kept for less is closed at once.
pub(super) const MIN_KEEP_ALIVE: Duration = Duration::from_millis(100);
/// Added each time the keep-alive time is lengthened, so that it also grows from nothing.
const GROWTH_STEP: Duration = Duration::from_millis(10);

/// The adaptive keep-alive time of idle connections.
///
/// Backends accept only so many connections and reject requests on those beyond; the limit is not published. A
/// connection idle here may be the one that another proxy lacks. So while requests on new connections are rejected
/// more often than on reused ones, idle connections are kept for shorter, and for longer again once new ones are
/// accepted.
pub(super) struct KeepAlive {
    max: Cell<Duration>,
    timeout: Cell<Duration>,
    /// Rejection rate of requests that were the first on their connection.
    new_rejections: Cell<f64>,
    /// Rejection rate of requests on reused connections.
    reused_rejections: Cell<f64>,
}

impl KeepAlive {
    pub(super) fn new(max: Duration) -> Self {
        KeepAlive {
            max: Cell::new(max),
            timeout: Cell::new(max),
            new_rejections: Cell::default(),
            reused_rejections: Cell::default(),
        }
    }

    /// Changes the upper limit.
    pub(super) fn set_max(&self, max: Duration) {
        self.max.set(max);
        self.timeout.set(self.timeout.get().min(max));
    }

    /// How long a connection may be idle at present.
    pub(super) fn timeout(&self) -> Duration {
        self.timeout.get()
    }

    /// Records whether a request was rejected, and whether it was the first on its connection.
    pub(super) fn record(&self, is_new: bool, rejected: bool) {
        let rate = if is_new { &self.new_rejections } else { &self.reused_rejections };
        let sample = if rejected { 1.0 } else { 0.0 };
        rate.set(rate.get() + (sample - rate.get()) / SAMPLE_REQUESTS);
        if is_new {
            self.adapt();
        }
    }

    fn adapt(&self) {
        let timeout = if self.has_too_many_connections() {
            self.timeout.get().mul_f64(SHRINK_FACTOR)
        } else {
            self.timeout.get().mul_f64(GROWTH_FACTOR) + GROWTH_STEP
        };
        self.timeout.set(timeout.min(self.max.get()));
    }

    /// Whether backends reject requests for the number of connections. One whose queue is full rejects on reused
    /// connections as well.
    fn has_too_many_connections(&self) -> bool {
        let new = self.new_rejections.get();
        let reused = self.reused_rejections.get();
        new > HIGH_REJECTION_RATE && new > REUSED_RATE_MULTIPLE * reused
    }
}
