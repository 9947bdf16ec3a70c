//! The endpoint list that discovery publishes: how a proxy applies each change.
mod sockets;

use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

#[test]
fn not_ready_before_the_first_list() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    let proxy = Proxy::start(&discovery, &Setup::default());
    wait_for("the watch", || !discovery.requests.lock().unwrap().is_empty());
    assert!(!proxy.is_up());
    discovery.publish(&all_up(&[&backend]));
    wait_for("/up", || proxy.is_up());
}

#[test]
fn cached_list_is_served_without_discovery() {
    let backend = Backend::new(Reply::Write(ok("")));
    let mut discovery = Discovery::new();
    // The listener is dropped at once, so connections to its address are refused.
    discovery.address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let proxy =
        Proxy::start_ready(&discovery, &Setup { cached_list: all_up(&[&backend]), ..Setup::default() });
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
}

#[test]
fn malformed_and_stale_lists_are_skipped() {
    let old = Backend::new(Reply::Write(ok("old")));
    let new = Backend::new(Reply::Write(ok("new")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&old]));
    let proxy = Proxy::start_ready(&discovery, &Setup::default());
    // A malformed line may contain a change, so the proxy resumes the watch from the last valid version.
    discovery.publish(r#"{"seq":2,"whole":false,"hosts":"#);
    let resumed = || {
        discovery
            .requests
            .lock()
            .unwrap()
            .iter()
            .any(|request| request.first_line.contains("watch=1&after=1 "))
    };
    wait_for("a watch that resumes", resumed);
    discovery.publish(&list(5, true, &[host("s-new", new.address, "up", 0)]));
    let text = |id: &str| proxy.client().request(&page(id)).expect("a response").text();
    wait_for("the new list", || text("r-1") == "new");
    discovery.publish(&list(4, true, &[host("s-0", old.address, "up", 0)]));
    wait_for("the log line on the stale list", || proxy.log.lock().unwrap().contains("stale"));
    assert_eq!(text("r-2"), "new");
}

#[test]
fn change_between_two_watches_is_received() {
    let old = Backend::new(Reply::Write(ok("old")));
    let new = Backend::new(Reply::Write(ok("new")));
    let (discovery, proxy) = proxy_with(&[&old]);
    let gone = host("s-0", old.address, "removed", 0);
    discovery.reset_watches_and_publish(&list(2, false, &[gone, host("s-new", new.address, "up", 0)]));
    wait_for("the new list", || {
        proxy.client().request(&page("r-1")).is_some_and(|response| response.text() == "new")
    });
}

#[test]
fn drained_removed_or_moved_backend_gets_no_new_requests() {
    let one = Backend::new(Reply::Write(ok("one")));
    let two = Backend::new(Reply::Write(ok("two")));
    let (discovery, proxy) = proxy_with(&[&one]);
    let text = |id: &str| proxy.client().request(&page(id)).map(|response| response.text());
    assert_eq!(text("r-0").as_deref(), Some("one"));
    let mut seq = 1;
    let mut publish = |lines: &[String], whole: bool| {
        seq += 1;
        discovery.publish(&list(seq, whole, lines));
    };
    // Drain: the pooled connection is closed at once, and later requests go to the other backend.
    publish(&[host("s-0", one.address, "draining", 0), host("s-1", two.address, "up", 0)], false);
    wait_for("the pooled connection to close", || one.closed() == 1);
    let before = one.requests().len();
    (0..5).for_each(|number| assert_eq!(text(&format!("r-a{number}")).as_deref(), Some("two")));
    assert_eq!(one.requests().len(), before);
    // The backend is missing from a full list.
    let three = Backend::new(Reply::Write(ok("three")));
    publish(&[host("s-2", three.address, "up", 0)], true);
    wait_for("the pooled connection to close", || two.closed() == 1);
    let before = two.requests().len();
    (0..5).for_each(|number| assert_eq!(text(&format!("r-b{number}")).as_deref(), Some("three")));
    assert_eq!(two.requests().len(), before);
    // The backend has restarted at another address.
    let four = Backend::new(Reply::Write(ok("four")));
    publish(&[host("s-2", four.address, "up", 0)], false);
    wait_for("the pooled connection to close", || three.closed() == 1);
    (0..5).for_each(|number| assert_eq!(text(&format!("r-c{number}")).as_deref(), Some("four")));
}

#[test]
fn drain_during_connect_is_respected() {
    let (slow, full) = full_listener();
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", slow.local_addr().unwrap(), "up", 0)]));
    let setup = Setup { connect_timeout_ms: 30_000, deadline_ms: 40_000, ..Setup::default() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    let mut first = proxy.client();
    first.send(&submit("r-first", "40", "x"));
    // After this check the proxy has most likely read the first request and started its connection to the backend.
    assert!(proxy.is_up());
    let other = Backend::new(Reply::Write(ok("other")));
    let gone = host("s-0", slow.local_addr().unwrap(), "draining", 0);
    discovery.publish(&list(2, false, &[gone, host("s-1", other.address, "up", 0)]));
    // These requests can only be served by the other backend, once the list with the drain has arrived.
    let mut number = 0;
    wait_for("the new list", || {
        number += 1;
        let quick = page(&format!("r-{number}")).replace("X-Timeout: 5", "X-Timeout: 0.3");
        proxy.client().request(&quick).is_some_and(|response| response.text() == "other")
    });
    // The accept queue now has room and the connection of the first request is established, but nothing may be written
    // to it.
    let mut connection = accept_connecting(&slow, &full);
    connection.set_read_timeout(Some(LIMIT)).unwrap();
    let mut bytes = Vec::new();
    // The connection ends with a close or a reset, after any bytes that were written to it.
    let _ = connection.read_to_end(&mut bytes);
    assert!(bytes.is_empty(), "{}", String::from_utf8_lossy(&bytes));
    assert_eq!(first.response().expect("a response").text(), "other");
}

#[test]
fn requests_withdrawn_from_drained_backends_are_served() {
    let other = Backend::new(Reply::Write(ok("other")));
    let discovery = Discovery::new();
    let (mut slow, mut full) = full_listener();
    let entry = |number: usize, slow: &TcpListener, health: &str| {
        host(&format!("s-{number}"), slow.local_addr().unwrap(), health, 0)
    };
    discovery.publish(&list(1, true, &[entry(0, &slow, "up")]));
    let setup =
        Setup { has_admin: true, connect_timeout_ms: 30_000, deadline_ms: 40_000, ..Setup::default() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    // Four withdrawn requests exceed the retry budget, which starts at two.
    for number in 0..4 {
        let mut client = proxy.client();
        client.send(&submit(&format!("r-{number}"), "40", "x"));
        wait_for("the connection to be started", || {
            proxy.waiting() == 0 && proxy.stat("/pending") == 1 && proxy.dials() > number as u64
        });
        let version = 2 * number as u64 + 2;
        let drained = [entry(number, &slow, "draining"), host("other", other.address, "up", 0)];
        discovery.publish(&list(version, true, &drained));
        wait_for("the drain", || proxy.stat("/members") == 2 && proxy.stat("/members_unavailable") == 1);
        drop(accept_connecting(&slow, &full));
        assert_eq!(client.response().expect("a response").text(), "other", "request {number}");
        (slow, full) = full_listener();
        discovery.publish(&list(version + 1, true, &[entry(number + 1, &slow, "up")]));
        wait_for("the next list", || proxy.stat("/members") == 1 && proxy.stat("/members_unavailable") == 0);
    }
}

#[test]
fn reload_moves_the_watch_to_the_new_discovery() {
    let [one, two, three] = ["one", "two", "three"].map(|text| Backend::new(Reply::Write(ok(text))));
    let line =
        |seq: u64, name: &str, backend: &Backend| list(seq, true, &[host(name, backend.address, "up", 0)]);
    let setup = Setup::default();
    let first = Discovery::new();
    let second = Discovery::new();
    let third = Discovery::new();
    first.publish(&line(50, "s-1", &one));
    let mut proxy = Proxy::start_ready(&first, &setup);
    let text = |proxy: &Proxy| proxy.client().request(&page("r-1")).map(|response| response.text());
    assert_eq!(text(&proxy).as_deref(), Some("one"));
    // An invalid configuration file changes nothing.
    proxy.reload("{");
    wait_for("the log line on the rejected file", || {
        proxy.log_contains("configuration not reloaded, the previous one stays in effect")
    });
    // Two reloads in a row: the second service never sends a list, and the first one's list stays valid until the third
    // service sends one.
    proxy.reload(&config(second.address, &setup));
    wait_for("a watch of the second", || !second.requests.lock().unwrap().is_empty());
    proxy.reload(&config(third.address, &setup));
    wait_for("a watch of the third", || !third.requests.lock().unwrap().is_empty());
    first.publish(&line(51, "s-2", &two));
    wait_for("the first service's list", || text(&proxy).as_deref() == Some("two"));
    // The third service counts its versions independently, so the proxy must not ask it for changes after a version of
    // another service.
    third.publish(&line(3, "s-3", &three));
    wait_for("the new list", || text(&proxy).as_deref() == Some("three"));
    assert!(third.requests.lock().unwrap().iter().all(|request| !request.first_line.contains("after=")));
    // Lists that the former services publish late are ignored.
    first.publish(&line(99, "s-1", &one));
    second.publish(&line(99, "s-1", &one));
    third.publish(&line(4, "s-2", &two));
    wait_for("the newest list", || text(&proxy).as_deref() == Some("two"));
    (0..50).for_each(|_| assert_eq!(text(&proxy).as_deref(), Some("two")));
    assert!(proxy.is_running());
}

#[test]
fn removed_backends_free_their_memory() {
    let discovery = Discovery::new();
    let backend = Backend::new(Reply::Write(ok("")));
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &Setup { has_admin: true, ..Setup::default() });
    // The lists alternate between two sizes, so that `/members` distinguishes one round from the next.
    let size = |number: usize| 400 + number % 2;
    let round = |number: usize, health: &'static str| {
        (0..size(number)).map(move |i| (format!("s-{number}-{i}"), health))
    };
    let mut early_resident_kib = 0;
    for number in 1..=60 {
        let changes = round(number, "up").chain(round(number - 1, "removed"));
        let mut lines: Vec<String> =
            changes.map(|(name, health)| host(&name, backend.address, health, 0)).collect();
        lines.push(host("s-0", backend.address, "removed", 0));
        discovery.publish(&list(number as u64 + 1, false, &lines));
        // Publishing faster than the proxy applies the lists would make it rightly keep more than two rounds in memory.
        wait_for("the round's list", || proxy.stat("/members") == size(number) as u64);
        assert_eq!(status(proxy.client().request(&page(&format!("r-{number}")))), 200);
        if number == 10 {
            early_resident_kib = proxy.resident_kib();
        }
    }
    let growth_kib = proxy.resident_kib().saturating_sub(early_resident_kib);
    assert!(growth_kib < 6 << 10, "{growth_kib} KiB for 20,000 removed backends");
}

/// Guards against rejecting requests while the discovery agent is down, between two calls to it that are refused.
#[test]
fn requests_are_served_while_agent_is_down() {
    let backend = Backend::new(Reply::Write(ok("")));
    let agent = RefusingAddress::new();
    let setup = Setup { cached_list: all_up(&[&backend]), ..Setup::default() };
    let proxy = Proxy::start_with_discovery_at(agent.address, &setup);
    wait_for("/up", || proxy.is_up());
    let mut client = proxy.client();
    let end = Instant::now() + Duration::from_secs(3);
    let mut statuses = Vec::new();
    while Instant::now() < end {
        statuses.push(status(client.request(&page(&format!("r-{}", statuses.len())))));
        thread::sleep(Duration::from_millis(10));
    }
    let rejected = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(rejected, 0, "of {} requests", statuses.len());
}
