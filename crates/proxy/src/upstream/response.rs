//! A backend's response as the driver receives it.

use hyper::StatusCode;
use hyper::header::HeaderMap;
use tokio::time::Instant;

use super::request::MessageBody;

/// A backend's response as the driver receives it.
pub struct UpstreamResponse {
    /// When the first bytes of the response arrived. Latency is measured up to this time, however long the rest takes.
    pub first_byte_at: Instant,
    /// The status code.
    pub status: StatusCode,
    /// The end-to-end headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body, buffered or still being received.
    pub body: MessageBody,
}
