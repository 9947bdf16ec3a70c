//! Opens connections to backends.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep};

use super::connection::{Connection, ConnectionResources, TrackedSocket};
use super::request_progress::RequestProgress;
use crate::metrics::Metrics;
use crate::socket::{is_local_error, is_no_route};

/// How long to retry after a transient error. Errors of this machine are expected to pass within this time.
const TRANSIENT_RETRY_TIME: Duration = Duration::from_millis(100);
/// Delay before each of the first retries; short, because the time spent here counts towards the backend's latency.
const QUICK_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Number of retries that use `QUICK_RETRY_DELAY`.
const QUICK_RETRIES: u32 = 16;
/// Delay before each of the later retries.
const LATER_RETRY_DELAY: Duration = Duration::from_millis(8);

/// Longest response head in bytes. Once the head has been read, a read takes less than a read buffer, so the HTTP
/// library's buffer does not grow to this size.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Why no connection was opened. A lack of resources on this machine does not count against the backend.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// This machine lacks a file descriptor, a port or memory for buffers.
    #[error("local error: {0}")]
    Local(io::Error),
    /// This machine has no route to the backend. The route may be back in a moment; if not, the attempt counts as a
    /// connect failure, since the backend can't be reached.
    #[error("no route: {0}")]
    NoRoute(io::Error),
    /// All sockets for backends are in use.
    #[error("all upstream sockets are in use")]
    NoSocket,
    /// The backend or the network refused or broke the connection.
    #[error("remote error: {0}")]
    Remote(io::Error),
    /// The connection was not established in time.
    #[error("connect timed out")]
    TimedOut,
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        if is_local_error(&error) {
            ConnectError::Local(error)
        } else if is_no_route(&error) {
            ConnectError::NoRoute(error)
        } else {
            ConnectError::Remote(error)
        }
    }
}

impl ConnectError {
    /// Whether the error is expected to pass soon. A retry is safe, because nothing was sent to the backend.
    fn is_transient(&self) -> bool {
        matches!(self, ConnectError::Local(_) | ConnectError::NoRoute(_))
    }
}

impl From<Elapsed> for ConnectError {
    fn from(_: Elapsed) -> Self {
        ConnectError::TimedOut
    }
}

/// Opens a connection with the resources that are reserved for it. Transient errors are retried for
/// `TRANSIENT_RETRY_TIME`.
pub(super) async fn dial(
    address: SocketAddr, resources: ConnectionResources, metrics: Arc<Metrics>,
) -> Result<Connection, ConnectError> {
    let resources = Rc::new(resources);
    metrics.upstream_connected();
    let retry_until = Instant::now() + TRANSIENT_RETRY_TIME;
    let mut retries = 0;
    loop {
        let delay = if retries < QUICK_RETRIES { QUICK_RETRY_DELAY } else { LATER_RETRY_DELAY };
        match dial_once(address, &resources, &metrics).await {
            Err(error) if error.is_transient() && Instant::now() + delay < retry_until => sleep(delay).await,
            result => return result,
        }
        retries += 1;
    }
}

async fn dial_once(
    address: SocketAddr, resources: &Rc<ConnectionResources>, metrics: &Arc<Metrics>,
) -> Result<Connection, ConnectError> {
    let stream = Rc::new(TcpStream::connect(address).await?);
    stream.set_nodelay(true)?;
    let progress = Rc::new(RequestProgress::new(metrics.clone()));
    let socket =
        TrackedSocket { stream: stream.clone(), progress: progress.clone(), resources: resources.clone() };
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await; // the request in flight receives the error
    });
    Ok(Connection {
        sender,
        progress,
        stream,
        resources: resources.clone(),
        task,
        is_new: true,
        close_reason: Cell::default(),
    })
}
