//! Clients that cancel a request while it is queued or being forwarded: the proxy sends no more of it to a backend.
mod sockets;

use std::io::Read;
use std::net::TcpListener;

use sockets::cancellation::*;
use sockets::*;

/// The proxy is paused while the clients connect, send their requests and cancel, so it finds each request
/// already cancelled.
#[test]
fn cancelled_in_the_accept_queue() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", backend.address, "up", 0)]);
    proxy.pause();
    let mut open = Vec::new();
    for (number, cancellation) in CANCELLATIONS.into_iter().enumerate() {
        let mut client = proxy.client();
        client.send(&if number % 2 == 0 { page("r-cancelled") } else { submit("r-cancelled", "5", "x") });
        open.extend(cancellation.cancel(client));
    }
    let mut last = proxy.client();
    last.send(&page("r-last"));
    proxy.resume();
    assert_eq!(last.response().expect("a response").status(), 200);
    wait_for_pending(&proxy, 0);
    assert_eq!(request_ids(&backend), ["r-last"]);
}

#[test]
fn cancelled_in_the_balancer_queue() {
    for cancellation in CANCELLATIONS {
        let latch = Latch::default();
        let backend = delaying_backend(&latch, "r-held");
        let (_discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", backend.address, "up", 0)]);
        let mut delayed = fill_slots(&proxy);
        assert!(backend.requests().len() < 12, "the proxy queues");
        let mut client = proxy.client();
        client.send(&with_long_timeout(&page("r-cancelled")));
        wait_for_pending(&proxy, 13);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 12);
        latch.open();
        delayed
            .iter_mut()
            .for_each(|client| assert_eq!(client.response().expect("a response").status(), 200));
        assert_eq!(proxy.client().request(&page("r-last")).expect("a response").status(), 200);
        let seen = request_ids(&backend);
        assert!(seen.len() == 13 && seen.iter().all(|id| id != "r-cancelled"), "{cancellation:?}: {seen:?}");
    }
}

#[test]
fn cancelled_while_body_is_received() {
    // The client sends more of the body than the proxy reads ahead, and the rest stays unread while the request is
    // queued. A close behind more bytes than the operating system buffers for the proxy can't be detected; a reset can.
    for (cancellation, sent) in [(Cancellation::Close, 180_000), (Cancellation::Reset, 1_000_000)] {
        let latch = Latch::default();
        let backend = delaying_backend(&latch, "r-held");
        let (_discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", backend.address, "up", 0)]);
        let mut delayed = fill_slots(&proxy);
        let mut client = proxy.client();
        let head = submit("r-cancelled", "60", "").replace("Length: 0", "Length: 9000000");
        client.send(&head);
        client.send(&"x".repeat(sent));
        wait_for_pending(&proxy, 13);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 12);
        latch.open();
        delayed
            .iter_mut()
            .for_each(|client| assert_eq!(client.response().expect("a response").status(), 200));
        assert_eq!(proxy.client().request(&page("r-last")).expect("a response").status(), 200);
        assert!(!request_ids(&backend).contains(&"r-cancelled".into()), "{cancellation:?}");
    }
}

#[test]
fn cancelled_while_no_backend_is_available() {
    // The only listed backend is draining and has no listener: the request waits until another backend is available.
    let unused_address =
        TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("a local address");
    for cancellation in CANCELLATIONS {
        let added_backend = Backend::new(Reply::Write(ok("")));
        let (discovery, proxy) =
            start_proxy_with_long_timeouts(&[host("s-0", unused_address, "draining", 0)]);
        let mut client = proxy.client();
        client.send(&with_long_timeout(&page("r-cancelled")));
        wait_for_pending(&proxy, 1);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 0);
        discovery.publish(&list(2, false, &[host("s-1", added_backend.address, "up", 0)]));
        wait_for("the new backend", || {
            proxy.client().request(&page("r-last")).is_some_and(|response| response.status() == 200)
        });
        assert!(request_ids(&added_backend).iter().all(|id| id == "r-last"), "{cancellation:?}");
    }
}

/// Guards against sending a cancelled request when the paused proxy finds both the responses that free slots and the
/// cancellation as it resumes.
#[test]
fn cancelled_as_a_slot_becomes_free() {
    for cancellation in CANCELLATIONS {
        let latch = Latch::default();
        let backend = delaying_backend(&latch, "r-held");
        let (_discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", backend.address, "up", 0)]);
        let mut delayed = fill_slots(&proxy);
        let mut client = proxy.client();
        client.send(&with_long_timeout(&page("r-cancelled")));
        wait_for_pending(&proxy, 13);
        proxy.pause();
        let received = backend.requests().len(); // More requests may be on their way to the backend.
        latch.open();
        wait_for("the responses", || backend.responses() >= received);
        let _open = cancellation.cancel(client);
        proxy.resume();
        delayed
            .iter_mut()
            .for_each(|client| assert_eq!(client.response().expect("a response").status(), 200));
        assert_eq!(proxy.client().request(&page("r-last")).expect("a response").status(), 200);
        let seen = request_ids(&backend);
        assert!(seen.len() == 13 && seen.iter().all(|id| id != "r-cancelled"), "{cancellation:?}: {seen:?}");
    }
}

/// Guards against sending the second pipelined request when the paused proxy finds both the first response and the
/// cancellation as it resumes.
#[test]
fn pipelined_request_cancelled_as_first_response_arrives() {
    for cancellation in CANCELLATIONS {
        let latch = Latch::default();
        let backend = delaying_backend(&latch, "r-held");
        let (_discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", backend.address, "up", 0)]);
        let mut client = proxy.client();
        client.send(&(submit("r-held", "60", "x") + &submit("r-cancelled", "60", "x")));
        wait_for("the first request", || backend.requests().len() == 1);
        proxy.pause();
        latch.open();
        wait_for("the first response", || backend.responses() == 1);
        let _open = cancellation.cancel(client);
        proxy.resume();
        wait_for_pending(&proxy, 0);
        assert_eq!(proxy.client().request(&page("r-last")).expect("a response").status(), 200);
        assert_eq!(request_ids(&backend), ["r-held", "r-last"], "{cancellation:?}");
    }
}

#[test]
fn cancelled_while_body_is_streamed() {
    for cancellation in [Cancellation::Close, Cancellation::Reset, Cancellation::ShutDownWrite] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (_discovery, proxy) = start_proxy_with_long_timeouts(&[host(
            "s-0",
            listener.local_addr().expect("a local address"),
            "up",
            0,
        )]);
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "").replace("Length: 0", "Length: 9000000"));
        client.send(&"x".repeat(300_000));
        let (mut connection, _) = listener.accept().expect("the attempt");
        connection.set_read_timeout(Some(LIMIT)).expect("the read timeout is set");
        connection.read_exact(&mut [0; 100_000]).expect("a part of the body");
        let _open = cancellation.cancel(client);
        let mut rest = Vec::new();
        let _ = connection.read_to_end(&mut rest); // The connection may end with a reset.
        assert!(rest.len() <= 300_000, "{cancellation:?}: {} bytes after the cancellation", rest.len());
        wait_for_pending(&proxy, 0);
    }
}
