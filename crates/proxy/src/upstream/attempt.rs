//! One attempt: one request on one connection, from taking the connection to giving it back.

use std::cell::Cell;
use std::rc::Rc;

use http_body_util::{Either, Full};
use hyper::Request;
use hyper::body::Body as _;
use leadrelay_core::Outcome;
use tokio::time::{Instant, timeout_at};
use tracing::{info, warn};

use super::attempt_request::AttemptRequest;
use super::connection::Connection;
use super::dial::ConnectError;
use super::endpoint::UpstreamEndpoint;
use super::exchange::{BackendResponse, Exchange, ExchangeError, ResponseBody, exchange};
use super::guard::SendGuard;
use super::pool::UpstreamPool;
use super::relay::{RelayError, relay};
use super::request::{MessageBody, RequestBody, UpstreamRequest};
use super::request_progress::RequestProgress;
use super::request_state::RequestState;
use super::response::UpstreamResponse;
use crate::body_stream::BodyStream;

/// The times that bound an attempt.
#[derive(Clone, Copy)]
pub struct AttemptLimits {
    /// Until when its response is waited for.
    pub deadline: Instant,
    /// Until when it may start, if it repeats one that may have run.
    pub start_by: Option<Instant>,
}

/// What an attempt sends, where to, and until when.
struct Attempt<'a> {
    pool: &'a UpstreamPool,
    endpoint: Rc<UpstreamEndpoint>,
    state: Rc<Cell<RequestState>>,
    request: Rc<UpstreamRequest>,
    limits: AttemptLimits,
}

/// A connection to which a request was handed, and what came of it.
struct SentRequest {
    connection: Connection,
    result: Result<Exchange, SendError>,
}

/// Why a request was handed to no connection.
enum NotSent {
    /// The backend did not accept a connection in time.
    NoConnection,
    /// The attempt was given up on this side: the endpoint is closed, the request needs no attempt any more, or this
    /// machine can't open a connection. It says nothing of the backend.
    Withdrawn,
}

/// Why a request that was handed to a connection has no response.
#[derive(Debug, thiserror::Error)]
enum SendError {
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    #[error("response timed out")]
    TimedOut,
}

impl UpstreamPool {
    /// Makes one attempt. Calls `report` with how it ended, exactly once and before the connection is pooled.
    pub async fn attempt(
        &self, endpoint: Rc<UpstreamEndpoint>, state: Rc<Cell<RequestState>>, request: Rc<UpstreamRequest>,
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
                let reusable = self.deliver(exchange, report).await;
                self.pool.release(sent.connection, &self.endpoint, outcome, reusable).await;
            }
            // The connection is dropped, never used again.
            Err(error) => report(self.outcome_of(error, &sent.connection.progress), None),
        }
    }

    /// Sends the request on an idle connection or a new one. An idle one that turns out to be of no use before
    /// anything was written to it is replaced by another.
    async fn send(&self) -> Result<SentRequest, NotSent> {
        loop {
            let mut connection = self.connect().await?;
            let request = self.start_on(&connection).ok_or(NotSent::Withdrawn)?;
            let result = self.exchange_in_time(&mut connection, request).await;
            let unused = matches!(result, Err(SendError::Exchange(_))) && connection.progress.is_untouched();
            if connection.is_new || !unused || !self.request.is_replayable() {
                return Ok(SentRequest { connection, result });
            }
        }
    }

    /// Takes a connection while that is of use.
    async fn connect(&self) -> Result<Connection, NotSent> {
        match timeout_at(self.connect_by(), self.pool.connect(&self.endpoint)).await {
            Ok(Ok(connection)) => Ok(connection),
            Err(_) if self.is_too_late_to_start() => Err(NotSent::Withdrawn),
            Ok(Err(ConnectError::Local(error))) => {
                let backend = self.endpoint.address;
                warn!(%backend, %error, "upstream connect failed on a local error");
                self.pool.evict_idle(); // it may free what is lacking
                Err(NotSent::Withdrawn)
            }
            Ok(Err(ConnectError::NoSocket)) => Err(NotSent::Withdrawn),
            Ok(Err(ConnectError::NoRoute(_) | ConnectError::Remote(_) | ConnectError::TimedOut)) | Err(_) => {
                Err(NotSent::NoConnection)
            }
        }
    }

    /// Until when a connection is of use.
    fn connect_by(&self) -> Instant {
        self.limits.start_by.map_or(self.limits.deadline, |start_by| start_by.min(self.limits.deadline))
    }

    fn is_too_late_to_start(&self) -> bool {
        self.limits.start_by.is_some_and(|start_by| Instant::now() >= start_by)
    }

    /// Prepares the request for a connection; `None` if it is not to be sent any more.
    fn start_on(&self, connection: &Connection) -> Option<Request<MessageBody>> {
        let is_pending = self.endpoint.is_open() && self.state.get() == RequestState::Pending;
        if !is_pending || self.is_too_late_to_start() {
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

    /// Runs the exchange until its response stalls or times out. The time for the response to a streamed request starts
    /// with the last byte of its body.
    async fn exchange_in_time(
        &self, connection: &mut Connection, request: Request<MessageBody>,
    ) -> Result<Exchange, SendError> {
        let progress = connection.progress.clone();
        let any_status_serves = self.pool.any_status_serves;
        let exchange = async {
            tokio::select! {
                biased;
                exchange = exchange(&mut connection.sender, request, &progress, any_status_serves) => exchange,
                () = progress.response.stalled() => Err(ExchangeError::Stalled),
            }
        };
        match &self.request.body {
            RequestBody::Buffered { .. } => {
                let in_time = timeout_at(self.limits.deadline, exchange).await;
                Ok(in_time.map_err(|_| SendError::TimedOut)??)
            }
            RequestBody::Streamed(_) => tokio::select! {
                biased;
                exchange = exchange => Ok(exchange?),
                () = progress.response_timed_out() => Err(SendError::TimedOut),
            },
        }
    }

    /// Reports an exchange, and streams the rest of its response. Returns whether the connection can be reused after
    /// that.
    async fn deliver(
        &self, exchange: Exchange, report: impl FnOnce(Outcome, Option<UpstreamResponse>),
    ) -> bool {
        let Exchange { outcome, response, reusable } = exchange;
        let Some(BackendResponse { started_at, status, headers, body }) = response else {
            report(outcome, None);
            return reusable;
        };
        match body {
            ResponseBody::Complete(bytes) => {
                let body = Either::Left(Full::new(bytes));
                report(outcome, Some(UpstreamResponse { started_at, status, headers, body }));
                reusable
            }
            // The rest of an error that is too long to buffer is not waited for.
            ResponseBody::Partial { .. } if outcome != Outcome::Served => {
                report(outcome, None);
                false
            }
            // The outcome is settled; from here on the client sets the pace.
            ResponseBody::Partial { read, rest } => {
                let length = rest.size_hint().exact().map(|rest| read.len() as u64 + rest);
                let (sender, stream) = BodyStream::new(length);
                let body = Either::Right(stream);
                report(outcome, Some(UpstreamResponse { started_at, status, headers, body }));
                if !reusable {
                    return false;
                }
                let relayed = relay(read, rest, sender, &self.pool.memory.streamed).await;
                self.is_relayed(relayed)
            }
        }
    }

    /// Whether a response was streamed to its end; logs what the backend did otherwise.
    fn is_relayed(&self, relayed: Result<(), RelayError>) -> bool {
        match relayed {
            Ok(()) => true,
            Err(RelayError::ClientDisconnected) => false,
            Err(error) => {
                self.log_failed_response(&error);
                false
            }
        }
    }

    /// The outcome of an attempt without a response. Whatever fails before the request's last byte is written proves
    /// that it never ran.
    fn outcome_of(&self, error: SendError, progress: &RequestProgress) -> Outcome {
        match error {
            SendError::Exchange(_) if progress.was_withdrawn() => Outcome::Withdrawn,
            _ if !progress.is_complete() => Outcome::ConnectFailed,
            SendError::Exchange(error) => {
                self.log_failed_response(&error);
                Outcome::Reset
            }
            SendError::TimedOut => Outcome::TimedOut,
        }
    }

    fn log_failed_response(&self, error: &dyn std::error::Error) {
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
