//! The second address: figures and commands for the operators. It has a thread and a runtime of its own, so
//! that a busy proxy answers in time too.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tracing::{error, info, warn};

use crate::metrics::Metrics;
use crate::socket::Uninterrupted;

/// Connections at a time; one more ends the oldest. A caller that finishes no call must not keep others out.
const MOST: usize = 12;
/// A call has to be over within this span of its connection: callers wait for 1 s.
const CALL: Duration = Duration::from_millis(1500);
/// The driver's word is waited for this long.
const WORD: Duration = Duration::from_millis(900);
/// Longest head of a call.
const HEAD_SIZE: usize = 8 << 10;
/// The type of the figures in the text form of OpenMetrics.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Wait after a failed accept, lest it spin.
const PAUSE: Duration = Duration::from_millis(10);

/// What an operator may ask of the proxy.
#[derive(Debug, PartialEq)]
pub enum Order {
    /// Nothing more to this backend.
    Maintain(String),
    /// Use it again.
    Ready(String),
    /// Take no new clients, or take them again.
    Drain(bool),
}

/// An order, and where its yes or no goes once it holds.
pub struct Command {
    pub order: Order,
    pub done: oneshot::Sender<bool>,
}

/// What a caller may reach.
#[derive(Clone)]
pub struct Desk {
    pub commands: mpsc::UnboundedSender<Command>,
    pub metrics: Arc<Metrics>,
}

/// Listens on the second address.
pub fn listen(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Answers operators in a thread of its own; returns where.
pub fn start(listener: std::net::TcpListener, desk: Desk) -> std::io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("admin".into()).spawn(move || {
        runtime.block_on(async {
            match TcpListener::from_std(listener) {
                Ok(listener) => serve(listener, desk).await,
                Err(e) => error!(error = %e, "the second address is lost"),
            }
        });
    })?;
    Ok(address)
}

async fn serve(listener: TcpListener, desk: Desk) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!(error = %e, "accept failed on the second address");
                sleep(PAUSE).await;
                continue;
            }
        };
        callers.retain(|c| !c.is_finished());
        if callers.len() >= MOST
            && let Some(oldest) = callers.pop_front()
        {
            oldest.abort();
        }
        let desk = desk.clone();
        callers.push_back(tokio::spawn(async move {
            let service = service_fn(move |request| {
                let desk = desk.clone();
                async move { Ok::<_, Infallible>(desk.answer(request).await) }
            });
            let connection = http1::Builder::new()
                .keep_alive(false)
                .header_read_timeout(None) // the whole call is bounded
                .max_buf_size(HEAD_SIZE)
                .serve_connection(TokioIo::new(Uninterrupted(stream)), service);
            let _ = timeout(CALL, connection).await; // a caller that left or was too slow needs nothing
        }));
    }
}

impl Desk {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path: Vec<&str> = request.uri().path().split('/').skip(1).collect();
        let order = match (request.method(), path.as_slice()) {
            (&Method::GET, ["healthcheck"]) => {
                let ready = self.metrics.ready.load(Relaxed);
                return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
            }
            (&Method::GET, ["stats"]) => return text("application/json", self.metrics.report().to_string()),
            (&Method::GET, ["metrics"]) => return text(OPENMETRICS, self.metrics.openmetrics()),
            (&Method::PUT, ["healthcheck", "fail"]) => Order::Drain(true),
            (&Method::PUT, ["healthcheck", "ok"]) => Order::Drain(false),
            (&Method::PUT, ["backends", id, "maint"]) => Order::Maintain((*id).to_owned()),
            (&Method::PUT, ["backends", id, "ready"]) => Order::Ready((*id).to_owned()),
            (
                _,
                ["healthcheck" | "stats" | "metrics"]
                | ["healthcheck", "fail" | "ok"]
                | ["backends", _, "maint" | "ready"],
            ) => {
                return plain(StatusCode::METHOD_NOT_ALLOWED);
            }
            _ => return plain(StatusCode::NOT_FOUND),
        };
        info!(?order, "an operator asks");
        let (done, word) = oneshot::channel();
        let sent = self.commands.send(Command { order, done }).is_ok();
        match timeout(WORD, word).await {
            Ok(Ok(true)) if sent => plain(StatusCode::OK),
            Ok(Ok(_)) => plain(StatusCode::NOT_FOUND),
            // It may yet be carried out, but nobody can promise that.
            Ok(Err(_)) | Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

fn text(kind: &'static str, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let text = if status.is_success() { "yes\n" } else { "no\n" };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
