//! An HTTP client that sends one request to the admin address of a proxy.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, anyhow, bail};
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// The time limit for a whole call, from connecting to the last byte of the response. It is longer than any response
/// takes, even of a busy proxy.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum length of a response body, in bytes.
const MAX_RESPONSE_LENGTH: usize = 16 << 20;

/// The response to an admin call.
pub struct Response {
    pub status: StatusCode,
    pub body: Bytes,
}

/// Sends a request without a body to the admin address and reads the response.
///
/// # Errors
/// If no complete response arrives within [`CALL_TIMEOUT`].
pub async fn call(admin: SocketAddr, method: Method, path: &str) -> anyhow::Result<Response> {
    let result = tokio::time::timeout(CALL_TIMEOUT, exchange(admin, method, path)).await;
    result.unwrap_or_else(|_| bail!("no response within {} s", CALL_TIMEOUT.as_secs()))
}

async fn exchange(admin: SocketAddr, method: Method, path: &str) -> anyhow::Result<Response> {
    let stream = TcpStream::connect(admin).await.context("cannot connect")?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.context("cannot start HTTP")?;
    let connection = tokio::spawn(connection);
    let request = Request::builder().method(method).uri(path).header("host", admin.to_string());
    let request =
        request.body(Empty::<Bytes>::new()).context("the backend name is not valid in a URL path")?;
    let response = sender.send_request(request).await.context("no response")?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_LENGTH).collect().await;
    connection.abort();
    let body = body.map_err(|error| anyhow!("the response is incomplete: {error}"))?;
    Ok(Response { status, body: body.to_bytes() })
}
