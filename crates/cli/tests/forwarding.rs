//! Requests and responses that the proxy forwards unchanged, and responses that it sends itself.
mod sockets;

use std::time::Duration;

use sockets::*;

#[test]
fn request_and_response_are_forwarded_unchanged() {
    let backend = Backend::new(Reply::Write(ok("the answer")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut client = proxy.client();
    let request = "POST /booking/7?sid=a%20b&x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: r-1\r\n\
        X-Tenant-Id: acme\r\nX-Timeout: 3.5\r\nIdempotency-Key: k-1\r\nConnection: keep-alive, X-Hop\r\n\
        X-Hop: 1\r\nContent-Length: 4\r\n\r\nbody";
    let response = client.request(request).expect("a response");
    assert_eq!((response.status(), response.text().as_str()), (200, "the answer"));
    assert_eq!(response.header("x-own"), Some("kept"));
    let seen = &backend.requests()[0];
    assert_eq!(seen.first_line, "POST /booking/7?sid=a%20b&x=1 HTTP/1.1");
    assert_eq!(
        (seen.id(), seen.header("idempotency-key"), seen.text().as_str()),
        ("r-1", Some("k-1"), "body")
    );
    assert_eq!((seen.header("host"), seen.header("x-hop")), (Some("origin.svc"), None));
    let remaining: f64 = seen.header("x-timeout").expect("a time").parse().expect("a number");
    assert!(remaining > 0.0 && remaining <= 3.5, "{remaining}");
    // The connections to the client and to the backend are reused.
    assert_eq!(status(client.request(&page("r-2"))), 200);
    assert_eq!(backend.requests().len(), 2);
    assert_eq!(backend.accepted(), 1);
}

#[test]
fn rejection_has_retry_after() {
    let backend = Backend::new(Reply::Write(empty("503 Busy\r\nX-Not-Processed: 1")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let response = proxy.client().request(&submit("r-1", "5", "x")).expect("a response");
    let retry_after: f64 = response.header("retry-after").expect("a time").parse().expect("a number");
    assert!(response.status() == 503 && retry_after > 0.0 && retry_after <= 6.0, "{retry_after}");
}

#[test]
fn duplicate_request_id_is_rejected_while_the_first_is_pending() {
    let latch = Latch::default();
    let backend = Backend::new(Reply::Delayed(latch.clone(), ok("first")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut first = proxy.client();
    first.send(&submit("r-1", "5", "x"));
    wait_for("the first request", || backend.requests().len() == 1);
    assert_eq!(status(proxy.client().request(&submit("r-1", "5", "y"))), 409);
    latch.open();
    assert_eq!(first.response().expect("a response").text(), "first");
    assert_eq!(backend.requests().len(), 1);
    assert_eq!(status(proxy.client().request(&submit("r-1", "5", "z"))), 200);
}

#[test]
fn bytes_behind_a_response_are_discarded() {
    let backend = Backend::with_handler(|request| {
        let response = ok(request.id());
        let interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
        Reply::Write(match request.id().len() % 3 {
            0 => format!("{interim}{response}{response}"),
            1 => format!("{response}\u{1} noise"),
            _ => response.replace("X-Own: kept", "X-Server-Load: {not readable"),
        })
    });
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut client = proxy.client();
    for number in 0..60 {
        let id = format!("r-{}{number}", "x".repeat(number % 3));
        assert_eq!(client.request(&page(&id)).expect("a response").text(), id);
    }
    assert_eq!(backend.requests().len(), 60);
}

#[test]
fn late_response_is_discarded() {
    let latch = Latch::default();
    let backend = delaying_backend(&latch, "r-held");
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut client = proxy.client();
    assert_eq!(status(client.request(&submit("r-held", "0.5", "x"))), 502);
    wait_for("the request", || backend.requests().len() == 1);
    // The client gets the failure shortly before the attempt ends.
    std::thread::sleep(Duration::from_millis(100));
    latch.open();
    // The late response is discarded with its connection, and the client gets the response to its next request.
    assert_eq!(client.request(&page("r-next")).expect("a response").text(), "prompt");
    wait_for("the connection to close", || backend.closed() == 1);
}

#[test]
fn cancelled_requests_are_not_sent() {
    let latch = Latch::default();
    let backend = Backend::new(Reply::Delayed(latch.clone(), ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &Setup { has_admin: true, ..Setup::default() });
    // Twelve requests fill the backend's slots, so that the last ones wait in the proxy's queue.
    let mut clients: Vec<Client> = (0..12).map(|_| proxy.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("r-{number}"), "5", "x"));
    }
    wait_for("all requests", || proxy.stat("/pending") == 12);
    wait_for("the first request", || !backend.requests().is_empty());
    for client in &mut clients {
        client.shut_down_write();
        assert!(client.is_closed(), "a cancelled request gets no response");
    }
    wait_for("the requests to end", || proxy.stat("/pending") == 0);
    let mut before = 0;
    wait_for("the requests sent before the cancellation", || {
        before = proxy.stat("/upstream_requests") as usize;
        backend.requests().len() == before
    });
    assert!(before < 12, "the proxy queues");
    latch.open();
    let mut last = proxy.client();
    assert_eq!(status(last.request(&submit("r-last", "5", "x"))), 200);
    assert_eq!(backend.requests().len(), before + 1);
}
