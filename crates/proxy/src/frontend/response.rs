//! Builds the responses to clients.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use leadrelay_core::Millis;

use super::Frontend;
use super::client::Client;
use crate::body_stream::BodyStream;
use crate::cause::Cause;
use crate::config::ClientProtocol;
use crate::inbox::FinalResponse;
use crate::metrics::RequestTicket;
use crate::rejection::Rejection;
use crate::upstream::{MessageBody, UpstreamResponse};

impl Frontend {
    /// Converts the driver's final response to the response to the client, and ends the request in the metrics: at
    /// once, or with the last byte of a streamed response.
    pub(super) fn final_response(
        self: &Rc<Self>, answer: FinalResponse, ticket: RequestTicket, client: &Rc<Client>,
    ) -> Response<MessageBody> {
        match answer {
            FinalResponse::Served(response) => self.served_response(response, ticket, client),
            // No other backend could take over the request, so the client gets this backend's error response.
            FinalResponse::UpstreamError(response) => {
                ticket.end(Cause::BackendError);
                client_response(response)
            }
            FinalResponse::Rejected { retry_after, attempted } => {
                ticket.end(if attempted {
                    Cause::RejectedAfterAttempt
                } else {
                    Cause::RejectedBeforeAttempt
                });
                self.unavailable_response(retry_after)
            }
            FinalResponse::Failed => {
                ticket.end(Cause::Failed);
                text_response(StatusCode::BAD_GATEWAY, "failed")
            }
        }
    }

    fn served_response(
        self: &Rc<Self>, mut response: UpstreamResponse, ticket: RequestTicket, client: &Rc<Client>,
    ) -> Response<MessageBody> {
        response.body = match response.body {
            Either::Left(body) => {
                ticket.end(Cause::Served);
                Either::Left(body)
            }
            Either::Right(stream) => Either::Right(self.watch_stream(stream, ticket, client)),
        };
        client_response(response)
    }

    /// Starts the write watchdog for a streamed response, and ends the request with the end of the stream. The
    /// connection becomes idle once the response has been written to the socket.
    fn watch_stream(&self, mut stream: BodyStream, ticket: RequestTicket, client: &Rc<Client>) -> BodyStream {
        client.write_watchdog.start(self.streamed_responses.start());
        let client = client.clone();
        stream.on_end(Box::new(move |complete| match complete {
            true => {
                ticket.end(Cause::Served);
                client.write_watchdog.record_end();
            }
            false => {
                ticket.end(Cause::ResponseBroken);
                client.write_watchdog.stop();
            }
        }));
        stream
    }

    /// The response to a request that was not processed, so that a retry is harmless. `retry_after` is the time in
    /// milliseconds after which the client should retry.
    fn unavailable_response(&self, retry_after: Option<Millis>) -> Response<MessageBody> {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "try again");
        if let Some(value) = retry_after.and_then(|retry_after| self.retry_after_header(retry_after)) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }

    /// The value of `Retry-After`. Only the platform's protocol allows fractions of a second.
    fn retry_after_header(&self, retry_after: Millis) -> Option<HeaderValue> {
        let seconds = retry_after / 1000.0;
        let text = match self.classes.borrow().client_protocol {
            ClientProtocol::Plain(_) => format!("{:.0}", seconds.ceil()),
            ClientProtocol::Platform => format!("{seconds:.3}"),
        };
        text.parse().ok()
    }
}

/// The response to a request that is rejected before it is submitted to the driver.
pub(super) fn rejection_response(rejection: Rejection) -> Response<MessageBody> {
    text_response(rejection.status(), rejection.to_string())
}

/// Converts a backend's response to the response to the client.
fn client_response(upstream: UpstreamResponse) -> Response<MessageBody> {
    let mut response = Response::new(upstream.body);
    *response.status_mut() = upstream.status;
    *response.headers_mut() = upstream.headers;
    response
}

/// A response that the proxy generates itself, with `text` as its body.
pub(super) fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<MessageBody> {
    let mut response = Response::new(Either::Left(Full::new(text.into())));
    *response.status_mut() = status;
    response
}
