//! Streamed bodies: a body that is too long to be buffered is forwarded chunk by chunk.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::body_memory::MemoryReservation;

/// Longest request or response body that is forwarded, in bytes.
pub const MAX_BODY_BYTES: u64 = 36 << 20;

/// Minimum average rate, in bytes per second, at which a peer has to send a body: half of the rate that slow peers
/// sustain.
pub const MIN_PEER_BYTES_PER_SECOND: f64 = 32.0 * 1024.0;

/// A chunk of a streamed body. If the channel closes without an `End`, the body is incomplete.
pub enum BodyChunk {
    /// Bytes of the body and the memory reserved for them.
    Data(Bytes, Option<MemoryReservation>),
    /// The body is complete.
    End,
}

/// The sending end of a [`BodyStream`].
pub type BodySender = mpsc::Sender<BodyChunk>;

/// Callback for the end of a stream. It is called at most once, with `true` if the body was complete, and dropped
/// without a call if the stream is dropped before its end has been read.
pub type OnEnd = Box<dyn FnOnce(bool)>;

/// A body that is sent while it is still being received.
pub struct BodyStream {
    chunks: mpsc::Receiver<BodyChunk>,
    /// Bytes of the body that have not been read yet, if its length is known.
    remaining: Option<u64>,
    on_end: Option<OnEnd>,
}

/// The error of a stream whose sender stopped before the body was complete.
#[derive(Debug, thiserror::Error)]
#[error("body incomplete")]
pub struct IncompleteBody;

impl BodyStream {
    /// Creates a stream and its sending end. `length` is the length of the complete body, if it is known.
    pub fn new(length: Option<u64>) -> (BodySender, Self) {
        let (sender, chunks) = mpsc::channel(1);
        let stream = BodyStream { chunks, remaining: length, on_end: None };
        (sender, stream)
    }

    /// Sets the callback for the end of the stream.
    pub fn on_end(&mut self, on_end: OnEnd) {
        self.on_end = Some(on_end);
    }

    fn report_end(&mut self, complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(complete);
        }
    }

    /// Subtracts bytes that have been read. The last byte of a body of known length ends the stream here, because hyper
    /// does not poll the stream again after it.
    fn record_read(&mut self, bytes: usize) {
        let Some(remaining) = &mut self.remaining else { return };
        *remaining = remaining.saturating_sub(bytes as u64);
        if *remaining == 0 {
            self.report_end(true);
        }
    }
}

impl Body for BodyStream {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        if self.remaining == Some(0) {
            return Poll::Ready(None);
        }
        match ready!(self.chunks.poll_recv(cx)) {
            Some(BodyChunk::Data(data, _reservation)) => {
                self.record_read(data.len());
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(BodyChunk::End) if self.remaining.is_none() => {
                self.report_end(true);
                Poll::Ready(None)
            }
            Some(BodyChunk::End) | None => {
                self.report_end(false);
                Poll::Ready(Some(Err(IncompleteBody)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

#[cfg(test)]
mod tests;
