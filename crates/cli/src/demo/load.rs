//! An open-loop load generator: its clients send requests at a rate that does not depend on the responses. Latency is
//! measured from the intended start of a request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use http_body_util::{BodyExt as _, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The maximum number of idle connections that are kept for later requests.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// The fraction of requests that are orders, which are not idempotent.
const ORDER_FRACTION: f64 = 0.2;
/// The time after which a client gives up on a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);
/// The additional time, beyond the timeout of the last request, that [`LoadGenerator::finish`] waits for outcomes.
const FINISH_GRACE: Duration = Duration::from_millis(200);
/// The interval between checks whether all requests have an outcome.
const FINISH_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// The range of the latency histogram, in microseconds.
const LATENCY_RANGE_US: (u64, u64) = (1, 60_000_000);
/// The number of significant decimal digits in the latency histogram.
const LATENCY_PRECISION: u8 = 3;

type Sender = SendRequest<Empty<Bytes>>;

/// The number of requests sent, and of those with each outcome.
#[derive(Clone, Copy, Default)]
pub struct RequestCounts {
    pub sent: u64,
    pub in_time: u64,
    pub late: u64,
    pub rejected: u64,
    pub failed: u64,
}

impl RequestCounts {
    fn all_have_outcomes(&self) -> bool {
        self.in_time + self.late + self.rejected + self.failed >= self.sent
    }

    /// The difference to an earlier count.
    pub fn since(&self, earlier: &RequestCounts) -> RequestCounts {
        RequestCounts {
            sent: self.sent - earlier.sent,
            in_time: self.in_time - earlier.in_time,
            late: self.late - earlier.late,
            rejected: self.rejected - earlier.rejected,
            failed: self.failed - earlier.failed,
        }
    }
}

#[derive(Default)]
struct Counters {
    sent: AtomicU64,
    in_time: AtomicU64,
    late: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

/// All clients of the proxy, with their idle connections and the outcomes of their requests.
pub struct LoadGenerator {
    proxy: SocketAddr,
    latency_objective: Duration,
    idle: Mutex<Vec<Sender>>,
    counters: Counters,
    /// Latencies of served requests, in microseconds.
    latencies: Mutex<Histogram<u64>>,
}

impl LoadGenerator {
    pub fn new(proxy: SocketAddr, latency_objective: Duration) -> Self {
        let (low, high) = LATENCY_RANGE_US;
        let latencies = Histogram::new_with_bounds(low, high, LATENCY_PRECISION);
        LoadGenerator {
            proxy,
            latency_objective,
            idle: Mutex::default(),
            counters: Counters::default(),
            latencies: Mutex::new(latencies.expect("the bounds are valid")),
        }
    }

    /// Sends `rate` requests per second on average, at random times (a Poisson process), until the task is aborted.
    pub async fn run(self: Arc<Self>, rate: f64) {
        let mut next = Instant::now();
        loop {
            next += Duration::from_secs_f64(-(1.0 - fastrand::f64()).ln() / rate);
            sleep_until(next).await;
            self.counters.sent.fetch_add(1, Relaxed);
            tokio::spawn(self.clone().request(next));
        }
    }

    /// Waits until all requests have an outcome, or until their timeouts and [`FINISH_GRACE`] have passed.
    pub async fn finish(&self) {
        let end = Instant::now() + REQUEST_TIMEOUT + FINISH_GRACE;
        while !self.counts().all_have_outcomes() && Instant::now() < end {
            sleep(FINISH_CHECK_PERIOD).await;
        }
    }

    async fn request(self: Arc<Self>, intended_start: Instant) {
        let left = REQUEST_TIMEOUT.saturating_sub(intended_start.elapsed());
        let status = timeout(left, self.exchange()).await.ok().flatten();
        let latency = intended_start.elapsed();
        let counter = match status {
            Some(StatusCode::OK) => {
                self.latencies().saturating_record(latency.as_micros() as u64);
                if latency <= self.latency_objective { &self.counters.in_time } else { &self.counters.late }
            }
            Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => &self.counters.rejected,
            _ => &self.counters.failed,
        };
        counter.fetch_add(1, Relaxed);
    }

    /// Sends one request over a connection that no other request uses meanwhile; returns `None` if there is no complete
    /// response.
    async fn exchange(&self) -> Option<StatusCode> {
        let idle = self.idle().pop().filter(SendRequest::is_ready);
        let mut sender = match idle {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let is_order = fastrand::f64() < ORDER_FRACTION;
        let (method, path) = if is_order { ("POST", "/order") } else { ("GET", "/page") };
        let request = Request::builder().method(method).uri(path).header("host", "demo");
        let response = sender.send_request(request.body(Empty::new()).ok()?).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        if sender.ready().await.is_ok() {
            self.keep_idle(sender);
        }
        Some(status)
    }

    async fn connect(&self) -> Option<Sender> {
        let stream = TcpStream::connect(self.proxy).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    fn keep_idle(&self, sender: Sender) {
        let mut idle = self.idle();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Sender>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn latencies(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.latencies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn counts(&self) -> RequestCounts {
        RequestCounts {
            sent: self.counters.sent.load(Relaxed),
            in_time: self.counters.in_time.load(Relaxed),
            late: self.counters.late.load(Relaxed),
            rejected: self.counters.rejected.load(Relaxed),
            failed: self.counters.failed.load(Relaxed),
        }
    }

    /// A quantile of the latency of served requests, in milliseconds with one decimal.
    pub fn latency_quantile_ms(&self, quantile: f64) -> f64 {
        let latency_us = self.latencies().value_at_quantile(quantile);
        (latency_us as f64 / 100.0).round() / 10.0
    }
}
