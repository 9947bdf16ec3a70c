//! Clients that read nothing of a long response for a while.
mod sockets;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use sockets::*;

/// A response length in bytes that the socket buffers between proxy and client hold.
const SHORT: usize = 200_000;
/// A response length in bytes that the socket buffers do not hold.
const LONG: usize = 16 << 20;
/// Difference in bytes between the lengths that a test tries; smaller than the buffer of the proxy's HTTP server.
const STEP: usize = 8 << 10;
/// Number of responses of different lengths that are given at once.
const RESPONSES: usize = 16;
/// Length in bytes of the first of the responses to pipelined requests; each further one is a byte longer.
const SECOND_RESPONSE: usize = 20;
/// Time after which a response that its client does not read counts as too long for the buffers.
const STUCK_TIME: Duration = Duration::from_millis(300);

/// A backend whose response has the length that is the request's id.
fn backend_with_requested_lengths() -> Backend {
    Backend::with_handler(|request| {
        let length = request.id().parse().expect("a length");
        Reply::Write(ok(&"x".repeat(length)))
    })
}

fn proxy_with_requested_lengths() -> (Backend, Discovery, Proxy) {
    let backend = backend_with_requested_lengths();
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    (backend, discovery, proxy)
}

/// Requests a response of this length, and reads nothing of it.
fn request_unread(proxy: &Proxy, length: usize) -> Client {
    let mut client = proxy.client();
    client.send(&page(&length.to_string()));
    client
}

/// Whether the proxy hands over a response of this length although the client reads nothing.
fn is_taken_unread(proxy: &Proxy, length: usize) -> bool {
    let completed = proxy.stat("/completed/page");
    let client = request_unread(proxy, length);
    thread::sleep(STUCK_TIME);
    let is_taken = proxy.stat("/completed/page") > completed;
    drop(client);
    wait_for("the request to end", || proxy.stat("/pending") == 0);
    is_taken
}

/// The longest response, to within [`STEP`], that the proxy hands over although the client reads nothing. Its last bytes
/// are in the buffer of the proxy's HTTP server, as the socket buffers are full.
fn longest_taken_unread(proxy: &Proxy) -> usize {
    let (mut taken, mut stuck) = (SHORT, LONG);
    while stuck - taken > STEP {
        let length = taken.midpoint(stuck);
        match is_taken_unread(proxy, length) {
            true => taken = length,
            false => stuck = length,
        }
    }
    taken
}

/// Guards against a response whose last bytes are cut off at the end of the process, because the connection counted as
/// idle once the HTTP server had taken them.
#[test]
fn response_that_is_not_yet_written_to_the_socket_outlasts_sigterm() {
    let (_backend, _discovery, mut proxy) = proxy_with_requested_lengths();
    let longest = longest_taken_unread(&proxy);
    let lengths = (0..RESPONSES).map(|number| longest - number * STEP);
    let clients: Vec<(usize, Client)> =
        lengths.map(|length| (length, request_unread(&proxy, length))).collect();
    thread::sleep(STUCK_TIME);
    proxy.terminate();
    wait_for("the close of the listener", || TcpStream::connect(proxy.address).is_err());
    // Within this time, a process that didn't wait for the clients would have exited.
    thread::sleep(Duration::from_millis(500));
    for (length, mut client) in clients {
        let received = client.response().map(|response| response.body.len());
        assert_eq!(received, Some(length));
    }
    assert!(proxy.wait().success());
}

/// Guards against a request that has been read, waits until the response before it has been written, and gets no response
/// because its connection counts as idle.
#[test]
fn request_pipelined_behind_an_unwritten_response_is_answered_after_sigterm() {
    let (_backend, _discovery, mut proxy) = proxy_with_requested_lengths();
    let longest = longest_taken_unread(&proxy);
    let lengths = (0..RESPONSES).map(|number| longest - number * STEP);
    let mut clients: Vec<(usize, Client)> =
        lengths.map(|length| (length, request_unread(&proxy, length))).collect();
    thread::sleep(STUCK_TIME);
    for (number, (_, client)) in clients.iter_mut().enumerate() {
        client.send(&page(&(SECOND_RESPONSE + number).to_string()));
    }
    thread::sleep(STUCK_TIME);
    proxy.terminate();
    wait_for("the close of the listener", || TcpStream::connect(proxy.address).is_err());
    for (number, (length, mut client)) in clients.into_iter().enumerate() {
        let received = client.response().map(|response| response.body.len());
        assert_eq!(received, Some(length));
        let second = client.response().map(|response| response.body.len());
        assert_eq!(second, Some(SECOND_RESPONSE + number), "after {length} bytes");
    }
    assert!(proxy.wait().success());
}
