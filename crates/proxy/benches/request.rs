//! Measures the time of one request through the proxy. A client sends requests on one connection and waits for each
//! response; the proxy and a backend that responds immediately run in the same process. The cases compare the cost of
//! logging: without a subscriber, with a subscriber but no access events, and with an access event for 1 % of the
//! requests or for each request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use criterion::{Criterion, criterion_group, criterion_main};
use leadrelay_proxy::{RunningProxy, config, spawn};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

const REQUEST: &[u8] = b"GET /page HTTP/1.1\r\nHost: x\r\nX-Request-ID: r\r\n\r\n";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// One end of a connection, on which each message with a body has a `Content-Length` header.
struct MessageStream {
    stream: BufReader<TcpStream>,
    line: String,
}

impl MessageStream {
    fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("TCP_NODELAY is set");
        MessageStream { stream: BufReader::new(stream), line: String::new() }
    }

    /// Reads and discards one message; returns false at the end of the stream.
    fn read(&mut self) -> bool {
        let mut length = 0;
        loop {
            self.line.clear();
            if self.stream.read_line(&mut self.line).unwrap_or(0) == 0 {
                return false;
            }
            if self.line == "\r\n" {
                break;
            }
            if let Some(value) = self.line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().expect("a valid content length");
            }
        }
        self.stream.read_exact(&mut vec![0; length]).is_ok()
    }

    fn write(&mut self, message: &[u8]) -> std::io::Result<()> {
        self.stream.get_mut().write_all(message)
    }
}

/// Starts a backend that responds to each request immediately.
fn spawn_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the backend listens");
    let address = listener.local_addr().expect("a bound listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || serve_backend(MessageStream::new(stream)));
        }
    });
    address
}

fn serve_backend(mut stream: MessageStream) {
    while stream.read() {
        let _ = stream.write(RESPONSE);
    }
}

fn spawn_proxy(access_rate: f64) -> RunningProxy {
    let backend = spawn_backend();
    let configuration = format!(
        "listen = \"127.0.0.1:0\"\n[[backends]]\naddress = \"{backend}\"\n[logging]\naccess = {access_rate}\n",
    );
    spawn(config::parse(&configuration, "bench").expect("a valid configuration")).expect("the proxy starts")
}

fn send_request(stream: &mut MessageStream) {
    stream.write(REQUEST).expect("the proxy reads the request");
    assert!(stream.read(), "the connection closed before a response");
}

fn benchmark_request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    let mut run = |name: &str, access_rate: f64| {
        let proxy = spawn_proxy(access_rate);
        let stream = TcpStream::connect(proxy.addresses.clients).expect("the proxy accepts a connection");
        let mut stream = MessageStream::new(stream);
        group.bench_function(name, |bencher| bencher.iter(|| send_request(&mut stream)));
        drop(stream);
        proxy.stop().expect("the proxy stops without an error");
    };
    run("no subscriber", 0.01);
    let layer = tracing_subscriber::fmt::layer().with_writer(std::io::sink);
    tracing_subscriber::registry()
        .with(layer.with_filter(Targets::new().with_default(tracing::Level::INFO)))
        .init();
    run("subscriber, no access events", 0.0);
    run("subscriber, one access event in 100", 0.01);
    run("subscriber, an access event a request", 1.0);
}

criterion_group!(benches, benchmark_request);
criterion_main!(benches);
