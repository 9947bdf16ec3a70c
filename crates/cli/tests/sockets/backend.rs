//! A stand-in backend.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use super::message::{Message, read_message};
use super::wait_for;

/// What a backend does with a request.
#[derive(Clone)]
pub enum Reply {
    /// Writes these bytes and keeps the connection.
    Write(String),
    /// Writes these bytes and closes.
    WriteAndClose(String),
    /// Waits until the latch opens, then writes these bytes.
    Delayed(Latch, String),
    /// Writes the first bytes, and the others once the latch opens.
    InParts(String, Latch, String),
}

/// A latch that is opened once; replies that wait for it are written then.
#[derive(Clone, Default)]
pub struct Latch(Arc<AtomicUsize>);

impl Latch {
    pub fn open(&self) {
        self.0.store(1, Ordering::SeqCst);
    }

    fn wait(&self) {
        wait_for("a latch", || self.0.load(Ordering::SeqCst) == 1);
    }
}

/// A successful response.
pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Own: kept\r\n\r\n{body}", body.len())
}

/// A response without a body.
pub fn empty(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
}

/// What a backend has seen.
#[derive(Default)]
struct Record {
    requests: Mutex<Vec<Message>>,
    accepted: AtomicUsize,
    closed: AtomicUsize,
    responses: AtomicUsize,
}

/// A backend that records all requests.
pub struct Backend {
    pub address: SocketAddr,
    record: Arc<Record>,
}

impl Backend {
    /// A backend that treats all requests alike.
    pub fn new(reply: Reply) -> Self {
        Backend::with(move |_| reply.clone())
    }

    pub fn with(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let record = Arc::<Record>::default();
        let backend = Backend { address, record: record.clone() };
        let reply = Arc::new(reply);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let record = record.clone();
                let reply = reply.clone();
                record.accepted.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    serve(stream.expect("a connection"), &record, &*reply);
                    record.closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    /// Requests that have come.
    pub fn requests(&self) -> Vec<Message> {
        self.record.requests.lock().expect("no panic").clone()
    }

    /// How many connections have been accepted.
    pub fn accepted(&self) -> usize {
        self.record.accepted.load(Ordering::SeqCst)
    }

    /// How many connections have ended.
    pub fn closed(&self) -> usize {
        self.record.closed.load(Ordering::SeqCst)
    }

    /// How many responses have been written.
    pub fn responses(&self) -> usize {
        self.record.responses.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, record: &Record, reply: &dyn Fn(&Message) -> Reply) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    while let Some(request) = read_message(&mut reader) {
        let reply = reply(&request);
        record.requests.lock().expect("no panic").push(request);
        // The proxy may have closed the connection meanwhile.
        let written = match reply {
            Reply::Write(text) => stream.write_all(text.as_bytes()),
            Reply::WriteAndClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Reply::InParts(first, latch, rest) => stream.write_all(first.as_bytes()).and_then(|()| {
                latch.wait();
                stream.write_all(rest.as_bytes())
            }),
            Reply::Delayed(latch, text) => {
                latch.wait();
                stream.write_all(text.as_bytes())
            }
        };
        if written.is_err() {
            return;
        }
        record.responses.fetch_add(1, Ordering::SeqCst);
    }
}
