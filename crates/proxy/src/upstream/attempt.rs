//! One attempt: one request on one connection, from taking the connection to giving it back.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{Either, Full};
use hyper::Request;
use hyper::body::Body as _;
use leadrelay_core::Outcome;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::{info, warn};

use super::connection::Connection;
use super::endpoint::{IdleConnection, Upstream};
use super::exchange::{Answer, AnswerBody, Exchange, ExchangeError, exchange};
use super::guard::{RequestState, SendGuard};
use super::keep_alive::MIN_KEEP_ALIVE;
use super::message::{AttemptRequest, MessageBody, Outgoing, Reply, RequestBody};
use super::pool::Upstreams;
use super::request_progress::RequestProgress;
use crate::body_stream::BodyStream;
use crate::close_reason::BackendClose;
use crate::socket::is_local;

/// Longest wait until a connection is ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// The times that bound an attempt.
#[derive(Clone, Copy)]
pub struct AttemptLimits {
    /// When its answer is waited for no more.
    pub deadline: Instant,
    /// When it may begin no more, if it repeats one that may have run.
    pub begin_by: Option<Instant>,
}

/// What an attempt is to do.
struct Attempt {
    endpoint: Rc<Upstream>,
    state: Rc<Cell<RequestState>>,
    outgoing: Rc<Outgoing>,
    limits: AttemptLimits,
    /// Until when it may begin by the list of backends that is held.
    list_valid_until: Rc<Cell<Instant>>,
}

/// A connection to which a request was handed, and what came of it.
struct Sent {
    connection: Connection,
    result: Result<Exchange, SendError>,
}

/// Why a request was handed to no connection.
enum NotSent {
    /// No connection came up in time.
    NoConnection,
    /// The backend is closed, or the request needs no attempt any more.
    Moot,
}

/// Why a request that was handed to a connection has no answer.
#[derive(Debug, thiserror::Error)]
enum SendError {
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    #[error("the time for the answer is over")]
    TimedOut,
}

impl Upstreams {
    /// Makes one attempt. `report` is told how it ended, exactly once and before the connection is pooled.
    pub async fn attempt(
        &self, endpoint: Rc<Upstream>, state: Rc<Cell<RequestState>>, outgoing: Rc<Outgoing>,
        limits: AttemptLimits, report: impl FnOnce(Outcome, Option<Reply>),
    ) {
        let list_valid_until = self.list_valid_until.clone();
        let attempt = Attempt { endpoint, state, outgoing, limits, list_valid_until };
        let sent = match self.send(&attempt).await {
            Ok(sent) => sent,
            Err(not_sent) => return report(not_sent.outcome(), None),
        };
        let address = attempt.endpoint.address;
        match sent.result {
            Ok(exchange) => {
                let outcome = exchange.outcome;
                let reusable = self.deliver(exchange, address, report).await;
                self.release(sent.connection, &attempt.endpoint, outcome, reusable).await;
            }
            // The connection is dropped, never used again.
            Err(error) => {
                let request = attempt.outgoing.request_id();
                report(error.outcome(&sent.connection.progress, address, request), None)
            }
        }
    }

    /// Sends the request on an idle connection or a new one. An idle one that turns out to be of no use before
    /// anything was written to it is replaced by another.
    async fn send(&self, attempt: &Attempt) -> Result<Sent, NotSent> {
        loop {
            let mut connection = match timeout_at(attempt.connect_by(), self.connect(&attempt.endpoint)).await
            {
                Ok(Ok(connection)) => connection,
                Err(_) if attempt.is_too_late_to_begin() => return Err(NotSent::Moot),
                Ok(Err(error)) if is_local(&error) => {
                    warn!(%error, "no connection can be opened");
                    self.close_idle(); // it may free what lacks
                    return Err(NotSent::Moot);
                }
                Ok(Err(_)) | Err(_) => return Err(NotSent::NoConnection),
            };
            let request = attempt.start_on(&connection).ok_or(NotSent::Moot)?;
            let result = self.exchange_in_time(&mut connection, request, attempt).await;
            let unused = matches!(result, Err(SendError::Exchange(_))) && connection.progress.is_untouched();
            if connection.first || !unused || attempt.outgoing.is_spent() {
                return Ok(Sent { connection, result });
            }
        }
    }

    /// Runs the exchange until its answer stalls or the time is over. The time for a streamed request's answer begins
    /// with the last byte of its body.
    async fn exchange_in_time(
        &self, connection: &mut Connection, request: Request<MessageBody>, attempt: &Attempt,
    ) -> Result<Exchange, SendError> {
        let progress = connection.progress.clone();
        let exchange = async {
            tokio::select! {
                biased;
                exchange = exchange(&mut connection.sender, request, &progress, self.any_status_serves) => exchange,
                () = progress.stalled() => Err(ExchangeError::Stalled),
            }
        };
        match &attempt.outgoing.body {
            RequestBody::Buffered { .. } => {
                let in_time = timeout_at(attempt.limits.deadline, exchange).await;
                Ok(in_time.map_err(|_| SendError::TimedOut)??)
            }
            RequestBody::Streamed(_) => tokio::select! {
                biased;
                exchange = exchange => Ok(exchange?),
                () = progress.answer_timed_out() => Err(SendError::TimedOut),
            },
        }
    }

    /// Reports an exchange, and streams what is still to come of its answer. Returns whether the connection can be
    /// reused after that.
    async fn deliver(
        &self, exchange: Exchange, backend: SocketAddr, report: impl FnOnce(Outcome, Option<Reply>),
    ) -> bool {
        let Exchange { outcome, answer, reusable } = exchange;
        let Some(Answer { begun, status, headers, body }) = answer else {
            report(outcome, None);
            return reusable;
        };
        match body {
            AnswerBody::Complete(bytes) => {
                let body = Either::Left(Full::new(bytes));
                report(outcome, Some(Reply { begun, status, headers, body }));
                reusable
            }
            // The rest of an error that is too long to buffer is not waited for.
            AnswerBody::Partial { .. } if outcome != Outcome::Served => {
                report(outcome, None);
                false
            }
            // The outcome is settled; from here on the client sets the pace.
            AnswerBody::Partial { read, rest } => {
                let length = rest.size_hint().exact().map(|rest| read.len() as u64 + rest);
                let (sender, stream) = BodyStream::new(length);
                report(outcome, Some(Reply { begun, status, headers, body: Either::Right(stream) }));
                reusable && self.relay(read, rest, sender, backend).await
            }
        }
    }

    /// Pools a connection after an exchange if it is of more use, or closes it.
    async fn release(
        &self, mut connection: Connection, endpoint: &Upstream, outcome: Outcome, reusable: bool,
    ) {
        self.keep.record(connection.first, outcome == Outcome::Rejected);
        connection.first = false;
        connection.progress.guard.replace(None);
        let ready = reusable && matches!(timeout(READY_TIMEOUT, connection.sender.ready()).await, Ok(Ok(())));
        // An attempt that waits for a socket would wait on while connections are idle.
        let may_idle = self.waiting.get() == 0 && self.keep.span() > MIN_KEEP_ALIVE;
        if ready && endpoint.is_open() && may_idle {
            let idle = IdleConnection { connection, since: Instant::now() };
            endpoint.idle.borrow_mut().push(idle);
        } else {
            let reason =
                if endpoint.is_open() { BackendClose::NotReusable } else { BackendClose::OutOfService };
            connection.close_reason.set(reason);
        }
    }
}

impl Attempt {
    /// When a connection is of no more use.
    fn connect_by(&self) -> Instant {
        self.limits.begin_by.map_or(self.limits.deadline, |begin_by| begin_by.min(self.limits.deadline))
    }

    fn is_too_late_to_begin(&self) -> bool {
        self.limits.begin_by.is_some_and(|begin_by| Instant::now() >= begin_by)
    }

    /// Prepares the request for a connection; `None` if it is not to be sent any more.
    fn start_on(&self, connection: &Connection) -> Option<Request<MessageBody>> {
        let is_wanted = self.endpoint.is_open() && self.state.get() == RequestState::Pending;
        if !is_wanted || self.is_too_late_to_begin() {
            return None;
        }
        let prepared_at = Instant::now();
        let AttemptRequest { request, body_length, timeout } =
            self.outgoing.for_attempt(self.limits.deadline, &connection.progress)?;
        let told_deadline = timeout.map(|timeout| prepared_at + timeout);
        connection.progress.start(self.guard(prepared_at, told_deadline), body_length);
        Some(request)
    }

    fn guard(&self, prepared_at: Instant, told_deadline: Option<Instant>) -> SendGuard {
        SendGuard {
            prepared_at,
            told_deadline,
            begin_by: self.limits.begin_by,
            list_valid_until: self.list_valid_until.clone(),
            endpoint: self.endpoint.clone(),
            state: self.state.clone(),
            outgoing: self.outgoing.clone(),
        }
    }
}

impl NotSent {
    fn outcome(self) -> Outcome {
        match self {
            NotSent::NoConnection => Outcome::ConnectFailed,
            NotSent::Moot => Outcome::Withdrawn,
        }
    }
}

impl SendError {
    /// The attempt's outcome. Whatever fails before the request's last byte is written proves that it never ran.
    fn outcome(&self, progress: &RequestProgress, backend: SocketAddr, request: &str) -> Outcome {
        let given_up = progress.denied.get() || progress.body_failed.get();
        match self {
            SendError::Exchange(_) if given_up => Outcome::Withdrawn,
            _ if !progress.complete() => Outcome::ConnectFailed,
            SendError::Exchange(error) => {
                info!(request, %backend, error = error.to_string(), "an answer broke");
                Outcome::Reset
            }
            SendError::TimedOut => Outcome::TimedOut,
        }
    }
}
