//! Streams responses that are too long or too slow to buffer.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::body_memory::MemoryBudget;
use crate::body_stream::{BodyChunk, BodySender, MAX_BODY_BYTES};

/// How long to wait for the next part of a response of which the client may already have received a part. Another
/// backend's response can't replace it any more.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a response was not streamed to its end.
#[derive(Debug, thiserror::Error)]
pub(super) enum RelayError {
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("response body too long")]
    TooLong,
    #[error("timed out while reading the response body")]
    ReadTimedOut,
    /// The client no longer reads the response.
    #[error("client disconnected")]
    ClientDisconnected,
}

/// Streams a response's body as fast as the client reads: first the bytes in `buffered`, then `rest`. Returns once the
/// whole body has been received and passed on.
pub(super) async fn relay(
    buffered: Bytes, mut rest: Incoming, sender: BodySender, memory: &MemoryBudget,
) -> Result<(), RelayError> {
    let mut next = buffered;
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
                let _ = sender.send(BodyChunk::End).await; // fails if a reader that knows the length has stopped
                return Ok(());
            }
        }
    }
}

/// Reads the next frame. Returns its data, which is empty for a frame of trailers, or `None` at the end of the body.
async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, RelayError> {
    match timeout(CHUNK_TIMEOUT, body.frame()).await {
        Ok(None) => Ok(None),
        Ok(Some(frame)) => Ok(Some(frame?.into_data().unwrap_or_default())),
        Err(_) => Err(RelayError::ReadTimedOut),
    }
}
