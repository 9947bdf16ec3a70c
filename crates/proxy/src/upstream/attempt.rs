//! Runs one attempt: gets a connection, sends one request on it, and returns the connection to the pool.

use std::convert::Infallible;
use std::rc::Rc;

use hyper::Request;
use leadrelay_core::Outcome;
use tokio::time::{Instant, sleep_until, timeout_at};
use tracing::{info, warn};

use super::attempt_request::AttemptRequest;
use super::connection::Connection;
use super::dial::ConnectError;
use super::endpoint::UpstreamEndpoint;
use super::exchange::{Exchange, ExchangeError, exchange};
use super::guard::SendGuard;
use super::pool::UpstreamPool;
use super::request::{MessageBody, RequestBody, UpstreamRequest};
use super::request_progress::RequestProgress;
use super::request_state::{RequestState, SharedRequestState};
use super::response::UpstreamResponse;

/// The time limits of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptLimits {
    /// When the wait for the response ends.
    pub deadline: Instant,
    /// When the client stops waiting for the response, unless the request's body is streamed: its `Upload` knows then.
    pub request_deadline: Instant,
    /// The instant from which the attempt may no longer start: the end of the request's idempotency window. Set if an
    /// earlier attempt of the request may have run.
    pub start_by: Option<Instant>,
}

/// An attempt: its request, its endpoint and its time limits.
pub(super) struct Attempt<'a> {
    pool: &'a UpstreamPool,
    pub(super) endpoint: Rc<UpstreamEndpoint>,
    state: Rc<SharedRequestState>,
    pub(super) request: Rc<UpstreamRequest>,
    pub(super) limits: AttemptLimits,
}

/// A connection to which a request was handed, with the result of the exchange.
struct SentRequest {
    connection: Connection,
    result: Result<Exchange, SendError>,
}

/// Why a request was not handed to any connection.
enum NotSent {
    /// No connection to the backend could be established.
    NoConnection,
    /// The proxy gave up the attempt: the endpoint is closed, the request no longer needs an attempt, or this machine
    /// can't open a connection. This does not count against the backend.
    Withdrawn,
}

/// Why a request that was handed to a connection got no response.
#[derive(Debug, thiserror::Error)]
enum SendError {
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    #[error("response timed out")]
    TimedOut,
    #[error("request abandoned before it was completely written")]
    Abandoned,
}

impl UpstreamPool {
    /// Runs one attempt. Calls `report` exactly once, with the outcome and the response for the client if there is one,
    /// before the connection returns to the pool.
    pub async fn attempt(
        &self, endpoint: Rc<UpstreamEndpoint>, state: Rc<SharedRequestState>, request: Rc<UpstreamRequest>,
        limits: AttemptLimits, report: impl FnOnce(Outcome, Option<UpstreamResponse>),
    ) {
        let attempt = Attempt { pool: self, endpoint, state, request, limits };
        attempt.run(report).await;
    }
}

impl Attempt<'_> {
    async fn run(&self, report: impl FnOnce(Outcome, Option<UpstreamResponse>)) {
        let sent = match self.send().await {
            Ok(sent) => sent,
            Err(not_sent) => return report(not_sent.outcome(), None),
        };
        match sent.result {
            Ok(exchange) => {
                let outcome = exchange.outcome;
                let buffers = sent.connection.resources.buffers.sizes();
                let reusable = self.deliver_response(exchange, buffers, report).await;
                self.pool.release(sent.connection, &self.endpoint, outcome, reusable).await;
            }
            // Dropping the connection closes it: it can't be reused after an error.
            Err(error) => report(self.failure_outcome(error, &sent.connection.progress), None),
        }
    }

    /// Sends the request on an idle connection or a new one. If an idle connection fails before anything was written
    /// to it, and the request is still replayable, the request is sent on another connection.
    async fn send(&self) -> Result<SentRequest, NotSent> {
        loop {
            let mut connection = self.connect().await?;
            let request = self.prepare_request(&connection).ok_or(NotSent::Withdrawn)?;
            let result = self.exchange_with_timeout(&mut connection, request).await;
            let failed_before_write = matches!(result, Err(SendError::Exchange(_)))
                && connection.progress.is_unwritten_without_denial();
            if connection.is_new || !failed_before_write || !self.request.is_replayable() {
                return Ok(SentRequest { connection, result });
            }
        }
    }

    /// Gets a connection to the endpoint, unless `connect_deadline` passes first.
    async fn connect(&self) -> Result<Connection, NotSent> {
        match timeout_at(self.connect_deadline(), self.pool.connect(&self.endpoint)).await {
            Ok(Ok(connection)) => Ok(connection),
            Err(_) if self.is_past_start_limit() => Err(NotSent::Withdrawn),
            Ok(Err(ConnectError::Local(error))) => {
                let backend = self.endpoint.address;
                warn!(%backend, %error, "upstream connect failed on a local error");
                self.pool.evict_longest_idle(); // may free the descriptor, port or memory that was lacking
                Err(NotSent::Withdrawn)
            }
            Ok(Err(ConnectError::NoSocket)) => Err(NotSent::Withdrawn),
            Ok(Err(ConnectError::NoRoute(_) | ConnectError::Remote(_) | ConnectError::TimedOut)) | Err(_) => {
                Err(NotSent::NoConnection)
            }
        }
    }

    /// When the wait for a connection ends: at the deadline or at `start_by`, whichever is earlier.
    fn connect_deadline(&self) -> Instant {
        self.limits.start_by.map_or(self.limits.deadline, |start_by| start_by.min(self.limits.deadline))
    }

    fn is_past_start_limit(&self) -> bool {
        self.limits.start_by.is_some_and(|start_by| Instant::now() >= start_by)
    }

    /// Prepares the request for a connection. Returns `None` if the request must not be sent any more.
    fn prepare_request(&self, connection: &Connection) -> Option<Request<MessageBody>> {
        let is_pending = self.endpoint.is_open() && self.state.get() == RequestState::Pending;
        if !is_pending || self.is_past_start_limit() {
            return None;
        }
        let prepared_at = Instant::now();
        let AttemptRequest { request, body_length, timeout } =
            AttemptRequest::new(&self.request, self.limits.deadline, &connection.progress)?;
        let propagated_deadline = timeout.map(|timeout| prepared_at + timeout);
        let guard = SendGuard {
            list_valid_until: self.pool.list_valid_until().clone(),
            availability: self.endpoint.availability().clone(),
            state: self.state.clone(),
            request: self.request.clone(),
            start_by: self.limits.start_by,
            propagated_deadline,
            prepared_at,
        };
        connection.progress.start(guard, body_length);
        Some(request)
    }

    /// Runs the exchange, and stops it if the response stalls or times out. For a streamed request, the response
    /// timeout starts at the last byte of the body.
    async fn exchange_with_timeout(
        &self, connection: &mut Connection, request: Request<MessageBody>,
    ) -> Result<Exchange, SendError> {
        let progress = connection.progress.clone();
        let is_plain_http = self.pool.is_plain_http;
        let memory = &self.pool.memory;
        let exchange = async {
            tokio::select! {
                biased;
                exchange = exchange(&mut connection.sender, request, &progress, is_plain_http, memory) => exchange,
                () = progress.response.stalled() => Err(ExchangeError::Stalled),
            }
        };
        tokio::select! {
            biased;
            exchange = exchange => Ok(exchange?),
            () = self.response_timed_out(&progress) => Err(SendError::TimedOut),
            () = self.abandoned_while_writing(&progress) => Err(SendError::Abandoned),
            never = self.report_stalls(&progress) => match never {},
        }
    }

    /// Reports each time that the backend takes no bytes of a streamed body, and when it goes on. A buffered body needs
    /// no report: its timeout runs from the start.
    async fn report_stalls(&self, progress: &RequestProgress) -> Infallible {
        let Some(upload) = self.request.upload() else { return std::future::pending().await };
        loop {
            progress.write.stalled().await;
            let request = self.request.request_id();
            let backend = self.endpoint.address;
            info!(request, %backend, "backend does not read the request body");
            (upload.on_stall)(true);
            progress.write.resumed().await;
            (upload.on_stall)(false);
        }
    }

    async fn response_timed_out(&self, progress: &RequestProgress) {
        match &self.request.body {
            RequestBody::Buffered(_) => sleep_until(self.limits.deadline).await,
            RequestBody::Streamed(_) => progress.response_timed_out().await,
        }
    }

    /// Waits until the request is abandoned after its first byte and before its last. A backend that does not read
    /// would block the rest of the request forever, and with it the connection. A request that is completely written
    /// may run, so the attempt goes on until its outcome is known.
    async fn abandoned_while_writing(&self, progress: &RequestProgress) {
        self.state.abandoned().await;
        if !progress.has_started() || progress.is_complete() {
            std::future::pending().await
        }
    }

    /// The outcome of an attempt without a response. A request can't have run if the attempt failed before the last
    /// byte of the request was written.
    fn failure_outcome(&self, error: SendError, progress: &RequestProgress) -> Outcome {
        match error {
            SendError::Exchange(_) if progress.was_withdrawn() => Outcome::Withdrawn,
            SendError::Abandoned => Outcome::Withdrawn,
            _ if !progress.is_complete() => Outcome::ConnectFailed,
            SendError::Exchange(error) => {
                self.log_failed_response(&error);
                Outcome::Reset
            }
            SendError::TimedOut => Outcome::TimedOut,
        }
    }

    pub(super) fn log_failed_response(&self, error: &dyn std::error::Error) {
        let request = self.request.request_id();
        let backend = self.endpoint.address;
        info!(request, %backend, %error, "upstream response failed");
    }
}

impl NotSent {
    fn outcome(self) -> Outcome {
        match self {
            NotSent::NoConnection => Outcome::ConnectFailed,
            NotSent::Withdrawn => Outcome::Withdrawn,
        }
    }
}
