//! Failures of backends, and which requests the proxy retries after them.
mod sockets;

use std::net::TcpListener;

use sockets::*;

/// Sends a request that is not idempotent to a proxy whose two backends give the same reply; returns the status that
/// the client receives and the number of attempts.
fn send_submit_to_two(reply: Reply) -> (u16, usize) {
    let one = Backend::new(reply.clone());
    let two = Backend::new(reply);
    let (_discovery, proxy) = proxy_with(&[&one, &two]);
    let status = status(proxy.client().request(&submit("r-1", "2", "x")));
    (status, one.requests().len() + two.requests().len())
}

#[test]
fn request_that_may_have_run_is_not_retried() {
    let truncated = ok("0123456789").replace("0123456789", "01234");
    for reply in [
        Reply::Write(empty("500 Oops")),
        // The statuses 503 and 504 alone don't prove that the request was not processed.
        Reply::Write(empty("503 Busy")),
        Reply::Write(empty("504 Late")),
        Reply::Write(empty("503 Busy\r\nX-Not-Processed: 0")),
        Reply::Write(empty("302 Elsewhere")),
        // A truncated body is a failure, and so is one that is longer than the limit.
        Reply::WriteAndClose(truncated),
        Reply::WriteAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n".into()),
        Reply::WriteAndClose("garbage \u{1}\r\n\r\n".into()),
        Reply::WriteAndClose(String::new()),
        Reply::Write(ok("x").replace("Content-Length: 1", "Content-Length: 40000000")),
    ] {
        let text = match &reply {
            Reply::Write(text) | Reply::WriteAndClose(text) | Reply::Delayed(_, text) => text.clone(),
            Reply::InParts(text, ..) => text.clone(),
        };
        assert_eq!(send_submit_to_two(reply), (502, 1), "{text:.200}");
    }
}

#[test]
fn unprocessed_request_is_retried_and_may_be_rejected() {
    for status in ["503 Busy", "504 Late"] {
        let unprocessed = Reply::Write(empty(&format!("{status}\r\nX-Not-Processed: 1")));
        assert_eq!(send_submit_to_two(unprocessed), (503, 2));
    }
}

#[test]
fn truncated_response_to_idempotent_request_is_retried() {
    let truncated = Reply::WriteAndClose(ok("0123456789").replace("0123456789", "01234"));
    let truncating = Backend::new(truncated);
    let complete = Backend::new(Reply::Write(ok("0123456789")));
    let (_discovery, proxy) = proxy_with(&[&truncating, &complete]);
    let mut number = 0;
    wait_for("a request to the backend that truncates its response", || {
        number += 1;
        let response = proxy.client().request(&page(&format!("r-{number}"))).expect("a response");
        assert_eq!((response.status(), response.text().as_str()), (200, "0123456789"));
        !truncating.requests().is_empty()
    });
}

#[test]
fn malformed_responses_fail_at_once() {
    let unfinished = format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}", "x".repeat(1000));
    for response in [
        "\u{1}\u{2} noise \r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nX-Endless: ".into(),
        format!("HTTP/1.1 200 OK\r\nX-Endless: {}", "x".repeat(100_000)),
        ok("0123456789").replace("0123456789", "01234"),
        unfinished,
        empty("503 Busy\r\nX-Not-Processed: 1").replace("Length: 0", "Length: 5"),
        empty("503 Busy\r\nX-Not-Processed: 1\r\nX-Not-Processed: 0"),
        "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: x\r\n\r\n".into(),
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n01234".into(),
    ] {
        // The backend leaves the connection open: a proxy that waited for more bytes would only stop at the client's
        // timeout of 90 s.
        let malformed = Backend::new(Reply::Write(response.clone()));
        let good = Backend::new(Reply::Write(ok("good")));
        let discovery = Discovery::new();
        discovery.publish(&all_up(&[&malformed]));
        let setup = Setup { deadline_ms: 90_000, ..Setup::default() };
        let proxy = Proxy::start_ready(&discovery, &setup);
        assert_eq!(status(proxy.client().request(&submit("r-1", "90", "x"))), 502, "{response:.80}");
        wait_for("the close of the connection", || malformed.closed() == 1);
        // An idempotent request is retried on another backend.
        discovery.publish(&list(2, false, &[host("s-good", good.address, "up", 0)]));
        let response = proxy.client().request(&page("r-2").replace("Timeout: 5", "Timeout: 90"));
        assert_eq!(response.expect("a response").text(), "good");
    }
}

#[test]
fn unreachable_backend_fails_no_request() {
    // Nothing listens at the first address. The accept queue of the second is full, so that connections to it are never
    // established.
    let closed_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (hanging, _filler) = full_listener();
    let hanging_address = hanging.local_addr().unwrap();
    for address in [closed_address, hanging_address] {
        let backend = Backend::new(Reply::Write(ok("")));
        let discovery = Discovery::new();
        let hosts = [host("s-0", address, "up", 0), host("s-1", backend.address, "up", 0)];
        discovery.publish(&list(1, true, &hosts));
        let proxy = Proxy::start_ready(&discovery, &Setup::default());
        for number in 0..6 {
            let response = proxy.client().request(&submit(&format!("r-{number}"), "5", "x"));
            assert_eq!(status(response), 200, "request {number} at {address}");
        }
    }
}

/// Guards against requests on an idle connection that the backend may close at any moment.
#[test]
fn idle_connection_is_closed_before_backend_closes_it() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &Setup { idle_timeout_ms: 1000, ..Setup::default() });
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    wait_for("the close of the idle connection", || backend.closed() == 1);
}

#[test]
fn connection_closed_by_backend_is_not_reused() {
    let backend = Backend::new(Reply::WriteAndClose(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    for number in 1..20 {
        assert_eq!(status(proxy.client().request(&submit(&format!("r-{number}"), "5", "x"))), 200);
        wait_for("the backend's close", || backend.closed() == number);
    }
}
