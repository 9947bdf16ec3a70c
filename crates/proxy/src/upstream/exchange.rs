//! Runs one exchange on a connection: sends a request and reads as much of the response as is buffered.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response;
use hyper::{Method, Request, StatusCode};
use leadrelay_core::Outcome;
use tokio::time::{Instant, timeout_at};

use super::headers::{remove_hop_by_hop_headers, shrink};
use super::request::MessageBody;
use super::request_progress::RequestProgress;
use super::response_deadline::MAX_SHORT_RESPONSE_BYTES;
use super::response_progress::STALL_TIMEOUT;
use crate::body_stream::MAX_BODY_BYTES;
use crate::memory::{BodyBuffer, BodyBufferLimits, BufferedPart, ProcessMemory, SMALL_RESPONSE_BYTES};

/// How much of a response is buffered. Until its body is complete, the proxy can still replace it by another backend's.
const BUFFERED: BodyBufferLimits =
    BodyBufferLimits { unreserved: SMALL_RESPONSE_BYTES, max: MAX_SHORT_RESPONSE_BYTES };
/// How long a response of unknown length is buffered, in case it turns out to be short.
const BUFFERING_TIME: Duration = Duration::from_millis(100);

/// The result of an exchange.
pub(super) struct Exchange {
    pub(super) outcome: Outcome,
    /// The response, if it may be passed on to the client.
    pub(super) response: Option<BackendResponse>,
    /// Whether the connection can carry another request, after the rest of a partial response body has been read.
    pub(super) reusable: bool,
}

/// A backend's response, with as much of its body as is buffered.
pub(super) struct BackendResponse {
    /// When the first bytes of the response arrived.
    pub(super) first_byte_at: Instant,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: ResponseBody,
}

/// A response's body, either complete or only partly read.
pub(super) enum ResponseBody {
    Complete(Bytes),
    /// A body that is too long or too slow to buffer.
    Partial {
        read: BufferedPart,
        rest: Incoming,
    },
}

/// Why an exchange produced no usable response.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("response with status 200 arrived before the request was complete")]
    ServedIncompleteRequest,
    #[error("response body too long")]
    TooLong,
    #[error("response stalled")]
    Stalled,
}

/// Sends a request and reads its response. With `is_plain_http`, which means that the platform's protocol is not used,
/// every status below 500 except 101 counts as served, and error responses that have been buffered completely are
/// passed on unchanged.
pub(super) async fn exchange(
    sender: &mut SendRequest<MessageBody>, request: Request<MessageBody>, progress: &RequestProgress,
    is_plain_http: bool, memory: &ProcessMemory,
) -> Result<Exchange, ExchangeError> {
    let is_head = request.method() == Method::HEAD;
    let response = sender.send_request(request).await?;
    let first_byte_at = progress.response.first_byte_at().unwrap_or_else(Instant::now);
    let (head, body) = response.into_parts();
    // In the platform's protocol a backend runs a request only after its last byte, so a response with status 200
    // before that byte belongs to an earlier request.
    let is_early = progress.response.is_early() && !is_plain_http;
    if is_early && head.status == StatusCode::OK {
        return Err(ExchangeError::ServedIncompleteRequest);
    }
    let body = read_body(body, memory).await?;
    let is_complete = matches!(body, ResponseBody::Complete(_));
    let reusable = is_complete && !is_early && head.status != StatusCode::SWITCHING_PROTOCOLS;
    if is_served(head.status, is_plain_http) {
        let response = BackendResponse::new(first_byte_at, head, body, is_head);
        return Ok(Exchange { outcome: Outcome::Served, response: Some(response), reusable: true });
    }
    if is_rejection(head.status, &head.headers) {
        return Ok(Exchange { outcome: Outcome::Rejected, response: None, reusable });
    }
    let is_passed_on = is_plain_http && reusable;
    let response = is_passed_on.then(|| BackendResponse::new(first_byte_at, head, body, is_head));
    Ok(Exchange { outcome: Outcome::Error, response, reusable })
}

fn is_served(status: StatusCode, is_plain_http: bool) -> bool {
    let is_server_error = status.as_u16() >= 500;
    let is_served_in_plain_http =
        is_plain_http && !is_server_error && status != StatusCode::SWITCHING_PROTOCOLS;
    status == StatusCode::OK || is_served_in_plain_http
}

/// Whether the response states that the backend has not processed the request.
fn is_rejection(status: StatusCode, headers: &HeaderMap) -> bool {
    let mut marks = headers.get_all("x-not-processed").iter();
    let marked = marks.next().is_some_and(|mark| mark.as_bytes().trim_ascii() == b"1");
    let marked_once = marked && marks.next().is_none();
    marked_once && matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
}

impl BackendResponse {
    fn new(first_byte_at: Instant, head: response::Parts, body: ResponseBody, is_head: bool) -> Self {
        let mut headers = head.headers;
        // The content length in a response to HEAD is that of the body that GET would return.
        let length: Option<HeaderValue> = headers.get(header::CONTENT_LENGTH).filter(|_| is_head).cloned();
        remove_hop_by_hop_headers(&mut headers);
        headers.extend(length.map(|length| (header::CONTENT_LENGTH, length)));
        BackendResponse { first_byte_at, status: head.status, headers: shrink(headers), body }
    }
}

/// Reads a body if it is short enough to buffer.
async fn read_body(body: Incoming, memory: &ProcessMemory) -> Result<ResponseBody, ExchangeError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(ExchangeError::TooLong);
    }
    if length.is_some_and(|length| length > BUFFERED.max as u64) {
        return Ok(ResponseBody::Partial { read: BufferedPart::default(), rest: body });
    }
    let buffer = BodyBuffer::new(memory, BUFFERED, length);
    let stream_at = length.is_none().then(|| Instant::now() + BUFFERING_TIME);
    buffer_body(body, buffer, stream_at).await
}

/// Reads a body until it is complete or turns out to be too long to buffer, and no longer than until `stream_at`.
async fn buffer_body(
    mut body: Incoming, mut buffer: BodyBuffer<'_>, stream_at: Option<Instant>,
) -> Result<ResponseBody, ExchangeError> {
    loop {
        let stalled_at = Instant::now() + STALL_TIMEOUT;
        let wait_until = stream_at.unwrap_or(stalled_at);
        let is_full = match timeout_at(wait_until, body.frame()).await {
            Ok(None) => return Ok(ResponseBody::Complete(buffer.into_part().into_bytes())),
            Ok(Some(frame)) => {
                if let Ok(data) = frame?.into_data() {
                    buffer.append(&data);
                }
                buffer.is_full()
            }
            Err(_) if stream_at.is_some() => true,
            Err(_) => return Err(ExchangeError::Stalled),
        };
        if is_full {
            return Ok(ResponseBody::Partial { read: buffer.into_part(), rest: body });
        }
    }
}
