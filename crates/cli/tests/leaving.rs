//! Clients that leave while their request waits: nothing of it goes on, wherever it waited.
mod sockets;

use std::net::TcpListener;

use sockets::*;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Close,
    Reset,
    /// With a part of the next request, or with all of it, behind the one that waits.
    CloseBehindPart,
    CloseBehindWhole,
    ResetBehindWhole,
}

const WAYS: [Way; 5] =
    [Way::Close, Way::Reset, Way::CloseBehindPart, Way::CloseBehindWhole, Way::ResetBehindWhole];

impl Way {
    fn leave(self, mut client: Client) {
        match self {
            Way::Close | Way::Reset => {}
            Way::CloseBehindPart => client.send("GET /pa"),
            Way::CloseBehindWhole | Way::ResetBehindWhole => client.send(&page("r-behind")),
        }
        match self {
            Way::Reset | Way::ResetBehindWhole => client.reset(),
            _ => drop(client),
        }
    }
}

/// A request of a client with much patience.
fn patient(request: &str) -> String {
    request.replace("X-Timeout: 5\r", "X-Timeout: 60\r")
}

fn proxy_with(hosts: &[String]) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.say(&list(1, true, hosts));
    let setup = Setup { admin: true, deadline: 60_000, dial_timeout: 30_000, ..Setup::default() };
    let proxy = Proxy::up(&discovery, &setup);
    (discovery, proxy)
}

fn pending(proxy: &Proxy, count: u64) {
    wait_for("the count of open requests", || proxy.figure("/pending") == count);
}

/// A backend that holds what is named so until the gate opens, and answers all else.
fn holding(gate: &Gate, name: &'static str) -> Backend {
    let gate = gate.clone();
    Backend::with(move |request| match request.id().starts_with(name) {
        true => Deed::Hold(gate.clone(), ok("held")),
        false => Deed::Write(ok("prompt")),
    })
}

/// Twelve clients of requests that the backend holds: more than it has slots, so that what follows waits.
fn filled(proxy: &Proxy) -> Vec<Client> {
    let client = |n| {
        let mut client = Client::new(proxy);
        client.send(&submit(&format!("r-held-{n}"), "60", "x"));
        client
    };
    let held = (0..12).map(client).collect();
    pending(proxy, 12);
    held
}

fn ids(backend: &Backend) -> Vec<String> {
    backend.seen().iter().map(|m| m.id().to_owned()).collect()
}

#[test]
fn in_the_accept_queue() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[host("s-0", backend.address, "up", 0)]);
    proxy.pause();
    for (n, way) in WAYS.into_iter().enumerate() {
        let mut client = Client::new(&proxy);
        client.send(&if n % 2 == 0 { page("r-left") } else { submit("r-left", "5", "x") });
        way.leave(client);
    }
    let mut last = Client::new(&proxy);
    last.send(&page("r-last"));
    proxy.go_on();
    assert_eq!(last.answer().expect("an answer").status(), 200);
    pending(&proxy, 0);
    assert_eq!(ids(&backend), ["r-last"]);
}

#[test]
fn in_the_module_s_queue() {
    for way in WAYS {
        let gate = Gate::default();
        let backend = holding(&gate, "r-held");
        let (_discovery, proxy) = proxy_with(&[host("s-0", backend.address, "up", 0)]);
        let mut held = filled(&proxy);
        assert!(backend.seen().len() < 12, "the proxy queues");
        let mut client = Client::new(&proxy);
        client.send(&patient(&page("r-left")));
        pending(&proxy, 13);
        way.leave(client);
        pending(&proxy, 12);
        gate.open();
        held.iter_mut().for_each(|c| assert_eq!(c.answer().expect("an answer").status(), 200));
        assert_eq!(Client::new(&proxy).ask(&page("r-last")).expect("an answer").status(), 200);
        let seen = ids(&backend);
        assert!(seen.len() == 13 && seen.iter().all(|id| id != "r-left"), "{way:?}: {seen:?}");
    }
}

#[test]
fn while_a_connection_comes_up() {
    for way in WAYS {
        let (slow, full) = full_listener();
        let (_discovery, proxy) = proxy_with(&[host("s-0", slow.local_addr().expect("its own"), "up", 0)]);
        let mut client = Client::new(&proxy);
        client.send(&submit("r-left", "60", "x"));
        pending(&proxy, 1);
        way.leave(client);
        pending(&proxy, 0);
        full.iter().for_each(|_| drop(slow.accept().expect("one of the fill")));
        let (connection, _) = slow.accept().expect("the proxy's");
        connection.set_read_timeout(Some(LIMIT)).expect("a time-out");
        let mut bytes = Vec::new();
        let _ = std::io::Read::read_to_end(&mut &connection, &mut bytes);
        assert!(bytes.is_empty(), "{way:?}: {}", String::from_utf8_lossy(&bytes));
    }
}

#[test]
fn between_two_attempts() {
    for way in WAYS {
        let gate = Gate::default();
        let held = gate.clone();
        let busy = empty("503 Busy\r\nX-Not-Processed: 1");
        let first = Backend::with(move |_| Deed::Hold(held.clone(), busy.clone()));
        let second = Backend::new(Deed::Write(ok("")));
        let (discovery, proxy) = proxy_with(&[host("s-0", first.address, "up", 0)]);
        let mut client = Client::new(&proxy);
        client.send(&submit("r-left", "60", "x"));
        wait_for("the first attempt", || first.seen().len() == 1);
        discovery.say(&list(2, false, &[host("s-1", second.address, "up", 0)]));
        wait_for("the second backend", || proxy.figure("/members") == 2);
        way.leave(client);
        pending(&proxy, 0);
        gate.open();
        wait_for("the attempt's end", || proxy.said("attempt failed"));
        assert_eq!(Client::new(&proxy).ask(&page("r-last")).expect("an answer").status(), 200);
        assert!(!ids(&second).contains(&"r-left".into()), "{way:?}");
    }
}

#[test]
fn while_its_body_still_comes() {
    // More of a body than is read ahead, which nobody takes as long as it waits. A close behind more than the system
    // holds for the proxy can't be seen by anyone; a reset can.
    for (way, sent) in [(Way::Close, 180_000), (Way::Reset, 1_000_000)] {
        let gate = Gate::default();
        let backend = holding(&gate, "r-held");
        let (_discovery, proxy) = proxy_with(&[host("s-0", backend.address, "up", 0)]);
        let mut held = filled(&proxy);
        let mut client = Client::new(&proxy);
        let head = submit("r-left", "60", "").replace("Length: 0", "Length: 9000000");
        client.send(&head);
        client.send(&"x".repeat(sent));
        pending(&proxy, 13);
        way.leave(client);
        pending(&proxy, 12);
        gate.open();
        held.iter_mut().for_each(|c| assert_eq!(c.answer().expect("an answer").status(), 200));
        assert_eq!(Client::new(&proxy).ask(&page("r-last")).expect("an answer").status(), 200);
        assert!(!ids(&backend).contains(&"r-left".into()), "{way:?}");
    }
}

#[test]
fn a_place_in_nobody_s_queue() {
    // A listed backend that nobody answers at: the request waits for one that takes it.
    let nobody = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("its own");
    for way in WAYS {
        let later = Backend::new(Deed::Write(ok("")));
        let (discovery, proxy) = proxy_with(&[host("s-0", nobody, "draining", 0)]);
        let mut client = Client::new(&proxy);
        client.send(&patient(&page("r-left")));
        pending(&proxy, 1);
        way.leave(client);
        pending(&proxy, 0);
        discovery.say(&list(2, false, &[host("s-1", later.address, "up", 0)]));
        wait_for("the new backend", || {
            Client::new(&proxy).ask(&page("r-last")).is_some_and(|answer| answer.status() == 200)
        });
        assert!(ids(&later).iter().all(|id| id == "r-last"), "{way:?}");
    }
}
