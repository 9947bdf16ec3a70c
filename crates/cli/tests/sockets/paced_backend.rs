//! A mock backend that writes its responses piece by piece.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::message::{Message, read_message};

/// The head of a chunked response.
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The end of a chunked response.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// A response that is written in pieces.
#[derive(Clone)]
pub struct PacedResponse {
    pub head: String,
    /// Written `pieces` times, or until the proxy closes the connection.
    pub piece: String,
    pub pieces: usize,
    /// The pause after each piece.
    pub pause: Duration,
    /// Written after the last piece.
    pub end: &'static str,
}

impl PacedResponse {
    /// A response that brings a few bytes now and then, and never ends.
    pub fn endless(head: &str) -> Self {
        PacedResponse {
            head: head.into(),
            piece: chunk(5),
            pieces: usize::MAX,
            pause: Duration::from_millis(100),
            end: "",
        }
    }

    /// A response of this length, written as fast as it is taken.
    pub fn of_length(length: usize) -> Self {
        PacedResponse {
            head: format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"),
            piece: "x".repeat(length.min(PIECE_BYTES)),
            pieces: length / PIECE_BYTES,
            pause: Duration::ZERO,
            end: "",
        }
    }

    fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(self.head.as_bytes())?;
        for _ in 0..self.pieces {
            stream.write_all(self.piece.as_bytes())?;
            // The pause is the pace of the backend; it does not wait for an event.
            thread::sleep(self.pause);
        }
        stream.write_all(self.end.as_bytes())
    }
}

/// Length of the pieces of a response of known length; its length has to be a multiple of it.
pub const PIECE_BYTES: usize = 50_000;

/// One chunk of a chunked body.
pub fn chunk(length: usize) -> String {
    format!("{length:x}\r\n{}\r\n", "x".repeat(length))
}

/// Starts a backend that chooses its response by the request; returns its address.
pub fn start_paced_backend(
    respond: impl Fn(&Message) -> PacedResponse + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("a listener");
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let respond = respond.clone();
            thread::spawn(move || serve(stream, &*respond));
        }
    });
    address
}

fn serve(mut stream: TcpStream, respond: &dyn Fn(&Message) -> PacedResponse) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut reader) {
        respond(&request).write(&mut stream)?;
    }
    Ok(())
}
