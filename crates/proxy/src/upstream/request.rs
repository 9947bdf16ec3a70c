//! A client's request in the form in which it is sent to backends.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::time::Instant;

use super::stored_headers::StoredHeaders;
use crate::body_stream::BodyStream;
use crate::upload_clock::UploadClock;

/// A body as it is written to a socket: buffered or streamed.
pub type MessageBody = Either<Full<Bytes>, BodyStream>;

/// A client's request in the form in which it is sent to backends; shared by all of its attempts.
pub struct UpstreamRequest {
    /// The client's method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The request's id; empty if the header is missing or not printable ASCII.
    id: String,
    /// The end-to-end headers, without hop-by-hop headers; empty once no attempt needs them any more.
    headers: RefCell<StoredHeaders>,
    /// The body, buffered or still being received.
    pub body: RequestBody,
    /// Asks the operating system whether the client has disconnected.
    pub client_disconnected: Box<dyn Fn() -> bool>,
}

/// A request's body.
pub enum RequestBody {
    /// A body that was received completely before the request is sent; empty once no attempt needs it any more.
    Buffered(RefCell<Bytes>),
    /// A body that is still being received while it is sent.
    Streamed(Upload),
}

/// A body that is still being received while it is sent.
pub struct Upload {
    /// The stream of the body; `None` once an attempt has taken it.
    pub stream: RefCell<Option<BodyStream>>,
    /// Determines since when the client may be waiting for the response.
    pub clock: Rc<UploadClock>,
    /// How long the client waits for the response after the body's last byte.
    pub client_timeout: Duration,
    /// Called when an attempt starts to read the body.
    pub on_start: Box<dyn Fn()>,
    /// Called with `true` when the backend has taken no bytes of the body for a while, and with `false` when it goes on.
    pub on_stall: Box<dyn Fn(bool)>,
    /// Called when an attempt has read the body's last byte.
    pub on_complete: Rc<dyn Fn()>,
}

impl Upload {
    /// The earliest time at which the client may stop waiting for the response, as far as is known now. While the
    /// client still writes the body, this time moves on.
    pub fn response_deadline(&self) -> Instant {
        self.clock.client_waits_since() + self.client_timeout
    }
}

impl UpstreamRequest {
    /// Creates a request with these end-to-end headers. `client_disconnected` asks the operating system whether the
    /// client has disconnected.
    pub fn new(
        method: Method, uri: Uri, headers: HeaderMap, body: RequestBody,
        client_disconnected: Box<dyn Fn() -> bool>,
    ) -> Self {
        let id = headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default();
        let id = id.to_owned();
        UpstreamRequest { method, uri, id, headers: RefCell::new(headers.into()), body, client_disconnected }
    }

    /// The request's id; empty if the header is missing or not printable ASCII.
    pub fn request_id(&self) -> &str {
        &self.id
    }

    /// The headers, with room for `additional` more.
    pub(super) fn headers(&self, additional: usize) -> HeaderMap {
        self.headers.borrow().to_map(additional)
    }

    /// Releases the memory of the headers and of a buffered body, because no further attempt will be made.
    pub(super) fn release_content(&self) {
        self.headers.take();
        if let RequestBody::Buffered(bytes) = &self.body {
            bytes.take();
        }
    }

    /// The upload of a streamed body; `None` for a buffered one.
    pub fn upload(&self) -> Option<&Upload> {
        match &self.body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(upload) => Some(upload),
        }
    }

    /// Whether another attempt can send this request. Only one attempt can send a streamed body.
    pub fn is_replayable(&self) -> bool {
        self.upload().is_none_or(|upload| upload.stream.borrow().is_some())
    }
}
