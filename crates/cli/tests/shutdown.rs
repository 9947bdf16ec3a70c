//! The end of a process: whoever has been taken gets an answer, and the end comes before SIGKILL could.
mod sockets;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use sockets::*;

/// Starts a proxy whose longest deadline is `deadline` with a backend that never answers; terminates it with one request
/// at the backend and others that wait, and checks the answers. SIGKILL would come after `kill`.
fn hangs_at_the_end(deadline: u32, kill: Duration) {
    let never = Gate::default();
    let backend = Backend::new(Deed::Hold(never.clone(), ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let mut proxy = Proxy::up(&discovery, &Setup { admin: true, deadline, ..Setup::default() });
    let seconds = format!("{}", f64::from(deadline) / 1000.0);
    let mut clients: Vec<Client> = (0..12).map(|_| Client::new(&proxy)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("r-{n}"), &seconds, "x"));
    }
    wait_for("all of them", || proxy.figure("/pending") == 12);
    let begun = Instant::now();
    proxy.terminate();
    // Again, and a file to be read meanwhile: neither changes anything.
    proxy.terminate();
    proxy.reload("{");
    let answers: Vec<u16> = clients.iter_mut().map(|c| c.answer().expect("an answer").status()).collect();
    assert!(proxy.wait().success());
    assert!(begun.elapsed() < kill, "{:?}", begun.elapsed());
    let sent: Vec<String> = backend.seen().iter().map(|m| m.id().to_owned()).collect();
    assert!(!sent.is_empty() && sent.len() < 12, "{sent:?}");
    for (n, status) in answers.into_iter().enumerate() {
        // What may have run has failed; what was never sent may be tried again.
        let wanted = if sent.contains(&format!("r-{n}")) { 502 } else { 503 };
        assert_eq!(status, wanted, "r-{n} of {sent:?}");
    }
    never.open();
}

#[test]
fn with_deadlines_over_what_counts_all_are_answered_before_sigkill() {
    hangs_at_the_end(60_000, Duration::from_millis(3700));
}

#[test]
fn with_short_deadlines_all_are_answered_before_sigkill() {
    hangs_at_the_end(1000, Duration::from_millis(1700));
}

#[test]
fn a_head_that_was_half_read_at_sigterm_is_answered_once_it_is_whole() {
    let backend = Backend::new(Deed::Write(ok("whole")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let mut proxy = Proxy::up(&discovery, &Setup::default());
    let request = page("r-half");
    let (half, rest) = request.split_at(request.len() / 2);
    let mut client = Client::new(&proxy);
    client.send(half);
    assert!(proxy.is_up()); // by now the half has been read
    proxy.terminate();
    wait_for("the listener's end", || TcpStream::connect(proxy.address).is_err());
    // Long enough for a process that waits for nobody to be gone; the head has 2.4 s from its first byte on.
    std::thread::sleep(Duration::from_millis(500));
    client.send(rest);
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(proxy.wait().success());
}

#[test]
fn a_head_that_gives_way_to_others_is_answered() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup { sockets: 64, ..Setup::default() });
    let half = |_| {
        let mut client = Client::new(&proxy);
        client.send("GET /page HTTP/1.1\r\nHost");
        client
    };
    let mut stuck: Vec<Client> = (0..40).map(half).collect();
    // Its rest may be on the way when it is asked to go: it is owed an answer, and knows that nothing was done.
    assert_eq!(stuck[0].last_answer(), Some((503, true)));
}

#[test]
fn a_head_that_never_becomes_whole_is_answered() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    let mut client = Client::new(&proxy);
    client.send("GET /page HTTP/1.1\r\nHost");
    assert_eq!(client.last_answer(), Some((408, true)));
}
