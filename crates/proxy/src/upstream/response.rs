//! A backend's response in the form in which the driver receives it.

use hyper::StatusCode;
use hyper::header::HeaderMap;
use tokio::time::Instant;

use super::request::MessageBody;

/// A backend's response.
pub struct UpstreamResponse {
    /// When its first bytes arrived. Latency is measured up to here, however long the rest takes.
    pub started_at: Instant,
    /// Its status code.
    pub status: StatusCode,
    /// End-to-end headers only.
    pub headers: HeaderMap,
    /// The body, buffered or still being received.
    pub body: MessageBody,
}
