//! Streamed bodies: a body that is too long to be buffered is forwarded chunk by chunk.
//!
//! Each stream has a window of its own: so many bytes may have been read from the one peer and not yet been taken by the
//! other. A slow peer uses up the window of its own stream, and holds back no other stream.
//!
//! A chunk is a part of the buffer into which it was read, and keeps all of that buffer alive. So a long chunk counts as
//! a whole buffer, and a short one is copied. A sender reserves the room for a buffer before it asks for the next chunk,
//! so that no chunk waits outside of the window.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::memory::{BufferSizes, BufferedPart, reserved_bytes};

/// Longest request or response body that is forwarded, in bytes.
pub const MAX_BODY_BYTES: u64 = 36 << 20;

/// Minimum average rate, in bytes per second, at which a peer has to send a body: half of the rate that slow peers
/// sustain.
pub const MIN_PEER_BYTES_PER_SECOND: f64 = 32.0 * 1024.0;

/// A chunk of a streamed body. If the channel closes without an `End`, the body is incomplete.
enum BodyChunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The reader of a stream has stopped before its end.
#[derive(Debug, thiserror::Error)]
#[error("the reader of the body has stopped")]
pub struct ReaderStopped;

/// The sending end of a [`BodyStream`].
pub struct BodySender {
    chunks: mpsc::Sender<BodyChunk>,
    /// A permit for each byte of the window that is not in use.
    window: Arc<Semaphore>,
    buffers: BufferSizes,
}

/// Room for one chunk in the window of a stream.
pub struct ChunkRoom(OwnedSemaphorePermit);

impl BodySender {
    /// Waits until there is room for one chunk as long as a read buffer.
    pub async fn room(&self) -> Result<ChunkRoom, ReaderStopped> {
        tokio::select! {
            biased;
            room = self.acquire(self.buffers.read_buffer()) => room.map(ChunkRoom),
            () = self.chunks.closed() => Err(ReaderStopped),
        }
    }

    /// Sends a part of the body that is no longer than a read buffer.
    pub async fn send(&self, data: Bytes, room: ChunkRoom) -> Result<(), ReaderStopped> {
        let ChunkRoom(mut room) = room;
        if data.is_empty() {
            return Ok(());
        }
        if data.len() >= self.buffers.read_buffer() / 2 {
            return self.send_data(reserved_bytes(data, room)).await;
        }
        let Some(used) = room.split(data.len()) else { return Ok(()) };
        drop(room);
        self.send_data(reserved_bytes(Box::<[u8]>::from(&*data), used)).await
    }

    /// Sends a part of the body that was buffered before: outside of the window if it has a reservation of its own.
    /// Without one it takes up the window as far as it can.
    pub async fn send_buffered(&self, part: BufferedPart) -> Result<(), ReaderStopped> {
        if part.bytes.is_empty() {
            return Ok(());
        }
        if part.reservation.is_some() {
            return self.send_data(part.into_bytes()).await;
        }
        let room = self.acquire(part.bytes.len().min(self.buffers.stream_window())).await?;
        self.send_data(reserved_bytes(part.bytes, room)).await
    }

    async fn send_data(&self, data: Bytes) -> Result<(), ReaderStopped> {
        self.chunks.send(BodyChunk::Data(data)).await.map_err(|_| ReaderStopped)
    }

    async fn acquire(&self, bytes: usize) -> Result<OwnedSemaphorePermit, ReaderStopped> {
        let permits = bytes as u32; // never truncates: the window is far smaller than u32::MAX
        self.window.clone().acquire_many_owned(permits).await.map_err(|_| ReaderStopped)
    }

    /// Ends a complete body.
    pub async fn end(&self) {
        let _ = self.chunks.send(BodyChunk::End).await; // fails if a reader that knows the length has stopped
    }
}

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
    /// Creates a stream and its sending end. `length` is the length of the complete body, if it is known; the window
    /// fits these buffers.
    pub fn new(length: Option<u64>, buffers: BufferSizes) -> (BodySender, Self) {
        let (sender, chunks) = mpsc::channel(1);
        let window = Arc::new(Semaphore::new(buffers.stream_window()));
        let sender = BodySender { chunks: sender, window, buffers };
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
            Some(BodyChunk::Data(data)) => {
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
