//! Mock backends that process one request at a time at a given speed and queue the others; some fail periodically.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

/// The length of each phase of an unreliable backend, which alternates between healthy and failing.
const FAILURE_PERIOD: Duration = Duration::from_secs(4);
/// The mean service time of a request on a backend of speed 1.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// The simulated machine that a mock backend runs on.
#[derive(Clone, Copy)]
pub struct Machine {
    pub name: &'static str,
    /// The speed relative to a reference machine, which has speed 1.
    pub speed: f64,
    /// The fraction of requests that fail while the machine is in a failing phase.
    pub failure_rate: f64,
}

/// The counts of a backend since its start, at one moment.
#[derive(Clone, Copy, Default)]
pub struct BackendCounts {
    pub served: u64,
    pub failed: u64,
    pub in_flight: u64,
    pub busy_time: Duration,
}

#[derive(Default)]
struct Counters {
    served: AtomicU64,
    failed: AtomicU64,
    in_flight: AtomicU64,
    busy_us: AtomicU64,
}

/// A mock backend, which runs until the runtime is shut down.
pub struct Backend {
    pub machine: Machine,
    pub address: SocketAddr,
    counters: Arc<Counters>,
}

impl Backend {
    /// Starts a backend on a free port.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(machine: Machine) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let counters = Arc::<Counters>::default();
        let server = Server {
            machine,
            core: Semaphore::new(1),
            counters: counters.clone(),
            started_at: Instant::now(),
        };
        tokio::spawn(Arc::new(server).run(listener));
        Ok(Backend { machine, address, counters })
    }

    pub fn counts(&self) -> BackendCounts {
        BackendCounts {
            served: self.counters.served.load(Relaxed),
            failed: self.counters.failed.load(Relaxed),
            in_flight: self.counters.in_flight.load(Relaxed),
            busy_time: Duration::from_micros(self.counters.busy_us.load(Relaxed)),
        }
    }
}

/// The state that all connections of a backend share.
struct Server {
    machine: Machine,
    /// The machine's single core, as one permit: only one request is processed at a time.
    core: Semaphore,
    counters: Arc<Counters>,
    started_at: Instant,
}

impl Server {
    async fn run(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            let service = service_fn(move |_| {
                let server = server.clone();
                async move { Ok::<_, Infallible>(server.respond().await) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    }

    async fn respond(&self) -> Response<Full<Bytes>> {
        self.counters.in_flight.fetch_add(1, Relaxed);
        let succeeded = self.work().await;
        self.counters.in_flight.fetch_sub(1, Relaxed);
        let counter = if succeeded { &self.counters.served } else { &self.counters.failed };
        counter.fetch_add(1, Relaxed);
        let mut response = Response::new(Full::new(Bytes::from_static(b"done\n")));
        if !succeeded {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        response
    }

    /// Waits for the core, then simulates the work by sleeping for 0.5 to 1.5 times the mean service time. Returns
    /// whether the request succeeds.
    async fn work(&self) -> bool {
        let Ok(_core) = self.core.acquire().await else { return false };
        if self.is_failing() && fastrand::f64() < self.machine.failure_rate {
            return false;
        }
        let started_at = Instant::now();
        sleep(SERVICE_TIME.mul_f64((0.5 + fastrand::f64()) / self.machine.speed)).await;
        self.counters.busy_us.fetch_add(started_at.elapsed().as_micros() as u64, Relaxed);
        true
    }

    fn is_failing(&self) -> bool {
        (self.started_at.elapsed().as_millis() / FAILURE_PERIOD.as_millis()) % 2 == 1
    }
}
