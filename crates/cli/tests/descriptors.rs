//! File descriptors of a proxy: it never exceeds its limit, and keeps some for its own needs, such as discovery and
//! files.
mod sockets;

use std::time::{Duration, Instant};

use sockets::*;

/// Connects a client that sends one request and then stays idle.
fn idle_client(proxy: &Proxy) -> Client {
    let mut client = proxy.client();
    client.send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    client
}

/// Returns a list that names one backend 40 times, so that the slots per name don't limit the connections to it.
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
    // Waits for the highest number of connections to backends that the proxy opens at this limit.
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
    // The operating system allows no more descriptors than the configured limit.
    let setup = Setup {
        max_descriptors: limit,
        descriptor_limit: Some(limit as u32),
        has_admin: true,
        ..Setup::default()
    };
    let discovery_address = RefusingAddress::new();
    let address = discovery_address.address;
    let mut proxy = Proxy::start_with_discovery_at(address, &setup);
    let mut max_seen = 0;
    let idle: Vec<Client> = (0..300)
        .map(|_| {
            max_seen = max_seen.max(proxy.descriptor_count());
            idle_client(&proxy)
        })
        .collect();
    let opened_at = Instant::now();
    let discovery = Discovery::on_listener(discovery_address.open());
    discovery.publish(&all_up(&[&backend]));
    wait_for("a call to discovery", || {
        max_seen = max_seen.max(proxy.descriptor_count());
        !discovery.requests.lock().expect("no thread has panicked").is_empty()
    });
    let called_after = opened_at.elapsed();
    // Until then the proxy may close a new connection without reading from it.
    wait_for("a request to be served", || {
        max_seen = max_seen.max(proxy.descriptor_count());
        proxy.client().request(&page("r-1")).is_some_and(|response| response.status() == 200)
    });
    let served_after = opened_at.elapsed();
    proxy.reload(&config(address, &setup));
    wait_for("the configuration to be reloaded", || proxy.stat("/config_reloads") == 1);
    eprintln!(
        "called after {called_after:?}, served after {served_after:?}; descriptors: {max_seen} of {limit}"
    );
    assert!(!proxy.log_contains("os error 24"), "no operation failed for lack of a descriptor");
    assert!(max_seen <= limit, "{max_seen} of {limit}");
    proxy.terminate();
    assert!(proxy.wait().success());
    drop(idle);
}
