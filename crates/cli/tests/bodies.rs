//! Request and response bodies of all framings and sizes.
mod sockets;

use std::io::{BufReader, Write};
use std::net::TcpListener;

use sockets::*;

/// Length in bytes of a response body that the proxy streams.
const STREAMED_BODY_BYTES: usize = 200_000;

fn proxy_with_setup(backends: &[&Backend], setup: Setup) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&all_up(backends));
    let proxy = Proxy::start_ready(&discovery, &Setup { has_admin: true, ..setup });
    (discovery, proxy)
}

/// Returns a backend that writes all but the second half of a long body, and that half once the latch opens.
fn backend_with_split_response(latch: &Latch) -> Backend {
    let response = ok(&"x".repeat(STREAMED_BODY_BYTES));
    let (first, rest) = response.split_at(response.len() - STREAMED_BODY_BYTES / 2);
    Backend::new(Reply::InParts(first.into(), latch.clone(), rest.into()))
}

#[test]
fn chunked_request_is_forwarded_complete() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with_setup(&[&backend], Setup::default());
    let chunks = "Transfer-Encoding: chunked\r\n\r\n4;x=1\r\nbody\r\n2\r\n's\r\n0\r\nX-Trailer: y\r\n\r\n";
    let request = submit("r-1", "5", "").replace("Content-Length: 0\r\n\r\n", chunks);
    let mut client = proxy.client();
    assert_eq!(client.request(&request).expect("a response").status(), 200);
    assert_eq!(backend.requests()[0].text(), "body's");
    assert_eq!(client.request(&page("r-2")).expect("the connection stays").status(), 200);
}

#[test]
fn responses_of_all_framings_are_forwarded() {
    let forms = [
        "HTTP/1.1 200 OK\r\n\r\nbody ends here!",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nbod\r\nC\r\ny ends here!\r\n0\r\nX-T: y\r\n\r\n",
        "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:15\r\n\r\nbody ends here!",
    ];
    for form in forms {
        let backend = Backend::new(Reply::WriteAndClose(form.into()));
        let (_discovery, proxy) = proxy_with_setup(&[&backend], Setup::default());
        let response = proxy.client().request(&submit("r-1", "5", "x")).expect("a response");
        assert_eq!((response.status(), response.text().as_str()), (200, "body ends here!"), "{form}");
    }
}

#[test]
fn streamed_response_may_outlast_its_deadline() {
    let latch = Latch::default();
    let silent_latch = Latch::default();
    let split_backend = backend_with_split_response(&latch);
    let silent = Backend::new(Reply::Delayed(silent_latch.clone(), ok("")));
    let (discovery, proxy) =
        proxy_with_setup(&[&split_backend], Setup { deadline_ms: 300, ..Setup::default() });
    let mut client = proxy.client();
    client.send(&page("r-1"));
    let head = client.read_head();
    assert_eq!((head.status(), head.header("content-length")), (200, Some("200000")));
    // The proxy forwards this half before the backend has written the other.
    client.read(STREAMED_BODY_BYTES / 2);
    assert_eq!(proxy.stat("/pending"), 1);
    // A request that starts later and gets no response is over at its deadline.
    let silent_hosts = ["s-1", "s-2"].map(|name| host(name, silent.address, "up", 0));
    discovery.publish(&list(2, true, &silent_hosts));
    wait_for("the new list", || proxy.stat("/members") == 2);
    let other = proxy.client().request(&submit("r-2", "0.3", "x")).expect("a response");
    assert_eq!((other.status(), silent.requests().len()), (502, 1));
    latch.open();
    assert!(client.read(STREAMED_BODY_BYTES / 2).iter().all(|byte| *byte == b'x'));
    wait_for("the response to end", || proxy.stat("/completed/page") == 1);
    assert_eq!(proxy.stat("/pending"), 0);
    silent_latch.open();
}

/// Guards against a retry after the client has received a part of the response: the connection to the client is closed
/// before the body is complete.
#[test]
fn broken_streamed_response_is_not_retried() {
    let response = ok(&"x".repeat(STREAMED_BODY_BYTES));
    let cut = response[..response.len() - 1].to_owned();
    for cut in [
        cut,
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n{}",
            "x".repeat(STREAMED_BODY_BYTES)
        ),
    ] {
        let backends =
            [Backend::new(Reply::WriteAndClose(cut.clone())), Backend::new(Reply::WriteAndClose(cut))];
        let (_discovery, proxy) = proxy_with_setup(&[&backends[0], &backends[1]], Setup::default());
        let mut client = proxy.client();
        client.send(&page("r-1"));
        let head = client.read_head();
        assert_eq!(head.status(), 200);
        let body = client.read_rest();
        match head.header("content-length") {
            Some(_) => assert!(body.len() < STREAMED_BODY_BYTES, "{}", body.len()),
            None => assert!(!body.ends_with(b"0\r\n\r\n")),
        }
        wait_for("the request to fail", || proxy.stat("/failed/page") == 1);
        assert_eq!(backends.iter().map(|backend| backend.requests().len()).sum::<usize>(), 1);
    }
}

#[test]
fn client_close_ends_streamed_response_at_backend() {
    let latch = Latch::default();
    let split_backend = backend_with_split_response(&latch);
    let (_discovery, proxy) = proxy_with_setup(&[&split_backend], Setup::default());
    let mut client = proxy.client();
    client.send(&page("r-1"));
    client.read(STREAMED_BODY_BYTES / 2);
    drop(client);
    wait_for("the request to end", || proxy.stat("/pending") == 0);
    latch.open();
    wait_for("the connection to the backend to close", || split_backend.closed() == 1);
    assert_eq!(proxy.stat("/completed/page") + proxy.stat("/failed/page"), 0);
}

#[test]
fn long_request_body_is_streamed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", listener.local_addr().unwrap(), "up", 0)]));
    let proxy = Proxy::start_ready(&discovery, &Setup { has_admin: true, ..Setup::default() });
    for has_length in [true, false] {
        let half = 2_000_000;
        let mut client = proxy.client();
        let head = submit("r-1", "5", "");
        client.send(&match has_length {
            true => head.replace("Content-Length: 0", &format!("Content-Length: {}", 2 * half)),
            false => head.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n") + "1e8480\r\n",
        });
        client.send(&"x".repeat(half));
        let (stream, _) = listener.accept().expect("an attempt");
        let mut reader = BufReader::with_capacity(1 << 20, stream);
        // The backend receives the head and a part of the body before the client has sent the whole body.
        std::io::BufRead::fill_buf(&mut reader).expect("first bytes");
        if !has_length {
            client.send("\r\n1e8480\r\n");
        }
        client.send(&"y".repeat(half));
        if !has_length {
            client.send("\r\n0\r\n\r\n");
        }
        let request = read_message(&mut reader).expect("a request");
        assert_eq!(request.body.len(), 2 * half);
        assert!(
            request.body[..half].iter().all(|byte| *byte == b'x')
                && request.body[half..].iter().all(|byte| *byte == b'y')
        );
        reader.get_mut().write_all(ok("done").as_bytes()).expect("the peer receives the bytes");
        assert_eq!(client.response().expect("a response").text(), "done");
    }
    assert_eq!(proxy.stat("/upstream_requests"), 2);
}

#[test]
fn unfinished_body_is_rejected() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with_setup(&[&backend], Setup::default());
    for sent in [10, 1_000_000] {
        let mut client = proxy.client();
        client.send(&submit("r-1", "5", "").replace("Content-Length: 0", "Content-Length: 2000000"));
        client.send(&"x".repeat(sent));
        assert_eq!(client.last_response(), Some((408, true)), "after {sent} bytes");
    }
    wait_for("the requests to end", || proxy.stat("/pending") == 0);
    assert!(backend.requests().is_empty(), "no backend received a complete request");
}

/// Guards against counting a request as closed without a response although its client, which stalled within the body,
/// got a 408.
#[test]
fn unfinished_body_violates_no_invariant() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with_setup(&[&backend], Setup::default());
    let mut client = proxy.client();
    client.send(&submit("r-1", "5", "").replace("Content-Length: 0", "Content-Length: 2000000"));
    client.send(&"x".repeat(1_000_000));
    assert_eq!(client.last_response(), Some((408, true)));
    wait_for("the request to end", || proxy.stat("/pending") == 0);
    let violations =
        "leadrelay_invariant_violations_total{invariant=\"answered_before_close\",layer=\"socket\"}";
    assert_eq!(proxy.metric(violations), 0);
}

#[test]
fn slowly_sent_small_body_is_accepted() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with_setup(&[&backend], Setup::default());
    let request = submit("r-1", "5", "0123456789");
    let (head, body) = request.split_at(request.len() - 10);
    let mut client = proxy.client();
    client.send(head);
    for piece in body.as_bytes().chunks(1) {
        // The pause simulates a slow client; it does not wait for an event.
        std::thread::sleep(std::time::Duration::from_millis(80));
        client.send(std::str::from_utf8(piece).expect("a digit"));
    }
    assert_eq!(client.response().expect("a response").status(), 200);
    assert_eq!(backend.requests()[0].text(), "0123456789");
}
