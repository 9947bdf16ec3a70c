//! Streams responses that are too long or too slow to buffer.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::response_deadline::ResponseDeadline;
use super::response_progress::STALL_TIMEOUT;
use crate::body_stream::{BodySender, ChunkRoom, MAX_BODY_BYTES, ReaderStopped};
use crate::memory::BufferedPart;

/// Why a response was not streamed to its end.
#[derive(Debug, thiserror::Error)]
pub(super) enum RelayError {
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("response body too long")]
    TooLong,
    #[error("timed out while reading the response body")]
    ReadTimedOut,
    /// The response is short, or has not shown that it is long, and is not complete in time.
    #[error("response not complete at its deadline")]
    DeadlinePassed,
    /// The client no longer reads the response.
    #[error("client disconnected")]
    ClientDisconnected(#[from] ReaderStopped),
}

/// Streams one response as fast as its client reads.
pub(super) struct Relay {
    rest: Incoming,
    sender: BodySender,
    deadline: ResponseDeadline,
    /// Bytes of the body received from the backend so far.
    received: u64,
    /// The time spent waiting for the backend to give the next part.
    backend_wait: Duration,
    /// The time spent waiting for the client to take a part.
    client_wait: Duration,
}

impl Relay {
    /// Prepares to stream a response whose body continues with `rest`.
    pub(super) fn new(rest: Incoming, sender: BodySender, deadline: ResponseDeadline) -> Self {
        Relay {
            rest,
            sender,
            deadline,
            received: 0,
            backend_wait: Duration::ZERO,
            client_wait: Duration::ZERO,
        }
    }

    /// Streams the body: first the bytes in `buffered`, then the rest. Returns once the whole body has been received and
    /// passed on.
    pub(super) async fn run(&mut self, buffered: BufferedPart) -> Result<(), RelayError> {
        self.received += buffered.bytes.len() as u64;
        self.sender.send_buffered(buffered).await?;
        loop {
            let room = self.wait_for_client().await?;
            let Some(data) = self.next_chunk().await? else {
                self.sender.end().await;
                return Ok(());
            };
            self.received += data.len() as u64;
            if self.received > MAX_BODY_BYTES {
                return Err(RelayError::TooLong);
            }
            self.sender.send(data, room).await?;
        }
    }

    /// The number of bytes received from the backend so far.
    pub(super) fn received(&self) -> u64 {
        self.received
    }

    /// The time spent waiting for the backend so far.
    pub(super) fn backend_wait(&self) -> Duration {
        self.backend_wait
    }

    /// The time spent waiting for the client so far.
    pub(super) fn client_wait(&self) -> Duration {
        self.client_wait
    }

    /// Waits until the client has taken so much that there is room for the next chunk.
    async fn wait_for_client(&mut self) -> Result<ChunkRoom, ReaderStopped> {
        let started_at = Instant::now();
        let room = self.sender.room().await;
        self.client_wait += started_at.elapsed();
        room
    }

    /// Reads the next frame. Returns its data, which is empty for a frame of trailers, or `None` at the end of the body.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, RelayError> {
        let started_at = Instant::now();
        let stalled_at = started_at + STALL_TIMEOUT;
        let complete_by = self.deadline.complete_by(self.received, self.client_wait);
        let wait_until = complete_by.unwrap_or(stalled_at).min(stalled_at);
        let frame = timeout_at(wait_until, self.rest.frame()).await;
        self.backend_wait += started_at.elapsed();
        match frame {
            Ok(None) => Ok(None),
            Ok(Some(frame)) => Ok(Some(frame?.into_data().unwrap_or_default())),
            Err(_) if wait_until < stalled_at => Err(RelayError::DeadlinePassed),
            Err(_) => Err(RelayError::ReadTimedOut),
        }
    }
}
