//! The file descriptors of a proxy: never more than its limit, and always some for its own needs.
mod sockets;

use std::time::{Duration, Instant};

use sockets::*;

/// A client that has sent one request and stays idle.
fn idle_client(proxy: &Proxy) -> Client {
    let mut client = proxy.client();
    client.send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    client
}

/// Many names for one backend, so that its slots limit nothing.
fn list_with_many_names(backend: &Backend) -> String {
    let hosts: Vec<String> =
        (0..40).map(|number| host(&format!("s-{number}"), backend.address, "up", 0)).collect();
    list(1, true, &hosts)
}

#[test]
fn clients_and_upstreams_share_the_descriptor_limit() {
    let latch = Latch::default();
    let backend = Backend::new(Reply::Delayed(latch.clone(), ok("")));
    let discovery = Discovery::new();
    discovery.publish(&list_with_many_names(&backend));
    let limit = 256;
    let proxy = Proxy::start_ready(
        &discovery,
        &Setup { max_descriptors: limit, deadline_ms: 20_000, ..Setup::default() },
    );
    let mut clients: Vec<Client> = (0..limit).map(|_| idle_client(&proxy)).collect();
    clients.iter_mut().take(100).for_each(|client| drop(client.response()));
    let mut max_seen = proxy.descriptor_count();
    for (number, client) in clients.iter_mut().take(100).enumerate() {
        client.send(&page(&format!("r-{number}")).replace("X-Timeout: 5", "X-Timeout: 20"));
    }
    // Of connections to backends there are as many as are ever let in.
    wait_for("connections to backends", || {
        max_seen = max_seen.max(proxy.descriptor_count());
        backend.accepted() >= 50
    });
    let end = Instant::now() + Duration::from_millis(300);
    while Instant::now() < end {
        max_seen = max_seen.max(proxy.descriptor_count());
    }
    latch.open();
    eprintln!("descriptors: {max_seen} of {limit}");
    assert!(max_seen <= limit, "{max_seen} of {limit}");
}

#[test]
fn idle_clients_leave_descriptors_for_the_proxy() {
    let backend = Backend::new(Reply::Write(ok("")));
    let limit = 96;
    // What the system allows is no more than what the configuration names.
    let setup = Setup {
        max_descriptors: limit,
        descriptor_limit: Some(limit as u32),
        has_admin: true,
        ..Setup::default()
    };
    let closed = RefusingAddress::new();
    let address = closed.address;
    let mut proxy = Proxy::start_with_discovery_at(address, &setup);
    let mut max_seen = 0;
    let idle: Vec<Client> = (0..300)
        .map(|_| {
            max_seen = max_seen.max(proxy.descriptor_count());
            idle_client(&proxy)
        })
        .collect();
    let opened_at = Instant::now();
    let discovery = Discovery::on_listener(closed.open());
    discovery.publish(&all_up(&[&backend]));
    wait_for("a call to discovery", || {
        max_seen = max_seen.max(proxy.descriptor_count());
        !discovery.requests.lock().expect("no panic").is_empty()
    });
    let called = opened_at.elapsed();
    // A new connection may be shut unread meanwhile.
    wait_for("service", || {
        max_seen = max_seen.max(proxy.descriptor_count());
        proxy.client().request(&page("r-1")).is_some_and(|response| response.status() == 200)
    });
    let served = opened_at.elapsed();
    proxy.reload(&config(address, &setup));
    wait_for("the file", || proxy.stat("/config_reloads") == 1);
    eprintln!("called after {called:?}, served after {served:?}; descriptors: {max_seen} of {limit}");
    assert!(!proxy.log_contains("os error 24"), "something went without a descriptor");
    assert!(max_seen <= limit, "{max_seen} of {limit}");
    proxy.terminate();
    assert!(proxy.wait().success());
    drop(idle);
}
