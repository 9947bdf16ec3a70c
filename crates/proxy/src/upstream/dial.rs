//! Opens connections within the budget of sockets.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

use super::connection::{Connection, MeteredSocket};
use super::pool::Upstreams;
use super::request_progress::RequestProgress;

/// Size of a connection's buffers, which bounds an answer's head too.
const BUFFER_SIZE: usize = 32 << 10;

impl Upstreams {
    /// Opens a connection once the budget has a socket for it.
    pub(super) async fn dial(&self, address: SocketAddr) -> io::Result<Connection> {
        let permit = Rc::new(self.acquire_socket().await?);
        self.metrics.upstream_connected();
        let stream = Rc::new(TcpStream::connect(address).await?);
        stream.set_nodelay(true)?;
        let progress = Rc::new(RequestProgress::new(self.metrics.clone()));
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
        let close_reason = Cell::default();
        Ok(Connection { sender, progress, stream, _permit: permit, task, first: true, close_reason })
    }

    /// Waits for a socket of the budget. If there is none, the longest idle connection gives up its own.
    async fn acquire_socket(&self) -> io::Result<OwnedSemaphorePermit> {
        if self.sockets.available_permits() == 0 {
            self.close_idle();
        }
        let _waiter = Waiter::new(&self.waiting);
        self.sockets.clone().acquire_owned().await.map_err(io::Error::other)
    }
}

/// Counts one attempt that waits for a socket, until dropped.
struct Waiter<'a>(&'a Cell<usize>);

impl<'a> Waiter<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Waiter(count)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
