//! Test backends. Each records every attempt that reaches it, and misbehaves on demand.

mod connection;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};

use crate::history::{BackendStart, Recorder};
use crate::settings::{SLOW_START, slow_start_factor};
use connection::Connection;

/// Mean service time of a request on a backend of speed 1.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// A connection accepted within this time after a period without accepts may have waited in the accept queue.
const QUEUE_TIME: Duration = Duration::from_millis(100);
/// Interval between checks whether the backend accepts connections again.
const ACCEPT_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Length of the accept queue, in connections.
const BACKLOG: u32 = 1024;

/// How a backend treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendMode {
    /// Serves requests.
    #[default]
    Serve,
    /// Reads requests and never responds.
    Hang,
    /// Responds with status 500.
    Fail,
    /// Responds with status 503 and marks the request as not processed.
    Reject,
    /// Resets the connection after it has read the request.
    Reset,
    /// Sends half of the response, then resets the connection.
    ResetInAnswer,
    /// Responds, then closes the connection without a `Connection: close` header.
    CloseAfterAnswer,
    /// Accepts no new connections.
    AcceptNone,
}

/// A backend with its current process.
pub struct Backend {
    /// Index of the backend in the fleet.
    pub index: usize,
    /// Cell of the backend; the backends of a cell share their deduplication of requests.
    pub cell: usize,
    /// Address on which the backend listens.
    pub address: SocketAddr,
    /// Service rate relative to a backend of speed 1.
    speed: f64,
    mode: Mutex<BackendMode>,
    /// Number of the current process, counted from 0.
    process: AtomicU32,
    started_at: Mutex<Instant>,
    running: Mutex<Option<JoinHandle<()>>>,
    recorder: Arc<Recorder>,
}

impl Backend {
    /// Starts a backend whose slow start is over.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(
        index: usize, cell: usize, speed: f64, recorder: Arc<Recorder>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let long_ago = Instant::now().checked_sub(2 * SLOW_START).unwrap_or_else(Instant::now);
        let backend = Arc::new(Backend {
            index,
            cell,
            address: listener.local_addr()?,
            speed,
            mode: Mutex::default(),
            process: AtomicU32::new(0),
            started_at: Mutex::new(long_ago),
            running: Mutex::default(),
            recorder,
        });
        backend.clone().run(listener);
        Ok(backend)
    }

    /// Requests per second that the backend can serve after slow start.
    pub fn capacity(&self) -> f64 {
        self.speed / SERVICE_TIME.as_secs_f64()
    }

    /// Changes how the backend treats requests.
    pub fn set_mode(&self, mode: BackendMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    fn mode(&self) -> BackendMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Crashes the current process: its connections are reset and new ones refused.
    pub fn crash(&self) {
        if let Some(running) = &*self.running.lock().unwrap_or_else(PoisonError::into_inner) {
            running.abort();
        }
    }

    /// Starts a new process at the same address, in slow start.
    ///
    /// # Errors
    /// If the port can't be bound again.
    pub async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.crash();
        let old = self.running.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(old) = old {
            let _ = old.await; // the port is free once the old task has ended
        }
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(BACKLOG)?;
        let process = self.process.fetch_add(1, SeqCst) + 1;
        let at = Instant::now();
        *self.started_at.lock().unwrap_or_else(PoisonError::into_inner) = at;
        let start = BackendStart { backend: self.index, process, at, capacity: self.capacity() };
        self.recorder.history().backend_starts.push(start);
        self.set_mode(BackendMode::Serve);
        self.clone().run(listener);
        Ok(())
    }

    fn run(self: Arc<Self>, listener: TcpListener) {
        let running = tokio::spawn(self.clone().accept_connections(listener));
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = Some(running);
    }

    /// Accepts and serves connections until the task is aborted, which drops the connections.
    async fn accept_connections(self: Arc<Self>, listener: TcpListener) {
        let process = self.process.load(SeqCst);
        let core = Arc::new(Semaphore::new(1));
        let mut connections = JoinSet::new();
        let mut queued_until = Instant::now();
        loop {
            while self.mode() == BackendMode::AcceptNone {
                queued_until = Instant::now() + QUEUE_TIME;
                tokio::time::sleep(ACCEPT_CHECK_PERIOD).await;
            }
            let Ok((stream, _)) = listener.accept().await else { continue };
            let may_have_queued = Instant::now() < queued_until || self.mode() == BackendMode::AcceptNone;
            let connection =
                Connection { backend: self.clone(), process, core: core.clone(), may_have_queued };
            connections.spawn(async move { connection.serve(stream).await.unwrap_or(()) });
            while connections.try_join_next().is_some() {}
        }
    }

    /// Current mean service time, which is longer during slow start.
    fn service_time(&self) -> Duration {
        let age = self.started_at.lock().unwrap_or_else(PoisonError::into_inner).elapsed();
        SERVICE_TIME.div_f64(self.speed * slow_start_factor(age))
    }
}
