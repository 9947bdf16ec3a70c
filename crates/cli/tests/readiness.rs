//! How soon a proxy is ready, whatever discovery does meanwhile.
mod sockets;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

/// Discovery that does something with each call, one after another.
fn discovery(does: impl Fn(TcpStream) + Send + Sync + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let does = does.clone();
            thread::spawn(move || does(stream.expect("a connection")));
        }
    });
    address
}

/// Accepts and says nothing, for as long as the caller stays.
fn silent() -> SocketAddr {
    discovery(|stream| {
        let mut reader = BufReader::new(stream);
        while read_message(&mut reader).is_some() {}
    })
}

fn overloaded() -> SocketAddr {
    discovery(|stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let mut stream = stream;
        while read_message(&mut reader).is_some() && stream.write_all(empty("503 Busy").as_bytes()).is_ok() {}
    })
}

/// Tells a whole list, a byte a second.
fn drip() -> SocketAddr {
    discovery(|stream| {
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

/// All faults of discovery, by name.
fn discovery_faults() -> Vec<(&'static str, SocketAddr, Box<dyn Send>)> {
    // Connections to it don't come up.
    let full = full_listener();
    let hangs = full.0.local_addr().expect("an address");
    let closed = RefusingAddress::new();
    vec![
        (DOWN, closed.address, Box::new(closed)),
        ("hangs", hangs, Box::new(full)),
        ("silent", silent(), Box::new(())),
        ("overbooked", overloaded(), Box::new(())),
        ("drip", drip(), Box::new(())),
    ]
}

/// The time from the moment at which a proxy listens until it says that it can serve.
fn time_until_ready(proxy: &Proxy) -> Duration {
    let started_at = Instant::now();
    wait_for("/up", || proxy.is_up());
    started_at.elapsed()
}

/// Nobody listens there, so it can't have published anything.
const DOWN: &str = "down";

/// Sooner than any proxy without a list, whatever the machine's load; it takes half a second by itself.
const CACHED_LIST_LIMIT: Duration = Duration::from_secs(4);

#[test]
fn ready_with_cached_list_without_discovery() {
    let backend = Backend::new(Reply::Write(ok("")));
    let all: Vec<_> = discovery_faults();
    for (name, address, _guard) in &all {
        let proxy = Proxy::start_with_discovery_at(
            *address,
            &Setup { cached_list: all_up(&[&backend]), ..Setup::default() },
        );
        let after = time_until_ready(&proxy);
        eprintln!("remembered list, discovery {name}: ready after {after:?}");
        assert!(after < CACHED_LIST_LIMIT, "{name}: {after:?}");
        // Where lists are pushed all that an agent has counts as known from the first moment on, and the settings' grace
        // is over by now. Only an agent that is down has nothing.
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
    let all: Vec<_> = discovery_faults();
    for (name, address, _guard) in &all {
        let text = config(*address, &setup).replace(r#""discovery":"pushed""#, r#""discovery":"on_request""#);
        let proxy = Proxy::start_with_config(&text, &setup);
        let after = time_until_ready(&proxy);
        assert!(after < CACHED_LIST_LIMIT, "{name}: {after:?}");
        assert_eq!(proxy.client().request(&page("r-1")).expect("a response").status(), 200, "{name}");
    }
}

/// Starts a proxy that remembers nothing of use, and checks that it says in time that it can serve, then refuses.
fn serves_without_a_list(name: &str, discovery: SocketAddr, known: &str) -> Proxy {
    let proxy =
        Proxy::start_with_discovery_at(discovery, &Setup { cached_list: known.into(), ..Setup::default() });
    assert!(!proxy.is_up(), "{name}: who comes to another proxy may be served there");
    let after = time_until_ready(&proxy);
    eprintln!("{name}: ready after {after:?}");
    assert!(after < Duration::from_secs(6), "{name}: {after:?}");
    let response = proxy.client().request(&page("r-1")).expect("a response");
    assert_eq!(response.status(), 503, "{name}");
    assert!(response.header("retry-after").is_some(), "{name}: {response:?}");
    proxy
}

#[test]
fn proxy_without_list_rejects_after_some_seconds() {
    let all = discovery_faults();
    thread::scope(|scope| {
        for (name, address, _guard) in &all {
            let name = format!("no list, discovery {name}");
            scope.spawn(move || serves_without_a_list(&name, *address, "null"));
        }
    });
}

#[test]
fn unusable_cached_list_is_ignored() {
    let nobody: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let useless = [
        ("no hosts", list(1, true, &[])),
        ("a broken one", r#"{"seq":"x","whole":1}"#.into()),
        ("a text", r#""hosts""#.into()),
        ("hosts that drain", list(1, true, &[host("s-0", nobody, "draining", 0)])),
        (
            "hosts without an address",
            r#"{"seq":1,"whole":true,"hosts":[{"host":"s-0","health":"up"}]}"#.into(),
        ),
    ];
    thread::scope(|scope| {
        for (name, known) in &useless {
            scope.spawn(move || {
                let closed = RefusingAddress::new();
                serves_without_a_list(name, closed.address, known)
            });
        }
    });
}

#[test]
fn recovered_discovery_is_used_by_proxy_without_list() {
    let backend = Backend::new(Reply::Write(ok("")));
    let closed = RefusingAddress::new();
    let proxy = serves_without_a_list("discovery down for a while", closed.address, "null");
    let started_at = Instant::now();
    let discovery = Discovery::on_listener(closed.open());
    discovery.publish(&all_up(&[&backend]));
    wait_for("service", || {
        proxy.client().request(&page("r-2")).is_some_and(|response| response.status() == 200)
    });
    eprintln!("discovery back: served after {:?}", started_at.elapsed());
}
