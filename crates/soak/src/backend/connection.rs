//! The backend's side of a connection from a proxy.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Semaphore;

use super::{Backend, BackendMode};
use crate::history::Attempt;
use crate::http::{Head, MessageReader};

/// Length in bytes of a long response body, which proxies stream.
const LONG_BODY: usize = 200 << 10;
/// Length in bytes of any other response body.
const SHORT_BODY: usize = 20;
/// Length in bytes of the longest request body that a backend reads while it hangs.
const MAX_BODY_READ_WHILE_HANGING: usize = 1 << 20;
const FAILURE: &[u8] = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
const REJECTION: &[u8] = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

/// Whether a connection stays open after a response.
#[derive(PartialEq)]
enum AfterResponse {
    Continue,
    Close,
}

/// Index of an attempt in [`History::attempts`](crate::history::History::attempts).
#[derive(Clone, Copy)]
struct AttemptIndex(usize);

/// A connection to a backend process.
pub(super) struct Connection {
    pub(super) backend: Arc<Backend>,
    /// Number of the backend process, counted from 0.
    pub(super) process: u32,
    /// The backend's only core, which serves one request at a time.
    pub(super) core: Arc<Semaphore>,
    /// Whether the connection may have waited in the accept queue.
    pub(super) may_have_queued: bool,
}

impl Connection {
    pub(super) async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (input, mut output) = stream.into_split();
        let mut reader = MessageReader::new(input);
        while reader.wait_for_data().await? {
            let started_at = Instant::now();
            let Some(head) = reader.read_head().await? else { return Ok(()) };
            let attempt = self.record_attempt(&head, started_at);
            if self.backend.mode() == BackendMode::Hang && head.content_length() > MAX_BODY_READ_WHILE_HANGING
            {
                return std::future::pending().await;
            }
            reader.skip_body(&head).await?;
            let mode = self.backend.mode();
            self.record_received(attempt, mode != BackendMode::Reject);
            if self.respond(mode, &head, &mut output).await? == AfterResponse::Close {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn respond(
        &self, mode: BackendMode, request: &Head, output: &mut OwnedWriteHalf,
    ) -> io::Result<AfterResponse> {
        match mode {
            BackendMode::Serve | BackendMode::AcceptNone => {
                self.work().await;
                output.write_all(&response(request)).await?;
                Ok(AfterResponse::Continue)
            }
            BackendMode::CloseAfterAnswer => {
                self.work().await;
                output.write_all(&response(request)).await?;
                Ok(AfterResponse::Close)
            }
            BackendMode::Hang => std::future::pending().await,
            BackendMode::Fail => {
                output.write_all(FAILURE).await?;
                Ok(AfterResponse::Continue)
            }
            BackendMode::Reject => {
                output.write_all(REJECTION).await?;
                Ok(AfterResponse::Continue)
            }
            BackendMode::Reset => {
                reset_on_drop(output.as_ref());
                Ok(AfterResponse::Close)
            }
            BackendMode::ResetInAnswer => {
                let response = response(request);
                output.write_all(&response[..response.len() / 2]).await?;
                reset_on_drop(output.as_ref());
                Ok(AfterResponse::Close)
            }
        }
    }

    /// Waits for the core, then sleeps for a random time between 0.5 and 1.5 times the mean service time.
    async fn work(&self) {
        let Ok(_core) = self.core.acquire().await else { return };
        let service_time = self.backend.service_time();
        tokio::time::sleep(service_time.mul_f64(0.5 + fastrand::f64())).await;
    }

    fn record_attempt(&self, head: &Head, started_at: Instant) -> AttemptIndex {
        let attempt = Attempt {
            request_id: head.header("x-request-id").unwrap_or_default().to_owned(),
            backend: self.backend.index,
            process: self.process,
            started_at,
            may_have_queued: self.may_have_queued,
            received_at: None,
            timeout: head.header("x-timeout").and_then(|seconds| seconds.parse().ok()),
            may_have_run: false,
        };
        let mut history = self.backend.recorder.history();
        history.attempts.push(attempt);
        AttemptIndex(history.attempts.len() - 1)
    }

    fn record_received(&self, index: AttemptIndex, may_have_run: bool) {
        let mut history = self.backend.recorder.history();
        let attempt = &mut history.attempts[index.0];
        attempt.received_at = Some(Instant::now());
        attempt.may_have_run = may_have_run;
    }
}

/// Builds the response to a request; it is long if the path of the request contains `long=1`.
fn response(request: &Head) -> Vec<u8> {
    let length = if request.first_line.contains("long=1") { LONG_BODY } else { SHORT_BODY };
    let mut response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    response.resize(response.len() + length, b'x');
    response
}

/// Makes the connection end with a TCP reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = stream.set_zero_linger(); // if this fails, the connection ends with a FIN, which tests the proxy as well
}
