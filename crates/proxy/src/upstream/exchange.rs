//! One exchange on a connection: sends a request and reads its answer, as far as that is buffered.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, StatusCode};
use leadrelay_core::Outcome;
use tokio::time::{Instant, timeout};

use super::headers::remove_hop_by_hop;
use super::message::MessageBody;
use super::request_progress::{RequestProgress, STALL_TIMEOUT};
use crate::body_stream::MAX_BODY;

/// Longest answer that is buffered. Until it is complete another backend's answer may take its place.
const BUFFERED_BODY: usize = 64 << 10;
/// An answer of unknown length is buffered for this long to see whether it is short.
const BUFFERING_TIME: Duration = Duration::from_millis(100);

/// How an exchange ended.
pub(super) struct Exchange {
    pub(super) outcome: Outcome,
    /// The answer, if clients may see it.
    pub(super) answer: Option<Answer>,
    /// Whether the connection can carry another request.
    pub(super) reusable: bool,
}

/// A backend's answer.
pub(super) struct Answer {
    /// When its first bytes arrived.
    pub(super) begun: Instant,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: AnswerBody,
}

/// An answer's body, as far as it has been read.
pub(super) enum AnswerBody {
    Complete(Bytes),
    /// Too long or too slow to be buffered.
    Partial {
        read: Bytes,
        rest: Incoming,
    },
}

/// Why an exchange gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("it has answered what it has not got whole")]
    AnsweredIncompleteRequest,
    #[error("the answer is too long")]
    TooLong,
    #[error("the answer has no end")]
    Stalled,
}

/// Sends a request and reads its answer. With `any_status_serves`, any answer but a server's error counts as served,
/// and errors are passed on as the backend worded them.
pub(super) async fn exchange(
    sender: &mut SendRequest<MessageBody>, request: Request<MessageBody>, progress: &RequestProgress,
    any_status_serves: bool,
) -> Result<Exchange, ExchangeError> {
    let is_head = request.method() == Method::HEAD;
    let response = sender.send_request(request).await?;
    let begun = progress.answer_begun.get().unwrap_or_else(Instant::now);
    let (head, body) = response.into_parts();
    // By the platform's protocol a request begins with its last byte: what is served before that is an earlier one.
    let early = progress.answer_early.get() && !any_status_serves;
    if early && head.status == StatusCode::OK {
        return Err(ExchangeError::AnsweredIncompleteRequest);
    }
    let body = read_body(body).await?;
    let complete = matches!(body, AnswerBody::Complete(_));
    let reusable = complete && !early && head.status != StatusCode::SWITCHING_PROTOCOLS;
    if is_served(head.status, any_status_serves) {
        let answer = Answer::new(begun, head.status, head.headers, body, is_head);
        return Ok(Exchange { outcome: Outcome::Served, answer: Some(answer), reusable: true });
    }
    if is_rejection(head.status, &head.headers) {
        return Ok(Exchange { outcome: Outcome::Rejected, answer: None, reusable });
    }
    let answer =
        (any_status_serves && reusable).then(|| Answer::new(begun, head.status, head.headers, body, is_head));
    Ok(Exchange { outcome: Outcome::Error, answer, reusable })
}

fn is_served(status: StatusCode, any_status_serves: bool) -> bool {
    let no_error = status.as_u16() < 500 && status != StatusCode::SWITCHING_PROTOCOLS;
    status == StatusCode::OK || any_status_serves && no_error
}

/// Whether a backend says that it has not processed the request.
fn is_rejection(status: StatusCode, headers: &HeaderMap) -> bool {
    let mut marks = headers.get_all("x-not-processed").iter();
    let marked = marks.next().is_some_and(|mark| mark.as_bytes().trim_ascii() == b"1");
    let marked_once = marked && marks.next().is_none();
    marked_once && matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
}

impl Answer {
    fn new(
        begun: Instant, status: StatusCode, mut headers: HeaderMap, body: AnswerBody, is_head: bool,
    ) -> Self {
        // The length in an answer to HEAD is that of the body which GET would give.
        let length = headers.get(header::CONTENT_LENGTH).filter(|_| is_head).cloned();
        remove_hop_by_hop(&mut headers);
        headers.extend(length.map(|length| (header::CONTENT_LENGTH, length)));
        Answer { begun, status, headers, body }
    }
}

/// Reads a body, if it is short enough to be buffered.
async fn read_body(body: Incoming) -> Result<AnswerBody, ExchangeError> {
    match body.size_hint().exact() {
        Some(length) if length > MAX_BODY => Err(ExchangeError::TooLong),
        Some(length) if length > BUFFERED_BODY as u64 => {
            Ok(AnswerBody::Partial { read: Bytes::new(), rest: body })
        }
        _ => buffer_body(body).await,
    }
}

/// Reads a body until it is complete, or too long or too slow to be buffered.
async fn buffer_body(mut body: Incoming) -> Result<AnswerBody, ExchangeError> {
    let known_length = body.size_hint().exact().is_some();
    let begun = Instant::now();
    let mut read = BytesMut::new();
    loop {
        let frame = timeout(STALL_TIMEOUT, body.frame()).await.map_err(|_| ExchangeError::Stalled)?;
        let Some(frame) = frame else { return Ok(AnswerBody::Complete(read.freeze())) };
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
        let too_slow = !known_length && begun.elapsed() > BUFFERING_TIME;
        if read.len() > BUFFERED_BODY || too_slow {
            return Ok(AnswerBody::Partial { read: read.freeze(), rest: body });
        }
    }
}
