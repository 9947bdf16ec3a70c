//! A test client with a blocking connection to the proxy.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use super::LIMIT;
use super::message::{Message, read_head, read_message};

/// A connection of a client to the proxy.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(proxy: SocketAddr) -> Self {
        let stream = TcpStream::connect(proxy).expect("the proxy accepts");
        stream.set_read_timeout(Some(LIMIT)).expect("a read timeout");
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes()); // a closed connection is noticed when the response is read
    }

    /// Disables Nagle's algorithm: each later text is sent at once, even if the previous one is not acknowledged yet.
    pub fn set_nodelay(&self) {
        self.0.get_ref().set_nodelay(true).expect("a connection");
    }

    /// Sets how long a read waits for the next bytes; [`LIMIT`] if this is not called.
    pub fn set_read_timeout(&self, timeout: Duration) {
        self.0.get_ref().set_read_timeout(Some(timeout)).expect("a read timeout");
    }

    /// Reads a response; `None` if the connection ends before it is complete.
    pub fn response(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    /// Sends a request and reads its response.
    pub fn request(&mut self, text: &str) -> Option<Message> {
        self.send(text);
        self.response()
    }

    /// Reads exactly this many bytes.
    pub fn read(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.0.read_exact(&mut bytes).expect("enough bytes");
        bytes
    }

    /// Reads the head of a response, without its body.
    pub fn read_head(&mut self) -> Message {
        read_head(&mut self.0).expect("a head")
    }

    /// Reads until the connection is closed or fails.
    pub fn read_rest(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        bytes
    }

    /// Reads a response; returns its status, and whether the proxy then closes the connection without sending more.
    pub fn last_response(&mut self) -> Option<(u16, bool)> {
        let status = self.response()?.status();
        Some((status, self.is_closed()))
    }

    /// The addresses of the connection's two ends: the client's, then the proxy's.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        let stream = self.0.get_ref();
        (stream.local_addr().expect("a connection"), stream.peer_addr().expect("a connection"))
    }

    /// The underlying stream. Asserts that no received bytes are left in the buffer.
    pub fn into_stream(self) -> TcpStream {
        assert!(self.0.buffer().is_empty(), "unread bytes are left in the buffer");
        self.0.into_inner()
    }

    /// Resets the connection: a linger time of zero makes the operating system send RST instead of FIN.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(self.0.get_ref());
        socket.set_linger(Some(Duration::ZERO)).expect("a connection");
    }

    /// Shuts the connection down for writing, as a client that cancels does.
    pub fn shut_down_write(&self) {
        self.0.get_ref().shutdown(Shutdown::Write).expect("a connection");
    }

    /// Whether the proxy closes or resets the connection without sending more. Waits for it, up to [`LIMIT`].
    pub fn is_closed(&mut self) -> bool {
        match self.0.read(&mut [0; 1]) {
            Ok(length) => length == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }
}

/// An idempotent request without a body and with a timeout of 5 s.
pub fn page(id: &str) -> String {
    format!(
        "GET /page?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: 5\r\n\r\n"
    )
}

/// A request with a body that is not idempotent. `timeout` is in seconds.
pub fn submit(id: &str, timeout: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /submit?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {timeout}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
