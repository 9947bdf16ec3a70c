//! Streamed bodies: those too long to be buffered go on chunk by chunk, and the memory of all chunks is bounded.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, timeout};

/// Bytes of the longest body in either direction.
pub const MAX_BODY: u64 = 36 << 20;
/// The slowest sender that is waited for, in bytes a second; half of what clients keep up.
const PACE: f64 = 32.0 * 1024.0;
/// By how much it may lag behind that at least.
const LAG: Duration = Duration::from_millis(400);
/// Longest silence of a client within a body, after its lag.
const GAP: Duration = Duration::from_secs(1);

/// A bound on the memory of bodies.
#[derive(Clone)]
pub struct Pool(Arc<Semaphore>);

/// Memory for all bodies that are not small. Slow clients must not take that of streamed bodies.
pub struct Memory {
    /// For the chunks of streamed bodies.
    pub pieces: Pool,
    /// For what is read ahead.
    pub ahead: Pool,
}

/// Memory of a pool, reserved until this is dropped.
pub type MemoryReservation = OwnedSemaphorePermit;

impl Pool {
    pub fn new(bytes: usize) -> Self {
        Pool(Arc::new(Semaphore::new((bytes >> 10).max(64))))
    }

    fn permits(bytes: usize) -> u32 {
        bytes.div_ceil(1 << 10) as u32 // a chunk is far smaller than a u32 can count
    }

    /// Waits until this much can be reserved.
    pub async fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.0.clone().acquire_many_owned(Self::permits(bytes)).await.ok()
    }

    /// Reserves this much if it is free now.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.0.clone().try_acquire_many_owned(Self::permits(bytes)).ok()
    }
}

/// A chunk of a body. A body whose chunks stop without `End` is incomplete.
pub enum BodyChunk {
    Data(Bytes, Option<MemoryReservation>),
    End,
}

/// The sending end of a [`BodyStream`].
pub type BodySender = mpsc::Sender<BodyChunk>;

/// Called once with whether the stream ended complete. Dropped without a call if nobody reads to the end.
pub type AtEnd = Box<dyn FnOnce(bool)>;

/// A body that is received while it is sent.
pub struct BodyStream {
    chunks: mpsc::Receiver<BodyChunk>,
    /// Bytes to come, where that is known.
    remaining: Option<u64>,
    at_end: Option<AtEnd>,
}

impl BodyStream {
    pub fn new(length: Option<u64>) -> (BodySender, Self) {
        let (sender, chunks) = mpsc::channel(1);
        (sender, BodyStream { chunks, remaining: length, at_end: None })
    }

    pub fn at_end(&mut self, at_end: AtEnd) {
        self.at_end = Some(at_end);
    }

    fn end(&mut self, whole: bool) {
        if let Some(at_end) = self.at_end.take() {
            at_end(whole);
        }
    }
}

/// The sender of a body has not finished it.
#[derive(Debug)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the body is not whole")
    }
}

impl std::error::Error for Broken {}

impl Body for BodyStream {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if self.remaining == Some(0) {
            return Poll::Ready(None);
        }
        match ready!(self.chunks.poll_recv(cx)) {
            Some(BodyChunk::Data(data, _reservation)) => {
                if let Some(remaining) = &mut self.remaining {
                    *remaining = remaining.saturating_sub(data.len() as u64);
                    if *remaining == 0 {
                        self.end(true); // it is not asked for more
                    }
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(BodyChunk::End) if self.remaining.is_none() => {
                self.end(true);
                Poll::Ready(None)
            }
            Some(BodyChunk::End) | None => {
                self.end(false);
                Poll::Ready(Some(Err(Broken)))
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

/// Why a sender's body does not go on.
#[derive(Debug, PartialEq)]
pub enum Fault {
    Slow,
    Malformed,
}

/// Follows how fast a client sends its body. The time for which it is not read does not count.
pub struct Pace {
    /// By how much it may lag.
    lag: Duration,
    waited: Duration,
    got: usize,
}

impl Pace {
    /// A body that is small has the time that is left for the whole request, until `due`.
    pub fn new(due: Instant) -> Self {
        let lag = due.saturating_duration_since(Instant::now()).max(LAG);
        Pace { lag, waited: Duration::ZERO, got: 0 }
    }

    /// Bytes that have come.
    pub fn got(&self) -> usize {
        self.got
    }

    /// The next piece, or `None` at the end.
    pub async fn next(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, Fault> {
        loop {
            let due = self.lag + Duration::from_secs_f64(self.got as f64 / PACE);
            let gap = GAP.max(self.lag.saturating_sub(self.waited));
            let begun = Instant::now();
            let frame = timeout(due.saturating_sub(self.waited).min(gap), body.frame()).await;
            self.waited += begun.elapsed();
            match frame {
                Err(_) => return Err(Fault::Slow),
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(Fault::Malformed),
                // What follows a chunked body as trailers goes no further.
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.got += data.len();
                        return Ok(Some(data));
                    }
                }
            }
        }
    }
}

/// Forwards what is still to come of a client's body, after what has been read of it. Returns when the end has been
/// handed on, when nobody takes more, or with what is wrong with the client.
pub async fn forward_body(
    mut body: Incoming, ahead: (Bytes, Option<MemoryReservation>), mut pace: Pace, sender: BodySender,
    pool: Pool,
) -> Result<(), Fault> {
    if sender.send(BodyChunk::Data(ahead.0, ahead.1)).await.is_err() {
        return Ok(());
    }
    while let Some(data) = pace.next(&mut body).await? {
        if pace.got() as u64 > MAX_BODY {
            return Err(Fault::Malformed);
        }
        let reservation = pool.reserve(data.len()).await;
        if sender.send(BodyChunk::Data(data, reservation)).await.is_err() {
            return Ok(());
        }
    }
    let _ = sender.send(BodyChunk::End).await; // who knows the length has left by now
    Ok(())
}

#[cfg(test)]
mod tests;
