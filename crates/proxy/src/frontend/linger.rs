//! The end of a connection whose client may still be sending.
//!
//! A close would reset the connection before the client has read its response, so what it sends is read and dropped
//! for a while. A client that sends a request after the close of its idle connection has read the response before it:
//! that request is not read, and the reset tells the client that it may send it again elsewhere.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

use super::client::{Client, Stage};
use super::{Frontend, MAX_HEAD_BYTES};
use crate::socket::{half_close, is_transient};

/// What a client still sends is read for this long,
const MAX_LINGER_TIME: Duration = Duration::from_millis(1500);
/// and up to this many bytes.
const MAX_LINGER_BYTES: usize = 72 << 20;
/// A reset would drop what the system has not sent yet of the last response, so it comes this long after the close.
const MIN_RESET_DELAY: Duration = Duration::from_millis(50);

impl Frontend {
    /// Waits for the client to close its side, within bounds.
    pub(super) async fn linger(&self, client: &Rc<Client>) {
        self.set_stage(client, Stage::Lingering);
        let end = async {
            match client.closed_while_idle.get() {
                true => input_or_end(&client.stream).await,
                false => discard_input(&client.stream).await,
            }
        };
        tokio::select! {
            _ = timeout(MAX_LINGER_TIME, end) => {}
            () = client.close_requested() => {}
        }
    }
}

/// Rejects a request that is incomplete and is waited for no longer, as far as the client takes the response at once.
/// The request has been sent to no backend.
pub(super) fn reject_incomplete(stream: &TcpStream, overdue: bool) {
    let status = if overdue { StatusCode::REQUEST_TIMEOUT } else { StatusCode::SERVICE_UNAVAILABLE };
    let response = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    let _ = stream.try_write(response.as_bytes()); // a client that has disconnected needs none
}

/// Returns once the client has closed its side, or has sent anything more; reads nothing.
async fn input_or_end(stream: &TcpStream) {
    let reset_at = Instant::now() + MIN_RESET_DELAY;
    let is_input = loop {
        match stream.peek(&mut [0]).await {
            Ok(length) => break length > 0,
            Err(error) if is_transient(&error) => {}
            Err(_) => break false,
        }
    };
    if is_input {
        sleep_until(reset_at).await;
    }
}

/// Closes the sending side and reads on until the client closes its own, or has sent too much.
async fn discard_input(stream: &TcpStream) {
    if half_close(stream).is_err() {
        return;
    }
    let mut buffer = vec![0; MAX_HEAD_BYTES];
    let mut remaining = MAX_LINGER_BYTES;
    while remaining > 0 && stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(read) => remaining = remaining.saturating_sub(read),
            Err(error) if is_transient(&error) => {}
            Err(_) => return,
        }
    }
}
