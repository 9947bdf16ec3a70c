//! What one request costs: a client asks on one kept connection and waits for its answer, through a proxy in this
//! process, of a backend that answers at once. Compare what the log costs: nobody listens, all but the access events,
//! and an access event a request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use criterion::{Criterion, criterion_group, criterion_main};
use leadrelay_proxy::{Running, config, spawn};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

/// Reads one message with a told length.
fn read(stream: &mut BufReader<TcpStream>, line: &mut String) -> bool {
    let mut length = 0;
    loop {
        line.clear();
        if stream.read_line(line).unwrap_or(0) == 0 {
            return false;
        }
        if line == "\r\n" {
            break;
        }
        if let Some(told) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = told.trim().parse().expect("a length");
        }
    }
    stream.read_exact(&mut vec![0; length]).is_ok()
}

/// A backend that answers each request at once.
fn backend() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                stream.set_nodelay(true).expect("a socket");
                let (mut stream, mut line) = (BufReader::new(stream), String::new());
                while read(&mut stream, &mut line) {
                    let _ = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        }
    });
    address
}

fn proxy(access: f64) -> Running {
    let text = format!(
        "listen = \"127.0.0.1:0\"\n[[backends]]\naddress = \"{}\"\n[logging]\naccess = {access}\n",
        backend()
    );
    spawn(config::parse(&text, "bench").expect("good")).expect("it starts")
}

fn ask(stream: &mut BufReader<TcpStream>, line: &mut String) {
    let request = b"GET /page HTTP/1.1\r\nHost: x\r\nX-Request-ID: r\r\n\r\n";
    stream.get_mut().write_all(request).expect("it reads");
    assert!(read(stream, line), "an answer");
}

fn request(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    let mut run = |name: &str, access: f64| {
        let proxy = proxy(access);
        let stream = TcpStream::connect(proxy.addresses.clients).expect("it accepts");
        stream.set_nodelay(true).expect("a socket");
        let (mut stream, mut line) = (BufReader::new(stream), String::new());
        group.bench_function(name, |b| b.iter(|| ask(&mut stream, &mut line)));
        drop(stream);
        proxy.stop().expect("it ran");
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

criterion_group!(benches, request);
criterion_main!(benches);
