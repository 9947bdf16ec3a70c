//! How soon a proxy is ready, whether discovery is down, unresponsive or slow.
mod sockets;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

/// Starts a discovery that runs `handle` for each connection in a new thread; returns its address.
fn start_discovery(handle: impl Fn(TcpStream) + Send + Sync + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream.expect("a connection")));
        }
    });
    address
}

/// Starts a discovery that reads requests and never responds.
fn start_silent() -> SocketAddr {
    start_discovery(|stream| {
        let mut reader = BufReader::new(stream);
        while read_message(&mut reader).is_some() {}
    })
}

/// Starts a discovery that responds to each request with 503.
fn start_overloaded() -> SocketAddr {
    start_discovery(|stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let mut stream = stream;
        while read_message(&mut reader).is_some() && stream.write_all(empty("503 Busy").as_bytes()).is_ok() {}
    })
}

/// Starts a discovery that sends a whole list, one byte per second.
fn start_slow() -> SocketAddr {
    start_discovery(|stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let mut stream = stream;
        if read_message(&mut reader).is_none() {
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for byte in list(1, true, &[]).bytes() {
            if write!(stream, "1\r\n{}\r\n", byte as char).is_err() {
                return;
            }
            thread::sleep(Duration::from_secs(1));
        }
    })
}

/// All faults of discovery under test: the name of each, the address of the faulty discovery, and what has to be kept
/// for the fault to last.
fn discovery_faults() -> Vec<(&'static str, SocketAddr, Box<dyn Send>)> {
    // Connections to this address are not established, as the accept queue is full.
    let full = full_listener();
    let hanging_address = full.0.local_addr().expect("an address");
    let refusing = RefusingAddress::new();
    vec![
        (DOWN, refusing.address, Box::new(refusing)),
        ("hanging", hanging_address, Box::new(full)),
        ("silent", start_silent(), Box::new(())),
        ("overloaded", start_overloaded(), Box::new(())),
        ("slow", start_slow(), Box::new(())),
    ]
}

/// Waits until a proxy that already listens reports that it is ready; returns how long that took.
fn time_until_ready(proxy: &Proxy) -> Duration {
    let started_at = Instant::now();
    wait_for("/up", || proxy.is_up());
    started_at.elapsed()
}

/// The name of the fault where nothing listens at the address of discovery, which therefore can't have published any
/// change.
const DOWN: &str = "down";

/// The time within which a proxy with a cached list has to be ready, on a loaded machine too; on an idle one it takes
/// half a second. A proxy without a list always takes longer than this limit.
const CACHED_LIST_LIMIT: Duration = Duration::from_secs(4);

#[test]
fn ready_with_cached_list_without_discovery() {
    let backend = Backend::new(Reply::Write(ok("")));
    let faults: Vec<_> = discovery_faults();
    for (name, address, _guard) in &faults {
        let proxy = Proxy::start_with_discovery_at(
            *address,
            &Setup { cached_list: all_up(&[&backend]), ..Setup::default() },
        );
        let ready_after = time_until_ready(&proxy);
        eprintln!("cached list, discovery {name}: ready after {ready_after:?}");
        assert!(ready_after < CACHED_LIST_LIMIT, "{name}: {ready_after:?}");
        // Lists are pushed by an agent: every change that the agent has counts as notified from the start of the proxy,
        // and the drain grace after that is over by now, so that the cached list is no longer valid. Only an agent that
        // is down can't have a change, so that the list stays valid.
        let expected = if *name == DOWN { 200 } else { 503 };
        let response = proxy.client().request(&page("r-1")).expect("a response");
        assert_eq!(response.status(), expected, "{name}");
        assert_eq!(response.header("retry-after").is_some(), expected == 503, "{name}: {response:?}");
    }
}

#[test]
fn polled_cached_list_is_served_whatever_discovery_does() {
    let backend = Backend::new(Reply::Write(ok("")));
    let setup = Setup { cached_list: all_up(&[&backend]), ..Setup::default() };
    let faults: Vec<_> = discovery_faults();
    for (name, address, _guard) in &faults {
        let text = config(*address, &setup).replace(r#""discovery":"pushed""#, r#""discovery":"on_request""#);
        let proxy = Proxy::start_with_config(&text, &setup);
        let ready_after = time_until_ready(&proxy);
        assert!(ready_after < CACHED_LIST_LIMIT, "{name}: {ready_after:?}");
        assert_eq!(proxy.client().request(&page("r-1")).expect("a response").status(), 200, "{name}");
    }
}

/// Starts a proxy without a usable cached list, and checks that it becomes ready in time and then rejects requests.
fn start_without_usable_list(name: &str, discovery: SocketAddr, cached_list: &str) -> Proxy {
    let proxy = Proxy::start_with_discovery_at(
        discovery,
        &Setup { cached_list: cached_list.into(), ..Setup::default() },
    );
    assert!(!proxy.is_up(), "{name}: not ready at once, as other proxies may be able to serve the clients");
    let ready_after = time_until_ready(&proxy);
    eprintln!("{name}: ready after {ready_after:?}");
    assert!(ready_after < Duration::from_secs(6), "{name}: {ready_after:?}");
    let response = proxy.client().request(&page("r-1")).expect("a response");
    assert_eq!(response.status(), 503, "{name}");
    assert!(response.header("retry-after").is_some(), "{name}: {response:?}");
    proxy
}

#[test]
fn proxy_without_list_rejects_after_some_seconds() {
    let faults = discovery_faults();
    thread::scope(|scope| {
        for (name, address, _guard) in &faults {
            let name = format!("no list, discovery {name}");
            scope.spawn(move || start_without_usable_list(&name, *address, "null"));
        }
    });
}

#[test]
fn unusable_cached_list_is_ignored() {
    let unused_address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let unusable_lists = [
        ("no hosts", list(1, true, &[])),
        ("malformed list", r#"{"seq":"x","whole":1}"#.into()),
        ("string instead of a list", r#""hosts""#.into()),
        ("draining hosts", list(1, true, &[host("s-0", unused_address, "draining", 0)])),
        (
            "hosts without an address",
            r#"{"seq":1,"whole":true,"hosts":[{"host":"s-0","health":"up"}]}"#.into(),
        ),
    ];
    thread::scope(|scope| {
        for (name, cached_list) in &unusable_lists {
            scope.spawn(move || {
                let refusing = RefusingAddress::new();
                start_without_usable_list(name, refusing.address, cached_list)
            });
        }
    });
}

#[test]
fn recovered_discovery_is_used_by_proxy_without_list() {
    let backend = Backend::new(Reply::Write(ok("")));
    let refusing = RefusingAddress::new();
    let proxy = start_without_usable_list("discovery down for a while", refusing.address, "null");
    let started_at = Instant::now();
    let discovery = Discovery::on_listener(refusing.open());
    discovery.publish(&all_up(&[&backend]));
    wait_for("a served request", || {
        proxy.client().request(&page("r-2")).is_some_and(|response| response.status() == 200)
    });
    eprintln!("discovery recovered: served after {:?}", started_at.elapsed());
}
