//! Clients that cancel a request while a connection to a backend is established or a retry is due: nothing is sent any more.
mod sockets;

use std::net::{TcpListener, TcpStream};

use sockets::cancellation::*;
use sockets::*;

/// A backend that rejects all requests once the latch opens.
fn rejecting_backend(latch: &Latch) -> Backend {
    Backend::new(Reply::Delayed(latch.clone(), empty("503 Busy\r\nX-Not-Processed: 1")))
}

/// A proxy whose only backend has a full accept queue: the listener, what fills it, the discovery and the proxy.
fn proxy_before_full_listener() -> (TcpListener, TcpStream, Discovery, Proxy) {
    let (slow, full) = full_listener();
    let address = slow.local_addr().expect("its own");
    let (discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", address, "up", 0)]);
    (slow, full, discovery, proxy)
}

#[test]
fn cancelled_while_connecting() {
    for cancellation in CANCELLATIONS {
        let (slow, full, _discovery, proxy) = proxy_before_full_listener();
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "x"));
        wait_for_pending(&proxy, 1);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 0);
        assert_closed_unused(accept_connecting(&slow, &full), cancellation);
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
        wait_for("the attempt's end", || proxy.log_contains("attempt failed"));
        assert_eq!(proxy.client().request(&page("r-last")).expect("a response").status(), 200);
        assert!(!request_ids(&second).contains(&"r-cancelled".into()), "{cancellation:?}");
    }
}

#[test]
fn cancelled_as_its_connection_is_established() {
    for cancellation in CANCELLATIONS {
        let (slow, full, _discovery, proxy) = proxy_before_full_listener();
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "x"));
        wait_for("its dial", || proxy.dials() == 1);
        // The proxy finds both at once, and the connection first.
        proxy.pause();
        let connection = accept_connecting(&slow, &full);
        let _open = cancellation.cancel(client);
        proxy.resume();
        assert_closed_unused(connection, cancellation);
    }
}

#[test]
fn cancelled_while_its_retry_connects() {
    for (cancellation, at_once) in
        CANCELLATIONS.into_iter().flat_map(|cancellation| [(cancellation, false), (cancellation, true)])
    {
        let latch = Latch::default();
        let first = rejecting_backend(&latch);
        let (slow, full) = full_listener();
        let (discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", first.address, "up", 0)]);
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "x"));
        wait_for("the first attempt", || first.requests().len() == 1);
        let address = slow.local_addr().expect("its own");
        discovery.publish(&list(2, true, &[host("s-1", address, "up", 0)]));
        wait_for("the second backend", || proxy.stat("/members") == 1);
        latch.open();
        wait_for("the second attempt", || proxy.dials() == 2);
        let connection = if at_once {
            proxy.pause();
            let connection = accept_connecting(&slow, &full);
            let _open = cancellation.cancel(client);
            proxy.resume();
            connection
        } else {
            let _open = cancellation.cancel(client);
            wait_for_pending(&proxy, 0);
            accept_connecting(&slow, &full)
        };
        assert_closed_unused(connection, (cancellation, at_once));
    }
}

#[test]
fn cancelled_while_reconnecting() {
    for cancellation in CANCELLATIONS {
        let (slow, full, _discovery, proxy) = proxy_before_full_listener();
        let mut client = proxy.client();
        client.send(&submit("r-first", "60", "x"));
        let mut pooled = accept_connecting(&slow, &full);
        assert_eq!(read_message(&mut std::io::BufReader::new(&pooled)).expect("a request").id(), "r-first");
        std::io::Write::write_all(&mut pooled, ok("").as_bytes()).expect("it reads");
        assert_eq!(client.response().expect("a response").status(), 200);
        let full = fill_accept_queue(&slow);
        proxy.pause();
        client.send(&submit("r-cancelled", "60", "x"));
        let ends = (pooled.local_addr().expect("its own"), pooled.peer_addr().expect("the proxy's"));
        drop(pooled);
        wait_for_close(ends.0, ends.1);
        proxy.resume();
        wait_for("the second connection", || proxy.dials() == 2);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 0);
        assert_closed_unused(accept_connecting(&slow, &full), cancellation);
    }
}

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
        assert_eq!(first.closed(), 0, "the attempt is out still");
        latch.open();
        wait_for("the attempt's end", || proxy.log_contains("attempt failed"));
        wait_for("it to wait", || proxy.waiting() == 1);
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
