//! A fleet of 1,024 proxies and 1,024 backends in as many zones.
mod sockets;

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};

use leadrelay_core::names::hash_name;
use sockets::*;

/// The number of proxies, backends, zones, machine classes and request classes.
const FLEET_SIZE: usize = 1024;

/// The gossip address of a proxy: each proxy has its own loopback address, and all use the same port.
fn peer(number: usize, port: u16) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    (Ipv4Addr::new(127, 94, high, low), port).into()
}

/// The 16-bit name that stands for a backend in gossip datagrams, unless another backend has the same one.
fn gossip_name(host: &str) -> u16 {
    let id = hash_name(host);
    let mut x = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as u16
}

/// The entry of backend `number` in the endpoint list, in the given zone and of a machine class that no other backend
/// has.
fn backend(number: usize, zone: usize, address: SocketAddr, health: &str) -> String {
    host(&format!("s-{number}"), address, health, 0)
        .replace("\"site\":\"a\"", &format!("\"site\":\"z-{zone}\""))
        .replace("\"class\":\"k\"", &format!("\"class\":\"k-{number}\""))
}

/// The configuration of proxy 0 in a fleet of `FLEET_SIZE` proxies.
fn fleet_config(discovery: &Discovery, port: u16, setup: &Setup) -> String {
    let peers: Vec<String> = (0..FLEET_SIZE).map(|number| format!("\"{}\"", peer(number, port))).collect();
    let peer_settings = format!(
        r#""peer_listen":"{}","peers":[{}],"peers_all":"{}","#,
        peer(0, port),
        peers.join(","),
        peer(1, port)
    );
    config(discovery.address, setup)
        .replace("\"known\":", &format!("{peer_settings}\"known\":"))
        .replace("\"mayTell\":false", "\"mayTell\":true")
        .replace("\"nInstances\":1", &format!("\"nInstances\":{FLEET_SIZE}"))
}

/// A UDP port that is free at the gossip address of proxy 0.
fn free_port() -> u16 {
    UdpSocket::bind(peer(0, 0)).and_then(|socket| socket.local_addr()).expect("a port").port()
}

/// An endpoint list of `FLEET_SIZE` backends. All are draining except for the last two, which are both in the last
/// zone.
fn full_list(up_addresses: [SocketAddr; 2]) -> String {
    let last = FLEET_SIZE - 1;
    let draining = (0..FLEET_SIZE - 2).map(|number| backend(number, number, up_addresses[0], "draining"));
    let up = [backend(last - 1, last, up_addresses[0], "up"), backend(last, last, up_addresses[1], "up")];
    list(1, true, &draining.chain(up).collect::<Vec<_>>())
}

#[test]
fn all_backends_and_zones_of_a_large_list_are_distinct() {
    let discovery = Discovery::new();
    let request_count = AtomicUsize::new(0);
    let first_fails = move |_: &Message| match request_count.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Write(empty("500 Broken")),
        _ => Reply::Write(ok("")),
    };
    let failing = Backend::with_handler(first_fails);
    let healthy = Backend::new(Reply::Write(ok("")));
    discovery.publish(&full_list([failing.address, healthy.address]));
    let setup = Setup { has_admin: true, ..Setup::default() };
    let zone_scope_config = config(discovery.address, &setup).replace("\"cell\"", "\"zone\"");
    let proxy = Proxy::start_with_config(&zone_scope_config, &setup);
    wait_for("/up", || proxy.is_up());
    wait_for("all backends", || proxy.stat("/members") == FLEET_SIZE as u64);
    assert_eq!(proxy.stat("/members_unavailable"), FLEET_SIZE as u64 - 2, "all but two are draining");
    // The deduplication scope is the zone: a request with an idempotency key that may have run is retried only in the
    // zone of its first attempt. So the retry after the 500 succeeds only if the proxy knows the zones of both
    // backends.
    let booking = |number| submit(&format!("r-{number}"), "5", "x").replace("/submit", "/booking");
    for number in 0.. {
        let request = booking(number).replace("Content", &format!("Idempotency-Key: {number}\r\nContent"));
        assert_eq!(proxy.client().request(&request).expect("a response").status(), 200, "request {number}");
        if !failing.requests().is_empty() {
            break;
        }
    }
}

#[test]
fn gossip_of_the_last_peers_is_received() {
    let discovery = Discovery::new();
    let backend = Backend::new(Reply::Write(ok("")));
    discovery.publish(&full_list([backend.address; 2]));
    let port = free_port();
    let setup = Setup { has_admin: true, ..Setup::default() };
    let proxy = Proxy::start_with_config(&fleet_config(&discovery, port, &setup), &setup);
    wait_for("all backends", || proxy.stat("/members") == FLEET_SIZE as u64);
    let unavailable = proxy.stat("/members_unavailable");
    assert_eq!(unavailable, FLEET_SIZE as u64 - 2, "all but two are draining");
    // The last two proxies of the fleet report the last backend as an outlier.
    let last = FLEET_SIZE - 1;
    let last_name = gossip_name(&format!("s-{last}"));
    assert!(
        (0..last).all(|number| gossip_name(&format!("s-{number}")) != last_name),
        "no other backend has the same 16-bit name"
    );
    let [low, high] = last_name.to_le_bytes();
    wait_for("the outlier reports of the last two peers", || {
        send_gossip(last - 1, port, &[1, 255, 1, low, high]);
        send_gossip(last, port, &[1, 255, 1, low, high]);
        proxy.stat("/members_unavailable") == unavailable + 1
    });
    wait_for("the expiry of the outlier reports", || proxy.stat("/members_unavailable") == unavailable);
}

/// Guards against the loss of datagrams that all peers send while the proxy is stopped: its socket has to queue them.
#[test]
fn gossip_sent_during_a_pause_is_received() {
    let discovery = Discovery::new();
    let backend = Backend::new(Reply::Write(ok("")));
    discovery.publish(&all_up(&[&backend]));
    let port = free_port();
    let setup = Setup { has_admin: true, ..Setup::default() };
    let proxy = Proxy::start_with_config(&fleet_config(&discovery, port, &setup), &setup);
    wait_for("/up", || proxy.is_up());
    proxy.pause();
    (1..FLEET_SIZE).for_each(|number| send_gossip(number, port, &[1, 255, 0]));
    proxy.resume();
    let rmem_max =
        std::fs::read_to_string("/proc/sys/net/core/rmem_max").expect("the operating system's limit");
    let rmem_max: usize = rmem_max.trim().parse().expect("a number");
    // Linux allocates twice the requested receive buffer, where the request is limited to `rmem_max`, and a datagram of
    // three bytes takes less than a KiB of it.
    let queued = (FLEET_SIZE - 1).min(2 * rmem_max / 1024);
    wait_for("the received datagrams in the log", || received_datagrams(&proxy) >= queued);
}

/// Sends a datagram to proxy 0 from the address of proxy `number`.
fn send_gossip(number: usize, port: u16, bytes: &[u8]) {
    let socket = UdpSocket::bind(peer(number, port)).expect("the peer's address");
    socket.send_to(bytes, peer(0, port)).expect("a datagram");
}

/// The number of gossip datagrams that a proxy has received, according to its log.
fn received_datagrams(proxy: &Proxy) -> usize {
    let log = proxy.log.lock().expect("no panic");
    let count = |part: &str| part.split_whitespace().next().and_then(|number| number.parse::<usize>().ok());
    log.split(" gossip_received=").skip(1).filter_map(count).sum()
}

#[test]
fn reload_accepts_1024_classes() {
    let discovery = Discovery::new();
    let backend = Backend::new(Reply::Write(ok("")));
    discovery.publish(&all_up(&[&backend]));
    let setup = Setup { has_admin: true, ..Setup::default() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    let class = |number| {
        format!(r#"{{"name":"c-{number}","effect":"idempotent","promise":4000,"deadline":5000,"worth":1}},"#)
    };
    let classes: String = (0..FLEET_SIZE).map(class).collect();
    let config_with_classes =
        config(discovery.address, &setup).replace("\"classes\":[", &format!("\"classes\":[{classes}"));
    proxy.reload(&config_with_classes);
    wait_for("the reload", || proxy.stat("/config_reloads") + proxy.stat("/config_reload_errors") == 1);
    let request = page("r-1").replace("/page", &format!("/c-{}", FLEET_SIZE - 1));
    assert_eq!(proxy.client().request(&request).expect("a response").status(), 200);
}
