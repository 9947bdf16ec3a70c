//! The connection pool of all backends, within the budget of sockets.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use leadrelay_core::settings::json::Connections;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout};

use super::connection::Connection;
use super::endpoint::Upstream;
use super::keep_alive::KeepAlive;
use crate::body_stream::Memory;
use crate::close_reason::BackendClose;
use crate::metrics::Metrics;

/// An idle connection is closed after this fraction of the span after which its backend would close it.
const IDLE_FRACTION: f64 = 0.7;
/// Keep-alive times from here on are left to the sweeps, which come once a second.
const LEFT_TO_SWEEPS: Duration = Duration::from_secs(5);

/// What all attempts share: the connection pool, time-outs and the budget of sockets.
pub struct Upstreams {
    pub memory: Memory,
    /// Whether any answer but a server's error counts as served, and errors are passed on as backends word them.
    pub(super) any_status_serves: bool,
    pub(super) metrics: Arc<Metrics>,
    dial_timeout: Cell<Duration>,
    pub(super) keep: KeepAlive,
    pub(super) sockets: Arc<Semaphore>,
    max_sockets: usize,
    /// Attempts that wait for a socket.
    pub(super) waiting: Cell<usize>,
    /// The endpoints whose idle connections are looked after.
    endpoints: RefCell<Vec<Rc<Upstream>>>,
    /// Until when a request may begin by the list of backends that is held.
    pub(super) list_valid_until: Rc<Cell<Instant>>,
}

impl Upstreams {
    /// An empty pool with a budget of `max_sockets`.
    pub fn new(
        connections: &Connections, max_sockets: usize, any_status_serves: bool, metrics: Arc<Metrics>,
        memory: Memory,
    ) -> Self {
        Upstreams {
            memory,
            any_status_serves,
            metrics,
            dial_timeout: Cell::new(dial_timeout(connections)),
            keep: KeepAlive::new(max_keep_alive(connections)),
            sockets: Arc::new(Semaphore::new(max_sockets)),
            max_sockets,
            waiting: Cell::new(0),
            endpoints: RefCell::default(),
            list_valid_until: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// From then on no request may begin, unless this is called again.
    pub fn set_list_valid_until(&self, at: Instant) {
        self.list_valid_until.set(at);
    }

    /// Applies other settings from now on.
    pub fn retune(&self, connections: &Connections) {
        self.dial_timeout.set(dial_timeout(connections));
        self.keep.set_max(max_keep_alive(connections));
    }

    /// Sockets in use.
    pub fn in_use(&self) -> usize {
        self.max_sockets - self.sockets.available_permits()
    }

    /// Adds an endpoint to those whose idle connections are looked after.
    pub fn add(&self, endpoint: &Rc<Upstream>) {
        self.endpoints.borrow_mut().push(endpoint.clone());
    }

    /// Closes connections that have been idle for too long or have ended, and forgets endpoints that nobody else
    /// holds.
    pub fn sweep(&self) {
        let now = Instant::now();
        let span = self.keep.span();
        self.endpoints.borrow_mut().retain(|endpoint| {
            endpoint.close_idle(BackendClose::Idle, |idle| now - idle.since >= span);
            endpoint.close_idle(BackendClose::ByBackend, |idle| !idle.connection.is_alive());
            Rc::strong_count(endpoint) > 1
        });
    }

    /// Closes connections that have been idle for too long, if that is too short a span for the sweeps. Cheaper than
    /// a sweep.
    pub fn retire(&self) {
        let span = self.keep.span();
        if span >= LEFT_TO_SWEEPS {
            return;
        }
        let now = Instant::now();
        for endpoint in self.endpoints.borrow().iter() {
            endpoint.close_idle(BackendClose::Idle, |idle| now - idle.since >= span);
        }
    }

    /// Closes the connection that has been idle longest, of all endpoints.
    pub fn close_idle(&self) {
        let endpoints = self.endpoints.borrow();
        let idle_since = |endpoint: &Upstream| endpoint.idle.borrow().first().map(|idle| idle.since);
        let oldest = endpoints
            .iter()
            .filter_map(|endpoint| Some((idle_since(endpoint)?, endpoint)))
            .min_by_key(|(since, _)| *since);
        if let Some((_, endpoint)) = oldest {
            let idle = endpoint.idle.borrow_mut().remove(0);
            idle.connection.close_reason.set(BackendClose::Evicted);
        }
    }

    /// Takes an idle connection, or dials where there is none.
    pub(super) async fn connect(&self, endpoint: &Upstream) -> io::Result<Connection> {
        while let Some(idle) = endpoint.take_idle() {
            let reason = match idle.since.elapsed() < self.keep.span() {
                true if idle.connection.is_alive() => return Ok(idle.connection),
                true => BackendClose::ByBackend,
                false => BackendClose::Idle,
            };
            idle.connection.close_reason.set(reason);
        }
        timeout(self.dial_timeout.get(), self.dial(endpoint.address)).await?
    }
}

/// How long a connection may take to open.
fn dial_timeout(connections: &Connections) -> Duration {
    clamped(connections.dial_timeout)
}

/// How long a connection may be idle at most.
fn max_keep_alive(connections: &Connections) -> Duration {
    clamped(connections.idle_close * IDLE_FRACTION)
}

/// A span between a millisecond and an hour.
fn clamped(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(1.0, 3.6e6) / 1000.0)
}
