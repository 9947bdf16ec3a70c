//! A discovery service that moves, restarts, ends its watches or is overloaded, with lists that are polled.
mod sockets;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

/// Starts a proxy that polls its lists, with this cached list. Returns its configuration and the proxy.
fn polling_proxy(address: SocketAddr, cached_list: &str) -> (String, Proxy) {
    let setup = Setup { cached_list: cached_list.into(), ..Setup::default() };
    let text = config(address, &setup).replace(r#""discovery":"pushed""#, r#""discovery":"on_request""#);
    let proxy = Proxy::start_with_config(&text, &setup);
    (text, proxy)
}

fn list_of_one(seq: u64, whole: bool, backend: &Backend, health: &str) -> String {
    list(seq, whole, &[host("s-0", backend.address, health, 0)])
}

fn status(proxy: &Proxy, id: &str) -> u16 {
    let text = page(id).replace("X-Timeout: 5", "X-Timeout: 0.3");
    proxy.client().request(&text).expect("a response").status()
}

/// Waits until a proxy sends no more requests to its only backend.
fn wait_for_drain(proxy: &Proxy) {
    let mut number = 0;
    wait_for("the drain", || {
        number += 1;
        status(proxy, &format!("r-drain-{number}")) != 200
    });
}

#[test]
fn watch_ended_after_move_is_reopened() {
    let backend = Backend::new(Reply::Write(ok("")));
    let first = list_of_one(1, true, &backend, "up");
    let old = ScriptedDiscovery::new(move |_| ScriptedResponse::Send(Duration::ZERO, vec![first.clone()]));
    let full = list_of_one(1, true, &backend, "up");
    let drain = list_of_one(2, false, &backend, "draining");
    // The first watch after the move gets the list and ends; the next one gets the drain.
    let new = ScriptedDiscovery::new(move |call| match call {
        0 => ScriptedResponse::End(vec![full.clone()]),
        _ => ScriptedResponse::Send(Duration::ZERO, vec![drain.clone()]),
    });
    let (text, proxy) = polling_proxy(old.address, "null");
    wait_for("/up", || proxy.is_up());
    assert_eq!(status(&proxy, "r-before"), 200);
    proxy.reload(&text.replace(&old.address.to_string(), &new.address.to_string()));
    wait_for_drain(&proxy);
    assert!(new.lines()[1].contains("watch=1&after=1 "), "{:?}", new.lines());
    assert_eq!(old.count(), 1, "the old address is no longer called");
}

#[test]
fn failed_first_watch_after_move_is_reopened() {
    let backend = Backend::new(Reply::Write(ok("")));
    let first = list_of_one(1, true, &backend, "up");
    let old = ScriptedDiscovery::new(move |_| ScriptedResponse::Send(Duration::ZERO, vec![first.clone()]));
    let drain = list_of_one(1, true, &backend, "draining");
    let new = ScriptedDiscovery::new(move |call| match call {
        0 | 1 => ScriptedResponse::Reject,
        _ => ScriptedResponse::Send(Duration::ZERO, vec![drain.clone()]),
    });
    let (text, proxy) = polling_proxy(old.address, "null");
    wait_for("/up", || proxy.is_up());
    proxy.reload(&text.replace(&old.address.to_string(), &new.address.to_string()));
    wait_for_drain(&proxy);
    assert_eq!((old.count(), new.count()), (1, 3));
}

/// Guards against a proxy that gives up a call to an overloaded discovery service before its turn, and so never
/// gets a list.
#[test]
fn queued_discovery_call_is_not_cancelled() {
    let backend = Backend::new(Reply::Write(ok("")));
    let line = list_of_one(1, true, &backend, "up");
    // The service responds to each call after 1.6 s.
    let busy = ScriptedDiscovery::new(move |_| {
        ScriptedResponse::Send(Duration::from_millis(1600), vec![line.clone()])
    });
    let (_, proxy) = polling_proxy(busy.address, "null");
    wait_for("/up", || proxy.is_up());
    assert_eq!(busy.count(), 1, "the proxy waited for its first call");
    assert_eq!(status(&proxy, "r-1"), 200);
}

#[test]
fn lower_version_of_restarted_discovery_is_accepted() {
    let backend = Backend::new(Reply::Write(ok("")));
    let up = list_of_one(41, true, &backend, "up");
    let drain = list_of_one(3, true, &backend, "draining");
    let restarted = ScriptedDiscovery::new(move |call| match call {
        0 => ScriptedResponse::End(vec![up.clone()]),
        _ => ScriptedResponse::Send(Duration::ZERO, vec![drain.clone()]),
    });
    let (_, proxy) = polling_proxy(restarted.address, "null");
    wait_for("/up", || proxy.is_up());
    wait_for_drain(&proxy);
    assert_eq!(restarted.count(), 2);
}

#[test]
fn changes_since_unknown_version_lead_to_full_list() {
    let backend = Backend::new(Reply::Write(ok("")));
    let up = list_of_one(41, true, &backend, "up");
    let changes = list(3, false, &[]);
    let full = list_of_one(3, true, &backend, "draining");
    let restarted = ScriptedDiscovery::new(move |call| match call {
        0 => ScriptedResponse::End(vec![up.clone()]),
        1 => ScriptedResponse::Send(Duration::ZERO, vec![changes.clone()]),
        _ => ScriptedResponse::Send(Duration::ZERO, vec![full.clone()]),
    });
    let (_, proxy) = polling_proxy(restarted.address, "null");
    wait_for("/up", || proxy.is_up());
    wait_for_drain(&proxy);
    let lines = restarted.lines();
    assert!(lines[1].contains("after=41") && !lines[2].contains("after"), "{lines:?}");
}

/// Time after which a change that a silent discovery may have published counts as known to the proxy.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Time after a move to another discovery address by which such a change counts as known to the proxy.
const NOTIFICATION_TIMEOUT_AFTER_MOVE: Duration = Duration::from_secs(4);

/// Time for which requests may still be sent to a backend after its drain counts as known: the grace period of the test
/// settings, plus a tolerance.
const GRACE: Duration = Duration::from_millis(550);

/// Sends requests to a proxy until it rejects one. Returns the time at which the last served request was sent, and the
/// rejection.
fn send_until_rejected(proxy: &Proxy) -> (Instant, Message) {
    let mut last = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        let sent = Instant::now();
        let text = page(&format!("r-until-{number}")).replace("X-Timeout: 5", "X-Timeout: 0.3");
        let response = proxy.client().request(&text).expect("a response");
        if response.status() != 200 {
            return (last, response);
        }
        last = sent;
        assert!(last.elapsed() < Duration::from_secs(30));
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn silent_discovery_ends_sends_before_a_missed_drain_counts() {
    let backend = Backend::new(Reply::Write(ok("")));
    let line = list_of_one(1, true, &backend, "up");
    // The first watch sends nothing after its list; later calls are accepted and get no response.
    let silent = ScriptedDiscovery::new(move |call| match call {
        0 => ScriptedResponse::Silence(vec![line.clone()]),
        _ => ScriptedResponse::Silence(Vec::new()),
    });
    let (_, proxy) = polling_proxy(silent.address, "null");
    wait_for("/up", || proxy.is_up());
    let received_at = Instant::now();
    let (last, rejection) = send_until_rejected(&proxy);
    assert!(
        last.duration_since(received_at) < NOTIFICATION_TIMEOUT + GRACE,
        "served {:?} later",
        last.duration_since(received_at)
    );
    assert!(
        last.duration_since(received_at) > NOTIFICATION_TIMEOUT - Duration::from_secs(1),
        "requests are served until shortly before the timeout"
    );
    assert_eq!(rejection.status(), 503);
    assert!(rejection.header("retry-after").is_some(), "{rejection:?}");
    assert!(silent.count() > 1, "the proxy has called discovery again");
}

#[test]
fn service_continues_while_discovery_is_down() {
    let backend = Backend::new(Reply::Write(ok("")));
    let known = list_of_one(1, true, &backend, "up");
    let down = RefusingAddress::new();
    let (_, proxy) = polling_proxy(down.address, &known);
    wait_for("/up", || proxy.is_up());
    let end = Instant::now() + NOTIFICATION_TIMEOUT + Duration::from_secs(3);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        assert_eq!(status(&proxy, &format!("r-down-{number}")), 200);
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn sends_end_after_move_to_silent_discovery() {
    let backend = Backend::new(Reply::Write(ok("")));
    let first = list_of_one(1, true, &backend, "up");
    let old = ScriptedDiscovery::new(move |_| ScriptedResponse::Send(Duration::ZERO, vec![first.clone()]));
    // Connections to the new address are never established.
    let new = full_listener();
    let address = new.0.local_addr().expect("an address");
    let (text, proxy) = polling_proxy(old.address, "null");
    wait_for("/up", || proxy.is_up());
    let moved_at = Instant::now();
    proxy.reload(&text.replace(&old.address.to_string(), &address.to_string()));
    let (last, rejection) = send_until_rejected(&proxy);
    assert!(
        last.duration_since(moved_at) < NOTIFICATION_TIMEOUT_AFTER_MOVE + GRACE,
        "served {:?} later",
        last.duration_since(moved_at)
    );
    assert_eq!(rejection.status(), 503);
}

#[test]
fn new_process_without_pushed_list_rejects_soon() {
    let backend = Backend::new(Reply::Write(ok("")));
    let unresponsive = full_listener();
    let setup = Setup { cached_list: list_of_one(1, true, &backend, "up"), ..Setup::default() };
    let started_at = Instant::now();
    let proxy = Proxy::start_with_discovery_at(unresponsive.0.local_addr().expect("an address"), &setup);
    wait_for("/up", || proxy.is_up());
    let (last, rejection) = send_until_rejected(&proxy);
    let served_for = last.duration_since(started_at);
    assert!(served_for < GRACE || backend.requests().is_empty(), "served for {served_for:?}");
    assert_eq!(rejection.status(), 503);
    assert!(rejection.header("retry-after").is_some(), "{rejection:?}");
}

/// Gives a proxy an invalid list, and a valid one at its next call. Asserts that the proxy uses the last valid list in
/// between, resumes the watch from that version, and logs the error once.
fn assert_list_is_skipped(broken: String, expected: &str) {
    let old = Backend::new(Reply::Write(ok("old")));
    let new = Backend::new(Reply::Write(ok("new")));
    let first = vec![list_of_one(1, true, &old, "up"), broken];
    let next = vec![list(3, true, &[host("s-new", new.address, "up", 0)])];
    let discovery = ScriptedDiscovery::new(move |call| match call {
        0 => ScriptedResponse::Send(Duration::ZERO, first.clone()),
        _ => ScriptedResponse::Send(Duration::from_millis(1500), next.clone()),
    });
    let (_, proxy) = polling_proxy(discovery.address, "null");
    let log = || proxy.log.lock().expect("no thread has panicked").clone();
    wait_for("the error", || log().contains(expected));
    wait_for("/up", || proxy.is_up());
    let text = |id: &str| proxy.client().request(&page(id)).expect("a response").text();
    assert_eq!(text("r-between"), "old");
    wait_for("the new list", || text("r-after") == "new");
    let resumed = discovery.lines()[1].clone();
    assert!(resumed.contains("watch=1&after=1 "), "{expected}: {resumed}");
    let error_lines =
        log().lines().filter(|line| line.contains(expected)).map(str::to_owned).collect::<Vec<_>>();
    assert_eq!(error_lines.len(), 1, "logged once: {error_lines:?}");
    assert!(error_lines[0].contains(&format!("address={}", discovery.address)), "{error_lines:?}");
    assert!(error_lines[0].contains("version=1"), "{error_lines:?}");
}

#[test]
fn invalid_list_ends_call_and_last_valid_list_stays() {
    let unused_address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let good = host("s-1", unused_address, "up", 0);
    let entries = |second_entry: &str| list(2, false, &[good.clone(), second_entry.to_owned()]);
    let cases = [
        (entries(r#"{"host":3}"#), "entry 2: 'host' is missing"),
        (entries("null"), "entry 2: 'host' is missing"),
        (
            entries(r#"{"host":"s-odd","dial":"nowhere","health":"up"}"#),
            "backend s-odd: 'dial' is missing or not an address",
        ),
        (entries(r#"{"host":"s-odd","dial":"127.0.0.1:9","health":"new"}"#), "backend s-odd: unknown health"),
        (entries(&host("s-1", unused_address, "draining", 0)), "backend s-1 is listed twice"),
        (r#"{"seq":2,"whole":false}"#.into(), "not a list"),
        ("[]".into(), "unexpected text between objects"),
        (format!("{{{}}}", " ".repeat(5 << 20)), "an object of more than"),
    ];
    thread::scope(|scope| {
        for (broken, expected) in cases {
            scope.spawn(move || assert_list_is_skipped(broken, expected));
        }
    });
}
