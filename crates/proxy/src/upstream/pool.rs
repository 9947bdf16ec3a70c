//! The connection pool of all upstream endpoints, within the budget of sockets.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use leadrelay_core::Outcome;
use leadrelay_core::settings::json::Connections;
use tokio::time::{Instant, timeout};

use super::connection::Connection;
use super::dial::{ConnectError, dial};
use super::endpoint::UpstreamEndpoint;
use super::keep_alive::{KeepAlive, MIN_KEEP_ALIVE};
use super::socket_budget::SocketBudget;
use crate::body_memory::BodyMemory;
use crate::close_reason::BackendClose;
use crate::metrics::Metrics;

/// An idle connection is closed after this fraction of the time after which its backend would close it.
const IDLE_FRACTION: f64 = 0.7;
/// Shorter keep-alive times than this need `close_expired`, as sweeps come only once a second.
const MIN_SWEPT_KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Longest wait until a connection is ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// Bounds of a time-out from the settings, in milliseconds.
const MIN_TIMEOUT_MS: f64 = 1.0;
const MAX_TIMEOUT_MS: f64 = 3.6e6;

/// What all attempts share: the connection pool, time-outs and the budget of sockets.
pub struct UpstreamPool {
    /// The memory for bodies, shared with the clients' side.
    pub memory: BodyMemory,
    /// Whether any response but a server's error counts as served, and errors are passed on as backends word them.
    pub(super) any_status_serves: bool,
    metrics: Arc<Metrics>,
    dial_timeout: Cell<Duration>,
    keep_alive: KeepAlive,
    sockets: SocketBudget,
    /// The endpoints whose idle connections expire.
    endpoints: RefCell<Vec<Rc<UpstreamEndpoint>>>,
    /// Until when a request may start by the endpoint list.
    list_valid_until: Rc<Cell<Instant>>,
}

impl UpstreamPool {
    /// An empty pool with a budget of `max_sockets`.
    pub fn new(
        connections: &Connections, max_sockets: usize, any_status_serves: bool, metrics: Arc<Metrics>,
        memory: BodyMemory,
    ) -> Self {
        UpstreamPool {
            memory,
            any_status_serves,
            metrics,
            dial_timeout: Cell::new(dial_timeout(connections)),
            keep_alive: KeepAlive::new(max_keep_alive(connections)),
            sockets: SocketBudget::new(max_sockets),
            endpoints: RefCell::default(),
            list_valid_until: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// Sets until when requests may start by the endpoint list, unless it is renewed before.
    pub fn set_list_valid_until(&self, at: Instant) {
        self.list_valid_until.set(at);
    }

    /// Until when requests may start by the endpoint list, as their guards look it up.
    pub(super) fn list_valid_until(&self) -> &Rc<Cell<Instant>> {
        &self.list_valid_until
    }

    /// Applies new settings.
    pub fn reconfigure(&self, connections: &Connections) {
        self.dial_timeout.set(dial_timeout(connections));
        self.keep_alive.set_max(max_keep_alive(connections));
    }

    /// Sockets in use.
    pub fn in_use(&self) -> usize {
        self.sockets.in_use()
    }

    /// Adds an endpoint to those whose idle connections expire.
    pub fn add(&self, endpoint: &Rc<UpstreamEndpoint>) {
        self.endpoints.borrow_mut().push(endpoint.clone());
    }

    /// Closes connections that have been idle for too long or have ended, and forgets endpoints that nobody else
    /// holds.
    pub fn sweep(&self) {
        let now = Instant::now();
        let keep_alive = self.keep_alive.timeout();
        self.endpoints.borrow_mut().retain(|endpoint| {
            endpoint.close_idle_if(BackendClose::Idle, |idle| now - idle.since >= keep_alive);
            endpoint.close_idle_if(BackendClose::ByBackend, |idle| !idle.connection.is_alive());
            Rc::strong_count(endpoint) > 1
        });
    }

    /// Closes connections that have been idle for too long, if the keep-alive time is too short for the sweeps.
    /// Cheaper than a sweep.
    pub fn close_expired(&self) {
        let keep_alive = self.keep_alive.timeout();
        if keep_alive >= MIN_SWEPT_KEEP_ALIVE {
            return;
        }
        let now = Instant::now();
        for endpoint in self.endpoints.borrow().iter() {
            endpoint.close_idle_if(BackendClose::Idle, |idle| now - idle.since >= keep_alive);
        }
    }

    /// Closes the connection that has been idle longest, of all endpoints.
    pub fn evict_idle(&self) {
        let endpoints = self.endpoints.borrow();
        let longest_idle = endpoints
            .iter()
            .filter_map(|endpoint| Some((endpoint.longest_idle_since()?, endpoint)))
            .min_by_key(|(since, _)| *since);
        if let Some((_, endpoint)) = longest_idle {
            endpoint.evict_longest_idle();
        }
    }

    /// Takes an idle connection, or opens a new one if there is none.
    pub(super) async fn connect(&self, endpoint: &UpstreamEndpoint) -> Result<Connection, ConnectError> {
        match self.take_idle(endpoint) {
            Some(connection) => Ok(connection),
            None => self.open(endpoint).await,
        }
    }

    /// Takes an idle connection that may carry a request; closes those that may not.
    fn take_idle(&self, endpoint: &UpstreamEndpoint) -> Option<Connection> {
        while let Some(idle) = endpoint.take_idle() {
            let reason = match idle.since.elapsed() < self.keep_alive.timeout() {
                true if idle.connection.is_alive() => return Some(idle.connection),
                true => BackendClose::ByBackend,
                false => BackendClose::Idle,
            };
            idle.connection.close_reason.set(reason);
        }
        None
    }

    /// Opens a connection once the budget has a socket for it. If it has none, the longest idle connection is closed.
    async fn open(&self, endpoint: &UpstreamEndpoint) -> Result<Connection, ConnectError> {
        if self.sockets.is_exhausted() {
            self.evict_idle();
        }
        let dial_timeout = self.dial_timeout.get();
        let permit = timeout(dial_timeout, self.sockets.acquire()).await;
        let permit = permit.map_err(|_| ConnectError::NoSocket)??;
        timeout(dial_timeout, dial(endpoint.address, permit, self.metrics.clone())).await?
    }

    /// Takes a connection back after an exchange: keeps it idle if it is of further use, or closes it.
    pub(super) async fn release(
        &self, mut connection: Connection, endpoint: &UpstreamEndpoint, outcome: Outcome, reusable: bool,
    ) {
        self.keep_alive.record(connection.is_new, outcome == Outcome::Rejected);
        connection.is_new = false;
        connection.progress.finish();
        let ready = reusable && matches!(timeout(READY_TIMEOUT, connection.sender.ready()).await, Ok(Ok(())));
        if ready && endpoint.is_open() && self.may_keep_idle() {
            endpoint.put_idle(connection);
            return;
        }
        let reason = if endpoint.is_open() { BackendClose::NotReusable } else { BackendClose::OutOfService };
        connection.close_reason.set(reason);
    }

    /// Whether connections may be idle: an attempt that waits for a socket would otherwise go on waiting.
    fn may_keep_idle(&self) -> bool {
        !self.sockets.has_waiters() && self.keep_alive.timeout() > MIN_KEEP_ALIVE
    }

    /// The present keep-alive time.
    #[cfg(test)]
    pub(super) fn keep_alive_timeout(&self) -> Duration {
        self.keep_alive.timeout()
    }

    /// Whether an attempt waits for a socket.
    #[cfg(test)]
    pub(super) fn has_waiters(&self) -> bool {
        self.sockets.has_waiters()
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

fn clamped(timeout_ms: f64) -> Duration {
    Duration::from_secs_f64(timeout_ms.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS) / 1000.0)
}
