//! The socket under a client's connection.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::client::{Client, Stage};
use super::{Frontend, MAX_HEAD_SIZE, REQUEST_TIMEOUT};
use crate::socket::{half_close, poll_read, poll_write};

/// A client's socket. It notes when a head begins to arrive, its raw bytes, and when the client has closed its
/// sending side.
pub(super) struct ClientSocket {
    pub(super) client: Rc<Client>,
    pub(super) frontend: Rc<Frontend>,
}

impl ClientSocket {
    fn record_read(&self, bytes: &[u8]) {
        let client = &self.client;
        match bytes.is_empty() {
            true => client.read_closed.set(true),
            false => client.last_read.set(Instant::now()),
        }
        let stage = client.stage.get();
        if matches!(stage, Stage::New | Stage::Idle) {
            client.raw_head.borrow_mut().clear();
            if stage == Stage::Idle {
                client.request_due.set(Instant::now() + REQUEST_TIMEOUT);
            }
            self.frontend.set_stage(client, Stage::ReadingHead);
        }
        if client.stage.get() == Stage::ReadingHead {
            let mut raw_head = client.raw_head.borrow_mut();
            let room = (MAX_HEAD_SIZE + 1).saturating_sub(raw_head.len()); // hyper accepts no longer one
            raw_head.extend_from_slice(&bytes[..bytes.len().min(room)]);
        }
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(poll_read(&self.client.stream, cx, buf))?;
        self.record_read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(poll_write(&self.client.stream, cx, bytes))?;
        if self.client.streaming.get() {
            self.client.last_write.set(Instant::now());
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(half_close(&self.client.stream))
    }
}
