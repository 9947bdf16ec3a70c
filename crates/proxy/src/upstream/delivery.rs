//! Delivers the response of an attempt: reports it, and streams the rest of one that is too long to buffer.

use http_body_util::{Either, Full};
use hyper::body::Body as _;
use leadrelay_core::Outcome;
use tokio::time::Instant;
use tracing::debug;

use super::attempt::Attempt;
use super::exchange::{BackendResponse, Exchange, ResponseBody};
use super::relay::{Relay, RelayError};
use super::request::Upload;
use super::response::UpstreamResponse;
use super::response_deadline::ResponseDeadline;
use crate::body_stream::BodyStream;
use crate::memory::BufferSizes;

impl Attempt<'_> {
    /// Reports the outcome of an exchange and streams the rest of its response, which is read into buffers of these sizes.
    /// Returns whether the connection can be reused afterwards.
    pub(super) async fn deliver_response(
        &self, exchange: Exchange, buffers: BufferSizes,
        report: impl FnOnce(Outcome, Option<UpstreamResponse>),
    ) -> bool {
        let Exchange { outcome, response, reusable } = exchange;
        let Some(BackendResponse { first_byte_at, status, headers, body }) = response else {
            report(outcome, None);
            return reusable;
        };
        match body {
            ResponseBody::Complete(bytes) => {
                let body = Either::Left(Full::new(bytes));
                report(outcome, Some(UpstreamResponse { first_byte_at, status, headers, body }));
                reusable
            }
            // The proxy does not wait for the rest of an error response that is too long to buffer.
            ResponseBody::Partial { .. } if outcome != Outcome::Served => {
                report(outcome, None);
                false
            }
            // The outcome is final. How long the rest of the response takes depends on how fast the client reads.
            ResponseBody::Partial { read, rest } => {
                let length = rest.size_hint().exact().map(|rest| read.bytes.len() as u64 + rest);
                let (sender, stream) = BodyStream::new(length, buffers);
                let body = Either::Right(stream);
                report(outcome, Some(UpstreamResponse { first_byte_at, status, headers, body }));
                if !reusable {
                    return false;
                }
                self.request.release_content(); // the request has its response
                let request_deadline = self.request_deadline();
                let deadline = ResponseDeadline { request_deadline, first_byte_at, length };
                let mut relay = Relay::new(rest, sender, deadline);
                let relayed = relay.run(read).await;
                self.log_streamed_response(&relay, relayed.is_ok());
                self.relay_succeeded(relayed)
            }
        }
    }

    /// When the client stops waiting for the response, as far as is known now.
    fn request_deadline(&self) -> Instant {
        self.request.upload().map_or(self.limits.request_deadline, Upload::response_deadline)
    }

    /// Returns whether a response was streamed to its end, and logs a failure of the backend.
    fn relay_succeeded(&self, relayed: Result<(), RelayError>) -> bool {
        match relayed {
            Ok(()) => true,
            Err(RelayError::ClientDisconnected(_)) => false,
            Err(error) => {
                self.log_failed_response(&error);
                false
            }
        }
    }

    fn log_streamed_response(&self, relay: &Relay, complete: bool) {
        debug!(
            request = self.request.request_id(),
            backend = %self.endpoint.address,
            complete,
            bytes = relay.received(),
            waited_for_backend_ms = relay.backend_wait().as_millis() as u64,
            waited_for_client_ms = relay.client_wait().as_millis() as u64,
            "streamed response ended"
        );
    }
}
