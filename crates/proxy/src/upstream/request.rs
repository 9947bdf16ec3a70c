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
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers only.
    pub headers: HeaderMap,
    /// The body, buffered or still being received.
    pub body: RequestBody,
    /// Asks the system whether the client has disconnected by now.
    pub client_disconnected: Box<dyn Fn() -> bool>,
}

/// A request's body.
pub enum RequestBody {
    /// Received completely before the request is sent.
    Buffered {
        /// The complete body.
        bytes: Bytes,
        /// Its part of the memory for bodies, unless it is small.
        _memory: Option<MemoryReservation>,
    },
    /// Still being received while it is sent.
    Streamed(Upload),
}

/// A body that is still being received while it is sent.
pub struct Upload {
    /// Taken by the attempt that sends it.
    pub stream: RefCell<Option<BodyStream>>,
    /// When the client stops waiting, unless an attempt starts to read the body before.
    pub response_deadline: Instant,
    /// Called when an attempt starts to read it, with how long the client waits for the response from the last byte
    /// on.
    pub on_start: Box<dyn Fn(Duration)>,
    /// Called when the last byte has been read.
    pub on_complete: Rc<dyn Fn()>,
}

impl UpstreamRequest {
    /// The request's id; empty if it has none that can be printed.
    pub fn request_id(&self) -> &str {
        self.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// Whether another attempt can send it: a streamed body can be sent by one attempt only.
    pub fn is_replayable(&self) -> bool {
        match &self.body {
            RequestBody::Buffered { .. } => true,
            RequestBody::Streamed(upload) => upload.stream.borrow().is_some(),
        }
    }
}
