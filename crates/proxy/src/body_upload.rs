//! Receives request bodies, enforces a minimum rate on clients, and forwards the rest of streamed bodies.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::body_stream::{BodySender, MAX_BODY_BYTES, MIN_PEER_BYTES_PER_SECOND, ReaderStopped};
use crate::memory::BufferedPart;
use crate::socket::receive_buffer_size;
use crate::upload_clock::UploadClock;

/// Minimum time by which a client may lag behind that rate.
const MIN_ALLOWED_LAG: Duration = Duration::from_millis(400);
/// Longest wait for the next chunk of a body once the client has used up its allowed lag.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Why receiving a client's body was aborted.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum BodyError {
    /// The client sends more slowly than the minimum rate.
    #[error("body too slow")]
    TooSlow,
    /// The body is malformed or too long.
    #[error("body malformed")]
    Malformed,
}

/// Receives a body and checks how fast its client sends it. Only time spent waiting for the client counts; time
/// during which the proxy does not read is excluded.
pub struct BodyReceiver {
    body: Incoming,
    /// Time by which the client may lag behind the minimum rate.
    allowed_lag: Duration,
    /// Total time spent waiting for chunks.
    time_waited: Duration,
    /// Bytes received.
    bytes_received: usize,
    /// Set to true once the end of the body has been received.
    has_ended: Rc<Cell<bool>>,
    /// The clock that determines since when the client may be waiting for its response.
    clock: Rc<UploadClock>,
    /// The client's socket.
    stream: Rc<TcpStream>,
}

impl BodyReceiver {
    /// Creates a receiver that sets `has_ended` once it has received the end of the body, and informs `clock` of its
    /// progress. The client may lag behind the minimum rate by the time left until `deadline`, so a small body may take
    /// until the deadline of the complete request.
    pub fn new(
        body: Incoming, deadline: Instant, has_ended: Rc<Cell<bool>>, clock: Rc<UploadClock>,
        stream: Rc<TcpStream>,
    ) -> Self {
        let remaining = deadline.saturating_duration_since(Instant::now());
        BodyReceiver {
            body,
            allowed_lag: remaining.max(MIN_ALLOWED_LAG),
            time_waited: Duration::ZERO,
            bytes_received: 0,
            has_ended,
            clock,
            stream,
        }
    }

    /// The number of bytes received.
    pub fn bytes_received(&self) -> usize {
        self.bytes_received
    }

    /// The number of bytes still to be received, if the body's length is known.
    pub fn bytes_remaining(&self) -> Option<u64> {
        hyper::body::Body::size_hint(&self.body).exact()
    }

    /// Receives the next chunk; `None` at the end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let max_wait = self.max_wait();
            let started_at = Instant::now();
            self.clock.set_awaits_client(!hyper::body::Body::is_end_stream(&self.body));
            let frame = timeout(max_wait, self.body.frame()).await;
            self.clock.set_awaits_client(false);
            self.time_waited += started_at.elapsed();
            match frame {
                Err(_) => return Err(BodyError::TooSlow),
                Ok(None) => {
                    self.has_ended.set(true);
                    return Ok(None);
                }
                Ok(Some(Err(_))) => return Err(BodyError::Malformed),
                // Trailers of a chunked body are not forwarded.
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.bytes_received += data.len();
                        self.record_remaining();
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Informs the clock of how much of a body of known length has not been received.
    fn record_remaining(&self) {
        if let Some(remaining) = self.bytes_remaining() {
            self.clock.record_remaining(remaining, || receive_buffer_size(&self.stream));
        }
    }

    /// The longest time to wait for the next chunk.
    fn max_wait(&self) -> Duration {
        let expected = Duration::from_secs_f64(self.bytes_received as f64 / MIN_PEER_BYTES_PER_SECOND);
        let until_too_slow = (self.allowed_lag + expected).saturating_sub(self.time_waited);
        let max_pause = MAX_PAUSE.max(self.allowed_lag.saturating_sub(self.time_waited));
        until_too_slow.min(max_pause)
    }
}

/// A body of which only a part has been received.
pub struct PartialBody {
    /// The part that has been received.
    pub received: BufferedPart,
    /// The receiver of the rest.
    pub rest: BodyReceiver,
}

impl PartialBody {
    /// The length of the complete body in bytes, if it is known.
    pub fn length(&self) -> Option<u64> {
        self.rest.bytes_remaining().map(|remaining| self.received.bytes.len() as u64 + remaining)
    }
}

/// Forwards a client's body: first the part already received, then the rest as it arrives. Returns once the end has
/// been forwarded or the reader has dropped the stream, or with an error if the client sends the body too slowly or
/// malformed.
pub async fn forward_body(body: PartialBody, sender: BodySender) -> Result<(), BodyError> {
    let PartialBody { received, rest } = body;
    match sender.send_buffered(received).await {
        Ok(()) => forward_rest(rest, &sender).await,
        Err(ReaderStopped) => Ok(()),
    }
}

async fn forward_rest(mut rest: BodyReceiver, sender: &BodySender) -> Result<(), BodyError> {
    while let Ok(room) = sender.room().await {
        let Some(data) = rest.next().await? else {
            sender.end().await;
            return Ok(());
        };
        if rest.bytes_received() as u64 > MAX_BODY_BYTES {
            return Err(BodyError::Malformed);
        }
        if sender.send(data, room).await.is_err() {
            break;
        }
    }
    Ok(())
}
