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

/// A client that takes nothing of a streamed response for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
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

/// How a connection that has been asked to close does so.
enum CloseMode {
    Immediate,
    /// Its incomplete request has been rejected, and the client may still be sending.
    Linger,
    /// With the response to its current request, if there is one.
    Graceful,
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
            match next_event(client, connection.as_mut(), close_deadline).await {
                ConnectionEvent::Ended(result) => {
                    client.record_close_reason(close_reason(&result));
                    break;
                }
                ConnectionEvent::CloseRequested => match client.begin_close() {
                    CloseMode::Immediate => return,
                    CloseMode::Linger => break,
                    CloseMode::Graceful => {
                        connection.as_mut().graceful_shutdown();
                        close_deadline = close_deadline.or(Some(Instant::now() + CLOSE_TIMEOUT));
                    }
                },
                ConnectionEvent::WriteTimedOut if client.is_write_stalled() => {
                    info!(client = %client.address, "client write timed out");
                    client.record_close_reason(ClientClose::WriteTimeout);
                    return;
                }
                ConnectionEvent::WriteTimedOut => {}
                ConnectionEvent::CloseTimedOut if client.stage.get() != Stage::InFlight => {
                    client.record_close_reason(ClientClose::CloseTimeout);
                    return;
                }
                ConnectionEvent::CloseTimedOut => close_deadline = Some(Instant::now() + CLOSE_TIMEOUT),
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
        () = sleep_until(client.last_write.get() + WRITE_TIMEOUT), if client.streaming.get() => {
            ConnectionEvent::WriteTimedOut
        }
        // A response that nobody reads would hold its socket for ever.
        () = sleep_until(close_deadline.unwrap_or_else(Instant::now)), if close_deadline.is_some() => {
            ConnectionEvent::CloseTimedOut
        }
    }
}

/// Why hyper has ended a connection.
fn close_reason(result: &hyper::Result<()>) -> ClientClose {
    match result {
        Ok(()) => ClientClose::WithResponse,
        Err(error) if error.is_parse() => ClientClose::Malformed,
        Err(_) => ClientClose::ByClient,
    }
}

impl Client {
    /// Begins to close the connection, as its stage allows.
    fn begin_close(&self) -> CloseMode {
        match self.stage.get() {
            Stage::New => CloseMode::Immediate,
            // Its last byte may have been written, and then a response is owed.
            Stage::ReadingHead => {
                let overdue = self.request_deadline.get() <= Instant::now();
                reject_incomplete(&self.stream, overdue);
                CloseMode::Linger
            }
            Stage::Lingering | Stage::Idle | Stage::InFlight => CloseMode::Graceful,
        }
    }

    fn is_write_stalled(&self) -> bool {
        self.streaming.get() && self.last_write.get().elapsed() >= WRITE_TIMEOUT
    }
}
