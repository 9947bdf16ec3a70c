//! The descriptors of a proxy: never more than it is given, whoever comes, and always some for what it needs itself.
mod sockets;

use std::time::{Duration, Instant};

use sockets::*;

/// A client that has asked once and rests.
fn resting(proxy: &Proxy) -> Client {
    let mut client = Client::new(proxy);
    client.send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    client
}

/// Many names for one backend, so that its slots bound nothing.
fn many(backend: &Backend) -> String {
    let hosts: Vec<String> = (0..40).map(|n| host(&format!("s-{n}"), backend.address, "up", 0)).collect();
    list(1, true, &hosts)
}

#[test]
fn clients_and_backends_together_keep_to_the_limit() {
    let gate = Gate::default();
    let backend = Backend::new(Deed::Hold(gate.clone(), ok("")));
    let discovery = Discovery::new();
    discovery.say(&many(&backend));
    let sockets = 256;
    let proxy = Proxy::up(&discovery, &Setup { sockets, deadline: 20_000, ..Setup::default() });
    let mut clients: Vec<Client> = (0..sockets).map(|_| resting(&proxy)).collect();
    clients.iter_mut().take(100).for_each(|client| drop(client.answer()));
    let mut most = proxy.descriptors();
    for (n, client) in clients.iter_mut().take(100).enumerate() {
        client.send(&page(&format!("r-{n}")).replace("X-Timeout: 5", "X-Timeout: 20"));
    }
    // Of connections to backends there are as many as are ever let in.
    wait_for("connections to backends", || {
        most = most.max(proxy.descriptors());
        backend.came.load(std::sync::atomic::Ordering::SeqCst) >= 50
    });
    let end = Instant::now() + Duration::from_millis(300);
    while Instant::now() < end {
        most = most.max(proxy.descriptors());
    }
    gate.open();
    eprintln!("descriptors: {most} of {sockets}");
    assert!(most <= sockets, "{most} of {sockets}");
}

#[test]
fn idle_clients_leave_room_for_discovery_backends_and_signals() {
    let backend = Backend::new(Deed::Write(ok("")));
    let sockets = 96;
    // What the system allows is no more than what the configuration names.
    let setup = Setup { sockets, descriptors: Some(sockets as u32), admin: true, ..Setup::default() };
    let closed = Closed::new();
    let address = closed.address;
    let mut proxy = Proxy::start_by(address, &setup);
    let mut most = 0;
    let idle: Vec<Client> = (0..300)
        .map(|_| {
            most = most.max(proxy.descriptors());
            resting(&proxy)
        })
        .collect();
    let begun = Instant::now();
    let discovery = Discovery::on(closed.open());
    discovery.say(&all_up(&[&backend]));
    wait_for("a call to discovery", || {
        most = most.max(proxy.descriptors());
        !discovery.asked.lock().expect("no panic").is_empty()
    });
    let called = begun.elapsed();
    // A new connection may be shut unread meanwhile.
    wait_for("service", || {
        most = most.max(proxy.descriptors());
        Client::new(&proxy).ask(&page("r-1")).is_some_and(|m| m.status() == 200)
    });
    let served = begun.elapsed();
    proxy.reload(&config(address, &setup));
    wait_for("the file", || proxy.figure("/config_reloads") == 1);
    eprintln!("called after {called:?}, served after {served:?}; descriptors: {most} of {sockets}");
    assert!(!proxy.said("os error 24"), "something went without a descriptor");
    assert!(most <= sockets, "{most} of {sockets}");
    proxy.terminate();
    assert!(proxy.wait().success());
    drop(idle);
}
