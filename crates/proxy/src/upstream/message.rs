//! The messages exchanged with backends: a request on its way out, and a backend's reply.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Body as _;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use tokio::time::Instant;

use super::request_progress::{RequestProgress, UNKNOWN_LENGTH};
use crate::body_stream::{BodyStream, MemoryReservation};

/// A client's request in the form in which it is sent to backends.
pub struct Outgoing {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
    /// Asks the system whether the client has disconnected by now.
    pub client_disconnected: Box<dyn Fn() -> bool>,
}

/// A request's body.
pub enum RequestBody {
    /// Read to its end before the request is sent.
    Buffered {
        bytes: Bytes,
        /// Its share of the memory for bodies, unless it is small.
        _memory: Option<MemoryReservation>,
    },
    /// Still being received while it is sent.
    Streamed(Upload),
}

/// A body that is still being received while it is sent.
pub struct Upload {
    /// Taken by the attempt that sends it.
    pub stream: RefCell<Option<BodyStream>>,
    /// When the client's time is over, unless an attempt reads the body on before.
    pub answer_by: Instant,
    /// Called when an attempt begins to take it, with how long the client waits for its answer from the last byte on.
    pub on_begin: Box<dyn Fn(Duration)>,
    /// Called when the last byte has been taken.
    pub on_complete: Rc<dyn Fn()>,
}

/// A body as it is written to a socket: buffered or streamed.
pub type MessageBody = Either<Full<Bytes>, BodyStream>;

/// A backend's answer.
pub struct Reply {
    /// When its first bytes arrived. Latency is measured up to here, whatever time the rest takes.
    pub begun: Instant,
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: MessageBody,
}

/// A request for one attempt.
pub(super) struct AttemptRequest {
    pub(super) request: Request<MessageBody>,
    /// Bytes of its body, or `UNKNOWN_LENGTH`.
    pub(super) body_length: usize,
    /// The time that its backend is told, unless that begins only with the body's last byte.
    pub(super) timeout: Option<Duration>,
}

impl Outgoing {
    /// The request's id; empty if it has none that can be shown.
    pub fn request_id(&self) -> &str {
        self.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// Whether a streamed body has been handed to an attempt, so that no other can send it.
    pub fn is_spent(&self) -> bool {
        matches!(&self.body, RequestBody::Streamed(upload) if upload.stream.borrow().is_none())
    }

    /// The request for one attempt; `None` if the body is spent. `X-Timeout` tells the backend how long this proxy
    /// will wait.
    pub(super) fn for_attempt(
        &self, deadline: Instant, progress: &Rc<RequestProgress>,
    ) -> Option<AttemptRequest> {
        let (body, body_length, answer_timeout) = match &self.body {
            RequestBody::Buffered { bytes, .. } => {
                let remaining = deadline.saturating_duration_since(Instant::now());
                (Either::Left(Full::new(bytes.clone())), bytes.len(), remaining)
            }
            RequestBody::Streamed(upload) => {
                let patience = upload.answer_by.saturating_duration_since(Instant::now());
                let stream = upload.take_stream(progress, patience)?;
                let length = stream.size_hint().exact().map_or(UNKNOWN_LENGTH, |length| length as usize);
                (Either::Right(stream), length, patience)
            }
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let seconds = HeaderValue::from_str(&format!("{:.3}", answer_timeout.as_secs_f64())).ok()?;
        request.headers_mut().insert("x-timeout", seconds);
        let timeout = matches!(self.body, RequestBody::Buffered { .. }).then_some(answer_timeout);
        Some(AttemptRequest { request, body_length, timeout })
    }
}

impl Upload {
    /// Takes the stream for an attempt, whose progress is told how the stream ends.
    fn take_stream(&self, progress: &Rc<RequestProgress>, patience: Duration) -> Option<BodyStream> {
        let mut stream = self.stream.borrow_mut().take()?;
        let (progress, on_complete) = (progress.clone(), self.on_complete.clone());
        (self.on_begin)(patience);
        stream.at_end(Box::new(move |complete| {
            if complete {
                progress.body_taken(Instant::now() + patience);
                on_complete();
            } else {
                progress.body_failed.set(true);
            }
        }));
        Some(stream)
    }
}
