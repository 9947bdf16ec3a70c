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
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep};

use super::connection::{Connection, MeteredSocket};
use super::request_progress::RequestProgress;
use crate::metrics::Metrics;
use crate::socket::{is_local_error, is_no_route};

/// An error of this machine is expected to pass within this time.
const LOCAL_RETRY_TIME: Duration = Duration::from_millis(100);
/// Wait before each of the first retries after such an error. They are quick, as the time counts as the backend's.
const QUICK_RETRY_DELAY: Duration = Duration::from_millis(1);
/// How many retries are quick.
const QUICK_RETRIES: u32 = 16;
/// Wait before each of the later ones.
const RETRY_DELAY: Duration = Duration::from_millis(8);

/// Size of a connection's buffers, which bounds a response's head too.
const BUFFER_SIZE: usize = 32 << 10;

/// Why no connection was opened. What this machine lacks does not count against the backend.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// This machine lacks a descriptor, a port or a buffer.
    #[error("local error: {0}")]
    Local(io::Error),
    /// This machine has no route to the backend. It may have one again in a moment; without it the backend is of no use.
    #[error("no route: {0}")]
    NoRoute(io::Error),
    /// All sockets of the budget are in use.
    #[error("no socket left")]
    NoSocket,
    /// The backend, or the network before it, did not accept the connection.
    #[error("remote error: {0}")]
    Remote(io::Error),
    /// The connection did not come up in time.
    #[error("timed out")]
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
    /// Whether the next try may succeed, as nothing was sent to the backend.
    fn may_pass(&self) -> bool {
        matches!(self, ConnectError::Local(_) | ConnectError::NoRoute(_))
    }
}

impl From<Elapsed> for ConnectError {
    fn from(_: Elapsed) -> Self {
        ConnectError::TimedOut
    }
}

/// Opens a connection on a socket of the budget. System calls that fail here are made again for a while.
pub(super) async fn dial(
    address: SocketAddr, permit: OwnedSemaphorePermit, metrics: Arc<Metrics>,
) -> Result<Connection, ConnectError> {
    let permit = Rc::new(permit);
    metrics.upstream_connected();
    let retry_until = Instant::now() + LOCAL_RETRY_TIME;
    let mut retries = 0;
    loop {
        let delay = if retries < QUICK_RETRIES { QUICK_RETRY_DELAY } else { RETRY_DELAY };
        match dial_once(address, &permit, &metrics).await {
            Err(error) if error.may_pass() && Instant::now() + delay < retry_until => sleep(delay).await,
            result => return result,
        }
        retries += 1;
    }
}

async fn dial_once(
    address: SocketAddr, permit: &Rc<OwnedSemaphorePermit>, metrics: &Arc<Metrics>,
) -> Result<Connection, ConnectError> {
    let stream = Rc::new(TcpStream::connect(address).await?);
    stream.set_nodelay(true)?;
    let progress = Rc::new(RequestProgress::new(metrics.clone()));
    let socket =
        MeteredSocket { stream: stream.clone(), progress: progress.clone(), _permit: permit.clone() };
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(BUFFER_SIZE)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await; // the request in flight sees the error
    });
    Ok(Connection {
        sender,
        progress,
        stream,
        _permit: permit.clone(),
        task,
        is_new: true,
        close_reason: Cell::default(),
    })
}
