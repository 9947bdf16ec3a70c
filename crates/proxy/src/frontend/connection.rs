//! Serves one client connection from its first byte to its end.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::time::{Instant, sleep_until};
use tracing::info;

use super::Frontend;
use super::client::{Client, Stage};
use super::client_socket::ClientSocket;
use super::linger::reject_incomplete;
use super::live_count::CountGuard;
use crate::close_reason::ClientCloseReason;
use crate::memory::MAX_HEAD_BYTES;
use crate::socket::{PeekResult, peek, send_buffer_size, wait_for_input};

/// Time after which a connection that is shutting down is closed at once, unless a request is in flight.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// An event that a connection's task waits for.
enum ConnectionEvent {
    /// Hyper has ended the connection.
    Ended(hyper::Result<()>),
    /// Another part of the frontend wants the connection to close.
    CloseRequested,
    /// The client has taken nothing of a streamed response for too long.
    WriteTimedOut,
    /// The close timeout has passed and the connection is still open.
    CloseTimedOut,
}

/// The next step of a connection's task.
enum NextStep {
    /// Continue to serve the connection.
    Serve,
    /// Shut the connection down after the response to the current request, or now if there is no request.
    ShutDownGracefully,
    /// Restart the close timeout because the current request has no response yet.
    ExtendCloseTimeout,
    /// Wait for a limited time until the client has closed its side, then close.
    Linger,
    /// Close without waiting for the client.
    Close,
}

/// How the HTTP library's part of a connection has ended.
#[derive(PartialEq)]
enum ServedEnd {
    /// The client may still be sending.
    Linger,
    /// The connection closes at once.
    Close,
}

impl Frontend {
    /// Serves a connection until it has ended, then lingers if the client may still be sending. The HTTP library's
    /// buffers exist from the first byte on, and are released before the linger.
    pub(super) async fn serve_connection(self: &Rc<Self>, client: &Rc<Client>) {
        if !client.first_byte_arrived().await {
            return;
        }
        let end = match self.reserve_served_connection() {
            Some(_served) => self.serve_requests(client).await,
            None => {
                client.record_close_reason(ClientCloseReason::NoMemory);
                reject_incomplete(&client.stream, false);
                ServedEnd::Linger
            }
        };
        // Hyper has already responded to a malformed request, and the client has to be able to read that response. A
        // client that has closed its sending side sends nothing that could reset the connection first.
        if end == ServedEnd::Linger && !client.read_closed.get() {
            self.linger(client).await;
        }
    }

    /// Counts a connection as one with buffers for as long as the returned guard exists. If there are too many, evicts
    /// another one, which ends within the same turn of the event loop; returns `None` if none can be evicted.
    fn reserve_served_connection(&self) -> Option<CountGuard> {
        let has_room = self.served_connections.get() < self.memory.max_served_connections();
        (has_room || self.connections.evict_one_with_buffers()).then(|| self.served_connections.start())
    }

    /// Serves a connection's requests until it is to be closed.
    async fn serve_requests(self: &Rc<Self>, client: &Rc<Client>) -> ServedEnd {
        let buffers = self.memory.connection_buffers();
        client.buffers.set(buffers.sizes());
        let service = service_fn(|request| {
            let frontend = self.clone();
            let client = client.clone();
            let received = frontend.begin(request, &client);
            async move { frontend.handle(received, &client).await }
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
                NextStep::Linger => return ServedEnd::Linger,
                NextStep::Close => return ServedEnd::Close,
            }
        }
    }
}

/// Drives a connection until the next event.
async fn next_event(
    client: &Client, connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    close_deadline: Option<Instant>,
) -> ConnectionEvent {
    tokio::select! {
        biased; // handles input that has already arrived before a request to close
        result = connection => ConnectionEvent::Ended(result),
        () = client.close_requested() => ConnectionEvent::CloseRequested,
        // Without this timeout, a streamed response that the client doesn't read would occupy a backend connection
        // forever.
        () = client.write_watchdog.expired(|| send_buffer_size(&client.stream)) => ConnectionEvent::WriteTimedOut,
        // Without this timeout, a response that the client doesn't read would occupy the client's socket forever.
        () = sleep_until(close_deadline.unwrap_or_else(Instant::now)), if close_deadline.is_some() => {
            ConnectionEvent::CloseTimedOut
        }
    }
}

impl Client {
    /// Waits for the first byte, or for the end of the input. Returns false if the connection is to be closed before.
    async fn first_byte_arrived(&self) -> bool {
        tokio::select! {
            biased;
            () = wait_for_input(&self.stream) => true,
            () = self.close_requested() => false,
        }
    }

    /// Decides the next step after an event, and records why the connection is closed if it is.
    fn next_step(&self, event: ConnectionEvent) -> NextStep {
        match event {
            ConnectionEvent::Ended(result) => {
                self.record_close_reason(self.end_reason(&result));
                NextStep::Linger
            }
            ConnectionEvent::CloseRequested => self.begin_close(),
            ConnectionEvent::WriteTimedOut => {
                info!(client = %self.address, "client write timed out");
                self.record_close_reason(ClientCloseReason::WriteTimeout);
                NextStep::Close
            }
            ConnectionEvent::CloseTimedOut if self.stage.get() == Stage::InFlight => {
                NextStep::ExtendCloseTimeout
            }
            ConnectionEvent::CloseTimedOut => {
                self.record_close_reason(ClientCloseReason::CloseTimeout);
                NextStep::Close
            }
        }
    }

    /// Derives the close reason from the result with which hyper ended the connection.
    fn end_reason(&self, result: &hyper::Result<()>) -> ClientCloseReason {
        match result {
            Ok(()) if self.stage.get() != Stage::InFlight && self.read_closed.get() => {
                ClientCloseReason::ByClient
            }
            Ok(()) => ClientCloseReason::WithResponse,
            Err(error) if error.is_parse() => ClientCloseReason::Malformed,
            Err(_) => ClientCloseReason::ByClient,
        }
    }

    /// Begins to close the connection in the way that suits its stage.
    fn begin_close(&self) -> NextStep {
        match self.stage.get() {
            Stage::New => NextStep::Close,
            // The client may have written the whole request already, so it has to get a response.
            Stage::ReadingHead => {
                let overdue = self.request_deadline.get() <= Instant::now();
                reject_incomplete(&self.stream, overdue);
                NextStep::Linger
            }
            Stage::Idle => self.begin_idle_close(),
            Stage::Lingering | Stage::InFlight => NextStep::ShutDownGracefully,
        }
    }

    /// Begins to close a connection between two requests. If unread bytes of the next request have already arrived,
    /// that request is served first and the connection closes with its response.
    fn begin_idle_close(&self) -> NextStep {
        if peek(&self.stream) == PeekResult::Bytes {
            self.closes_with_response.set(true);
            return NextStep::Serve;
        }
        self.closed_while_idle.set(true);
        NextStep::ShutDownGracefully
    }
}
