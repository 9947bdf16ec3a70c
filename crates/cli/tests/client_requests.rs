//! Malformed, slow and incomplete requests, and more client connections than the descriptor limit allows.
mod sockets;

use std::io::Write;
use std::net::TcpStream;

use sockets::*;

#[test]
fn malformed_requests_get_4xx_and_reach_no_backend() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, mut proxy) = proxy_with(&[&backend]);
    let good = submit("r-1", "5", "body");
    let cases = [
        (good.replace("/submit", "/nothing"), 404),
        (good.replace("POST", "GET"), 405),
        (page("r-1").replace("GET", "POST"), 405),
        (good.replace("X-Request-ID: r-1\r\n", ""), 400),
        (good.replace("X-Tenant-Id: acme\r\n", ""), 400),
        (good.replace("acme", "nobody"), 400),
        (good.replace("X-Timeout: 5\r\n", ""), 400),
        (good.replace("X-Timeout: 5", "X-Timeout: soon"), 400),
        (good.replace("X-Timeout: 5", "X-Timeout: -1"), 400),
        (good.replace("X-Timeout: 5", "X-Timeout: inf"), 400),
        (good.replace("X-Timeout: 5", "X-Timeout: 5\r\nX-Timeout: 6"), 400),
        (good.replace("X-Timeout: 5", "X-Timeout: 5\r\nX-Cost: much"), 400),
        (good.replace("Host: x", "Host: x\r\nIdempotency-Key: k"), 400),
        (good.replace("/submit", "/booking"), 400),
        (good.replace("Host: x", "no header"), 400),
        ("\u{1}\u{2}\u{3}\r\n\r\n".into(), 400),
        (submit("r-1", "5", "").replace("Content-Length: 0", "Content-Length: 40000000"), 413),
    ];
    for (request, expected) in &cases {
        assert_eq!(status(proxy.client().request(request)), *expected, "{:.200}", request);
    }
    assert!(backend.requests().is_empty());
    let largest = "x".repeat(64 << 10);
    assert_eq!(status(proxy.client().request(&submit("r-2", "1e300", &largest))), 200);
    assert_eq!(backend.requests()[0].body.len(), 64 << 10);
    assert!(proxy.is_running());
}

/// Guards against request smuggling: with another length than the one the proxy uses, the body contains a second
/// request.
#[test]
fn conflicting_lengths_hide_no_second_request() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let hidden_request = submit("r-hidden", "5", "x");
    let good = submit("r-1", "5", &format!("0\r\n\r\n{hidden_request}"));
    let length = good.lines().find(|line| line.starts_with("Content-Length")).unwrap().to_owned();
    let with = |lines: &str| good.replace(&length, lines);
    let cases = [
        with(&format!("{length}\r\nTransfer-Encoding: chunked")),
        with(&format!("Transfer-Encoding: chunked\r\n{length}")),
        with(&format!("Transfer-Encoding: identity\r\n{length}")),
        with("Transfer-Encoding: gzip"),
        with("Content-Length: 4\r\nContent-Length: 5"),
        with("Content-Length: -1"),
        with("Content-Length: 0x10"),
        with("Content-Length: 99999999999999999999999999"),
        with("Content-Length: 5000000000"),
    ];
    for case in &cases {
        let mut client = proxy.client();
        client.send(case);
        let (status, closed) = client.last_response().expect("a response");
        assert!((400..500).contains(&status) && closed, "{status} {closed} to {case}");
    }
    assert!(backend.requests().is_empty());
}

#[test]
fn rejection_reaches_client_that_is_still_sending() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let head = submit("r-1", "5", "");
    let cases = [
        (head.replace("Content-Length: 0", "Content-Length: 60000000"), 413),
        (head.replace("Content-Length: 0", "Content-Length: 60000000").replace("/submit", "/nothing"), 404),
        ("GET /page HTTP/1.1\r\nX-Endless: ".to_owned(), 431),
    ];
    for (head, expected) in cases {
        let mut client = proxy.client();
        client.send(&head);
        // The client reads only after it has sent all its bytes.
        (0..60).for_each(|_| client.send(&"x".repeat(1_000_000)));
        client.shut_down_write();
        assert_eq!(client.last_response(), Some((expected, true)), "{head}");
    }
    assert!(backend.requests().is_empty());
}

#[test]
fn slow_client_does_not_block_others() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut slow = TcpStream::connect(proxy.address).unwrap();
    let request = submit("r-slow", "5", "body");
    let (start, rest) = request.split_at(request.len() - 2);
    slow.write_all(start.as_bytes()).unwrap();
    let _silent = TcpStream::connect(proxy.address).unwrap();
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    assert_eq!(backend.requests().len(), 1, "a request is forwarded only once it is complete");
    slow.write_all(rest.as_bytes()).unwrap();
    wait_for("the slow request", || backend.requests().len() == 2);
    assert_eq!(backend.requests()[1].body, b"body");
}

#[test]
fn unfinished_request_times_out() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let whole = submit("r-1", "5", "body");
    for sent in ["", "GET /page HTTP/1.1\r\nHost", &whole[..whole.len() - 2]] {
        let mut client = proxy.client();
        client.send(sent);
        // The proxy closes the connection: without a response if nothing was sent, otherwise after a 408.
        let response = client.last_response();
        assert_eq!(response, (!sent.is_empty()).then_some((408, true)), "{sent}");
    }
    // An incomplete second request, on a connection that has already carried a response.
    let mut client = proxy.client();
    assert_eq!(status(client.request(&page("r-2"))), 200);
    client.send("GET /pa");
    assert_eq!(client.last_response(), Some((408, true)));
    assert_eq!(backend.requests().len(), 1);
}

#[test]
fn unfinished_requests_do_not_block_others() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &Setup { max_descriptors: 64, ..Setup::default() });
    // More connections than the descriptor budget allows, none of which ever completes its request head.
    let _stuck: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut stream = TcpStream::connect(proxy.address).unwrap();
            stream.write_all(b"GET /page HTTP/1.1\r\nHost").unwrap();
            stream
        })
        .collect();
    wait_for("a descriptor for a complete request", || {
        proxy.client().request(&page("r-1")).is_some_and(|response| response.status() == 200)
    });
}

#[test]
fn silent_connections_do_not_block_others() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &Setup { max_descriptors: 64, ..Setup::default() });
    let _silent: Vec<TcpStream> = (0..600).map(|_| TcpStream::connect(proxy.address).unwrap()).collect();
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
}

#[test]
fn clients_over_the_descriptor_limit_get_a_response() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    // The first proxy reaches its configured budget, the second the operating system's limit, where `accept` fails.
    for setup in [
        Setup { max_descriptors: 64, ..Setup::default() },
        Setup { max_descriptors: 1024, descriptor_limit: Some(24), ..Setup::default() },
    ] {
        let mut proxy = Proxy::start_ready(&discovery, &setup);
        let mut clients: Vec<Client> = (0..40).map(|_| proxy.client()).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            client.send(&page(&format!("r-{number}")));
        }
        for mut client in clients {
            let status = status(client.response());
            assert!(status == 200 || status == 503, "{status}");
        }
        assert!(proxy.is_running());
        wait_for("requests to be served again", || {
            proxy.client().request(&page("r-x")).is_some_and(|response| response.status() == 200)
        });
    }
}
