//! Calls to the admin address of a proxy.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Time limit for a call, from connecting to the end of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a request, given as method and path; returns the status and the body of the response.
///
/// # Errors
/// If the connection fails or the response does not arrive within the time limit.
pub async fn call(address: SocketAddr, method_and_path: &str) -> io::Result<(u16, String)> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = format!("{method_and_path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await?;
        let status = response.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned();
        Ok((status, body))
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await?
}
