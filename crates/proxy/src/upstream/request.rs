//! A client's request in the form in which it is sent to backends.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::time::Instant;

use crate::body_memory::MemoryReservation;
use crate::body_stream::BodyStream;

/// A body as it is written to a socket: buffered or streamed.
pub type MessageBody = Either<Full<Bytes>, BodyStream>;

/// A client's request in the form in which it is sent to backends; shared by all of its attempts.
pub struct UpstreamRequest {
    /// The client's method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The end-to-end headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body, buffered or still being received.
    pub body: RequestBody,
    /// Asks the operating system whether the client has disconnected.
    pub client_disconnected: Box<dyn Fn() -> bool>,
}

/// A request's body.
pub enum RequestBody {
    /// A body that was received completely before the request is sent.
    Buffered {
        /// The complete body.
        bytes: Bytes,
        /// The reservation in the body memory; `None` for a small body.
        _memory: Option<MemoryReservation>,
    },
    /// A body that is still being received while it is sent.
    Streamed(Upload),
}

/// A body that is still being received while it is sent.
pub struct Upload {
    /// The stream of the body; `None` once an attempt has taken it.
    pub stream: RefCell<Option<BodyStream>>,
    /// When the client stops waiting for a response, as long as no attempt has started to read the body.
    pub response_deadline: Instant,
    /// Called when an attempt starts to read the body, with the time that the client waits for the response, counted
    /// from the body's last byte.
    pub on_start: Box<dyn Fn(Duration)>,
    /// Called when an attempt has read the body's last byte.
    pub on_complete: Rc<dyn Fn()>,
}

impl UpstreamRequest {
    /// The request's id; empty if the header is missing or not printable ASCII.
    pub fn request_id(&self) -> &str {
        self.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// Whether another attempt can send this request. Only one attempt can send a streamed body.
    pub fn is_replayable(&self) -> bool {
        match &self.body {
            RequestBody::Buffered { .. } => true,
            RequestBody::Streamed(upload) => upload.stream.borrow().is_some(),
        }
    }
}
