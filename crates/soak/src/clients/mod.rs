//! Test clients, which behave well in most of their requests.

mod behavior;
mod connection;
mod request;

use std::io;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

use crate::history::{Recorder, Request, RequestOutcome};
use crate::proxy::Proxy;
use behavior::RequestBehavior;
use connection::Connection;
use request::PlannedRequest;

pub use behavior::ClientBehavior;

/// Mean pause between the requests of a client.
const MEAN_PAUSE: Duration = Duration::from_millis(250);
/// How long a client still waits after the request's timeout, to tell a late response from a missing one.
const EXTRA_WAIT: Duration = Duration::from_millis(1500);
/// Time limit for reading the body of a response.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a slow reader pauses between the head and the body of a response.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(300);
/// Number of pieces in which a slow writer sends a request.
const SLOW_WRITE_PIECES: usize = 5;
/// How long a slow writer pauses after each piece but the last.
const SLOW_WRITE_PAUSE: Duration = Duration::from_millis(120);
/// How long a client that stalls waits for the proxy to close the connection.
const STALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Upper bound of the time after which a client cancels a request, in milliseconds.
const MAX_CANCEL_DELAY_MS: u64 = 300;

/// Generates a unique ID for each request.
#[derive(Default)]
pub struct RequestIds(AtomicU64);

impl RequestIds {
    fn next(&self) -> String {
        format!("r-{:x}", self.0.fetch_add(1, SeqCst))
    }
}

/// A client of one proxy.
pub struct Client {
    /// The proxy that receives the client's requests.
    pub proxy: Arc<Proxy>,
    /// Records the client's requests and their outcomes.
    pub recorder: Arc<Recorder>,
    /// Generates the IDs of the client's requests.
    pub ids: Arc<RequestIds>,
    /// Current behavior, shared by all clients of the fleet.
    pub behavior: Arc<Mutex<ClientBehavior>>,
}

impl Client {
    /// Sends requests until the task is aborted.
    pub async fn run(self) {
        let mut idle: Option<Connection> = None;
        loop {
            sleep(MEAN_PAUSE.mul_f64(2.0 * fastrand::f64())).await;
            let reusable = idle.take().filter(|connection| !connection.is_closed());
            let connection = match reusable {
                Some(connection) => Some(connection),
                None => self.connect().await.ok(),
            };
            if let Some(connection) = connection {
                idle = self.exchange(connection).await;
            }
        }
    }

    async fn connect(&self) -> io::Result<Connection> {
        if !self.proxy.accepts_connections() {
            return Err(io::ErrorKind::NotConnected.into());
        }
        Connection::open(self.proxy.spec.listen).await
    }

    fn plan_request(&self) -> PlannedRequest {
        let behavior = *self.behavior.lock().unwrap_or_else(PoisonError::into_inner);
        PlannedRequest::random(self.ids.next(), behavior)
    }

    /// Sends a request, then waits or cancels as planned; returns the connection if it can be reused.
    async fn exchange(&self, mut connection: Connection) -> Option<Connection> {
        let request = self.plan_request();
        self.record_request(&request, connection.is_reused());
        if request.behavior == RequestBehavior::Stall {
            return self.stall(connection, &request).await;
        }
        self.send(&mut connection, &request).await.ok()?;
        match request.behavior {
            RequestBehavior::Cancel => {
                sleep(Duration::from_millis(fastrand::u64(0..MAX_CANCEL_DELAY_MS))).await;
                self.record_cancelled(&request);
                None
            }
            RequestBehavior::Pipeline => self.pipeline(connection, &request).await,
            RequestBehavior::Wait
            | RequestBehavior::ReadSlowly
            | RequestBehavior::Stall
            | RequestBehavior::WriteSlowly => self.receive(connection, &request).await,
        }
    }

    async fn send(&self, connection: &mut Connection, request: &PlannedRequest) -> io::Result<()> {
        let bytes = request.to_bytes();
        let mut rest = bytes.as_slice();
        if request.behavior == RequestBehavior::WriteSlowly {
            rest = send_slowly(connection, rest).await?;
        }
        connection.send(rest).await?;
        self.recorder.update_request(&request.id, |request| request.sent_at = Some(Instant::now()));
        Ok(())
    }

    /// Pipelines a second request behind the first and waits for both responses.
    async fn pipeline(&self, mut connection: Connection, first: &PlannedRequest) -> Option<Connection> {
        let mut second = self.plan_request();
        second.behavior = RequestBehavior::Wait;
        second.long_response = false;
        self.record_request(&second, true);
        let _ = self.send(&mut connection, &second).await; // an error also shows when the first response is read
        let Some(connection) = self.receive(connection, first).await else {
            // The proxy has not read the second request, or the client cancels it by dropping the connection.
            self.record_cancelled(&second);
            return None;
        };
        self.receive(connection, &second).await
    }

    /// Waits for the response; returns the connection if it can be reused.
    async fn receive(&self, mut connection: Connection, request: &PlannedRequest) -> Option<Connection> {
        let limit = request.timeout + EXTRA_WAIT;
        let head = match timeout(limit, connection.reader.read_head()).await {
            Err(_) => {
                self.recorder.record_outcome(&request.id, RequestOutcome::Unanswered);
                return None;
            }
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None) | Err(_)) => {
                let outcome = RequestOutcome::Closed { at: Instant::now() };
                self.recorder.record_outcome(&request.id, outcome);
                return None;
            }
        };
        if request.behavior == RequestBehavior::ReadSlowly {
            sleep(SLOW_READ_PAUSE).await;
        }
        let body = timeout(BODY_TIMEOUT, connection.reader.skip_body(&head)).await;
        let at = Instant::now();
        let is_complete = matches!(body, Ok(Ok(_)));
        let outcome = if is_complete {
            RequestOutcome::Answered { status: head.status(), at }
        } else {
            RequestOutcome::Broken { at }
        };
        self.recorder.record_outcome(&request.id, outcome);
        (is_complete && !head.closes()).then_some(connection)
    }

    /// Sends a part of a request and waits until the proxy closes the connection.
    async fn stall(&self, mut connection: Connection, request: &PlannedRequest) -> Option<Connection> {
        let bytes = request.to_bytes();
        let part = fastrand::usize(1..bytes.len());
        connection.send_part(&bytes[..part]).await.ok()?;
        if timeout(STALL_TIMEOUT, connection.reader.read_head()).await.is_err() {
            // The request was never complete, but the proxy has to respond or close the connection.
            self.recorder.record_outcome(&request.id, RequestOutcome::Unanswered);
        }
        None
    }

    fn record_request(&self, planned: &PlannedRequest, connection_reused: bool) {
        let request = Request {
            proxy: self.proxy.spec.index,
            class: planned.class,
            timeout: planned.timeout,
            started_at: Instant::now(),
            sent_at: None,
            connection_reused,
            reads_slowly: planned.long_response,
            cancelled_at: None,
            outcome: None,
        };
        self.recorder.history().requests.insert(planned.id.clone(), request);
    }

    fn record_cancelled(&self, request: &PlannedRequest) {
        self.recorder.update_request(&request.id, |request| request.cancelled_at = Some(Instant::now()));
    }
}

/// Sends all but the last piece of a request, with a pause after each; returns the last piece.
async fn send_slowly<'a>(connection: &mut Connection, bytes: &'a [u8]) -> io::Result<&'a [u8]> {
    let mut rest = bytes;
    let piece_length = bytes.len().div_ceil(SLOW_WRITE_PIECES);
    while rest.len() > piece_length {
        let (piece, behind) = rest.split_at(piece_length);
        connection.send_part(piece).await?;
        sleep(SLOW_WRITE_PAUSE).await;
        rest = behind;
    }
    Ok(rest)
}
