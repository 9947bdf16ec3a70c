//! Retries of requests with an idempotency key: backends discard a repeated key only within the idempotency window, a
//! limited time after the first attempt was sent.
mod sockets;

use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sockets::*;

/// The idempotency window of this test: how long the backends of a cell discard requests with a repeated key.
const WINDOW: Duration = Duration::from_millis(1500);

fn booking(id: &str) -> String {
    format!(
        "POST /booking?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: 20\r\n\
         Idempotency-Key: {id}\r\nContent-Length: 1\r\n\r\nx"
    )
}

/// A booking whose first attempt may have run, and whose retry waits for a connection to another backend of the same
/// cell.
struct PendingRetry {
    client: Client,
    /// When the first attempt had reached its backend.
    first_received_at: Instant,
    /// The other backend. Its accept queue is full, so that the connection for the retry is not established.
    second: TcpListener,
    /// The connection that fills the accept queue.
    filler: std::net::TcpStream,
    _proxy: Proxy,
    _discovery: Discovery,
}

impl PendingRetry {
    fn new() -> Self {
        let latch = Latch::default();
        let first = Backend::new(Reply::InParts(String::new(), latch.clone(), "no HTTP".into()));
        let (second, filler) = full_listener();
        let discovery = Discovery::new();
        discovery.publish(&list(1, true, &[host("s-0", first.address, "up", 0)]));
        let setup =
            Setup { has_admin: true, deadline_ms: 20_000, connect_timeout_ms: 15_000, ..Setup::default() };
        let text = config(discovery.address, &setup).replace("\"window\":2500", "\"window\":1500");
        let proxy = Proxy::start_with_config(&text, &setup);
        wait_for("/up", || proxy.is_up());
        let mut client = proxy.client();
        client.send(&booking("r-1"));
        wait_for("the first attempt", || first.requests().len() == 1);
        let first_received_at = Instant::now();
        let address = second.local_addr().expect("an address");
        discovery.publish(&list(2, false, &[host("s-1", address, "up", 0)]));
        wait_for("two backends", || proxy.stat("/members") == 2);
        let dials = proxy.dials();
        latch.open();
        wait_for("a connection attempt to the second backend", || proxy.dials() > dials);
        PendingRetry { client, first_received_at, second, filler, _proxy: proxy, _discovery: discovery }
    }
}

/// Guards against a retry that reaches a backend when it no longer recognizes the key, and would run the request twice.
#[test]
fn retry_after_idempotency_window_is_not_sent() {
    let mut retry = PendingRetry::new();
    // This waits until the window is over by the clock, so that the outcome doesn't depend on the load of the machine.
    while retry.first_received_at.elapsed() <= WINDOW {
        std::thread::sleep(Duration::from_millis(10));
    }
    // The proxy may abandon the connection before it is accepted, or close it without a request.
    let received = Arc::<Mutex<Vec<u8>>>::default();
    let received_copy = received.clone();
    let PendingRetry { second, filler, .. } = retry;
    std::thread::spawn(move || {
        let connection = accept_connecting(&second, &filler);
        BufReader::new(connection)
            .bytes()
            .map_while(Result::ok)
            .for_each(|byte| received_copy.lock().expect("no panic").push(byte));
    });
    assert_eq!(retry.client.response().expect("a response").status(), 502);
    let received = received.lock().expect("no panic");
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
}

#[test]
fn retry_within_idempotency_window_is_sent() {
    let mut retry = PendingRetry::new();
    let connection = accept_connecting(&retry.second, &retry.filler);
    assert!(
        retry.first_received_at.elapsed() < WINDOW,
        "the machine is too slow for this test: the window is over"
    );
    let mut reader = BufReader::new(connection);
    assert_eq!(read_message(&mut reader).expect("the retry").id(), "r-1");
    reader.get_mut().write_all(ok("again").as_bytes()).expect("the proxy reads");
    assert_eq!(retry.client.response().expect("a response").text(), "again");
}
