//! The socket of a client connection, as hyper reads and writes it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::coop::has_budget_remaining;
use tokio::time::Instant;

use super::client::{Client, Stage};
use super::raw_head::RawHead;
use super::{Frontend, REQUEST_TIMEOUT};
use crate::socket::{half_close, poll_read, poll_write, poll_write_vectored};

/// A client's socket. It records in the [`Client`] when a request head starts to arrive, what its raw bytes show,
/// when bytes were last read or written, and that the client has closed its sending side.
pub(super) struct ClientSocket {
    pub(super) client: Rc<Client>,
    pub(super) frontend: Rc<Frontend>,
}

impl ClientSocket {
    /// Updates the client's state after a read; no bytes mean that the client has closed its sending side.
    fn record_read(&self, bytes: &[u8]) {
        let client = &self.client;
        match bytes.is_empty() {
            true => client.read_closed.set(true),
            false => client.last_read.set(Instant::now()),
        }
        let stage = client.stage.get();
        if matches!(stage, Stage::New | Stage::Idle) {
            self.start_head(stage);
        }
        if client.stage.get() == Stage::ReadingHead {
            self.append_to_head(bytes);
        }
    }

    /// Begins a new request head, whose first bytes arrived in `stage`.
    fn start_head(&self, stage: Stage) {
        self.client.raw_head.replace(RawHead::default());
        if stage == Stage::Idle {
            self.client.request_deadline.set(Instant::now() + REQUEST_TIMEOUT);
        }
        self.frontend.set_stage(&self.client, Stage::ReadingHead);
    }

    /// Appends bytes to the raw head. While the head consists of line breaks only, each read resets its start time.
    fn append_to_head(&self, bytes: &[u8]) {
        let mut raw_head = self.client.raw_head.borrow_mut();
        if raw_head.is_blank() {
            self.client.head_started_at.set(Instant::now());
        }
        raw_head.append(bytes);
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let max_read = self.client.buffers.get().max_read();
        let read = poll_read(&self.client.stream, cx, buf, max_read);
        // A task that has used up its budget has to wait although there may be bytes to read.
        let found_empty = read.is_pending() && has_budget_remaining();
        let was_empty = self.client.receive_buffer_empty.replace(found_empty);
        ready!(read)?;
        if was_empty {
            self.client.record_arrival();
        }
        self.record_read(&buf.filled()[filled_before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(poll_write(&self.client.stream, cx, bytes))?;
        self.client.write_watchdog.record_write();
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, slices: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(poll_write_vectored(&self.client.stream, cx, slices))?;
        self.client.write_watchdog.record_write();
        Poll::Ready(Ok(written))
    }

    /// Hyper copies what it writes into a buffer of its own if this is false, and never shrinks that buffer.
    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Hyper flushes the socket once it has written all bytes of its buffer.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        let response_ended = self.client.write_watchdog.record_flush();
        if response_ended && !self.client.next_request_waits.get() {
            self.frontend.set_stage(&self.client, Stage::Idle);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(half_close(&self.client.stream))
    }
}
