//! The process: its configuration, SIGTERM and gossip with its peers.
mod sockets;

use std::net::{TcpListener, UdpSocket};
use std::process::Command;

use sockets::*;

#[test]
fn invalid_configuration_ends_the_process_with_its_reason() {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let good = config(nowhere, &Setup::default());
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap().to_string();
    for (text, word) in [
        ("{".to_owned(), "EOF"),
        (good.replace("\"127.0.0.1:0\"", "17"), "socket address"),
        (good.replace("\"classes\"", "\"glasses\""), "classes"),
        (good.replace("127.0.0.1:0", "192.0.2.1:1"), "listen on 192.0.2.1:1"),
        (good.replace("\"seed\":\"8c1f30d27a5be964\"", &format!("\"seed\":{{\"x\":\"{taken}\"}}")), "seed"),
    ] {
        let file = config_file(&text);
        let run = Command::new(env!("CARGO_BIN_EXE_leadrelay"))
            .arg("serve")
            .env("NODE_CONFIG", &file)
            .output()
            .unwrap();
        let _ = std::fs::remove_file(&file);
        let log = String::from_utf8_lossy(&run.stderr).into_owned();
        let code = if word.starts_with("listen on") { 1 } else { 2 };
        assert!(run.status.code() == Some(code) && log.contains(word), "{word}: {log}");
    }
    let run = Command::new(env!("CARGO_BIN_EXE_leadrelay"))
        .arg("serve")
        .env_remove("NODE_CONFIG")
        .output()
        .unwrap();
    assert_eq!(run.status.code(), Some(2));
}

#[test]
fn sigterm_answers_open_and_new_requests() {
    let latch = Latch::default();
    let backend = delaying_backend(&latch, "r-held");
    let (_discovery, mut proxy) = proxy_with(&[&backend]);
    let mut busy = proxy.client();
    let mut idle = proxy.client();
    assert_eq!(status(idle.request(&page("r-1"))), 200);
    busy.send(&submit("r-held", "5", "x"));
    wait_for("the request", || backend.requests().iter().any(|request| request.id() == "r-held"));
    // This one waits in the accept queue or is fresh when the signal comes.
    let mut fresh = proxy.client();
    proxy.terminate();
    let response = fresh.request(&page("r-2")).expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(idle.is_closed(), "an idle connection closes");
    latch.open();
    let response = busy.response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(proxy.wait().success());
}

#[test]
fn malformed_datagrams_are_ignored_and_gossip_is_sent() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    other.set_read_timeout(Some(LIMIT)).unwrap();
    // An address of this test's own, so that nobody else takes the port meanwhile.
    let own = UdpSocket::bind("127.93.17.5:0").unwrap().local_addr().unwrap();
    let gossip = Some((own, other.local_addr().unwrap()));
    let mut proxy = Proxy::start_ready(&discovery, &Setup { gossip, ..Setup::default() });
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for size in [0, 1, 3, 255, 256, 257, 2000] {
        for first in [0u8, 1, 255] {
            let mut bytes = vec![255; size];
            bytes.iter_mut().take(1).for_each(|byte| *byte = first);
            other.send_to(&bytes, own).unwrap();
            stranger.send_to(&bytes, own).unwrap();
        }
    }
    let (size, from) = other.recv_from(&mut [0; 512]).expect("a gossip message");
    assert!(size > 0 && size <= 256 && from == own);
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    assert!(proxy.is_running());
}
