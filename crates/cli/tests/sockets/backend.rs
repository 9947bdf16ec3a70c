//! A mock backend that records its requests and replies to them as the test prescribes.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use super::message::{Message, read_message};
use super::wait_for;

/// The action of a mock backend on a request.
#[derive(Clone)]
pub enum Reply {
    /// Writes this response and keeps the connection open.
    Write(String),
    /// Writes this response and closes the connection.
    WriteAndClose(String),
    /// Waits until the latch opens, then writes this response.
    Delayed(Latch, String),
    /// Writes the first part of a response, waits until the latch opens, then writes the second part.
    InParts(String, Latch, String),
}

/// A latch that the test opens once; replies that wait for it are then written.
#[derive(Clone, Default)]
pub struct Latch(Arc<AtomicUsize>);

impl Latch {
    pub fn open(&self) {
        self.0.store(1, Ordering::SeqCst);
    }

    fn wait(&self) {
        wait_for("the latch to open", || self.0.load(Ordering::SeqCst) == 1);
    }
}

/// A response with status 200 and this body.
pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Own: kept\r\n\r\n{body}", body.len())
}

/// A response with this status line and no body.
pub fn empty(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
}

/// The requests that a backend has received, and the counts of its connections and responses.
#[derive(Default)]
struct Record {
    requests: Mutex<Vec<Message>>,
    accepted: AtomicUsize,
    closed: AtomicUsize,
    responses: AtomicUsize,
}

/// A mock backend on a free port of loopback.
pub struct Backend {
    pub address: SocketAddr,
    record: Arc<Record>,
}

impl Backend {
    /// Starts a backend that replies to all requests in the same way.
    pub fn new(reply: Reply) -> Self {
        Backend::with_handler(move |_| reply.clone())
    }

    /// Starts a backend that chooses its reply by the request.
    pub fn with_handler(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
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

    /// The requests received so far.
    pub fn requests(&self) -> Vec<Message> {
        self.record.requests.lock().expect("no panic").clone()
    }

    /// The number of connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.record.accepted.load(Ordering::SeqCst)
    }

    /// The number of connections that have ended.
    pub fn closed(&self) -> usize {
        self.record.closed.load(Ordering::SeqCst)
    }

    /// The number of responses that have been written completely.
    pub fn responses(&self) -> usize {
        self.record.responses.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, record: &Record, reply: &dyn Fn(&Message) -> Reply) {
    let mut reader = BufReader::new(stream.try_clone().expect("the stream can be cloned"));
    while let Some(request) = read_message(&mut reader) {
        let reply = reply(&request);
        record.requests.lock().expect("no panic").push(request);
        // A write may fail because the proxy has closed the connection.
        let written = match reply {
            Reply::Write(text) => stream.write_all(text.as_bytes()),
            Reply::WriteAndClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Reply::InParts(first_part, latch, second_part) => {
                stream.write_all(first_part.as_bytes()).and_then(|()| {
                    latch.wait();
                    stream.write_all(second_part.as_bytes())
                })
            }
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
