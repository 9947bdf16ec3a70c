//! The responses that clients get.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use leadrelay_core::Millis;
use tokio::time::Instant;

use super::Frontend;
use super::client::{Client, Stage};
use crate::body_stream::{BodyStream, Fault};
use crate::cause::Cause;
use crate::head::Rejection;
use crate::inbox::Answer;
use crate::metrics::RequestTicket;
use crate::upstream::{MessageBody, Reply};

impl Frontend {
    /// The response that carries a request's final answer, and the end of the request: at once, or with the last byte
    /// of a streamed answer.
    pub(super) fn final_response(
        self: &Rc<Self>, answer: Answer, ticket: RequestTicket, client: &Rc<Client>,
    ) -> Response<MessageBody> {
        match answer {
            Answer::Served(reply) => self.served(reply, ticket, client),
            // No other backend could take over: the client sees what this one said.
            Answer::UpstreamError(reply) => {
                ticket.end(Cause::BackendError);
                reply_response(reply)
            }
            Answer::Rejected { retry_after, attempted } => {
                ticket.end(if attempted { Cause::RefusedTried } else { Cause::RefusedUntried });
                self.refused(retry_after)
            }
            Answer::Failed => {
                ticket.end(Cause::Failed);
                text_response(StatusCode::BAD_GATEWAY, "failed")
            }
        }
    }

    fn served(
        self: &Rc<Self>, mut reply: Reply, ticket: RequestTicket, client: &Rc<Client>,
    ) -> Response<MessageBody> {
        reply.body = match reply.body {
            Either::Left(body) => {
                ticket.end(Cause::Served);
                Either::Left(body)
            }
            Either::Right(stream) => Either::Right(self.clone().stream_answer(stream, ticket, client)),
        };
        reply_response(reply)
    }

    /// Follows a streamed answer to its client; the request ends with it.
    fn stream_answer(
        self: Rc<Self>, mut stream: BodyStream, ticket: RequestTicket, client: &Rc<Client>,
    ) -> BodyStream {
        client.streaming.set(true);
        client.last_write.set(Instant::now());
        let client = client.clone();
        stream.at_end(Box::new(move |complete| {
            ticket.end(if complete { Cause::Served } else { Cause::AnswerBroken });
            client.streaming.set(false);
            if complete {
                self.set_stage(&client, Stage::Idle);
            }
        }));
        stream
    }

    /// The response to a request that the core has refused; trying again is harmless, at best after that span.
    fn refused(&self, after: Option<Millis>) -> Response<MessageBody> {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "try again");
        if let Some(after) = after.and_then(|ms| self.retry_after(ms)) {
            response.headers_mut().insert(header::RETRY_AFTER, after);
        }
        response
    }

    /// Only the operators' protocol knows fractions of a second.
    fn retry_after(&self, after: Millis) -> Option<HeaderValue> {
        let seconds = after / 1000.0;
        let text = if self.is_plain() { format!("{:.0}", seconds.ceil()) } else { format!("{seconds:.3}") };
        text.parse().ok()
    }
}

/// The response to a request that can't be accepted.
pub(super) fn rejection_response(rejection: Rejection) -> Response<MessageBody> {
    text_response(rejection.status, rejection.text)
}

/// The rejection of a client that does not finish its body.
pub(super) fn body_rejection(fault: Fault) -> Rejection {
    match fault {
        Fault::Slow => Rejection::new(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
        Fault::Malformed => Rejection::new(StatusCode::BAD_REQUEST, "the body is malformed"),
    }
}

/// A backend's reply as its client gets it.
fn reply_response(reply: Reply) -> Response<MessageBody> {
    let mut response = Response::new(reply.body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

/// A response of this proxy's own.
pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<MessageBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    response
}
