//! Long request bodies at backends that read them slowly or not at all.
mod sockets;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use sockets::*;

/// Length of a body in bytes that the socket buffers of the client and of the proxy hold, but not those of the proxy
/// and of a backend with a small receive buffer.
const BUFFERED_BODY_BYTES: usize = 6_000_000;
/// Length of a body in bytes that all socket buffers together do not hold.
const LONG_BODY_BYTES: usize = 32_000_000;
/// Number of requests with long bodies that a test sends to a hanging backend and to another one.
const LONG_BODIES: usize = 40;
/// Receive buffer of a backend in bytes.
const SMALL_RECEIVE_BUFFER: usize = 64 << 10;
const ANSWERED_IN_TIME: &str =
    "leadrelay_invariant_violations_total{invariant=\"answered_in_time\",layer=\"socket\"}";

/// A listener whose connections have a small receive buffer. The operating system accepts connections for it.
fn listener_with_small_receive_buffer() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).expect("a receive buffer");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    socket.listen(128).expect("a listener");
    socket.into()
}

fn proxy_before(listener: &TcpListener) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", listener.local_addr().unwrap(), "up", 0)]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    (discovery, proxy)
}

/// A backend that reads `bytes_per_step` of its first request at a time with a pause of `pause`, then responds.
fn start_slow_backend(listener: TcpListener, body_length: usize, bytes_per_step: usize, pause: Duration) {
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("an attempt");
        let mut step = vec![0; bytes_per_step];
        let mut read = 0;
        while read < body_length {
            // The pause simulates a slow backend; it does not wait for an event.
            thread::sleep(pause);
            match fill(&mut stream, &mut step, body_length - read) {
                0 => return,
                count => read += count,
            }
        }
        let _ = stream.write_all(ok("done").as_bytes());
        let _ = stream.read_to_end(&mut Vec::new());
    });
}

/// Reads until the buffer is full, `at_least` bytes have been read or the stream ends; returns the number of bytes.
fn fill(stream: &mut TcpStream, buffer: &mut [u8], at_least: usize) -> usize {
    let mut filled = 0;
    while filled < buffer.len().min(at_least) {
        match stream.read(&mut buffer[filled..]) {
            Ok(count) if count > 0 => filled += count,
            _ => break,
        }
    }
    filled
}

fn long_submit(id: &str, timeout: &str, body_length: usize) -> String {
    submit(id, timeout, &"x".repeat(body_length))
}

/// Guards against a long body that never gets a response because its backend hangs.
#[test]
fn long_body_at_backend_that_does_not_read_gets_a_response_in_time() {
    let listener = listener_with_small_receive_buffer();
    let (_discovery, proxy) = proxy_before(&listener);
    let response = proxy.client().request(&long_submit("r-1", "1", BUFFERED_BODY_BYTES));
    assert_eq!(status(response), 502);
    assert_eq!(proxy.metric(ANSWERED_IN_TIME), 0);
    wait_for("the connection to the backend to close", || {
        proxy.metric("leadrelay_connections{side=\"backends\"}") == 0
    });
}

/// Guards against a response after the client's timeout, because the proxy took the client to be still writing while
/// the body waited for a slow backend.
#[test]
fn long_body_at_slow_backend_gets_a_response_in_time() {
    let listener = listener_with_small_receive_buffer();
    let (_discovery, proxy) = proxy_before(&listener);
    start_slow_backend(listener, BUFFERED_BODY_BYTES, 500_000, Duration::from_millis(100));
    let response = proxy.client().request(&long_submit("r-1", "1", BUFFERED_BODY_BYTES));
    assert_eq!(status(response), 502, "the backend reads for 1.2 s");
    assert_eq!(proxy.metric(ANSWERED_IN_TIME), 0);
}

/// Guards against giving up a request whose client is still writing, because its backend reads more slowly than that.
#[test]
fn timeout_does_not_run_while_client_can_not_have_written_the_body() {
    let listener = listener_with_small_receive_buffer();
    let (_discovery, proxy) = proxy_before(&listener);
    start_slow_backend(listener, LONG_BODY_BYTES, 1_000_000, Duration::from_millis(125));
    let response = proxy.client().request(&long_submit("r-1", "2", LONG_BODY_BYTES));
    assert_eq!(response.expect("a response").text(), "done", "the backend reads for 4 s");
}

/// Guards against sending ever more long bodies to a backend that hangs, as their attempts take no slot of it.
#[test]
fn long_bodies_go_to_other_backends_once_a_backend_does_not_read() {
    let hanging = listener_with_small_receive_buffer();
    let backend = Backend::new(Reply::Write(ok("done")));
    let hosts = [host("s-0", hanging.local_addr().unwrap(), "up", 0), host("s-1", backend.address, "up", 0)];
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &hosts));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    let clients: Vec<_> = (0..LONG_BODIES)
        .map(|number| {
            // The pause spreads the requests over time; it does not wait for an event.
            thread::sleep(Duration::from_millis(100));
            let mut client = proxy.client();
            let request = long_submit(&format!("r-{number}"), "3", BUFFERED_BODY_BYTES);
            thread::spawn(move || status(client.request(&request)))
        })
        .collect();
    let statuses: Vec<u16> = clients.into_iter().map(|client| client.join().expect("a status")).collect();
    let (first, last) = statuses.split_at(LONG_BODIES / 2);
    assert!(first.contains(&502), "the hanging backend got a request: {statuses:?}");
    assert!(last.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Guards against giving up a request whose client writes slowly.
#[test]
fn timeout_does_not_run_while_client_writes_slowly() {
    let backend = Backend::new(Reply::Write(ok("done")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    let request = long_submit("r-1", "0.5", 1_600_000);
    let mut client = proxy.client();
    for piece in request.as_bytes().chunks(100_000) {
        client.send(std::str::from_utf8(piece).expect("ASCII"));
        // The pause simulates a slow client; it does not wait for an event.
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(client.response().expect("a response").text(), "done");
}
