//! An HTTP client for one call.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, anyhow, bail};
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Longer than a proxy takes for any answer, however busy it is.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest response that is read, in bytes.
const MAX_RESPONSE_LENGTH: usize = 16 << 20;

/// The response to a call.
pub struct Response {
    pub status: StatusCode,
    pub body: Bytes,
}

/// Makes a call without a body.
///
/// # Errors
/// If there is no complete response in time.
pub async fn call(admin: SocketAddr, method: Method, path: &str) -> anyhow::Result<Response> {
    let result = tokio::time::timeout(CALL_TIMEOUT, exchange(admin, method, path)).await;
    result.unwrap_or_else(|_| bail!("no answer within {} s", CALL_TIMEOUT.as_secs()))
}

async fn exchange(admin: SocketAddr, method: Method, path: &str) -> anyhow::Result<Response> {
    let stream = TcpStream::connect(admin).await.context("cannot connect")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.context("no HTTP")?;
    let connection = tokio::spawn(connection);
    let request = Request::builder().method(method).uri(path).header("host", admin.to_string());
    let request = request.body(Empty::<Bytes>::new()).context("this can't be a name")?;
    let response = sender.send_request(request).await.context("no answer")?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_LENGTH).collect().await;
    connection.abort();
    let body = body.map_err(|error| anyhow!("the answer is cut short: {error}"))?;
    Ok(Response { status, body: body.to_bytes() })
}
