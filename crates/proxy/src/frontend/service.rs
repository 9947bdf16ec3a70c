//! The service function that hyper calls for each request of a connection.

use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::Frontend;
use super::client::{Client, ClientDisconnected, Stage};
use super::received::ReceivedHead;
use super::response::text_response;
use crate::cause::Cause;
use crate::config::ClientProtocol;
use crate::upstream::MessageBody;

/// The path of the readiness check in the platform's protocol.
const PLATFORM_READINESS_PATH: &str = "/up";

impl Frontend {
    /// Records that hyper has just read the head of a request.
    pub(super) fn begin(&self, request: Request<Incoming>, client: &Rc<Client>) -> ReceivedHead {
        let received = ReceivedHead::new(request, client);
        client.next_request_waits.set(true);
        self.set_stage(client, Stage::InFlight);
        received
    }

    /// Handles one request whose head hyper has read. Hyper begins with it once it has written the response before, if the
    /// request was pipelined.
    pub(super) async fn handle(
        self: &Rc<Self>, received: ReceivedHead, client: &Rc<Client>,
    ) -> Result<Response<MessageBody>, ClientDisconnected> {
        client.next_request_waits.set(false);
        client.write_watchdog.stop();
        let max_in_flight = self.sockets.max_in_flight().min(self.memory.max_requests());
        let overloaded = self.connections.in_flight() > max_in_flight;
        let mut response = if overloaded {
            self.reject_overloaded(&received)
        } else {
            self.respond(received, client).await.inspect_err(|_| client.read_closed.set(true))?
        };
        let must_close = self.is_draining() || client.closes_with_response.get();
        // After a client error such as a malformed request, the start of the next request can't be determined.
        if overloaded || must_close || response.status().is_client_error() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        } else if !client.write_watchdog.is_streaming() {
            self.set_stage(client, Stage::Idle);
        }
        Ok(response)
    }

    /// Rejects a request because too many requests are in flight. It is counted in the metrics only if its head is
    /// valid.
    fn reject_overloaded(&self, received: &ReceivedHead) -> Response<MessageBody> {
        if let Ok(meta) = self.read_head(&received.request) {
            self.count_request(&meta, received.arrived_at).end(Cause::RejectedOverloaded);
        }
        text_response(StatusCode::SERVICE_UNAVAILABLE, "too many connections")
    }

    /// Responds to a readiness check directly, and forwards any other request to the backends.
    async fn respond(
        self: &Rc<Self>, received: ReceivedHead, client: &Rc<Client>,
    ) -> Result<Response<MessageBody>, ClientDisconnected> {
        if self.is_readiness_check(received.request.uri().path()) {
            return Ok(self.readiness_response());
        }
        self.forward(received, client).await
    }

    /// Whether a path is that of the readiness check, by which load balancers decide whether to send clients here.
    fn is_readiness_check(&self, path: &str) -> bool {
        match &self.classes.borrow().client_protocol {
            ClientProtocol::Platform => path == PLATFORM_READINESS_PATH,
            ClientProtocol::Plain(plain) => plain.readiness_path.as_deref() == Some(path),
        }
    }

    /// The response to a readiness check: 200 if the proxy is ready and not draining, otherwise 503.
    fn readiness_response(&self) -> Response<MessageBody> {
        let ready = self.metrics.ready.load(Relaxed) && !self.is_draining();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        text_response(status, "")
    }
}
