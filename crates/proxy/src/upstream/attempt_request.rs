//! Prepares a request for one attempt: its headers, its body and the timeout header for the backend.

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

/// Header that tells the backend how many seconds this proxy waits for the response.
const TIMEOUT_HEADER: &str = "x-timeout";
/// Headers that an attempt and the HTTP library add to those of the request.
const ADDED_HEADERS: usize = 2;

/// A request prepared for one attempt.
pub(super) struct AttemptRequest {
    pub(super) request: Request<MessageBody>,
    /// Length of the body in bytes, or `UNKNOWN_LENGTH`.
    pub(super) body_length: usize,
    /// How long the proxy waits for the response; `None` for a streamed body, whose timeout starts at its last byte.
    pub(super) timeout: Option<Duration>,
}

/// A body prepared for one attempt.
struct AttemptBody {
    body: MessageBody,
    /// Length of the body in bytes, or `UNKNOWN_LENGTH`.
    length: usize,
    /// How long the proxy waits for the response.
    response_timeout: Duration,
}

impl AttemptRequest {
    /// Prepares a request for an attempt. The response must arrive by `deadline` if the body is buffered; the timeout
    /// for a streamed body comes from its `Upload`. Returns `None` if an earlier attempt has taken the streamed body.
    pub(super) fn new(
        upstream_request: &UpstreamRequest, deadline: Instant, progress: &Rc<RequestProgress>,
    ) -> Option<Self> {
        let AttemptBody { body, length, response_timeout } =
            AttemptBody::new(&upstream_request.body, deadline, progress)?;
        let mut request = Request::new(body);
        *request.method_mut() = upstream_request.method.clone();
        *request.uri_mut() = upstream_request.uri.clone();
        *request.headers_mut() = upstream_request.headers(ADDED_HEADERS);
        let seconds = HeaderValue::from_str(&format!("{:.3}", response_timeout.as_secs_f64())).ok()?;
        request.headers_mut().insert(TIMEOUT_HEADER, seconds);
        let is_buffered = matches!(upstream_request.body, RequestBody::Buffered(_));
        if !is_buffered {
            upstream_request.release_content(); // only one attempt can send a streamed body
        }
        let timeout = is_buffered.then_some(response_timeout);
        Some(AttemptRequest { request, body_length: length, timeout })
    }
}

impl AttemptBody {
    fn new(body: &RequestBody, deadline: Instant, progress: &Rc<RequestProgress>) -> Option<Self> {
        match body {
            RequestBody::Buffered(bytes) => {
                let bytes = bytes.borrow().clone();
                Some(AttemptBody {
                    response_timeout: deadline.saturating_duration_since(Instant::now()),
                    length: bytes.len(),
                    body: Either::Left(Full::new(bytes)),
                })
            }
            RequestBody::Streamed(upload) => {
                let response_timeout = upload.response_deadline().saturating_duration_since(Instant::now());
                let stream = take_stream(upload, progress)?;
                let length = stream.size_hint().exact().map_or(UNKNOWN_LENGTH, |length| length as usize);
                Some(AttemptBody { body: Either::Right(stream), length, response_timeout })
            }
        }
    }
}

/// Takes the stream of a body for an attempt, and records in `progress` whether the stream ends complete.
fn take_stream(upload: &Upload, progress: &Rc<RequestProgress>) -> Option<BodyStream> {
    let mut stream = upload.stream.borrow_mut().take()?;
    let progress = progress.clone();
    let on_complete = upload.on_complete.clone();
    let clock = upload.clock.clone();
    let client_timeout = upload.client_timeout;
    (upload.on_start)();
    stream.on_end(Box::new(move |complete| {
        if complete {
            progress.record_body_read(clock.client_waits_since() + client_timeout);
            on_complete();
        } else {
            progress.record_body_incomplete();
        }
    }));
    Some(stream)
}
