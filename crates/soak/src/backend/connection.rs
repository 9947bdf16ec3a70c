//! One connection to a stand-in backend.

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

/// Bytes of a long response, which proxies stream.
const LONG_BODY: usize = 200 << 10;
/// Bytes of any other response.
const SHORT_BODY: usize = 20;
const FAILURE: &[u8] = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
const REJECTION: &[u8] = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

/// Whether a connection goes on after a response.
#[derive(PartialEq)]
enum Next {
    Continue,
    Close,
}

/// The position of an attempt in the history.
#[derive(Clone, Copy)]
struct AttemptIndex(usize);

/// One connection to a backend.
pub(super) struct Connection {
    pub(super) backend: Arc<Backend>,
    pub(super) process: u32,
    /// The one core of the backend, which serves a request at a time.
    pub(super) core: Arc<Semaphore>,
    /// Whether it may have waited in the accept queue.
    pub(super) queued: bool,
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
            reader.skip_body(&head).await?;
            let mode = self.backend.mode();
            self.record_received(attempt, mode != BackendMode::Reject);
            if self.respond(mode, &head, &mut output).await? == Next::Close {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn respond(
        &self, mode: BackendMode, request: &Head, output: &mut OwnedWriteHalf,
    ) -> io::Result<Next> {
        match mode {
            BackendMode::Serve | BackendMode::AcceptNone => {
                self.work().await;
                output.write_all(&response(request)).await?;
                Ok(Next::Continue)
            }
            BackendMode::CloseAfterAnswer => {
                self.work().await;
                output.write_all(&response(request)).await?;
                Ok(Next::Close)
            }
            BackendMode::Hang => std::future::pending().await,
            BackendMode::Fail => {
                output.write_all(FAILURE).await?;
                Ok(Next::Continue)
            }
            BackendMode::Reject => {
                output.write_all(REJECTION).await?;
                Ok(Next::Continue)
            }
            BackendMode::Reset => {
                reset_on_drop(output.as_ref());
                Ok(Next::Close)
            }
            BackendMode::ResetInAnswer => {
                let response = response(request);
                output.write_all(&response[..response.len() / 2]).await?;
                reset_on_drop(output.as_ref());
                Ok(Next::Close)
            }
        }
    }

    /// Waits for the core and works, between half and one and a half times the mean service time.
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
            queued: self.queued,
            received_at: None,
            timeout: head.header("x-timeout").and_then(|seconds| seconds.parse().ok()),
            ran: false,
        };
        let mut history = self.backend.recorder.history();
        history.attempts.push(attempt);
        AttemptIndex(history.attempts.len() - 1)
    }

    fn record_received(&self, index: AttemptIndex, ran: bool) {
        let mut history = self.backend.recorder.history();
        let attempt = &mut history.attempts[index.0];
        attempt.received_at = Some(Instant::now());
        attempt.ran = ran;
    }
}

/// The response to a request: a long one where its path asks for that.
fn response(request: &Head) -> Vec<u8> {
    let length = if request.first_line.contains("long=1") { LONG_BODY } else { SHORT_BODY };
    let mut response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    response.resize(response.len() + length, b'x');
    response
}

/// Lets the connection end with a reset once it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = stream.set_zero_linger(); // without it the connection ends with a FIN, which serves as well
}
