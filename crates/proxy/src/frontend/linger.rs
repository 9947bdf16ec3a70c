//! Lingering close of a connection whose client may still be sending.
//!
//! Closing a socket with unread input resets the connection, possibly before the client has read its response. Input is
//! therefore read and discarded for a while. An idle connection is an exception: a client that sends a request after
//! the proxy has closed its idle connection has already read the previous response. Its request is left unread, so that
//! the reset tells the client that the request may be resent on another connection.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

use super::Frontend;
use super::client::{Client, Stage};
use crate::socket::{self, PeekResult, half_close, is_transient, peek, wait_for_input};

/// Longest time for which a closing connection waits for the client to close its side.
const MAX_LINGER_TIME: Duration = Duration::from_millis(1500);
/// Maximum number of bytes that are read and discarded from a closing connection.
const MAX_LINGER_BYTES: usize = 72 << 20;
/// Minimum time between closing the sending side and a reset. A reset drops the part of the last response that the
/// operating system has not sent yet.
const MIN_RESET_DELAY: Duration = Duration::from_millis(50);

impl Frontend {
    /// Waits until the client has closed its side, for a limited time.
    pub(super) async fn linger(&self, client: &Rc<Client>) {
        self.set_stage(client, Stage::Lingering);
        let end = async {
            match client.closed_while_idle.get() {
                true => wait_for_input_or_end(&client.stream).await,
                false => discard_input(&client.stream).await,
            }
        };
        tokio::select! {
            _ = timeout(MAX_LINGER_TIME, end) => {}
            () = client.close_requested() => {}
        }
    }
}

/// Rejects a request that has not arrived completely: with status 408 if its deadline has passed, otherwise with 503.
/// The response is written without waiting, so a client whose socket buffer is full may not get it. The request has not
/// been sent to any backend.
pub(super) fn reject_incomplete(stream: &TcpStream, overdue: bool) {
    let status = if overdue { StatusCode::REQUEST_TIMEOUT } else { StatusCode::SERVICE_UNAVAILABLE };
    let response = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    let _ = stream.try_write(response.as_bytes()); // best effort: a disconnected client needs no response
}

/// Waits until the client has closed its side or has sent more input, which is left unread.
async fn wait_for_input_or_end(stream: &TcpStream) {
    let reset_at = Instant::now() + MIN_RESET_DELAY;
    wait_for_input(stream).await;
    if peek(stream) == PeekResult::Bytes {
        sleep_until(reset_at).await;
    }
}

/// Closes the sending side, then discards input until the client closes its side or the byte limit is reached.
async fn discard_input(stream: &TcpStream) {
    if half_close(stream).is_err() {
        return;
    }
    let mut remaining = MAX_LINGER_BYTES;
    while remaining > 0 && stream.readable().await.is_ok() {
        match socket::discard_input(stream) {
            Ok(0) => return,
            Ok(read) => remaining = remaining.saturating_sub(read),
            Err(error) if is_transient(&error) => {}
            Err(_) => return,
        }
    }
}
