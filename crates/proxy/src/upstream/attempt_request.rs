//! Prepares a request for one attempt: its headers, its body and the time that the backend is sent.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{Either, Full};
use hyper::Request;
use hyper::body::Body as _;
use hyper::header::HeaderValue;
use tokio::time::Instant;

use super::request::{MessageBody, RequestBody, Upload, UpstreamRequest};
use super::request_framing::UNKNOWN_LENGTH;
use super::request_progress::RequestProgress;
use crate::body_stream::BodyStream;

/// Tells the backend for how many seconds this proxy will wait.
const TIMEOUT_HEADER: &str = "x-timeout";

/// A request for one attempt.
pub(super) struct AttemptRequest {
    pub(super) request: Request<MessageBody>,
    /// Bytes of its body, or `UNKNOWN_LENGTH`.
    pub(super) body_length: usize,
    /// For how long the response is waited for, unless that time starts only with the body's last byte.
    pub(super) timeout: Option<Duration>,
}

/// A body for one attempt.
struct AttemptBody {
    body: MessageBody,
    length: usize,
    /// For how long the response is waited for.
    response_timeout: Duration,
}

impl AttemptRequest {
    /// Prepares a request whose response is waited for until `deadline`; `None` if its body can't be sent again.
    pub(super) fn new(
        upstream_request: &UpstreamRequest, deadline: Instant, progress: &Rc<RequestProgress>,
    ) -> Option<Self> {
        let AttemptBody { body, length, response_timeout } =
            AttemptBody::new(&upstream_request.body, deadline, progress)?;
        let mut request = Request::new(body);
        *request.method_mut() = upstream_request.method.clone();
        *request.uri_mut() = upstream_request.uri.clone();
        *request.headers_mut() = upstream_request.headers.clone();
        let seconds = HeaderValue::from_str(&format!("{:.3}", response_timeout.as_secs_f64())).ok()?;
        request.headers_mut().insert(TIMEOUT_HEADER, seconds);
        let is_buffered = matches!(upstream_request.body, RequestBody::Buffered { .. });
        let timeout = is_buffered.then_some(response_timeout);
        Some(AttemptRequest { request, body_length: length, timeout })
    }
}

impl AttemptBody {
    fn new(body: &RequestBody, deadline: Instant, progress: &Rc<RequestProgress>) -> Option<Self> {
        match body {
            RequestBody::Buffered { bytes, .. } => Some(AttemptBody {
                response_timeout: deadline.saturating_duration_since(Instant::now()),
                length: bytes.len(),
                body: Either::Left(Full::new(bytes.clone())),
            }),
            RequestBody::Streamed(upload) => {
                let response_timeout = upload.response_deadline.saturating_duration_since(Instant::now());
                let stream = take_stream(upload, progress, response_timeout)?;
                let length = stream.size_hint().exact().map_or(UNKNOWN_LENGTH, |length| length as usize);
                Some(AttemptBody { body: Either::Right(stream), length, response_timeout })
            }
        }
    }
}

/// Takes the stream for an attempt, whose progress is notified how the stream ends.
fn take_stream(
    upload: &Upload, progress: &Rc<RequestProgress>, response_timeout: Duration,
) -> Option<BodyStream> {
    let mut stream = upload.stream.borrow_mut().take()?;
    let progress = progress.clone();
    let on_complete = upload.on_complete.clone();
    (upload.on_start)(response_timeout);
    stream.on_end(Box::new(move |complete| {
        if complete {
            progress.body_taken(Instant::now() + response_timeout);
            on_complete();
        } else {
            progress.body_failed();
        }
    }));
    Some(stream)
}
