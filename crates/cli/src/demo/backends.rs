//! Stand-in backends: one core, a queue, a speed, and perhaps a mood.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// A moody backend fails for so long, then is well for as long.
const MOOD: Duration = Duration::from_secs(4);

/// What sort of machine it stands for.
#[derive(Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    /// Relative to the yardstick.
    pub speed: f64,
    /// The part of the requests that fail while it is in a bad mood.
    pub fails: f64,
}

/// What a stand-in has done from its start on.
#[derive(Clone, Copy, Default)]
pub struct Seen {
    pub served: u64,
    pub failed: u64,
    /// Requests at hand now.
    pub holds: u64,
    /// Time at work.
    pub busy: Duration,
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    failed: AtomicU64,
    holds: AtomicU64,
    busy_us: AtomicU64,
}

/// One stand-in, which serves for as long as the runtime runs.
pub struct StandIn {
    pub kind: Kind,
    pub address: SocketAddr,
    counts: Arc<Counts>,
}

/// What its connections share.
struct Machine {
    kind: Kind,
    work: Duration,
    core: Semaphore,
    counts: Arc<Counts>,
    start: tokio::time::Instant,
}

impl StandIn {
    /// Listens on a port of the system's choice; a request takes `work` on the yardstick on average.
    ///
    /// # Errors
    /// If there is no port.
    pub async fn start(kind: Kind, work: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let counts = Arc::<Counts>::default();
        let start = tokio::time::Instant::now();
        let machine =
            Arc::new(Machine { kind, work, core: Semaphore::new(1), counts: counts.clone(), start });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let machine = machine.clone();
                let service = service_fn(move |request| {
                    let machine = machine.clone();
                    async move { Ok::<_, Infallible>(machine.serve(request).await) }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Ok(StandIn { kind, address, counts })
    }

    pub fn seen(&self) -> Seen {
        let of = |count: &AtomicU64| count.load(Relaxed);
        let c = &self.counts;
        let busy = Duration::from_micros(of(&c.busy_us));
        Seen { served: of(&c.served), failed: of(&c.failed), holds: of(&c.holds), busy }
    }
}

impl Machine {
    async fn serve(&self, _: Request<Incoming>) -> Response<Full<Bytes>> {
        self.counts.holds.fetch_add(1, Relaxed);
        let failed = self.work().await;
        self.counts.holds.fetch_sub(1, Relaxed);
        let count = if failed { &self.counts.failed } else { &self.counts.served };
        count.fetch_add(1, Relaxed);
        let mut response = Response::new(Full::new(Bytes::from_static(b"done\n")));
        if failed {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        response
    }

    /// Waits for the core and works; whether the request fails. Work is between half and one and a half times its mean.
    async fn work(&self) -> bool {
        let Ok(_core) = self.core.acquire().await else { return true };
        let bad_mood = (self.start.elapsed().as_millis() / MOOD.as_millis()) % 2 == 1;
        if bad_mood && fastrand::f64() < self.kind.fails {
            return true;
        }
        let begun = tokio::time::Instant::now();
        sleep(self.work.mul_f64((0.5 + fastrand::f64()) / self.kind.speed)).await;
        self.counts.busy_us.fetch_add(begun.elapsed().as_micros() as u64, Relaxed);
        false
    }
}
