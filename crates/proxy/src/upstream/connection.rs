//! A connection to a backend, and its socket, which records all traffic.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hyper::client::conn::http1::SendRequest;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::request::MessageBody;
use super::request_progress::RequestProgress;
use crate::close_reason::BackendCloseReason;
use crate::memory::ConnectionBuffers;
use crate::socket::{
    PeekResult, half_close, peek, poll_read, poll_write, poll_write_vectored, written_parts,
};
use crate::sockets::SocketPermit;

/// What is reserved for a connection to a backend.
pub(super) struct ConnectionResources {
    pub(super) _socket: SocketPermit,
    pub(super) buffers: ConnectionBuffers,
}

/// A connection to a backend; dropping it closes the socket.
pub(super) struct Connection {
    /// Passes requests to hyper's connection task.
    pub(super) sender: SendRequest<MessageBody>,
    /// Progress of the current request and its response.
    pub(super) progress: Rc<RequestProgress>,
    /// The socket, for checks that bypass hyper.
    pub(super) stream: Rc<TcpStream>,
    /// What is reserved for the connection, shared with `TrackedSocket`: released when both are dropped.
    pub(super) resources: Rc<ConnectionResources>,
    /// The task in which hyper reads and writes the socket.
    pub(super) task: JoinHandle<()>,
    /// Whether no request has completed on this connection yet.
    pub(super) is_new: bool,
    /// The reason to count in the metrics when the connection is dropped.
    pub(super) close_reason: Cell<BackendCloseReason>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.progress.count_closed_connection(self.close_reason.get());
        self.task.abort();
    }
}

impl Connection {
    /// Whether a request may be sent on this connection: the backend has neither closed it nor sent unsolicited bytes.
    /// The socket itself is checked, because the runtime may not have been notified of such an event yet.
    pub(super) fn is_alive(&self) -> bool {
        peek(&self.stream) == PeekResult::Nothing && self.sender.is_ready()
    }
}

/// The socket of a connection. Every byte written or read is recorded in the request's progress.
pub(super) struct TrackedSocket {
    /// The socket, shared with the `Connection`.
    pub(super) stream: Rc<TcpStream>,
    /// The progress, shared with the `Connection`.
    pub(super) progress: Rc<RequestProgress>,
    /// What is reserved for the connection, shared with the `Connection`.
    pub(super) resources: Rc<ConnectionResources>,
}

impl TrackedSocket {
    /// Checks whether the next bytes may be written.
    fn check_write(&self) -> io::Result<()> {
        if !self.progress.may_write() {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        // Fail before the first byte is written if bytes or the end of the stream have already arrived: the bytes can't
        // be the response to this request, and the backend did not close the connection because of this request.
        if !self.progress.has_started() && peek(&self.stream) != PeekResult::Nothing {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl AsyncRead for TrackedSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(poll_read(&self.stream, cx, buf, self.resources.buffers.sizes().max_read()))?;
        self.progress.record_read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.check_write()?;
        let written = poll_write(&self.stream, cx, bytes);
        if written.is_pending() {
            self.progress.write.record_blocked();
        }
        let written = ready!(written)?;
        self.progress.record_written(&bytes[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, slices: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        let written = poll_write_vectored(&self.stream, cx, slices);
        if written.is_pending() {
            self.progress.write.record_blocked();
        }
        let written = ready!(written)?;
        for part in written_parts(slices, written) {
            self.progress.record_written(part);
        }
        Poll::Ready(Ok(written))
    }

    /// Hyper copies what it writes into a buffer of its own if this is false, and never shrinks that buffer.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(half_close(&self.stream))
    }
}
