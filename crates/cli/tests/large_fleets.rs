//! A fleet of 1,024 proxies and 1,024 backends in as many zones: nothing of it is cut off.
mod sockets;

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};

use leadrelay_core::names::hash_name;
use sockets::*;

/// Proxies, backends, zones, kinds and classes alike.
const MANY: usize = 1024;

/// The address of a proxy: one loopback address for each, all with one port.
fn peer(number: usize, port: u16) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    (Ipv4Addr::new(127, 94, high, low), port).into()
}

/// The first of the 16-bit names by which datagrams name a backend.
fn wire_name(host: &str) -> u16 {
    let id = hash_name(host);
    let mut x = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as u16
}

/// Backend number `n` of the list, in a zone and of a kind of its own.
fn backend(n: usize, zone: usize, dial: SocketAddr, health: &str) -> String {
    host(&format!("s-{n}"), dial, health, 0)
        .replace("\"site\":\"a\"", &format!("\"site\":\"z-{zone}\""))
        .replace("\"class\":\"k\"", &format!("\"class\":\"k-{n}\""))
}

/// A proxy's configuration, as proxy 0 of `MANY`.
fn fleet_config(discovery: &Discovery, port: u16, setup: &Setup) -> String {
    let peers: Vec<String> = (0..MANY).map(|n| format!("\"{}\"", peer(n, port))).collect();
    let own = format!(
        r#""peer_listen":"{}","peers":[{}],"peers_all":"{}","#,
        peer(0, port),
        peers.join(","),
        peer(1, port)
    );
    config(discovery.address, setup)
        .replace("\"known\":", &format!("{own}\"known\":"))
        .replace("\"mayTell\":false", "\"mayTell\":true")
        .replace("\"nInstances\":1", &format!("\"nInstances\":{MANY}"))
}

/// A port that is free on the addresses of the first and the last proxy.
fn free_port() -> u16 {
    UdpSocket::bind(peer(0, 0)).and_then(|socket| socket.local_addr()).expect("a port").port()
}

/// A list of `MANY` backends of which the last two take requests, both in the last zone.
fn full_list(up: [SocketAddr; 2]) -> String {
    let last = MANY - 1;
    let draining = (0..MANY - 2).map(|n| backend(n, n, up[0], "draining"));
    let up = [backend(last - 1, last, up[0], "up"), backend(last, last, up[1], "up")];
    list(1, true, &draining.chain(up).collect::<Vec<_>>())
}

#[test]
fn every_backend_is_listed_and_its_zone_told_from_all_others() {
    let (discovery, asked) = (Discovery::new(), AtomicUsize::new(0));
    let first_fails = move |_: &Message| match asked.fetch_add(1, Ordering::SeqCst) {
        0 => Deed::Write(empty("500 Broken")),
        _ => Deed::Write(ok("")),
    };
    let (failing, sound) = (Backend::with(first_fails), Backend::new(Deed::Write(ok(""))));
    discovery.say(&full_list([failing.address, sound.address]));
    let setup = Setup { admin: true, ..Setup::default() };
    let by_zone = config(discovery.address, &setup).replace("\"cell\"", "\"zone\"");
    let proxy = Proxy::start_with(&by_zone, &setup);
    wait_for("/up", || proxy.is_up());
    wait_for("all backends", || proxy.figure("/members") == MANY as u64);
    assert_eq!(proxy.figure("/members_unavailable"), MANY as u64 - 2, "all but two drain");
    // A keyed request that may have run is repeated only where its zone is known, and there alone.
    let booking = |n| submit(&format!("r-{n}"), "5", "x").replace("/submit", "/booking");
    for n in 0.. {
        let request = booking(n).replace("Content", &format!("Idempotency-Key: {n}\r\nContent"));
        assert_eq!(Client::new(&proxy).ask(&request).expect("an answer").status(), 200, "request {n}");
        if !failing.seen().is_empty() {
            break;
        }
    }
}

#[test]
fn the_last_peers_are_heard() {
    let (discovery, backend) = (Discovery::new(), Backend::new(Deed::Write(ok(""))));
    discovery.say(&full_list([backend.address; 2]));
    let (port, setup) = (free_port(), Setup { admin: true, ..Setup::default() });
    let proxy = Proxy::start_with(&fleet_config(&discovery, port, &setup), &setup);
    wait_for("all backends", || proxy.figure("/members") == MANY as u64);
    let unavailable = proxy.figure("/members_unavailable");
    assert_eq!(unavailable, MANY as u64 - 2, "all but two drain");
    // The last two proxies of the fleet hold the last backend for ill.
    let last = MANY - 1;
    let name = wire_name(&format!("s-{last}"));
    assert!((0..last).all(|n| wire_name(&format!("s-{n}")) != name), "no other backend has its name");
    let [low, high] = name.to_le_bytes();
    wait_for("the blame of the last two peers", || {
        tell(last - 1, port, &[1, 255, 1, low, high]);
        tell(last, port, &[1, 255, 1, low, high]);
        proxy.figure("/members_unavailable") == unavailable + 1
    });
    wait_for("its end", || proxy.figure("/members_unavailable") == unavailable);
}

#[test]
fn what_all_peers_tell_while_a_proxy_is_busy_is_heard() {
    let (discovery, backend) = (Discovery::new(), Backend::new(Deed::Write(ok(""))));
    discovery.say(&all_up(&[&backend]));
    let (port, setup) = (free_port(), Setup { admin: true, ..Setup::default() });
    let proxy = Proxy::start_with(&fleet_config(&discovery, port, &setup), &setup);
    wait_for("/up", || proxy.is_up());
    proxy.pause();
    (1..MANY).for_each(|number| tell(number, port, &[1, 255, 0]));
    proxy.go_on();
    let granted = std::fs::read_to_string("/proc/sys/net/core/rmem_max").expect("the system's limit");
    let granted: usize = granted.trim().parse().expect("a number");
    // The system grants twice what is asked for, up to its limit, and takes less than a KiB for so short a datagram.
    let held = (MANY - 1).min(2 * granted / 1024);
    wait_for("the count of what was heard", || heard(&proxy) >= held);
}

/// A datagram from one of the peers.
fn tell(number: usize, port: u16, bytes: &[u8]) {
    let socket = UdpSocket::bind(peer(number, port)).expect("the peer's address");
    socket.send_to(bytes, peer(0, port)).expect("a datagram");
}

/// Datagrams that a proxy has heard, by its log.
fn heard(proxy: &Proxy) -> usize {
    let log = proxy.log.lock().expect("no panic");
    let count = |part: &str| part.split_whitespace().next().and_then(|n| n.parse::<usize>().ok());
    log.split(" gossip_received=").skip(1).filter_map(count).sum()
}

#[test]
fn a_reload_takes_1024_classes() {
    let (discovery, backend) = (Discovery::new(), Backend::new(Deed::Write(ok(""))));
    discovery.say(&all_up(&[&backend]));
    let setup = Setup { admin: true, ..Setup::default() };
    let proxy = Proxy::up(&discovery, &setup);
    let class =
        |n| format!(r#"{{"name":"c-{n}","effect":"idempotent","promise":4000,"deadline":5000,"worth":1}},"#);
    let classes: String = (0..MANY).map(class).collect();
    let many = config(discovery.address, &setup).replace("\"classes\":[", &format!("\"classes\":[{classes}"));
    proxy.reload(&many);
    wait_for("the reload", || proxy.figure("/config_reloads") + proxy.figure("/config_reload_errors") == 1);
    let request = page("r-1").replace("/page", &format!("/c-{}", MANY - 1));
    assert_eq!(Client::new(&proxy).ask(&request).expect("an answer").status(), 200);
}
