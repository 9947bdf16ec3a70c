//! Calls to the second address of a proxy.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Callers wait no longer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes a call; returns the status and the text of the answer.
///
/// # Errors
/// If the connection breaks or nothing comes in time.
pub async fn call(address: SocketAddr, call: &str) -> io::Result<(u16, String)> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = format!("{call} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let text = answer.split_once("\r\n\r\n").map_or("", |(_, text)| text).to_owned();
        Ok((status, text))
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await?
}
