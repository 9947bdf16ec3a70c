//! Streams responses that are too long to buffer.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::body_memory::MemoryBudget;
use crate::body_stream::{BodyChunk, BodySender, MAX_BODY_BYTES};

/// Longest pause of a backend within a response of which the client already has a part: such a response can't be
/// replaced by another backend's.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a response was not streamed to its end.
#[derive(Debug, thiserror::Error)]
pub(super) enum RelayError {
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("response too long")]
    TooLong,
    #[error("read timed out")]
    ReadTimedOut,
    /// The client reads no more.
    #[error("client disconnected")]
    ClientDisconnected,
}

/// Streams a response's body, of which `read` has been read, as fast as its client reads. Returns once the backend has
/// sent all of it.
pub(super) async fn relay(
    read: Bytes, mut rest: Incoming, sender: BodySender, memory: &MemoryBudget,
) -> Result<(), RelayError> {
    let mut next = read;
    let mut total = 0;
    loop {
        total += next.len() as u64;
        if total > MAX_BODY_BYTES {
            return Err(RelayError::TooLong);
        }
        let reservation = memory.reserve(next.len()).await;
        if !next.is_empty() && sender.send(BodyChunk::Data(next, reservation)).await.is_err() {
            return Err(RelayError::ClientDisconnected);
        }
        match next_chunk(&mut rest).await? {
            Some(data) => next = data,
            None => {
                let _ = sender.send(BodyChunk::End).await; // a reader that knows the length has stopped by now
                return Ok(());
            }
        }
    }
}

/// The data of the next frame, empty for one of trailers; `None` at the end.
async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, RelayError> {
    match timeout(READ_TIMEOUT, body.frame()).await {
        Ok(None) => Ok(None),
        Ok(Some(frame)) => Ok(Some(frame?.into_data().unwrap_or_default())),
        Err(_) => Err(RelayError::ReadTimedOut),
    }
}
