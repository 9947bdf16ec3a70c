//! One connection to a backend.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hyper::client::conn::http1::SendRequest;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;

use super::message::MessageBody;
use super::request_progress::RequestProgress;
use crate::close_reason::BackendClose;
use crate::socket::{Peeked, half_close, peek, poll_read, poll_write};

/// A connection to a backend; dropping it closes the socket.
pub(super) struct Connection {
    pub(super) sender: SendRequest<MessageBody>,
    pub(super) progress: Rc<RequestProgress>,
    pub(super) stream: Rc<TcpStream>,
    /// The socket's share of the budget, held for as long as this end keeps it open.
    pub(super) _permit: Rc<OwnedSemaphorePermit>,
    /// Hyper's task that reads and writes the socket.
    pub(super) task: JoinHandle<()>,
    /// It has carried no request yet.
    pub(super) first: bool,
    /// Why it is closed, once it is dropped.
    pub(super) close_reason: Cell<BackendClose>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.progress.connection_closed(self.close_reason.get());
        self.task.abort();
    }
}

impl Connection {
    /// Whether a request may be sent on it: the backend has neither closed it nor sent anything unasked. The runtime
    /// may not have been told of its end yet, so the socket itself is asked.
    pub(super) fn is_alive(&self) -> bool {
        peek(&self.stream) == Peeked::Nothing && self.sender.is_ready()
    }
}

/// The socket under a connection; every byte is reported to the request's progress.
pub(super) struct MeteredSocket {
    pub(super) stream: Rc<TcpStream>,
    pub(super) progress: Rc<RequestProgress>,
    /// The socket's share of the budget.
    pub(super) _permit: Rc<OwnedSemaphorePermit>,
}

impl AsyncRead for MeteredSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(poll_read(&self.stream, cx, buf))?;
        self.progress.record_read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if !self.progress.admit() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        // Bytes that precede the request can't answer it, and an end of the stream now is not one after it.
        if !self.progress.begun.get() && peek(&self.stream) != Peeked::Nothing {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = ready!(poll_write(&self.stream, cx, bytes))?;
        self.progress.record_written(&bytes[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(half_close(&self.stream))
    }
}
