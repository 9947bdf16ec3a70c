//! Opens connections to backends.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::error::Elapsed;

use super::connection::{Connection, MeteredSocket};
use super::request_progress::RequestProgress;
use crate::metrics::Metrics;
use crate::socket::is_local_error;

/// Size of a connection's buffers, which bounds a response's head too.
const BUFFER_SIZE: usize = 32 << 10;

/// Why no connection was opened. Only an error of the other side may count against the backend.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// This machine lacks a descriptor, a port or a buffer.
    #[error("local error: {0}")]
    Local(io::Error),
    /// The backend, or the network before it, did not accept the connection.
    #[error("remote error: {0}")]
    Remote(io::Error),
    /// The connection did not come up in time.
    #[error("timed out")]
    TimedOut,
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        if is_local_error(&error) { ConnectError::Local(error) } else { ConnectError::Remote(error) }
    }
}

impl From<Elapsed> for ConnectError {
    fn from(_: Elapsed) -> Self {
        ConnectError::TimedOut
    }
}

/// Opens a connection on a socket of the budget.
pub(super) async fn dial(
    address: SocketAddr, permit: OwnedSemaphorePermit, metrics: Arc<Metrics>,
) -> Result<Connection, ConnectError> {
    let permit = Rc::new(permit);
    metrics.upstream_connected();
    let stream = Rc::new(TcpStream::connect(address).await?);
    stream.set_nodelay(true)?;
    let progress = Rc::new(RequestProgress::new(metrics));
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
        _permit: permit,
        task,
        is_new: true,
        close_reason: Cell::default(),
    })
}
