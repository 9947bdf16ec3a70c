//! One exchange on a connection: sends a request and reads its response, as far as that is buffered.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response;
use hyper::{Method, Request, StatusCode};
use leadrelay_core::Outcome;
use tokio::time::{Instant, timeout};

use super::headers::remove_hop_by_hop;
use super::request::MessageBody;
use super::request_progress::RequestProgress;
use super::response_progress::STALL_TIMEOUT;
use crate::body_stream::MAX_BODY_BYTES;

/// Longest response that is buffered. Until it is complete another backend's response may take its place.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// A response of unknown length is buffered for this long to see whether it is short.
const BUFFERING_TIME: Duration = Duration::from_millis(100);

/// How an exchange ended.
pub(super) struct Exchange {
    pub(super) outcome: Outcome,
    /// The response, if clients may see it.
    pub(super) response: Option<BackendResponse>,
    /// Whether the connection can carry another request.
    pub(super) reusable: bool,
}

/// A backend's response, its body as far as it is buffered.
pub(super) struct BackendResponse {
    /// When its first bytes arrived.
    pub(super) started_at: Instant,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: ResponseBody,
}

/// A response's body, as far as it has been read.
pub(super) enum ResponseBody {
    Complete(Bytes),
    /// Too long or too slow to be buffered.
    Partial {
        read: Bytes,
        rest: Incoming,
    },
}

/// Why an exchange gave no usable response.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("response served before the request was complete")]
    ServedIncompleteRequest,
    #[error("response too long")]
    TooLong,
    #[error("response stalled")]
    Stalled,
}

/// Sends a request and reads its response. With `any_status_serves`, any response but a server's error counts as
/// served, and errors are passed on as the backend worded them.
pub(super) async fn exchange(
    sender: &mut SendRequest<MessageBody>, request: Request<MessageBody>, progress: &RequestProgress,
    any_status_serves: bool,
) -> Result<Exchange, ExchangeError> {
    let is_head = request.method() == Method::HEAD;
    let response = sender.send_request(request).await?;
    let started_at = progress.response.started_at().unwrap_or_else(Instant::now);
    let (head, body) = response.into_parts();
    // By the platform's protocol a request starts with its last byte: what is served before that is an earlier one.
    let early = progress.response.is_early() && !any_status_serves;
    if early && head.status == StatusCode::OK {
        return Err(ExchangeError::ServedIncompleteRequest);
    }
    let body = read_body(body).await?;
    let complete = matches!(body, ResponseBody::Complete(_));
    let reusable = complete && !early && head.status != StatusCode::SWITCHING_PROTOCOLS;
    if is_served(head.status, any_status_serves) {
        let response = BackendResponse::new(started_at, head, body, is_head);
        return Ok(Exchange { outcome: Outcome::Served, response: Some(response), reusable: true });
    }
    if is_rejection(head.status, &head.headers) {
        return Ok(Exchange { outcome: Outcome::Rejected, response: None, reusable });
    }
    let visible = any_status_serves && reusable;
    let response = visible.then(|| BackendResponse::new(started_at, head, body, is_head));
    Ok(Exchange { outcome: Outcome::Error, response, reusable })
}

fn is_served(status: StatusCode, any_status_serves: bool) -> bool {
    let is_server_error = status.as_u16() >= 500;
    let counts = any_status_serves && !is_server_error && status != StatusCode::SWITCHING_PROTOCOLS;
    status == StatusCode::OK || counts
}

/// Whether a backend says that it has not processed the request.
fn is_rejection(status: StatusCode, headers: &HeaderMap) -> bool {
    let mut marks = headers.get_all("x-not-processed").iter();
    let marked = marks.next().is_some_and(|mark| mark.as_bytes().trim_ascii() == b"1");
    let marked_once = marked && marks.next().is_none();
    marked_once && matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
}

impl BackendResponse {
    fn new(started_at: Instant, head: response::Parts, body: ResponseBody, is_head: bool) -> Self {
        let mut headers = head.headers;
        // The length in a response to HEAD is that of the body which GET would give.
        let length: Option<HeaderValue> = headers.get(header::CONTENT_LENGTH).filter(|_| is_head).cloned();
        remove_hop_by_hop(&mut headers);
        headers.extend(length.map(|length| (header::CONTENT_LENGTH, length)));
        BackendResponse { started_at, status: head.status, headers, body }
    }
}

/// Reads a body, if it is short enough to be buffered.
async fn read_body(body: Incoming) -> Result<ResponseBody, ExchangeError> {
    match body.size_hint().exact() {
        Some(length) if length > MAX_BODY_BYTES => Err(ExchangeError::TooLong),
        Some(length) if length > MAX_BUFFERED_BYTES as u64 => {
            Ok(ResponseBody::Partial { read: Bytes::new(), rest: body })
        }
        _ => buffer_body(body).await,
    }
}

/// Reads a body until it is complete, or too long or too slow to be buffered.
async fn buffer_body(mut body: Incoming) -> Result<ResponseBody, ExchangeError> {
    let known_length = body.size_hint().exact().is_some();
    let started_at = Instant::now();
    let mut read = BytesMut::new();
    loop {
        let frame = timeout(STALL_TIMEOUT, body.frame()).await.map_err(|_| ExchangeError::Stalled)?;
        let Some(frame) = frame else { return Ok(ResponseBody::Complete(read.freeze())) };
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
        let too_slow = !known_length && started_at.elapsed() > BUFFERING_TIME;
        if read.len() > MAX_BUFFERED_BYTES || too_slow {
            return Ok(ResponseBody::Partial { read: read.freeze(), rest: body });
        }
    }
}
