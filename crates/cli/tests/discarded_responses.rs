//! Backends that send more than one response: no client gets a response that was written before its request was sent.
mod sockets;

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};

use sockets::*;

fn start_proxy(backend: &TcpListener, deadline: u32) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&list(
        1,
        true,
        &[host("s-0", backend.local_addr().expect("a local address"), "up", 0)],
    ));
    let setup = Setup { has_admin: true, deadline_ms: deadline, ..Setup::default() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    (discovery, proxy)
}

/// Accepts the next connection and reads the request `id` from it.
fn accept_request(backend: &TcpListener, id: &str) -> BufReader<TcpStream> {
    let (stream, _) = backend.accept().expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("the read timeout is set");
    let mut reader = BufReader::new(stream);
    assert_eq!(read_message(&mut reader).expect("a request").id(), id);
    reader
}

fn write(connection: &BufReader<TcpStream>, text: &str) {
    connection.get_ref().write_all(text.as_bytes()).expect("the peer receives the bytes");
}

/// The time at which the backend writes its second response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SecondResponse {
    /// Together with the first.
    WithFirst,
    /// While the connection is idle.
    Idle,
    /// Once the next request has arrived at the paused proxy, which has not read it yet.
    Reuse,
}

/// Guards against giving the client of the next request a complete or partial second response to an earlier one: the
/// proxy has to discard the connection.
#[test]
fn second_response_is_discarded() {
    let complete = ok("the first again");
    for text in [complete.as_str(), &complete[..9]] {
        for second_response in [SecondResponse::WithFirst, SecondResponse::Idle, SecondResponse::Reuse] {
            let backend = TcpListener::bind("127.0.0.1:0").expect("a port");
            let (_discovery, proxy) = start_proxy(&backend, 5000);
            let mut client = proxy.client();
            client.send(&submit("r-1", "5", "x"));
            let mut old = accept_request(&backend, "r-1");
            let second = if second_response == SecondResponse::WithFirst { text } else { "" };
            write(&old, &(ok("the first") + second));
            assert_eq!(client.response().expect("a response").text(), "the first");
            match second_response {
                SecondResponse::WithFirst => {}
                SecondResponse::Idle => write(&old, text),
                SecondResponse::Reuse => proxy.pause(),
            }
            client.send(&submit("r-2", "5", "x"));
            if second_response == SecondResponse::Reuse {
                write(&old, text);
                proxy.resume();
            }
            let new = accept_request(&backend, "r-2");
            write(&new, &ok("the second"));
            let response = client.response().expect("a response");
            assert_eq!(
                (response.status(), response.text().as_str()),
                (200, "the second"),
                "{second_response:?}"
            );
            assert!(
                read_message(&mut old).is_none(),
                "{second_response:?}: nothing more is sent on the old connection"
            );
        }
    }
}

/// Guards against forwarding a response that the backend writes on a reused connection before the request is complete.
#[test]
fn response_before_complete_request_is_discarded() {
    let backend = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (_discovery, proxy) = start_proxy(&backend, 5000);
    let mut client = proxy.client();
    client.send(&submit("r-1", "5", "x"));
    let mut old = accept_request(&backend, "r-1");
    write(&old, &ok("the first"));
    assert_eq!(client.response().expect("a response").text(), "the first");
    client.send(&submit("r-2", "5", "").replace("Length: 0", "Length: 2000000"));
    client.send(&"x".repeat(500_000));
    // The backend receives a part of the second request before its client has sent the whole body.
    std::io::BufRead::fill_buf(&mut old).expect("first bytes");
    write(&old, &ok("the first again"));
    let response = client.response().expect("a response");
    assert_ne!(response.status(), 200, "{}", response.text());
    let mut rest = Vec::new();
    let _ = std::io::Read::read_to_end(&mut old, &mut rest); // The connection may end with a reset.
    assert!(rest.len() < 2_000_000, "the proxy does not send the rest of the request");
}

#[test]
fn request_on_connection_closed_before_use_is_retried() {
    let (slow, full) = full_listener();
    let other = Backend::new(Reply::Write(ok("the other's")));
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", slow.local_addr().expect("a local address"), "up", 0)]));
    let setup =
        Setup { has_admin: true, deadline_ms: 60_000, connect_timeout_ms: 30_000, ..Setup::default() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    let mut client = proxy.client();
    client.send(&submit("r-1", "60", "x"));
    wait_for("the connection to be started", || proxy.dials() == 1);
    discovery.publish(&list(2, false, &[host("s-1", other.address, "up", 0)]));
    wait_for("the second backend", || proxy.stat("/members") == 2);
    // When the proxy resumes, it finds the connection both established and closed, so the request can't have run.
    proxy.pause();
    drop(accept_connecting(&slow, &full));
    proxy.resume();
    let response = client.response().expect("a response");
    assert_eq!((response.status(), response.text().as_str()), (200, "the other's"));
}
