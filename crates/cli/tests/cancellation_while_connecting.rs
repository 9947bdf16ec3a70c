//! Clients that cancel a request while the proxy connects to a backend or a retry is due: the proxy sends no further
//! attempt.
mod sockets;

use std::net::{TcpListener, TcpStream};

use sockets::cancellation::*;
use sockets::*;

/// Returns a backend that rejects all requests, each once the latch opens.
fn rejecting_backend(latch: &Latch) -> Backend {
    Backend::new(Reply::Delayed(latch.clone(), empty("503 Busy\r\nX-Not-Processed: 1")))
}

/// Starts a proxy whose only backend has a full accept queue. Returns the listener, the connection that fills its
/// queue, the discovery and the proxy.
fn proxy_with_full_listener() -> (TcpListener, TcpStream, Discovery, Proxy) {
    let (listener, filler) = full_listener();
    let address = listener.local_addr().expect("a local address");
    let (discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", address, "up", 0)]);
    (listener, filler, discovery, proxy)
}

#[test]
fn cancelled_while_connecting() {
    for cancellation in CANCELLATIONS {
        let (listener, filler, _discovery, proxy) = proxy_with_full_listener();
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "x"));
        wait_for_pending(&proxy, 1);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 0);
        assert_closed_unused(accept_connecting(&listener, &filler), cancellation);
    }
}

#[test]
fn cancelled_before_a_retry() {
    for cancellation in CANCELLATIONS {
        let latch = Latch::default();
        let first = rejecting_backend(&latch);
        let second = Backend::new(Reply::Write(ok("")));
        let (discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", first.address, "up", 0)]);
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "x"));
        wait_for("the first attempt", || first.requests().len() == 1);
        discovery.publish(&list(2, false, &[host("s-1", second.address, "up", 0)]));
        wait_for("the second backend", || proxy.stat("/members") == 2);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 0);
        latch.open();
        wait_for("the attempt to fail", || proxy.log_contains("attempt failed"));
        assert_eq!(proxy.client().request(&page("r-last")).expect("a response").status(), 200);
        assert!(!request_ids(&second).contains(&"r-cancelled".into()), "{cancellation:?}");
    }
}

#[test]
fn cancelled_as_its_connection_is_established() {
    for cancellation in CANCELLATIONS {
        let (listener, filler, _discovery, proxy) = proxy_with_full_listener();
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "x"));
        wait_for("the connection to be started", || proxy.dials() == 1);
        // The paused proxy finds both events at once when it resumes, the established connection first.
        proxy.pause();
        let connection = accept_connecting(&listener, &filler);
        let _open = cancellation.cancel(client);
        proxy.resume();
        assert_closed_unused(connection, cancellation);
    }
}

#[test]
fn cancelled_while_its_retry_connects() {
    for (cancellation, is_simultaneous) in
        CANCELLATIONS.into_iter().flat_map(|cancellation| [(cancellation, false), (cancellation, true)])
    {
        let latch = Latch::default();
        let first = rejecting_backend(&latch);
        let (listener, filler) = full_listener();
        let (discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", first.address, "up", 0)]);
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "x"));
        wait_for("the first attempt", || first.requests().len() == 1);
        let address = listener.local_addr().expect("a local address");
        discovery.publish(&list(2, true, &[host("s-1", address, "up", 0)]));
        wait_for("the second backend", || proxy.stat("/members") == 1);
        latch.open();
        wait_for("the second attempt", || proxy.dials() == 2);
        let connection = if is_simultaneous {
            proxy.pause();
            let connection = accept_connecting(&listener, &filler);
            let _open = cancellation.cancel(client);
            proxy.resume();
            connection
        } else {
            let _open = cancellation.cancel(client);
            wait_for_pending(&proxy, 0);
            accept_connecting(&listener, &filler)
        };
        assert_closed_unused(connection, (cancellation, is_simultaneous));
    }
}

/// The backend closes the pooled connection while the proxy is paused, so the proxy opens another connection for the
/// second request, which its client cancels meanwhile.
#[test]
fn cancelled_while_reconnecting() {
    for cancellation in CANCELLATIONS {
        let (listener, filler, _discovery, proxy) = proxy_with_full_listener();
        let mut client = proxy.client();
        client.send(&submit("r-first", "60", "x"));
        let mut pooled = accept_connecting(&listener, &filler);
        assert_eq!(read_message(&mut std::io::BufReader::new(&pooled)).expect("a request").id(), "r-first");
        std::io::Write::write_all(&mut pooled, ok("").as_bytes()).expect("the peer receives the bytes");
        assert_eq!(client.response().expect("a response").status(), 200);
        let filler = fill_accept_queue(&listener);
        proxy.pause();
        client.send(&submit("r-cancelled", "60", "x"));
        let addresses =
            (pooled.local_addr().expect("a local address"), pooled.peer_addr().expect("a peer address"));
        drop(pooled);
        wait_for_close(addresses.0, addresses.1);
        proxy.resume();
        wait_for("the second connection", || proxy.dials() == 2);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 0);
        assert_closed_unused(accept_connecting(&listener, &filler), cancellation);
    }
}

/// The only backend rejects the request while it is draining, so the retry is queued until another backend is
/// available.
#[test]
fn cancelled_while_waiting_for_a_retry() {
    for cancellation in CANCELLATIONS {
        let latch = Latch::default();
        let first = rejecting_backend(&latch);
        let second = Backend::new(Reply::Write(ok("")));
        let (discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", first.address, "up", 0)]);
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "x"));
        wait_for("the first attempt", || first.requests().len() == 1);
        discovery.publish(&list(2, false, &[host("s-0", first.address, "draining", 0)]));
        wait_for("the drain", || proxy.stat("/members_unavailable") == 1);
        assert_eq!(first.closed(), 0, "the attempt is still in flight");
        latch.open();
        wait_for("the attempt to fail", || proxy.log_contains("attempt failed"));
        wait_for("the request to be queued", || proxy.waiting() == 1);
        assert_eq!(proxy.stat("/pending"), 1);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 0);
        discovery.publish(&list(3, false, &[host("s-1", second.address, "up", 0)]));
        wait_for("the new backend", || {
            proxy.client().request(&page("r-last")).is_some_and(|response| response.status() == 200)
        });
        assert!(request_ids(&second).iter().all(|id| id == "r-last"), "{cancellation:?}");
    }
}
