//! One connection of a client, from its first byte to its end.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::info;

use super::client::{Client, ClientDisconnected, Stage};
use super::client_socket::ClientSocket;
use super::request::Received;
use super::response::text_response;
use super::stages::GRACE;
use super::{Frontend, MAX_HEAD_SIZE, REQUEST_TIMEOUT};
use crate::cause::Cause;
use crate::close_reason::ClientClose;
use crate::socket::{half_close, is_transient};
use crate::upstream::MessageBody;

/// A client that takes nothing of a streamed answer for this span is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection asked to close that neither reads nor writes for this span is cut.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// After a rejection the client may still be sending, and a close would reset the connection before it has read the
/// answer. What it sends is read and dropped for this span,
const LINGER_TIME: Duration = Duration::from_millis(1500);
/// and up to this many bytes.
const LINGER_BYTES: usize = 72 << 20;

/// How a connection that has been asked to close does so.
enum Close {
    AtOnce,
    /// Its incomplete request has been rejected, and the client may still be sending.
    Linger,
    /// With the answer to its current request, if there is one.
    Gracefully,
}

impl Frontend {
    /// Serves a connection until it has ended or has to.
    pub(super) async fn serve_connection(self: &Rc<Self>, client: &Rc<Client>) {
        let service = service_fn(|request| {
            let (frontend, client) = (self.clone(), client.clone());
            async move { frontend.handle(request, &client).await }
        });
        let socket = ClientSocket { client: client.clone(), frontend: self.clone() };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_SIZE)
            .serve_connection(TokioIo::new(socket), service);
        tokio::pin!(connection);
        let mut cut_at = None;
        loop {
            tokio::select! {
                biased; // what has arrived counts before a wish to close
                end = connection.as_mut() => {
                    client.note_close(end_of(&end));
                    break;
                }
                () = client.asked_to_close() => match client.begin_close() {
                    Close::AtOnce => return,
                    Close::Linger => break,
                    Close::Gracefully => {
                        connection.as_mut().graceful_shutdown();
                        cut_at = cut_at.or(Some(Instant::now() + CLOSE_TIMEOUT));
                    }
                },
                // A streamed answer that nobody reads would hold its backend's connection for ever.
                () = sleep_until(client.last_write.get() + WRITE_TIMEOUT), if client.streaming.get() => {
                    if client.is_write_stalled() {
                        info!(client = %client.address, "a client takes nothing of its answer");
                        client.note_close(ClientClose::WriteTimeout);
                        return;
                    }
                }
                // An answer that nobody reads would hold its socket for ever.
                () = sleep_until(cut_at.unwrap_or_else(Instant::now)), if cut_at.is_some() => {
                    if client.stage.get() != Stage::InFlight {
                        client.note_close(ClientClose::CloseTimeout);
                        return;
                    }
                    cut_at = Some(Instant::now() + CLOSE_TIMEOUT);
                }
            }
        }
        // Hyper has answered malformed requests; a client that has closed its side needs nothing.
        if !client.read_closed.get() {
            self.linger(client).await;
        }
    }

    /// Handles one request that hyper has read the head of.
    async fn handle(
        self: &Rc<Self>, request: Request<Incoming>, client: &Rc<Client>,
    ) -> Result<Response<MessageBody>, ClientDisconnected> {
        let received = client.received(request);
        self.set_stage(client, Stage::InFlight);
        let overloaded = self.in_flight.get() > self.budget.max_in_flight();
        let mut response = if overloaded {
            self.reject_overloaded(&received)
        } else {
            self.respond(received, client).await.inspect_err(|_| client.read_closed.set(true))?
        };
        // After a malformed request nobody knows where the next one would begin.
        if overloaded || self.draining() || response.status().is_client_error() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        } else if !client.streaming.get() {
            self.set_stage(client, Stage::Idle);
        }
        Ok(response)
    }

    /// Rejects a request because too many are in flight. It is counted if its head is valid.
    fn reject_overloaded(&self, received: &Received) -> Response<MessageBody> {
        if let Ok(meta) = self.check(&received.request) {
            self.count_request(&meta, received.arrived_at).end(Cause::RefusedBusy);
        }
        text_response(StatusCode::SERVICE_UNAVAILABLE, "too many connections")
    }

    /// Reads and drops what the client still sends, within bounds.
    async fn linger(&self, client: &Rc<Client>) {
        self.set_stage(client, Stage::Lingering);
        tokio::select! {
            _ = timeout(LINGER_TIME, discard_input(&client.stream)) => {}
            () = client.asked_to_close() => {}
        }
    }
}

/// Why hyper has ended a connection.
fn end_of(end: &hyper::Result<()>) -> ClientClose {
    match end {
        Ok(()) => ClientClose::WithAnswer,
        Err(error) if error.is_parse() => ClientClose::Malformed,
        Err(_) => ClientClose::ByClient,
    }
}

impl Client {
    /// A request of which hyper has read the head, with what else is known of the head.
    fn received(&self, request: Request<Incoming>) -> Received {
        // A pipelined head arrived with the previous request, so its raw bytes have not been seen apart.
        let pipelined = self.stage.get() == Stage::Idle;
        if pipelined {
            self.request_due.set(Instant::now() + REQUEST_TIMEOUT);
        }
        let raw_head = (!pipelined).then(|| self.raw_head.take());
        // One that was read behind another has been there since.
        let read_at = if pipelined { self.last_read.get() } else { Instant::now() };
        // What arrived while its connection was in the accept queue is as old as that.
        let came_first = self.first_request.replace(false) || pipelined;
        let was_queued = came_first && read_at - self.accepted_at < GRACE;
        let arrived_at = if was_queued { self.queued_since } else { read_at };
        Received { request, arrived_at, raw_head }
    }

    /// Begins to close the connection, as its stage allows.
    fn begin_close(&self) -> Close {
        match self.stage.get() {
            Stage::New => Close::AtOnce,
            // Its last byte may have been written, and then an answer is owed.
            Stage::ReadingHead => {
                reject_incomplete(&self.stream, self.request_due.get() <= Instant::now());
                Close::Linger
            }
            Stage::Lingering | Stage::Idle | Stage::InFlight => Close::Gracefully,
        }
    }

    fn is_write_stalled(&self) -> bool {
        self.streaming.get() && self.last_write.get().elapsed() >= WRITE_TIMEOUT
    }
}

/// Answers a request that is incomplete and is waited for no longer, as far as the client takes the answer at once.
/// The request has been sent to no backend.
fn reject_incomplete(stream: &TcpStream, overdue: bool) {
    let status = if overdue { StatusCode::REQUEST_TIMEOUT } else { StatusCode::SERVICE_UNAVAILABLE };
    let answer = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    let _ = stream.try_write(answer.as_bytes()); // a client that has gone needs none
}

/// Closes the sending side and reads on until the client closes its own, or has sent too much.
async fn discard_input(stream: &TcpStream) {
    if half_close(stream).is_err() {
        return;
    }
    let mut buffer = vec![0; MAX_HEAD_SIZE];
    let mut remaining = LINGER_BYTES;
    while remaining > 0 && stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(read) => remaining = remaining.saturating_sub(read),
            Err(error) if is_transient(&error) => {}
            Err(_) => return,
        }
    }
}
