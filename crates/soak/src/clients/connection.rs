//! A client's connection to a proxy.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::http::MessageReader;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for writing a request; longer than the deadline of any class.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// A client's connection to a proxy.
pub(super) struct Connection {
    pub(super) reader: MessageReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
    /// Number of requests that were sent whole on this connection.
    requests: u32,
}

impl Connection {
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (input, output) = stream.into_split();
        Ok(Connection { reader: MessageReader::new(input), output, requests: 0 })
    }

    /// Writes a whole request, or its remaining bytes; fails after [`SEND_TIMEOUT`].
    pub(super) async fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.requests += 1;
        timeout(SEND_TIMEOUT, self.output.write_all(request)).await?
    }

    /// Writes a part of a request.
    pub(super) async fn send_part(&mut self, part: &[u8]) -> io::Result<()> {
        self.output.write_all(part).await
    }

    /// Whether the connection has already carried a request.
    pub(super) fn is_reused(&self) -> bool {
        self.requests > 0
    }

    /// Whether the proxy has closed the connection, as far as the local socket shows.
    pub(super) fn is_closed(&self) -> bool {
        let mut byte = [0];
        match self.output.as_ref().try_read(&mut byte) {
            Ok(_) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
