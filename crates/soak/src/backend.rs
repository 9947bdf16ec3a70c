//! Stand-in backends. Each notes every attempt that reaches it, and misbehaves as it is told.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};

use crate::http::{Head, Reader};
use crate::ledger::{Attempt, Ledger, Start};
use crate::settings::{COLD, START_CAPACITY};

/// Mean work of a request on a backend of speed 1.
const WORK: Duration = Duration::from_millis(30);
/// What comes within this span of the first accept after a while without may have stood in the queue.
const QUEUE_TIME: Duration = Duration::from_millis(100);
/// Bytes of a long answer, which is streamed.
const LONG_ANSWER: usize = 200 << 10;

/// What a backend does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Serves them.
    #[default]
    Serve,
    /// Takes them and says nothing.
    Hang,
    /// Answers 500.
    Fail,
    /// Turns them away unseen.
    Reject,
    /// Resets the connection once it has the request.
    Reset,
    /// Sends half of the answer and resets.
    ResetInAnswer,
    /// Answers, and closes the connection without saying so.
    CloseAfterAnswer,
    /// Takes no connection.
    AcceptNone,
}

/// A backend with the process that runs at present.
pub struct Backend {
    /// Its number.
    pub number: usize,
    /// Its cell.
    pub cell: usize,
    /// Where it listens.
    pub address: SocketAddr,
    speed: f64,
    mode: Mutex<Mode>,
    process: AtomicU32,
    started_at: Mutex<Instant>,
    running: Mutex<Option<JoinHandle<()>>>,
    ledger: Arc<Ledger>,
}

impl Backend {
    /// Starts a backend that counts as running for long.
    ///
    /// # Errors
    /// If it finds no port.
    pub async fn start(number: usize, cell: usize, speed: f64, ledger: Arc<Ledger>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let long_ago = Instant::now().checked_sub(2 * COLD).unwrap_or_else(Instant::now);
        let backend = Arc::new(Backend {
            number,
            cell,
            address: listener.local_addr()?,
            speed,
            mode: Mutex::default(),
            process: AtomicU32::new(0),
            started_at: Mutex::new(long_ago),
            running: Mutex::default(),
            ledger,
        });
        backend.clone().run(listener);
        Ok(backend)
    }

    /// Requests a second that it serves once it is warm.
    pub fn capacity(&self) -> f64 {
        self.speed / WORK.as_secs_f64()
    }

    /// From now on it does this.
    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its process dies: its connections are reset and new ones refused.
    pub fn crash(&self) {
        self.running.lock().unwrap_or_else(PoisonError::into_inner).iter().for_each(JoinHandle::abort);
    }

    /// A new process starts at the same address; it is cold.
    ///
    /// # Errors
    /// If the port can't be had again.
    pub async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.crash();
        let old = self.running.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(old) = old {
            let _ = old.await; // then its port is free
        }
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(1024)?;
        let process = self.process.fetch_add(1, SeqCst) + 1;
        let at = Instant::now();
        *self.started_at.lock().unwrap_or_else(PoisonError::into_inner) = at;
        let start = Start { backend: self.number, process, at, capacity: self.capacity() };
        self.ledger.seen().starts.push(start);
        self.set_mode(Mode::Serve);
        self.clone().run(listener);
        Ok(())
    }

    fn run(self: Arc<Self>, listener: TcpListener) {
        let backend = self.clone();
        let running = tokio::spawn(async move {
            let process = backend.process.load(SeqCst);
            let core = Arc::new(Semaphore::new(1));
            let mut connections = JoinSet::new();
            let mut queued_until = Instant::now();
            loop {
                while backend.mode() == Mode::AcceptNone {
                    queued_until = Instant::now() + QUEUE_TIME;
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                let Ok((stream, _)) = listener.accept().await else { continue };
                let queued = Instant::now() < queued_until || backend.mode() == Mode::AcceptNone;
                let connection = Connection { backend: backend.clone(), process, core: core.clone(), queued };
                connections.spawn(async move { connection.serve(stream).await.unwrap_or(()) });
                while connections.try_join_next().is_some() {}
            }
        });
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = Some(running);
    }

    /// The part of its capacity that it has now.
    fn warmth(&self) -> f64 {
        let age = self.started_at.lock().unwrap_or_else(PoisonError::into_inner).elapsed();
        START_CAPACITY + (1.0 - START_CAPACITY) * (age.as_secs_f64() / COLD.as_secs_f64()).min(1.0)
    }
}

/// One connection to a backend.
struct Connection {
    backend: Arc<Backend>,
    process: u32,
    core: Arc<Semaphore>,
    /// It may have stood in the accept queue for long.
    queued: bool,
}

impl Connection {
    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (input, mut output) = stream.into_split();
        let mut reader = Reader::new(input);
        while reader.begun().await? {
            let begun_at = Instant::now();
            let Some(head) = reader.head().await? else { return Ok(()) };
            let place = self.note_begin(&head, begun_at);
            reader.body(&head).await?;
            let mode = self.backend.mode();
            self.note_whole(place, !matches!(mode, Mode::Reject));
            match mode {
                Mode::Serve | Mode::CloseAfterAnswer | Mode::AcceptNone => {
                    self.work().await;
                    output.write_all(&answer(&head)).await?;
                    if mode == Mode::CloseAfterAnswer {
                        return Ok(());
                    }
                }
                Mode::Hang => std::future::pending().await,
                Mode::Fail => {
                    output.write_all(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n").await?;
                }
                Mode::Reject => {
                    let text = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                    output.write_all(text).await?;
                }
                Mode::Reset | Mode::ResetInAnswer => {
                    if mode == Mode::ResetInAnswer {
                        let whole = answer(&head);
                        output.write_all(&whole[..whole.len() / 2]).await?;
                    }
                    socket_reset(output.as_ref());
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn work(&self) {
        let Ok(_core) = self.core.acquire().await else { return };
        let work = WORK.div_f64(self.backend.speed * self.backend.warmth());
        tokio::time::sleep(work.mul_f64(0.5 + fastrand::f64())).await;
    }

    fn note_begin(&self, head: &Head, begun_at: Instant) -> usize {
        let attempt = Attempt {
            id: head.header("x-request-id").unwrap_or_default().to_owned(),
            backend: self.backend.number,
            process: self.process,
            begun_at,
            queued: self.queued,
            whole_at: None,
            timeout: head.header("x-timeout").and_then(|seconds| seconds.parse().ok()),
            ran: false,
        };
        let mut seen = self.backend.ledger.seen();
        seen.attempts.push(attempt);
        seen.attempts.len() - 1
    }

    fn note_whole(&self, place: usize, ran: bool) {
        let mut seen = self.backend.ledger.seen();
        let attempt = &mut seen.attempts[place];
        (attempt.whole_at, attempt.ran) = (Some(Instant::now()), ran);
    }
}

/// The answer to a request: a long one where its path asks for that.
fn answer(request: &Head) -> Vec<u8> {
    let length = if request.first.contains("long=1") { LONG_ANSWER } else { 20 };
    let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    answer.resize(answer.len() + length, b'x');
    answer
}

/// Lets the connection end with a reset once it is dropped.
fn socket_reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger(); // an older way to close serves as well
}
