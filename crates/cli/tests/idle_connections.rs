//! Idle client connections that the proxy closes, and requests that are on their way at that moment.
mod sockets;

use std::io::{Read, Write};
use std::net::TcpStream;

use sockets::*;

/// A client connection that is idle after the response to its first request.
fn idle_connection(proxy: &Proxy) -> Client {
    let mut client = proxy.client();
    assert_eq!(status(client.request(&page("r-first"))), 200);
    client
}

/// Sends a request on a connection that the proxy has closed. Returns whether the connection is reset before the proxy
/// exits.
fn is_reset_by_request(client: Client, proxy: &mut Proxy) -> bool {
    let mut stream: TcpStream = client.into_stream();
    assert_eq!(stream.read(&mut [0]).expect("the proxy has closed its side"), 0);
    stream.write_all(page("r-crossing").as_bytes()).expect("the client's side is open");
    let mut is_reset = false;
    wait_for("a reset or the exit of the proxy", || {
        // A read would only report the end of the stream, which came before the reset.
        is_reset = stream.take_error().expect("an open socket").is_some();
        is_reset || !proxy.is_running()
    });
    is_reset
}

/// Guards against a request that arrives after the proxy has closed the idle connection, and that the proxy reads and
/// drops: without a reset, its client would wait for a response in vain.
#[test]
fn request_after_close_at_sigterm_is_reset() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, mut proxy) = proxy_with(&[&backend]);
    let client = idle_connection(&proxy);
    proxy.terminate();
    assert!(is_reset_by_request(client, &mut proxy), "the client would wait in vain");
    assert_eq!(backend.requests().len(), 1);
}

#[test]
fn request_before_close_at_sigterm_is_served() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut client = idle_connection(&proxy);
    proxy.pause();
    client.send(&page("r-crossing"));
    proxy.terminate();
    proxy.resume();
    let response = client.response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(client.is_closed());
}

/// Guards against a wrong reason in the metric: a connection that its client closes between two requests must not count
/// as closed by the proxy.
#[test]
fn close_by_idle_client_is_counted_as_by_client() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start(&discovery, &setup_with_admin());
    let closed = |reason: &str| {
        proxy.metric(&format!("leadrelay_client_connections_closed_total{{reason=\"{reason}\"}}"))
    };
    wait_for("readiness", || proxy.admin_call("GET /healthcheck").status() == 200);
    drop(idle_connection(&proxy));
    wait_for("a counted close", || closed("by_client") + closed("with_answer") == 1);
    assert_eq!((closed("by_client"), closed("with_answer")), (1, 0));
}
