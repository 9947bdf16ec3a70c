//! Clients that ask at their own pace, whatever the answers: an open loop, timed from the intended start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use hdrhistogram::Histogram;
use http_body_util::{BodyExt as _, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Connections that are kept for later requests.
const KEPT: usize = 64;
/// The part of the requests that must not run twice.
const ORDERS: f64 = 0.2;
/// A client gives up after this span.
const PATIENCE: Duration = Duration::from_millis(2200);

/// What has become of the requests.
#[derive(Clone, Copy, Default)]
pub struct Counts {
    pub sent: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
}

/// All clients together.
pub struct Load {
    proxy: SocketAddr,
    aim: Duration,
    idle: Mutex<Vec<SendRequest<Empty<Bytes>>>>,
    sent: AtomicU64,
    in_time: AtomicU64,
    late: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Of served requests, in microseconds.
    times: Mutex<Histogram<u64>>,
}

impl Load {
    pub fn new(proxy: SocketAddr, aim: Duration) -> Self {
        let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("these bounds are allowed");
        let (sent, in_time, late, refused, failed) = Default::default();
        Load {
            proxy,
            aim,
            idle: Mutex::default(),
            sent,
            in_time,
            late,
            refused,
            failed,
            times: Mutex::new(times),
        }
    }

    /// Sends `rate` requests a second, at random times, for ever.
    pub async fn run(self: Arc<Self>, rate: f64) {
        let mut next = Instant::now();
        loop {
            next += Duration::from_secs_f64(-(1.0 - fastrand::f64()).ln() / rate);
            sleep_until(next).await;
            self.sent.fetch_add(1, Relaxed);
            tokio::spawn(self.clone().request(next));
        }
    }

    /// Waits until all that were sent have an end.
    pub async fn settle(&self) {
        let end = Instant::now() + PATIENCE + Duration::from_millis(200);
        let ended = |c: Counts| c.in_time + c.late + c.refused + c.failed >= c.sent;
        while !ended(self.counts()) && Instant::now() < end {
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn request(self: Arc<Self>, intended: Instant) {
        let left = PATIENCE.saturating_sub(intended.elapsed());
        let status = timeout(left, self.ask()).await.ok().flatten();
        let took = intended.elapsed();
        let count = match status {
            Some(StatusCode::OK) => {
                let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
                times.saturating_record(took.as_micros() as u64);
                if took <= self.aim { &self.in_time } else { &self.late }
            }
            Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => &self.refused,
            _ => &self.failed,
        };
        count.fetch_add(1, Relaxed);
    }

    /// One request on a connection of its own for as long; `None` without a whole answer.
    async fn ask(&self) -> Option<StatusCode> {
        let idle =
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop().filter(SendRequest::is_ready);
        let mut sender = match idle {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(self.proxy).await.ok()?;
                let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
                tokio::spawn(connection);
                sender
            }
        };
        let order = fastrand::f64() < ORDERS;
        let (method, path) = if order { ("POST", "/order") } else { ("GET", "/page") };
        let request = Request::builder().method(method).uri(path).header("host", "demo");
        let answer = sender.send_request(request.body(Empty::new()).ok()?).await.ok()?;
        let status = answer.status();
        answer.into_body().collect().await.ok()?;
        if sender.ready().await.is_ok() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            if idle.len() < KEPT {
                idle.push(sender);
            }
        }
        Some(status)
    }

    pub fn counts(&self) -> Counts {
        let of = |count: &AtomicU64| count.load(Relaxed);
        let (sent, in_time, late) = (of(&self.sent), of(&self.in_time), of(&self.late));
        Counts { sent, in_time, late, refused: of(&self.refused), failed: of(&self.failed) }
    }

    /// The time within which a part of the served requests had their answer, in milliseconds.
    pub fn quantile(&self, part: f64) -> f64 {
        let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        (times.value_at_quantile(part) as f64 / 100.0).round() / 10.0
    }
}
