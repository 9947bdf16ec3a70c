//! Clients that cancel a request while it waits: nothing of it is sent any more, wherever it waited.
mod sockets;

use std::io::Read;
use std::net::{TcpListener, TcpStream};

use sockets::*;

/// How a client cancels.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cancellation {
    Close,
    Reset,
    /// It shuts down for writing only, which counts as a close: the proxy can't distinguish the two.
    ShutDownWrite,
    /// With a part of the next request, or with all of it, behind the one that waits.
    CloseBehindPart,
    CloseBehindRequest,
    ResetBehindRequest,
}

const CANCELLATIONS: [Cancellation; 6] = [
    Cancellation::Close,
    Cancellation::Reset,
    Cancellation::ShutDownWrite,
    Cancellation::CloseBehindPart,
    Cancellation::CloseBehindRequest,
    Cancellation::ResetBehindRequest,
];

impl Cancellation {
    /// Cancels, and waits until the proxy's system has received it. Returns the client if its connection is still open.
    #[must_use]
    fn cancel(self, client: Client) -> Option<Client> {
        let (from, to) = client.addresses();
        let open = self.close(client);
        wait_for_close(from, to);
        open
    }

    fn close(self, mut client: Client) -> Option<Client> {
        match self {
            Cancellation::Close | Cancellation::Reset | Cancellation::ShutDownWrite => {}
            Cancellation::CloseBehindPart => client.send("GET /pa"),
            Cancellation::CloseBehindRequest | Cancellation::ResetBehindRequest => {
                client.send(&page("r-behind"))
            }
        }
        match self {
            Cancellation::ShutDownWrite => {
                client.shut_down_write();
                return Some(client);
            }
            Cancellation::Reset | Cancellation::ResetBehindRequest => client.reset(),
            Cancellation::Close | Cancellation::CloseBehindPart | Cancellation::CloseBehindRequest => {
                drop(client)
            }
        }
        None
    }
}

/// A request with a long time-out.
fn with_long_timeout(request: &str) -> String {
    request.replace("X-Timeout: 5\r", "X-Timeout: 60\r")
}

fn start_proxy(hosts: &[String]) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, hosts));
    let setup =
        Setup { has_admin: true, deadline_ms: 60_000, connect_timeout_ms: 30_000, ..Setup::default() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    (discovery, proxy)
}

fn wait_for_pending(proxy: &Proxy, count: u64) {
    wait_for("the count of open requests", || proxy.stat("/pending") == count);
}

/// A backend that delays requests with this prefix until the gate opens, and answers all others.
fn delaying_backend(gate: &Gate, prefix: &'static str) -> Backend {
    let gate = gate.clone();
    Backend::with(move |request| match request.id().starts_with(prefix) {
        true => Reply::Delayed(gate.clone(), ok("held")),
        false => Reply::Write(ok("prompt")),
    })
}

/// Twelve requests that the backend delays: more than it has slots, so that what follows waits.
fn fill_slots(proxy: &Proxy) -> Vec<Client> {
    let client = |number| {
        let mut client = proxy.client();
        client.send(&submit(&format!("r-held-{number}"), "60", "x"));
        client
    };
    let clients = (0..12).map(client).collect();
    wait_for_pending(proxy, 12);
    clients
}

fn request_ids(backend: &Backend) -> Vec<String> {
    backend.requests().iter().map(|request| request.id().to_owned()).collect()
}

/// Asserts that the proxy ends a connection without a byte on it.
fn assert_closed_unused(mut connection: TcpStream, how: impl std::fmt::Debug) {
    connection.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let mut bytes = Vec::new();
    let ended = connection.read_to_end(&mut bytes);
    assert!(ended.is_ok() && bytes.is_empty(), "{how:?}: {ended:?}, {}", String::from_utf8_lossy(&bytes));
}

#[test]
fn cancelled_in_the_accept_queue() {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = start_proxy(&[host("s-0", backend.address, "up", 0)]);
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
        let gate = Gate::default();
        let backend = delaying_backend(&gate, "r-held");
        let (_discovery, proxy) = start_proxy(&[host("s-0", backend.address, "up", 0)]);
        let mut delayed = fill_slots(&proxy);
        assert!(backend.requests().len() < 12, "the proxy queues");
        let mut client = proxy.client();
        client.send(&with_long_timeout(&page("r-cancelled")));
        wait_for_pending(&proxy, 13);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 12);
        gate.open();
        delayed
            .iter_mut()
            .for_each(|client| assert_eq!(client.response().expect("a response").status(), 200));
        assert_eq!(proxy.client().request(&page("r-last")).expect("a response").status(), 200);
        let seen = request_ids(&backend);
        assert!(seen.len() == 13 && seen.iter().all(|id| id != "r-cancelled"), "{cancellation:?}: {seen:?}");
    }
}

#[test]
fn cancelled_while_connecting() {
    for cancellation in CANCELLATIONS {
        let (slow, full) = full_listener();
        let (_discovery, proxy) = start_proxy(&[host("s-0", slow.local_addr().expect("its own"), "up", 0)]);
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
        let gate = Gate::default();
        let gate_copy = gate.clone();
        let busy = empty("503 Busy\r\nX-Not-Processed: 1");
        let first = Backend::with(move |_| Reply::Delayed(gate_copy.clone(), busy.clone()));
        let second = Backend::new(Reply::Write(ok("")));
        let (discovery, proxy) = start_proxy(&[host("s-0", first.address, "up", 0)]);
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "x"));
        wait_for("the first attempt", || first.requests().len() == 1);
        discovery.publish(&list(2, false, &[host("s-1", second.address, "up", 0)]));
        wait_for("the second backend", || proxy.stat("/members") == 2);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 0);
        gate.open();
        wait_for("the attempt's end", || proxy.log_contains("attempt failed"));
        assert_eq!(proxy.client().request(&page("r-last")).expect("a response").status(), 200);
        assert!(!request_ids(&second).contains(&"r-cancelled".into()), "{cancellation:?}");
    }
}

#[test]
fn cancelled_while_body_is_received() {
    // More of a body than is read ahead, which nobody takes as long as it waits. A close behind more than the system
    // holds for the proxy can't be seen by anyone; a reset can.
    for (cancellation, sent) in [(Cancellation::Close, 180_000), (Cancellation::Reset, 1_000_000)] {
        let gate = Gate::default();
        let backend = delaying_backend(&gate, "r-held");
        let (_discovery, proxy) = start_proxy(&[host("s-0", backend.address, "up", 0)]);
        let mut delayed = fill_slots(&proxy);
        let mut client = proxy.client();
        let head = submit("r-cancelled", "60", "").replace("Length: 0", "Length: 9000000");
        client.send(&head);
        client.send(&"x".repeat(sent));
        wait_for_pending(&proxy, 13);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 12);
        gate.open();
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
        let (discovery, proxy) = start_proxy(&[host("s-0", nobody, "draining", 0)]);
        let mut client = proxy.client();
        client.send(&with_long_timeout(&page("r-cancelled")));
        wait_for_pending(&proxy, 1);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 0);
        discovery.publish(&list(2, false, &[host("s-1", later.address, "up", 0)]));
        wait_for("the new backend", || {
            proxy.client().request(&page("r-last")).is_some_and(|answer| answer.status() == 200)
        });
        assert!(request_ids(&later).iter().all(|id| id == "r-last"), "{cancellation:?}");
    }
}

#[test]
fn cancelled_as_its_connection_is_established() {
    for cancellation in CANCELLATIONS {
        let (slow, full) = full_listener();
        let (_discovery, proxy) = start_proxy(&[host("s-0", slow.local_addr().expect("its own"), "up", 0)]);
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
fn cancelled_as_a_slot_becomes_free() {
    for cancellation in CANCELLATIONS {
        let gate = Gate::default();
        let backend = delaying_backend(&gate, "r-held");
        let (_discovery, proxy) = start_proxy(&[host("s-0", backend.address, "up", 0)]);
        let mut delayed = fill_slots(&proxy);
        let mut client = proxy.client();
        client.send(&with_long_timeout(&page("r-cancelled")));
        wait_for_pending(&proxy, 13);
        proxy.pause();
        let out = backend.requests().len(); // more may be on their way
        gate.open();
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
        let gate = Gate::default();
        let backend = delaying_backend(&gate, "r-held");
        let (_discovery, proxy) = start_proxy(&[host("s-0", backend.address, "up", 0)]);
        let mut client = proxy.client();
        client.send(&(submit("r-held", "60", "x") + &submit("r-cancelled", "60", "x")));
        wait_for("the first", || backend.requests().len() == 1);
        proxy.pause();
        gate.open();
        wait_for("its answer", || backend.responses() == 1);
        let _open = cancellation.cancel(client);
        proxy.resume();
        wait_for_pending(&proxy, 0);
        assert_eq!(proxy.client().request(&page("r-last")).expect("a response").status(), 200);
        assert_eq!(request_ids(&backend), ["r-held", "r-last"], "{cancellation:?}");
    }
}

#[test]
fn cancelled_while_its_retry_connects() {
    for (cancellation, at_once) in
        CANCELLATIONS.into_iter().flat_map(|cancellation| [(cancellation, false), (cancellation, true)])
    {
        let gate = Gate::default();
        let busy = Reply::Delayed(gate.clone(), empty("503 Busy\r\nX-Not-Processed: 1"));
        let first = Backend::with(move |_| busy.clone());
        let (slow, full) = full_listener();
        let (discovery, proxy) = start_proxy(&[host("s-0", first.address, "up", 0)]);
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "x"));
        wait_for("the first attempt", || first.requests().len() == 1);
        let address = slow.local_addr().expect("its own");
        discovery.publish(&list(2, true, &[host("s-1", address, "up", 0)]));
        wait_for("the second backend", || proxy.stat("/members") == 1);
        gate.open();
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
        let (slow, full) = full_listener();
        let (_discovery, proxy) = start_proxy(&[host("s-0", slow.local_addr().expect("its own"), "up", 0)]);
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
        let gate = Gate::default();
        let busy = Reply::Delayed(gate.clone(), empty("503 Busy\r\nX-Not-Processed: 1"));
        let first = Backend::with(move |_| busy.clone());
        let second = Backend::new(Reply::Write(ok("")));
        let (discovery, proxy) = start_proxy(&[host("s-0", first.address, "up", 0)]);
        let mut client = proxy.client();
        client.send(&submit("r-cancelled", "60", "x"));
        wait_for("the first attempt", || first.requests().len() == 1);
        discovery.publish(&list(2, false, &[host("s-0", first.address, "draining", 0)]));
        wait_for("the drain", || proxy.stat("/members_unavailable") == 1);
        assert_eq!(first.closed(), 0, "the attempt is out still");
        gate.open();
        wait_for("the attempt's end", || proxy.log_contains("attempt failed"));
        wait_for("it to wait", || proxy.waiting() == 1);
        assert_eq!(proxy.stat("/pending"), 1);
        let _open = cancellation.cancel(client);
        wait_for_pending(&proxy, 0);
        discovery.publish(&list(3, false, &[host("s-1", second.address, "up", 0)]));
        wait_for("the new backend", || {
            proxy.client().request(&page("r-last")).is_some_and(|answer| answer.status() == 200)
        });
        assert!(request_ids(&second).iter().all(|id| id == "r-last"), "{cancellation:?}");
    }
}

#[test]
fn cancelled_while_body_is_streamed() {
    for cancellation in [Cancellation::Close, Cancellation::Reset, Cancellation::ShutDownWrite] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (_discovery, proxy) =
            start_proxy(&[host("s-0", listener.local_addr().expect("its own"), "up", 0)]);
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
