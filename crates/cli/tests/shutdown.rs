//! Graceful shutdown: every request that was accepted gets a response, and the process exits before SIGKILL could come.
mod sockets;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use sockets::*;

/// Starts a proxy whose longest deadline is `deadline` with a backend that never answers; terminates it with one request
/// at the backend and others that wait, and checks the answers. SIGKILL would come after `kill`.
fn terminate_with_hanging_backend(deadline: u32, kill: Duration) {
    let never = Latch::default();
    let backend = Backend::new(Reply::Delayed(never.clone(), ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let mut proxy =
        Proxy::start_ready(&discovery, &Setup { has_admin: true, deadline_ms: deadline, ..Setup::default() });
    let seconds = format!("{}", f64::from(deadline) / 1000.0);
    let mut clients: Vec<Client> = (0..12).map(|_| proxy.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("r-{number}"), &seconds, "x"));
    }
    wait_for("all of them", || proxy.stat("/pending") == 12);
    let terminated_at = Instant::now();
    proxy.terminate();
    // Again, and a file to be read meanwhile: neither changes anything.
    proxy.terminate();
    proxy.reload("{");
    let answers: Vec<u16> =
        clients.iter_mut().map(|client| client.response().expect("a response").status()).collect();
    assert!(proxy.wait().success());
    assert!(terminated_at.elapsed() < kill, "{:?}", terminated_at.elapsed());
    let sent: Vec<String> = backend.requests().iter().map(|request| request.id().to_owned()).collect();
    assert!(!sent.is_empty() && sent.len() < 12, "{sent:?}");
    for (number, status) in answers.into_iter().enumerate() {
        // What may have run has failed; what was never sent may be tried again.
        let expected = if sent.contains(&format!("r-{number}")) { 502 } else { 503 };
        assert_eq!(status, expected, "r-{number} of {sent:?}");
    }
    never.open();
}

#[test]
fn long_deadlines_are_cut_before_sigkill() {
    terminate_with_hanging_backend(60_000, Duration::from_millis(3700));
}

#[test]
fn short_deadlines_end_before_sigkill() {
    terminate_with_hanging_backend(1000, Duration::from_millis(1700));
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
    assert!(proxy.is_up()); // by now the half has been read
    proxy.terminate();
    wait_for("the listener's end", || TcpStream::connect(proxy.address).is_err());
    // Long enough for a process that waits for nobody to be gone; the head has 2.4 s from its first byte on.
    std::thread::sleep(Duration::from_millis(500));
    client.send(rest);
    let response = client.response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(proxy.wait().success());
}

#[test]
fn head_that_gives_way_to_others_is_answered() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &Setup { max_descriptors: 64, ..Setup::default() });
    let half = |_| {
        let mut client = proxy.client();
        client.send("GET /page HTTP/1.1\r\nHost");
        client
    };
    let mut stuck: Vec<Client> = (0..40).map(half).collect();
    // Its rest may be on the way when it is asked to go: it gets a response, which says that nothing was done.
    assert_eq!(stuck[0].last_response(), Some((503, true)));
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
