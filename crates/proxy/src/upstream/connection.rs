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

use super::request::MessageBody;
use super::request_progress::RequestProgress;
use crate::close_reason::BackendClose;
use crate::socket::{PeekResult, half_close, peek, poll_read, poll_write};

/// A connection to a backend; dropping it closes the socket.
pub(super) struct Connection {
    /// Hands requests to hyper's task.
    pub(super) sender: SendRequest<MessageBody>,
    /// How far the current request and its response have come.
    pub(super) progress: Rc<RequestProgress>,
    /// The socket, for checks that bypass hyper.
    pub(super) stream: Rc<TcpStream>,
    /// The socket's permit from the budget, held for as long as this end keeps it open.
    pub(super) _permit: Rc<OwnedSemaphorePermit>,
    /// Hyper's task that reads and writes the socket.
    pub(super) task: JoinHandle<()>,
    /// No request has been completed on it yet.
    pub(super) is_new: bool,
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
    /// Whether a request may be sent on it: the backend has neither closed it nor sent unsolicited bytes. The runtime
    /// may not have been notified of that yet, so the socket itself is checked.
    pub(super) fn is_alive(&self) -> bool {
        peek(&self.stream) == PeekResult::Nothing && self.sender.is_ready()
    }
}

/// The socket under a connection; every byte is recorded in the request's progress.
pub(super) struct MeteredSocket {
    /// The socket, shared with the connection.
    pub(super) stream: Rc<TcpStream>,
    /// The progress, shared with the connection.
    pub(super) progress: Rc<RequestProgress>,
    /// The socket's permit from the budget.
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
        if !self.progress.may_write() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        // Bytes that precede the request can't be its response, and an end of the stream now is not one after it.
        if !self.progress.has_started() && peek(&self.stream) != PeekResult::Nothing {
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
