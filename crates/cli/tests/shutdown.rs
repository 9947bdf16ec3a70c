//! Graceful shutdown: every request that was accepted gets a response, and the process exits before it would be
//! killed by SIGKILL.
mod sockets;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use sockets::*;

/// Starts a proxy whose longest deadline is `longest_deadline_ms`, with a backend that doesn't respond, and terminates
/// it while some requests are at the backend and others wait in the queue. Checks that all get a response, and that the
/// process exits within `kill_after`, the time after which SIGKILL would follow.
fn terminate_with_hanging_backend(longest_deadline_ms: u32, kill_after: Duration) {
    let latch = Latch::default();
    let backend = Backend::new(Reply::Delayed(latch.clone(), ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let mut proxy = Proxy::start_ready(
        &discovery,
        &Setup { has_admin: true, deadline_ms: longest_deadline_ms, ..Setup::default() },
    );
    let timeout = format!("{}", f64::from(longest_deadline_ms) / 1000.0);
    let mut clients: Vec<Client> = (0..12).map(|_| proxy.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("r-{number}"), &timeout, "x"));
    }
    wait_for("all requests", || proxy.stat("/pending") == 12);
    let terminated_at = Instant::now();
    proxy.terminate();
    // Neither a second SIGTERM nor a reload of an invalid file changes the shutdown.
    proxy.terminate();
    proxy.reload("{");
    let statuses: Vec<u16> =
        clients.iter_mut().map(|client| client.response().expect("a response").status()).collect();
    assert!(proxy.wait().success());
    assert!(terminated_at.elapsed() < kill_after, "{:?}", terminated_at.elapsed());
    let sent: Vec<String> = backend.requests().iter().map(|request| request.id().to_owned()).collect();
    assert!(!sent.is_empty() && sent.len() < 12, "{sent:?}");
    for (number, status) in statuses.into_iter().enumerate() {
        // A request that was sent may have run, so it fails. One that was never sent is rejected, and can be retried.
        let expected = if sent.contains(&format!("r-{number}")) { 502 } else { 503 };
        assert_eq!(status, expected, "r-{number} of {sent:?}");
    }
    latch.open();
}

#[test]
fn long_deadlines_are_shortened_to_end_before_sigkill() {
    terminate_with_hanging_backend(60_000, Duration::from_millis(3700));
}

#[test]
fn short_deadlines_end_before_sigkill() {
    terminate_with_hanging_backend(1000, Duration::from_millis(1700));
}

/// Length in bytes of a response body that the proxy streams.
const STREAMED_BODY_BYTES: usize = 200_000;

/// A proxy that has received SIGTERM and passed its shutdown deadline, while it streams a response whose second half
/// the backend writes once the latch opens. The client has read the first half.
struct LateStream {
    proxy: Proxy,
    client: Client,
    latch: Latch,
    _backend: Backend,
    _discovery: Discovery,
}

impl LateStream {
    fn start() -> Self {
        let latch = Latch::default();
        let response = ok(&"x".repeat(STREAMED_BODY_BYTES));
        let (first, rest) = response.split_at(response.len() - STREAMED_BODY_BYTES / 2);
        let backend = Backend::new(Reply::InParts(first.into(), latch.clone(), rest.into()));
        let discovery = Discovery::new();
        discovery.publish(&all_up(&[&backend]));
        let proxy = Proxy::start_ready(&discovery, &Setup { deadline_ms: 300, ..setup_with_admin() });
        let mut client = proxy.client();
        client.send(&page("r-1"));
        assert_eq!(client.read_head().status(), 200);
        client.read(STREAMED_BODY_BYTES / 2);
        proxy.terminate();
        wait_for("the shutdown deadline", || proxy.log_contains("shutdown deadline passed"));
        LateStream { proxy, client, latch, _backend: backend, _discovery: discovery }
    }
}

/// Guards against a streamed response that is cut off because the process ends before the response does.
#[test]
fn streamed_response_outlasts_the_shutdown_deadline() {
    let mut late = LateStream::start();
    late.latch.open();
    assert!(late.client.read(STREAMED_BODY_BYTES / 2).iter().all(|byte| *byte == b'x'));
    assert!(late.client.is_closed());
    assert!(late.proxy.wait().success());
}

/// Guards against a process that never ends because the client of a streamed response has left.
#[test]
fn process_ends_once_client_of_streamed_response_disconnects_after_the_shutdown_deadline() {
    let mut late = LateStream::start();
    drop(late.client);
    late.latch.open();
    assert!(late.proxy.wait().success());
}

/// Guards against a request without a response at the end of the process, if it is sent behind a streamed response that
/// ends after the shutdown deadline.
#[test]
fn request_behind_streamed_response_is_answered_after_the_shutdown_deadline() {
    let mut late = LateStream::start();
    late.client.send(&page("r-2"));
    late.latch.open();
    late.client.read(STREAMED_BODY_BYTES / 2);
    let (status, closed) = late.client.last_response().expect("a response");
    assert!(matches!(status, 502 | 503) && closed, "{status} {closed}");
    assert!(late.proxy.wait().success());
}

#[test]
fn half_read_head_at_sigterm_is_answered_once_complete() {
    let backend = Backend::new(Reply::Write(ok("whole")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let mut proxy = Proxy::start_ready(&discovery, &Setup::default());
    let request = page("r-half");
    let (half, rest) = request.split_at(request.len() / 2);
    let mut client = proxy.client();
    client.send(half);
    assert!(proxy.is_up()); // by the time of this response, the proxy has read the first half
    proxy.terminate();
    wait_for("the close of the listener", || TcpStream::connect(proxy.address).is_err());
    // Within this time, a process that didn't wait for the rest of the head would have exited. The head has to be
    // complete 2.4 s after its first byte.
    std::thread::sleep(Duration::from_millis(500));
    client.send(rest);
    let response = client.response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(proxy.wait().success());
}

#[test]
fn incomplete_head_evicted_for_new_connections_is_answered() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &Setup { max_descriptors: 64, ..Setup::default() });
    let send_incomplete_head = |_| {
        let mut client = proxy.client();
        client.send("GET /page HTTP/1.1\r\nHost");
        client
    };
    let mut incomplete: Vec<Client> = (0..40).map(send_incomplete_head).collect();
    // The proxy closes the first connection to accept others. The rest of its head may be on the way, so the client
    // gets a response, which shows that the request was not processed.
    assert_eq!(incomplete[0].last_response(), Some((503, true)));
}

#[test]
fn head_that_never_completes_is_answered() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &Setup::default());
    let mut client = proxy.client();
    client.send("GET /page HTTP/1.1\r\nHost");
    assert_eq!(client.last_response(), Some((408, true)));
}
