//! One connection of a client, from its first byte to its end.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::time::{Instant, sleep_until};
use tracing::info;

use super::client::{Client, Stage};
use super::client_socket::ClientSocket;
use super::linger::reject_incomplete;
use super::{Frontend, MAX_HEAD_BYTES};
use crate::close_reason::ClientClose;
use crate::socket::{PeekResult, peek};

/// A connection asked to close is cut after this time, unless a request is in flight.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a connection's task waits for.
enum ConnectionEvent {
    /// Hyper has ended the connection.
    Ended(hyper::Result<()>),
    /// The connection has been asked to close.
    CloseRequested,
    /// The client may take nothing of its streamed response.
    WriteTimedOut,
    /// The connection was asked to close and has not.
    CloseTimedOut,
}

/// What a connection's task does next.
enum NextStep {
    /// Go on serving.
    Serve,
    /// Close with the response to the current request, if there is one.
    ShutDownGracefully,
    /// Go on shutting down: the current request has no response yet.
    ExtendCloseTimeout,
    /// Read what the client may still be sending, then close.
    Linger,
    /// Close at once.
    Close,
}

impl Frontend {
    /// Serves a connection until it has ended or has to.
    pub(super) async fn serve_connection(self: &Rc<Self>, client: &Rc<Client>) {
        let service = service_fn(|request| {
            let frontend = self.clone();
            let client = client.clone();
            async move { frontend.handle(request, &client).await }
        });
        let socket = ClientSocket { client: client.clone(), frontend: self.clone() };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(socket), service);
        tokio::pin!(connection);
        let mut close_deadline = None;
        loop {
            let event = next_event(client, connection.as_mut(), close_deadline).await;
            match client.next_step(event) {
                NextStep::Serve => {}
                NextStep::ShutDownGracefully => {
                    connection.as_mut().graceful_shutdown();
                    close_deadline = close_deadline.or(Some(Instant::now() + CLOSE_TIMEOUT));
                }
                NextStep::ExtendCloseTimeout => close_deadline = Some(Instant::now() + CLOSE_TIMEOUT),
                NextStep::Linger => break,
                NextStep::Close => return,
            }
        }
        // Hyper has answered malformed requests; a client that has closed its side needs nothing.
        if !client.read_closed.get() {
            self.linger(client).await;
        }
    }
}

/// Runs a connection until something else has to be done about it.
async fn next_event(
    client: &Client, connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    close_deadline: Option<Instant>,
) -> ConnectionEvent {
    tokio::select! {
        biased; // what has arrived counts before a wish to close
        result = connection => ConnectionEvent::Ended(result),
        () = client.close_requested() => ConnectionEvent::CloseRequested,
        // A streamed response that nobody reads would hold its backend's connection for ever.
        () = sleep_until(client.write_watchdog.deadline()), if client.write_watchdog.is_streaming() => {
            ConnectionEvent::WriteTimedOut
        }
        // A response that nobody reads would hold its socket for ever.
        () = sleep_until(close_deadline.unwrap_or_else(Instant::now)), if close_deadline.is_some() => {
            ConnectionEvent::CloseTimedOut
        }
    }
}

impl Client {
    /// What an event leads to; records why the connection is closed.
    fn next_step(&self, event: ConnectionEvent) -> NextStep {
        match event {
            ConnectionEvent::Ended(result) => {
                self.record_close_reason(self.reason_of_end(&result));
                NextStep::Linger
            }
            ConnectionEvent::CloseRequested => self.begin_close(),
            ConnectionEvent::WriteTimedOut if self.write_watchdog.has_expired() => {
                info!(client = %self.address, "client write timed out");
                self.record_close_reason(ClientClose::WriteTimeout);
                NextStep::Close
            }
            ConnectionEvent::WriteTimedOut => NextStep::Serve,
            ConnectionEvent::CloseTimedOut if self.stage.get() == Stage::InFlight => {
                NextStep::ExtendCloseTimeout
            }
            ConnectionEvent::CloseTimedOut => {
                self.record_close_reason(ClientClose::CloseTimeout);
                NextStep::Close
            }
        }
    }

    /// Why hyper has ended the connection.
    fn reason_of_end(&self, result: &hyper::Result<()>) -> ClientClose {
        match result {
            Ok(()) if self.stage.get() != Stage::InFlight && self.read_closed.get() => ClientClose::ByClient,
            Ok(()) => ClientClose::WithResponse,
            Err(error) if error.is_parse() => ClientClose::Malformed,
            Err(_) => ClientClose::ByClient,
        }
    }

    /// Begins to close the connection, as its stage allows.
    fn begin_close(&self) -> NextStep {
        match self.stage.get() {
            Stage::New => NextStep::Close,
            // Its last byte may have been written, and then a response is owed.
            Stage::ReadingHead => {
                let overdue = self.request_deadline.get() <= Instant::now();
                reject_incomplete(&self.stream, overdue);
                NextStep::Linger
            }
            Stage::Idle => self.begin_idle_close(),
            Stage::Lingering | Stage::InFlight => NextStep::ShutDownGracefully,
        }
    }

    /// Begins to close the connection between two requests, unless the next one has arrived and has not been read.
    fn begin_idle_close(&self) -> NextStep {
        if peek(&self.stream) == PeekResult::Bytes {
            self.closes_with_response.set(true);
            return NextStep::Serve;
        }
        self.closed_while_idle.set(true);
        NextStep::ShutDownGracefully
    }
}
