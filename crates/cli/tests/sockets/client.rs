//! A stand-in client.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use super::LIMIT;
use super::message::{Message, read_head, read_message};

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(proxy: SocketAddr) -> Self {
        let stream = TcpStream::connect(proxy).expect("the proxy accepts");
        stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes()); // a closed connection shows at the response
    }

    /// From now on each text is sent at once, before the one sent before it is acknowledged.
    pub fn set_nodelay(&self) {
        self.0.get_ref().set_nodelay(true).expect("a connection");
    }

    pub fn response(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    /// Sends a request and waits for its response.
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

    /// Reads a head alone.
    pub fn read_head(&mut self) -> Message {
        read_head(&mut self.0).expect("a head")
    }

    /// Reads until the connection ends, in whatever way.
    pub fn read_rest(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        bytes
    }

    /// The status of a response, and whether the connection ends behind it with nothing more on it.
    pub fn last_response(&mut self) -> Option<(u16, bool)> {
        let status = self.response()?.status();
        Some((status, self.is_closed()))
    }

    /// Its own address and the proxy's.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        let stream = self.0.get_ref();
        (stream.local_addr().expect("a connection"), stream.peer_addr().expect("a connection"))
    }

    /// The connection itself; nothing that has been read is left over.
    pub fn into_stream(self) -> TcpStream {
        assert!(self.0.buffer().is_empty(), "all has been read");
        self.0.into_inner()
    }

    /// Resets the connection.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(self.0.get_ref());
        socket.set_linger(Some(Duration::ZERO)).expect("a connection");
    }

    /// Shuts the connection down for writing, as a client that cancels does.
    pub fn shut_down_write(&self) {
        self.0.get_ref().shutdown(Shutdown::Write).expect("a connection");
    }

    /// Whether the proxy closes the connection with nothing more on it.
    pub fn is_closed(&mut self) -> bool {
        match self.0.read(&mut [0; 1]) {
            Ok(length) => length == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }
}

/// An idempotent request.
pub fn page(id: &str) -> String {
    format!(
        "GET /page?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: 5\r\n\r\n"
    )
}

/// A request that is not idempotent.
pub fn submit(id: &str, timeout: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /submit?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {timeout}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
