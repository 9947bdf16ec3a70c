//! Receives clients' bodies at the pace that a client has to keep, and forwards the rest of those that are streamed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use crate::body_memory::{MemoryBudget, MemoryReservation};
use crate::body_stream::{BodyChunk, BodySender, MAX_BODY_BYTES};

/// The slowest sender that is waited for, in bytes a second; half of what clients keep up.
const MIN_BYTES_PER_SECOND: f64 = 32.0 * 1024.0;
/// By how much a sender may lag behind that, at least.
const MIN_ALLOWED_LAG: Duration = Duration::from_millis(400);
/// Longest pause of a client within a body, once its allowed lag is used up.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Why a client's body is not received any further.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum BodyError {
    /// The client is too slow.
    #[error("body too slow")]
    TooSlow,
    /// The body is malformed or too long.
    #[error("body malformed")]
    Malformed,
}

/// Receives a body, and follows how fast its client sends it. The time for which it is not read does not count.
pub struct BodyReceiver {
    body: Incoming,
    allowed_lag: Duration,
    /// How long the client has been waited for.
    waited: Duration,
    received: usize,
    /// Set once the end has been received.
    ended: Rc<Cell<bool>>,
}

impl BodyReceiver {
    /// A small body has the time that is left for the complete request, until `deadline`. Sets `ended` once its end has
    /// been received.
    pub fn new(body: Incoming, deadline: Instant, ended: Rc<Cell<bool>>) -> Self {
        let remaining = deadline.saturating_duration_since(Instant::now());
        BodyReceiver {
            body,
            allowed_lag: remaining.max(MIN_ALLOWED_LAG),
            waited: Duration::ZERO,
            received: 0,
            ended,
        }
    }

    /// Bytes received.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Bytes still to come, if that is known.
    pub fn remaining(&self) -> Option<u64> {
        hyper::body::Body::size_hint(&self.body).exact()
    }

    /// The next chunk, or `None` at the end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let max_wait = self.max_wait();
            let started_at = Instant::now();
            let frame = timeout(max_wait, self.body.frame()).await;
            self.waited += started_at.elapsed();
            match frame {
                Err(_) => return Err(BodyError::TooSlow),
                Ok(None) => {
                    self.ended.set(true);
                    return Ok(None);
                }
                Ok(Some(Err(_))) => return Err(BodyError::Malformed),
                // Trailers of a chunked body are not forwarded.
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.received += data.len();
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// How long the next chunk is waited for.
    fn max_wait(&self) -> Duration {
        let expected = Duration::from_secs_f64(self.received as f64 / MIN_BYTES_PER_SECOND);
        let until_too_slow = (self.allowed_lag + expected).saturating_sub(self.waited);
        let max_pause = MAX_PAUSE.max(self.allowed_lag.saturating_sub(self.waited));
        until_too_slow.min(max_pause)
    }
}

/// A body of which a part has been received.
pub struct PartialBody {
    /// What has been received.
    pub read: Bytes,
    /// The memory reserved for it.
    pub memory: Option<MemoryReservation>,
    /// Receives the rest.
    pub rest: BodyReceiver,
}

impl PartialBody {
    /// Bytes of the complete body, if that is known.
    pub fn length(&self) -> Option<u64> {
        self.rest.remaining().map(|remaining| self.read.len() as u64 + remaining)
    }
}

/// Forwards a client's body: what has been received of it, then the rest. Returns when the end has been forwarded, when
/// nobody takes more, or with what the client did wrong.
pub async fn forward_body(
    body: PartialBody, sender: BodySender, memory: MemoryBudget,
) -> Result<(), BodyError> {
    let PartialBody { read, memory: reservation, mut rest } = body;
    if sender.send(BodyChunk::Data(read, reservation)).await.is_err() {
        return Ok(());
    }
    while let Some(data) = rest.next().await? {
        if rest.received() as u64 > MAX_BODY_BYTES {
            return Err(BodyError::Malformed);
        }
        let reservation = memory.reserve(data.len()).await;
        if sender.send(BodyChunk::Data(data, reservation)).await.is_err() {
            return Ok(());
        }
    }
    let _ = sender.send(BodyChunk::End).await; // a reader that knows the length has stopped by now
    Ok(())
}
