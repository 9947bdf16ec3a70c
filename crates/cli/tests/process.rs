//! The proxy process: errors in its configuration, its shutdown on SIGTERM, and gossip with its peers.
mod sockets;

use std::net::{TcpListener, UdpSocket};
use std::process::Command;

use sockets::*;

#[test]
fn invalid_configuration_ends_the_process_and_logs_the_reason() {
    let unused_address = "127.0.0.1:1".parse().unwrap();
    let valid = config(unused_address, &Setup::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let used_address = listener.local_addr().unwrap().to_string();
    for (text, reason) in [
        ("{".to_owned(), "EOF"),
        (valid.replace("\"127.0.0.1:0\"", "17"), "socket address"),
        (valid.replace("\"classes\"", "\"glasses\""), "classes"),
        (valid.replace("127.0.0.1:0", "192.0.2.1:1"), "listen on 192.0.2.1:1"),
        (
            valid.replace("\"seed\":\"8c1f30d27a5be964\"", &format!("\"seed\":{{\"x\":\"{used_address}\"}}")),
            "seed",
        ),
    ] {
        let file = config_file(&text);
        let output = Command::new(env!("CARGO_BIN_EXE_leadrelay"))
            .arg("serve")
            .env("NODE_CONFIG", &file)
            .output()
            .unwrap();
        let _ = std::fs::remove_file(&file);
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        let expected_code = if reason.starts_with("listen on") { 1 } else { 2 };
        assert!(output.status.code() == Some(expected_code) && log.contains(reason), "{reason}: {log}");
    }
    let output = Command::new(env!("CARGO_BIN_EXE_leadrelay"))
        .arg("serve")
        .env_remove("NODE_CONFIG")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
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
    wait_for("the delayed request", || backend.requests().iter().any(|request| request.id() == "r-held"));
    // When the signal arrives, this connection waits in the accept queue or has just been accepted.
    let mut new_client = proxy.client();
    proxy.terminate();
    let response = new_client.request(&page("r-2")).expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(idle.is_closed(), "idle connections are closed");
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
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(LIMIT)).unwrap();
    // No other test uses this loopback address, so that no other socket takes the port before the proxy binds it.
    let proxy_address = UdpSocket::bind("127.93.17.5:0").unwrap().local_addr().unwrap();
    let gossip = Some((proxy_address, peer.local_addr().unwrap()));
    let mut proxy = Proxy::start_ready(&discovery, &Setup { gossip, ..Setup::default() });
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for size in [0, 1, 3, 255, 256, 257, 2000] {
        for first_byte in [0u8, 1, 255] {
            let mut bytes = vec![255; size];
            bytes.iter_mut().take(1).for_each(|byte| *byte = first_byte);
            peer.send_to(&bytes, proxy_address).unwrap();
            unknown_sender.send_to(&bytes, proxy_address).unwrap();
        }
    }
    let (size, sender) = peer.recv_from(&mut [0; 512]).expect("a gossip message");
    assert!(size > 0 && size <= 256 && sender == proxy_address);
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    assert!(proxy.is_running());
}
