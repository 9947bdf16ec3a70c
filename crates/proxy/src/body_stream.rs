//! Streamed bodies: those too long to be buffered are forwarded chunk by chunk.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::body_memory::MemoryReservation;

/// Longest body in either direction, in bytes.
pub const MAX_BODY_BYTES: u64 = 36 << 20;

/// A chunk of a body. A body whose chunks stop without `End` is incomplete.
pub enum BodyChunk {
    /// Bytes, and the memory reserved for them.
    Data(Bytes, Option<MemoryReservation>),
    /// The body is complete.
    End,
}

/// The sending end of a [`BodyStream`].
pub type BodySender = mpsc::Sender<BodyChunk>;

/// Called once with whether the stream ended complete. Dropped without a call if nobody reads to the end.
pub type OnEnd = Box<dyn FnOnce(bool)>;

/// A body that is received while it is sent.
pub struct BodyStream {
    chunks: mpsc::Receiver<BodyChunk>,
    /// Bytes to come, if that is known.
    remaining: Option<u64>,
    on_end: Option<OnEnd>,
}

/// The sender of a body has not finished it.
#[derive(Debug, thiserror::Error)]
#[error("body incomplete")]
pub struct IncompleteBody;

impl BodyStream {
    /// A stream and its sending end. The length is that of the complete body, if it is known.
    pub fn new(length: Option<u64>) -> (BodySender, Self) {
        let (sender, chunks) = mpsc::channel(1);
        let stream = BodyStream { chunks, remaining: length, on_end: None };
        (sender, stream)
    }

    /// Sets what is called when the stream ends.
    pub fn on_end(&mut self, on_end: OnEnd) {
        self.on_end = Some(on_end);
    }

    fn end(&mut self, complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(complete);
        }
    }

    /// Counts bytes of the body. With the last one of a known length the stream has ended: it is not polled again.
    fn count(&mut self, bytes: usize) {
        let Some(remaining) = &mut self.remaining else { return };
        *remaining = remaining.saturating_sub(bytes as u64);
        if *remaining == 0 {
            self.end(true);
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
                self.count(data.len());
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(BodyChunk::End) if self.remaining.is_none() => {
                self.end(true);
                Poll::Ready(None)
            }
            Some(BodyChunk::End) | None => {
                self.end(false);
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
