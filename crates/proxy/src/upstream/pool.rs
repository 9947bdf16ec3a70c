//! The connection pool of all upstream endpoints, which stays within the limits on sockets.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use leadrelay_core::Outcome;
use leadrelay_core::settings::json::ConnectionTimeouts;
use tokio::time::{Instant, timeout};

use super::connection::{Connection, ConnectionResources};
use super::dial::{ConnectError, dial};
use super::endpoint::UpstreamEndpoint;
use super::keep_alive::{KeepAlive, MIN_KEEP_ALIVE};
use crate::close_reason::BackendCloseReason;
use crate::memory::ProcessMemory;
use crate::metrics::Metrics;
use crate::sockets::Sockets;

/// An idle connection is closed after this fraction of the backend's own idle timeout, before the backend closes it.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// Keep-alive timeouts shorter than this need `close_expired`, because sweeps run only once a second.
const MIN_SWEPT_KEEP_ALIVE: Duration = Duration::from_secs(5);
/// How long to wait until a connection is ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// Lower bound of a timeout from the settings, in milliseconds.
const MIN_TIMEOUT_MS: f64 = 1.0;
/// Upper bound of a timeout from the settings, in milliseconds.
const MAX_TIMEOUT_MS: f64 = 3.6e6;

/// State that all attempts share: the connection pool, the timeouts and the sockets.
pub struct UpstreamPool {
    /// The memory of the process, for the buffers of connections and responses.
    pub(super) memory: Rc<ProcessMemory>,
    /// Whether plain HTTP/1.1 is used instead of the platform's protocol. In plain HTTP every status below 500 except
    /// 101 counts as served, and error responses that have been buffered completely are passed on unchanged.
    pub(super) is_plain_http: bool,
    metrics: Arc<Metrics>,
    connect_timeout: Cell<Duration>,
    keep_alive: KeepAlive,
    sockets: Rc<Sockets>,
    /// The endpoints whose idle connections this pool closes.
    endpoints: RefCell<Vec<Rc<UpstreamEndpoint>>>,
    /// When the endpoint list expires: no request may start from then on.
    list_valid_until: Rc<Cell<Instant>>,
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new(
        connections: &ConnectionTimeouts, sockets: Rc<Sockets>, is_plain_http: bool, metrics: Arc<Metrics>,
        memory: Rc<ProcessMemory>,
    ) -> Self {
        UpstreamPool {
            memory,
            is_plain_http,
            metrics,
            connect_timeout: Cell::new(connect_timeout(connections)),
            keep_alive: KeepAlive::new(max_keep_alive(connections)),
            sockets,
            endpoints: RefCell::default(),
            list_valid_until: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// Sets when the endpoint list expires. No request may start from then on, unless the list is renewed before.
    pub fn set_list_valid_until(&self, at: Instant) {
        self.list_valid_until.set(at);
    }

    /// The shared expiry of the endpoint list, which the guards of requests read.
    pub(super) fn list_valid_until(&self) -> &Rc<Cell<Instant>> {
        &self.list_valid_until
    }

    /// Applies new settings.
    pub fn reconfigure(&self, connections: &ConnectionTimeouts) {
        self.connect_timeout.set(connect_timeout(connections));
        self.keep_alive.set_max(max_keep_alive(connections));
    }

    /// Adds an endpoint, so that its idle connections are closed when they expire.
    pub fn add_endpoint(&self, endpoint: &Rc<UpstreamEndpoint>) {
        self.endpoints.borrow_mut().push(endpoint.clone());
    }

    /// Closes idle connections that have expired, that the backend has closed, or on which it has sent unsolicited
    /// bytes. Also removes endpoints to which only this pool still refers.
    pub fn sweep(&self) {
        let now = Instant::now();
        let keep_alive = self.keep_alive.timeout();
        self.endpoints.borrow_mut().retain(|endpoint| {
            endpoint.close_idle_if(BackendCloseReason::Idle, |idle| now - idle.idle_since >= keep_alive);
            endpoint.close_idle_if(BackendCloseReason::ByBackend, |idle| !idle.connection.is_alive());
            Rc::strong_count(endpoint) > 1
        });
    }

    /// Closes idle connections that have expired, if the keep-alive timeout is too short for the sweeps. This is
    /// cheaper than a sweep.
    pub fn close_expired(&self) {
        let keep_alive = self.keep_alive.timeout();
        if keep_alive >= MIN_SWEPT_KEEP_ALIVE {
            return;
        }
        let now = Instant::now();
        for endpoint in self.endpoints.borrow().iter() {
            endpoint.close_idle_if(BackendCloseReason::Idle, |idle| now - idle.idle_since >= keep_alive);
        }
    }

    /// Closes the connection that has been idle longest among all endpoints.
    pub fn evict_longest_idle(&self) {
        let endpoints = self.endpoints.borrow();
        let longest_idle = endpoints
            .iter()
            .filter_map(|endpoint| Some((endpoint.longest_idle_since()?, endpoint)))
            .min_by_key(|(idle_since, _)| *idle_since);
        if let Some((_, endpoint)) = longest_idle {
            endpoint.evict_longest_idle();
        }
    }

    /// Takes an idle connection to the endpoint, or opens a new one if there is none.
    pub(super) async fn connect(&self, endpoint: &UpstreamEndpoint) -> Result<Connection, ConnectError> {
        match self.take_idle(endpoint) {
            Some(connection) => Ok(connection),
            None => self.open_connection(endpoint).await,
        }
    }

    /// Takes a usable idle connection to the endpoint, and closes unusable ones on the way.
    fn take_idle(&self, endpoint: &UpstreamEndpoint) -> Option<Connection> {
        while let Some(idle) = endpoint.take_idle() {
            let reason = match idle.idle_since.elapsed() < self.keep_alive.timeout() {
                true if idle.connection.is_alive() => return Some(idle.connection),
                true => BackendCloseReason::ByBackend,
                false => BackendCloseReason::Idle,
            };
            idle.connection.close_reason.set(reason);
        }
        None
    }

    /// Opens a connection once a socket is free. If all sockets are in use, the longest idle connection is
    /// closed first.
    async fn open_connection(&self, endpoint: &UpstreamEndpoint) -> Result<Connection, ConnectError> {
        if self.sockets.is_exhausted() {
            self.evict_longest_idle();
        }
        let connect_timeout = self.connect_timeout.get();
        let permit = timeout(connect_timeout, self.sockets.acquire_backend()).await;
        let permit = permit.map_err(|_| ConnectError::NoSocket)?;
        let resources = ConnectionResources { _socket: permit, buffers: self.memory.connection_buffers() };
        timeout(connect_timeout, dial(endpoint.address, resources, self.metrics.clone())).await?
    }

    /// Takes a connection back after an exchange, and keeps it idle if it can be reused or closes it otherwise.
    pub(super) async fn release(
        &self, mut connection: Connection, endpoint: &UpstreamEndpoint, outcome: Outcome, reusable: bool,
    ) {
        self.keep_alive.record(connection.is_new, outcome == Outcome::Rejected);
        connection.is_new = false;
        connection.progress.finish();
        let is_ready =
            reusable && matches!(timeout(READY_TIMEOUT, connection.sender.ready()).await, Ok(Ok(())));
        if is_ready && endpoint.is_open() && self.may_keep_idle() {
            endpoint.put_idle(connection);
            return;
        }
        let reason = if endpoint.is_open() {
            BackendCloseReason::NotReusable
        } else {
            BackendCloseReason::OutOfService
        };
        connection.close_reason.set(reason);
    }

    /// Whether a released connection may be kept idle. If an attempt waits for a socket, the connection is closed
    /// instead, because the attempt would have to go on waiting otherwise.
    fn may_keep_idle(&self) -> bool {
        !self.sockets.has_waiters() && self.keep_alive.timeout() > MIN_KEEP_ALIVE
    }

    /// The current keep-alive timeout.
    #[cfg(test)]
    pub(super) fn keep_alive_timeout(&self) -> Duration {
        self.keep_alive.timeout()
    }

    /// The number of connections to backends.
    #[cfg(test)]
    pub(super) fn sockets_in_use(&self) -> usize {
        self.sockets.backends()
    }

    /// Whether an attempt waits for a socket.
    #[cfg(test)]
    pub(super) fn has_waiters(&self) -> bool {
        self.sockets.has_waiters()
    }
}

/// How long a connection may take to open.
fn connect_timeout(connections: &ConnectionTimeouts) -> Duration {
    clamp_timeout(connections.connect_timeout)
}

/// The longest time for which a connection may be idle.
fn max_keep_alive(connections: &ConnectionTimeouts) -> Duration {
    clamp_timeout(connections.backend_idle_timeout * KEEP_ALIVE_FRACTION)
}

fn clamp_timeout(timeout_ms: f64) -> Duration {
    Duration::from_secs_f64(timeout_ms.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS) / 1000.0)
}
