//! Clients that cancel a request while it waits or is sent: nothing of it is sent any more.
mod sockets;

use std::io::Read;
use std::net::TcpListener;

use sockets::cancellation::*;
use sockets::*;

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
    // More of a body than is read ahead, which nobody takes as long as it waits. A close behind more than the system
    // holds for the proxy can't be seen by anyone; a reset can.
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
    // A listed backend that nobody answers at: the request waits for one that takes it.
    let nobody = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("its own");
    for cancellation in CANCELLATIONS {
        let later = Backend::new(Reply::Write(ok("")));
        let (discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", nobody, "draining", 0)]);
        let mut client = proxy.client();
        client.send(&with_long_timeout(&page("r-cancelled")));
        wait_for_pending(&proxy, 1);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 0);
        discovery.publish(&list(2, false, &[host("s-1", later.address, "up", 0)]));
        wait_for("the new backend", || {
            proxy.client().request(&page("r-last")).is_some_and(|response| response.status() == 200)
        });
        assert!(request_ids(&later).iter().all(|id| id == "r-last"), "{cancellation:?}");
    }
}

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
        let out = backend.requests().len(); // more may be on their way
        latch.open();
        wait_for("the answers", || backend.responses() >= out);
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

#[test]
fn pipelined_request_cancelled_as_the_first_is_answered() {
    for cancellation in CANCELLATIONS {
        let latch = Latch::default();
        let backend = delaying_backend(&latch, "r-held");
        let (_discovery, proxy) = start_proxy_with_long_timeouts(&[host("s-0", backend.address, "up", 0)]);
        let mut client = proxy.client();
        client.send(&(submit("r-held", "60", "x") + &submit("r-cancelled", "60", "x")));
        wait_for("the first", || backend.requests().len() == 1);
        proxy.pause();
        latch.open();
        wait_for("its response", || backend.responses() == 1);
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
        let (_discovery, proxy) =
            start_proxy_with_long_timeouts(&[host("s-0", listener.local_addr().expect("its own"), "up", 0)]);
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "").replace("Length: 0", "Length: 9000000"));
        client.send(&"x".repeat(300_000));
        let (mut connection, _) = listener.accept().expect("the attempt");
        connection.set_read_timeout(Some(LIMIT)).expect("a time-out");
        connection.read_exact(&mut [0; 100_000]).expect("a part of it");
        let _open = cancellation.cancel(client);
        let mut rest = Vec::new();
        let _ = connection.read_to_end(&mut rest); // it may end as a reset
        assert!(rest.len() <= 300_000, "{cancellation:?}: not whole, {} bytes more", rest.len());
        wait_for_pending(&proxy, 0);
    }
}
