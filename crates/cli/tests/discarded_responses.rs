//! Backends that send more than one response: no client gets what was written before its own request.
mod sockets;

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};

use sockets::*;

fn start_proxy(backend: &TcpListener, deadline: u32) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", backend.local_addr().expect("its own"), "up", 0)]));
    let setup = Setup { has_admin: true, deadline_ms: deadline, ..Setup::default() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    (discovery, proxy)
}

/// The next connection with the request on it.
fn accept_request(backend: &TcpListener, id: &str) -> BufReader<TcpStream> {
    let (stream, _) = backend.accept().expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let mut reader = BufReader::new(stream);
    assert_eq!(read_message(&mut reader).expect("a request").id(), id);
    reader
}

fn write(connection: &BufReader<TcpStream>, text: &str) {
    connection.get_ref().write_all(text.as_bytes()).expect("it reads");
}

/// When the backend writes its second response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// Together with the first.
    WithFirst,
    /// While the connection is idle.
    Idle,
    /// While the next request has come to the proxy, which has not read it.
    Reuse,
}

#[test]
fn second_response_is_discarded() {
    let complete = ok("the first once more");
    for text in [complete.as_str(), &complete[..9]] {
        for moment in [Moment::WithFirst, Moment::Idle, Moment::Reuse] {
            let backend = TcpListener::bind("127.0.0.1:0").expect("a port");
            let (_discovery, proxy) = start_proxy(&backend, 5000);
            let mut client = proxy.client();
            client.send(&submit("r-1", "5", "x"));
            let mut old = accept_request(&backend, "r-1");
            let second = if moment == Moment::WithFirst { text } else { "" };
            write(&old, &(ok("the first") + second));
            assert_eq!(client.response().expect("a response").text(), "the first");
            match moment {
                Moment::WithFirst => {}
                Moment::Idle => write(&old, text),
                Moment::Reuse => proxy.pause(),
            }
            client.send(&submit("r-2", "5", "x"));
            if moment == Moment::Reuse {
                write(&old, text);
                proxy.resume();
            }
            let new = accept_request(&backend, "r-2");
            write(&new, &ok("the second"));
            let response = client.response().expect("a response");
            assert_eq!((response.status(), response.text().as_str()), (200, "the second"), "{moment:?}");
            assert!(read_message(&mut old).is_none(), "{moment:?}: nothing more goes to the old one");
        }
    }
}

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
    // The backend has a part of the second request while its client has not sent all.
    std::io::BufRead::fill_buf(&mut old).expect("first bytes");
    write(&old, &ok("the first once more"));
    let response = client.response().expect("a response");
    assert_ne!(response.status(), 200, "{}", response.text());
    let mut rest = Vec::new();
    let _ = std::io::Read::read_to_end(&mut old, &mut rest); // it may end as a reset
    assert!(rest.len() < 2_000_000, "it never becomes whole");
}

#[test]
fn request_on_connection_closed_at_once_has_not_run() {
    let (slow, full) = full_listener();
    let other = Backend::new(Reply::Write(ok("the other's")));
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", slow.local_addr().expect("its own"), "up", 0)]));
    let setup =
        Setup { has_admin: true, deadline_ms: 60_000, connect_timeout_ms: 30_000, ..Setup::default() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    let mut client = proxy.client();
    client.send(&submit("r-1", "60", "x"));
    wait_for("its dial", || proxy.dials() == 1);
    discovery.publish(&list(2, false, &[host("s-1", other.address, "up", 0)]));
    wait_for("the second backend", || proxy.stat("/members") == 2);
    // The proxy finds the connection up and closed at once.
    proxy.pause();
    drop(accept_connecting(&slow, &full));
    proxy.resume();
    let response = client.response().expect("a response");
    assert_eq!((response.status(), response.text().as_str()), (200, "the other's"));
}
