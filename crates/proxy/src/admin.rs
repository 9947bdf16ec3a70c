//! The HTTP server at the admin address, which serves metrics and commands to operators. It runs on a dedicated thread
//! and runtime, so that it responds in time even while the proxy is busy.

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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tracing::{error, info, warn};

use crate::metrics::Metrics;
use crate::socket::Uninterrupted;

/// Maximum number of concurrent connections. A new connection beyond it closes the oldest one, so that callers that
/// never complete a request can't block others.
const MAX_CONNECTIONS: usize = 12;
/// Maximum duration of a connection, which serves one request. Callers wait for 1 s.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time to wait for the driver's reply to a command.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum size of a request head, in bytes.
const MAX_HEAD_SIZE: usize = 8 << 10;
/// The content type of the OpenMetrics text format.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Delay after a failed accept, which would otherwise be retried immediately.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A command of an operator.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Puts the backend of this name into maintenance: the proxy sends it no new requests.
    StartMaintenance(String),
    /// Ends the maintenance of the backend of this name.
    EndMaintenance(String),
    /// Drains the proxy, so that clients are sent to other proxies, if true; ends the drain if false.
    Drain(bool),
}

/// A command with the channel for its reply.
pub struct CommandRequest {
    pub command: Command,
    /// Receives true once the command is in effect and recorded for a successor, and false if the backend is unknown
    /// or the command could not be recorded.
    pub reply: oneshot::Sender<bool>,
}

/// The state from which requests at the admin address are served.
#[derive(Clone)]
pub struct Service {
    pub commands: mpsc::UnboundedSender<CommandRequest>,
    pub metrics: Arc<Metrics>,
}

/// Opens the listener at the admin address.
pub fn listen(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves the admin address on a new thread; returns the address that the listener is bound to.
pub fn start(listener: std::net::TcpListener, service: Service) -> std::io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("admin".into()).spawn(move || {
        runtime.block_on(async {
            match TcpListener::from_std(listener) {
                Ok(listener) => serve(listener, service).await,
                Err(error) => error!(%error, "admin listener could not be registered with the runtime"),
            }
        });
    })?;
    Ok(address)
}

async fn serve(listener: TcpListener, service: Service) {
    let mut connections: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(%error, "accept failed at the admin address");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= MAX_CONNECTIONS
            && let Some(oldest) = connections.pop_front()
        {
            oldest.abort();
        }
        connections.push_back(tokio::spawn(serve_connection(stream, service.clone())));
    }
}

async fn serve_connection(stream: TcpStream, service: Service) {
    let service = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.respond(request).await) }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .header_read_timeout(None) // CONNECTION_TIMEOUT covers the whole connection
        .max_buf_size(MAX_HEAD_SIZE)
        .serve_connection(TokioIo::new(Uninterrupted(stream)), service);
    let _ = timeout(CONNECTION_TIMEOUT, connection).await; // a caller that is too slow gets no response
}

impl Service {
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match Route::from_request(&request) {
            Route::Readiness => self.readiness(),
            Route::Stats => text_response("application/json", self.metrics.stats().to_string()),
            Route::Metrics => text_response(OPENMETRICS, self.metrics.openmetrics()),
            Route::Command(command) => self.execute(command).await,
            Route::WrongMethod => status_response(StatusCode::METHOD_NOT_ALLOWED),
            Route::Unknown => status_response(StatusCode::NOT_FOUND),
        }
    }

    fn readiness(&self) -> Response<Full<Bytes>> {
        let is_ready = self.metrics.ready.load(Relaxed);
        status_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }

    async fn execute(&self, command: Command) -> Response<Full<Bytes>> {
        info!(?command, "operator command received");
        let (reply, replied) = oneshot::channel();
        let sent = self.commands.send(CommandRequest { command, reply }).is_ok();
        match timeout(REPLY_TIMEOUT, replied).await {
            Ok(Ok(true)) if sent => status_response(StatusCode::OK),
            Ok(Ok(_)) => status_response(StatusCode::NOT_FOUND),
            // The driver may still execute the command later, but this can't be guaranteed.
            Ok(Err(_)) | Err(_) => status_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

/// The operation that a request asks for, by its method and path.
enum Route {
    Readiness,
    Stats,
    Metrics,
    Command(Command),
    WrongMethod,
    Unknown,
}

impl Route {
    fn from_request(request: &Request<Incoming>) -> Self {
        let path: Vec<&str> = request.uri().path().split('/').skip(1).collect();
        match (request.method(), path.as_slice()) {
            (&Method::GET, ["healthcheck"]) => Route::Readiness,
            (&Method::GET, ["stats"]) => Route::Stats,
            (&Method::GET, ["metrics"]) => Route::Metrics,
            (&Method::PUT, ["healthcheck", "fail"]) => Route::Command(Command::Drain(true)),
            (&Method::PUT, ["healthcheck", "ok"]) => Route::Command(Command::Drain(false)),
            (&Method::PUT, ["backends", name, "maint"]) => {
                Route::Command(Command::StartMaintenance((*name).to_owned()))
            }
            (&Method::PUT, ["backends", name, "ready"]) => {
                Route::Command(Command::EndMaintenance((*name).to_owned()))
            }
            (_, ["healthcheck" | "stats" | "metrics"])
            | (_, ["healthcheck", "fail" | "ok"])
            | (_, ["backends", _, "maint" | "ready"]) => Route::WrongMethod,
            _ => Route::Unknown,
        }
    }
}

fn text_response(content_type: &'static str, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let text = if status.is_success() { "yes\n" } else { "no\n" };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
