//! What operators do with a running proxy, by its admin address and by signals.
mod sockets;

use std::io::{Read, Write};
use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sockets::*;

fn setup_with_admin() -> Setup {
    Setup { has_admin: true, ..Setup::default() }
}

#[test]
fn statistics_count_each_request_once() {
    let gate = Gate::default();
    let gate_copy = gate.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-held" => Reply::Delayed(gate_copy.clone(), ok("")),
        "r-bad" => Reply::Write(empty("500 Oops")),
        _ => Reply::Write(ok("")),
    });
    let discovery = Discovery::new();
    let proxy = Proxy::start(&discovery, &setup_with_admin());
    assert_eq!(proxy.admin_call("GET /healthcheck").status(), 503);
    discovery.publish(&all_up(&[&backend]));
    wait_for("/healthcheck", || proxy.admin_call("GET /healthcheck").status() == 200);
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    assert_eq!(status(proxy.client().request(&submit("r-bad", "5", "x"))), 502);
    let mut waiting = proxy.client();
    waiting.send(&page("r-held"));
    wait_for("a pending request", || proxy.stat("/pending") == 1);
    assert_eq!(proxy.stat("/completed/page"), 1);
    assert_eq!(proxy.stat("/failed/submit"), 1);
    assert_eq!(proxy.stat("/rejected/booking"), 0);
    wait_for("three attempts", || proxy.stat("/upstream_requests") == 3);
    wait_for("one backend", || proxy.stat("/members") == 1);
    gate.open();
    assert_eq!(status(waiting.response()), 200);
    wait_for("its end", || proxy.stat("/pending") == 0);
    assert_eq!(proxy.stat("/completed/page"), 2);
}

#[test]
fn request_without_backend_counts_as_rejected() {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    assert_eq!(status(proxy.client().request(&page("r-1"))), 503);
    assert_eq!(proxy.stat("/rejected/page"), 1);
    assert_eq!(proxy.stat("/pending"), 0);
}

#[test]
fn unfinished_admin_calls_are_closed_and_block_nobody() {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    let mut stalled: Vec<_> = (0..40).map(|_| proxy.admin_connection()).collect();
    stalled.iter_mut().for_each(|connection| connection.write_all(b"GET /sta").expect("it is there"));
    assert_eq!(proxy.admin_call("GET /stats").status(), 200);
    for mut connection in stalled {
        let mut answer = Vec::new();
        let _ = connection.read_to_end(&mut answer); // closed or reset, either is an end
        assert!(!answer.starts_with(b"HTTP/1.1 2"));
    }
}

#[test]
fn unknown_admin_calls_are_rejected() {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    for (call, expected) in
        [("GET /", 404), ("PUT /stats", 405), ("GET /healthcheck/fail", 405), ("PUT /backends/s-0/none", 404)]
    {
        assert_eq!(proxy.admin_call(call).status(), expected, "{call}");
    }
}

#[test]
fn drain_closes_client_connections_and_can_be_ended() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let mut proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    let mut used = proxy.client();
    let mut idle = proxy.client();
    assert_eq!(status(used.request(&page("r-1"))), 200);
    assert_eq!(status(idle.request(&page("r-2"))), 200);
    assert_eq!(proxy.admin_call("PUT /healthcheck/fail").status(), 200);
    assert!(!proxy.is_up());
    assert_eq!(proxy.admin_call("GET /healthcheck").status(), 200, "the process itself is healthy");
    // Who is connected is served once more, and new connections still are.
    let answer = used.request(&page("r-3")).expect("a response");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(used.is_closed());
    assert!(idle.is_closed(), "in the end");
    assert_eq!(proxy.client().request(&page("r-4")).expect("a response").header("connection"), Some("close"));
    assert_eq!(proxy.admin_call("PUT /healthcheck/ok").status(), 200);
    assert!(proxy.is_up());
    let answer = proxy.client().request(&page("r-5")).expect("a response");
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
    assert!(proxy.is_running());
}

#[test]
fn backend_in_maintenance_gets_nothing() {
    let one = Backend::new(Reply::Write(ok("one")));
    let two = Backend::new(Reply::Write(ok("two")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&one, &two]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    assert_eq!(proxy.admin_call("PUT /backends/s-9/maint").status(), 404, "never listed");
    assert_eq!(proxy.admin_call("PUT /backends/s-9/ready").status(), 404);
    assert_eq!(proxy.admin_call("PUT /backends/s-0/maint").status(), 200);
    let before = one.requests().len();
    let serving_backend =
        |id: usize| proxy.client().request(&page(&format!("r-{id}"))).expect("a response").text();
    (0..10).for_each(|id| assert_eq!(serving_backend(id), "two"));
    // Restarted elsewhere, as the list tells.
    discovery.publish(&list(2, false, &[host("s-0", one.address, "removed", 0)]));
    discovery.publish(&list(3, false, &[host("s-0", one.address, "up", 1)]));
    wait_for("two members again", || proxy.stat("/members") == 2);
    assert_eq!(proxy.stat("/members_unavailable"), 1);
    (10..20).for_each(|id| assert_eq!(serving_backend(id), "two"));
    assert_eq!(one.requests().len(), before);
    assert_eq!(proxy.admin_call("PUT /backends/s-0/ready").status(), 200);
    let mut id = 20;
    wait_for("its use", || {
        id += 1;
        serving_backend(id) == "one"
    });
    wait_for("two in use", || proxy.stat("/members_unavailable") == 0);
}

/// A platform that keeps a listening socket, with a folder of its own.
fn platform(name: &str) -> (Arc<TcpListener>, std::path::PathBuf) {
    let folder = std::env::temp_dir().join(format!("platform-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    (Arc::new(TcpListener::bind("127.0.0.1:0").expect("a port")), folder)
}

#[test]
fn upgrade_keeps_clients_maintenance_and_drain() {
    let one = Backend::new(Reply::Write(ok("one")));
    let two = Backend::new(Reply::Write(ok("two")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&one, &two]));
    let own = UdpSocket::bind("127.0.0.1:0").unwrap();
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    let gossip_enabled = Some((own.local_addr().unwrap(), other.local_addr().unwrap()));
    drop(own);
    let passed = platform("upgrade");
    let folder = passed.1.clone();
    let setup = Setup { passed_socket: Some(passed), gossip: gossip_enabled, ..setup_with_admin() };
    let mut old = Proxy::start_ready(&discovery, &setup);
    let mut client = old.client();
    assert_eq!(status(client.request(&page("r-0"))), 200);
    assert_eq!(old.admin_call("PUT /backends/s-0/maint").status(), 200);
    let before = one.requests().len();
    let mut new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.admin_call("GET /healthcheck").status() == 200);
    assert_eq!(old.admin_call("GET /healthcheck").status(), 200, "both serve");
    // What is set at one is in effect at the other.
    assert_eq!(new.admin_call("PUT /healthcheck/fail").status(), 200);
    wait_for("the drain at both", || (0..10).all(|_| !old.is_up()));
    assert_eq!(new.admin_call("PUT /healthcheck/ok").status(), 200);
    wait_for("its end at both", || (0..10).all(|_| old.is_up()));
    old.terminate();
    assert_eq!(status(client.request(&page("r-1"))), 200, "who is connected is answered");
    assert!(old.wait().success());
    for id in 2..20 {
        let answer = new.client().request(&page(&format!("r-{id}"))).expect("a response");
        assert_eq!(answer.text(), "two");
    }
    assert_eq!(one.requests().len(), before, "the maintenance outlives the process that was told");
    assert_eq!(new.admin_call("PUT /backends/s-0/ready").status(), 200);
    let mut id = 20;
    wait_for("its use", || {
        id += 1;
        new.client().request(&page(&format!("r-{id}"))).expect("a response").text() == "one"
    });
    assert!(new.is_running());
    std::fs::remove_dir_all(folder).expect("it is there");
}

/// A proxy with one of two backends in maintenance, and the folder that it shares with its successor.
struct MaintenanceUpgrade {
    backends: [Backend; 2],
    discovery: Discovery,
    setup: Setup,
    folder: std::path::PathBuf,
    old: Proxy,
}

impl MaintenanceUpgrade {
    fn new(name: &str) -> Self {
        let backends = ["one", "two"].map(|text| Backend::new(Reply::Write(ok(text))));
        let discovery = Discovery::new();
        discovery.publish(&all_up(&[&backends[0], &backends[1]]));
        let passed = platform(name);
        let folder = passed.1.clone();
        let setup = Setup { passed_socket: Some(passed), ..setup_with_admin() };
        let old = Proxy::start_ready(&discovery, &setup);
        assert_eq!(old.admin_call("PUT /backends/s-0/maint").status(), 200);
        MaintenanceUpgrade { backends, discovery, setup, folder, old }
    }

    /// A successor takes over; it sends nothing to the backend in maintenance.
    fn assert_maintenance_at_successor(mut self) {
        let new = Proxy::start(&self.discovery, &self.setup);
        wait_for("the new process", || new.admin_call("GET /healthcheck").status() == 200);
        self.old.terminate();
        assert!(self.old.wait().success());
        let before = self.backends[0].requests().len();
        for id in 0..20 {
            let answer = new.client().request(&page(&format!("r-{id}"))).expect("a response");
            assert_eq!(answer.text(), "two");
        }
        assert_eq!(self.backends[0].requests().len(), before);
        std::fs::remove_dir_all(&self.folder).expect("it is there");
    }
}

#[test]
fn maintenance_survives_upgrade_without_writable_file() {
    let upgrade = MaintenanceUpgrade::new("unwritable");
    // What is written before it replaces the file can't be, as on a full disk.
    std::fs::create_dir(upgrade.folder.join("leadrelay-n0.new")).expect("nothing has that name");
    upgrade.assert_maintenance_at_successor();
}

#[test]
fn maintenance_survives_unreadable_file() {
    let upgrade = MaintenanceUpgrade::new("unreadable");
    let file = upgrade.folder.join("leadrelay-n0.json");
    let aside = upgrade.folder.join("aside");
    std::fs::rename(&file, &aside).expect("it is there");
    std::os::unix::fs::symlink(&file, &file).expect("a link to itself, which can't be read");
    let unreadable = || file.symlink_metadata().expect("it is there").is_symlink();
    wait_for("a try to write", || {
        !unreadable() || upgrade.old.log_contains("the handover could not be written")
    });
    if unreadable() {
        std::fs::rename(&aside, &file).expect("it is there");
    }
    upgrade.assert_maintenance_at_successor();
}

#[test]
fn maintenance_survives_lost_file() {
    let upgrade = MaintenanceUpgrade::new("lost");
    let file = upgrade.folder.join("leadrelay-n0.json");
    std::fs::write(&file, "{\"version\":").expect("half of a file");
    wait_for("a new file", || std::fs::read_to_string(&file).is_ok_and(|text| text.contains("hosts")));
    upgrade.assert_maintenance_at_successor();
}

#[test]
fn killed_predecessor_shares_nothing() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let passed = platform("killed");
    let folder = passed.1.clone();
    let setup = Setup { passed_socket: Some(passed), ..setup_with_admin() };
    let old = Proxy::start_ready(&discovery, &setup);
    let new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.admin_call("GET /healthcheck").status() == 200);
    wait_for("the old process at the new one", || new.log_contains("twin=true"));
    drop(old); // by SIGKILL
    wait_for("its end at the new one", || new.log_contains("twin=false"));
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn maintenance_set_at_old_process_reaches_successor() {
    let one = Backend::new(Reply::Write(ok("one")));
    let two = Backend::new(Reply::Write(ok("two")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&one, &two]));
    let passed = platform("ban");
    let folder = passed.1.clone();
    let setup = Setup { passed_socket: Some(passed), ..setup_with_admin() };
    let old = Proxy::start_ready(&discovery, &setup);
    let new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.admin_call("GET /healthcheck").status() == 200);
    assert_eq!(old.admin_call("PUT /backends/s-1/maint").status(), 200);
    wait_for("the maintenance at the new one", || new.stat("/members_unavailable") == 1);
    assert_eq!(old.admin_call("PUT /backends/s-1/ready").status(), 200);
    wait_for("its end", || new.stat("/members_unavailable") == 0);
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn connection_after_sigterm_without_successor_is_served() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let passed = platform("alone");
    let folder = passed.1.clone();
    std::fs::write(folder.join("leadrelay-n0.json"), "{\"version\":").expect("a file");
    let mut proxy =
        Proxy::start_ready(&discovery, &Setup { passed_socket: Some(passed), ..setup_with_admin() });
    proxy.terminate();
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    assert!(proxy.wait().success());
    std::fs::remove_dir_all(folder).expect("it is there");
}

/// The class of this name in a configuration.
fn class(text: &str, name: &str) -> String {
    let start = text.find(&format!(r#"{{"name":"{name}""#)).expect("a class");
    text[start..=start + text[start..].find('}').expect("its end")].to_owned()
}

#[test]
fn reload_changes_classes_and_keeps_counts() {
    let gate = Gate::default();
    let gate_copy = gate.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-held" => Reply::Delayed(gate_copy.clone(), ok("held")),
        _ => Reply::Write(ok("")),
    });
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    assert_eq!(status(proxy.client().request(&submit("r-2", "5", "x"))), 200);
    let mut open = proxy.client();
    open.send(&page("r-held"));
    wait_for("an open request", || backend.requests().len() == 3);
    // The open one's class goes, another comes first, and one that was keyed is safe to repeat.
    let text = config(discovery.address, &setup_with_admin());
    let gone = class(&text, "page");
    let keyed = class(&text, "booking");
    let text =
        text.replace(&keyed, &gone.replace("page", "booking")).replace(&gone, &gone.replace("page", "fresh"));
    proxy.reload(&text);
    wait_for("the new file", || proxy.stat("/config_reloads") == 1);
    assert_eq!(status(proxy.client().request(&page("r-3"))), 404);
    for path in ["/fresh", "/booking"] {
        assert_eq!(status(proxy.client().request(&page("r-4").replace("/page", path))), 200, "{path}");
    }
    assert_eq!(status(proxy.client().request(&submit("r-5", "5", "x"))), 200);
    gate.open();
    assert_eq!(open.response().expect("a response").text(), "held");
    wait_for("its end", || proxy.stat("/completed/page") == 2);
    let counts = ["submit", "fresh", "booking"].map(|class| proxy.stat(&format!("/completed/{class}")));
    assert_eq!((counts, proxy.stat("/pending")), ([2, 1, 1], 0));
}

#[test]
fn reload_of_broken_file_changes_nothing() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let mut proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    let text =
        config(discovery.address, &setup_with_admin()).replace(r#""name":"page""#, r#""name":"other""#);
    let broken = [
        String::new(),
        text[..text.len() / 2].to_owned(),
        text.replace(r#""maxAttempts":6"#, r#""maxAttempts":0"#),
        text.replace(r#""deadline":5000"#, r#""deadline":-5000"#),
        text.replace(r#""rules""#, r#""rulers""#),
    ];
    for (number, text) in broken.iter().enumerate() {
        proxy.reload(text);
        wait_for("its refusal", || proxy.stat("/config_reload_errors") == number as u64 + 1);
        assert_eq!(status(proxy.client().request(&page(&format!("r-{number}")))), 200);
    }
    assert_eq!(proxy.stat("/config_reloads"), 0);
    assert!(proxy.is_running());
}

#[test]
fn missing_handover_folder_does_not_prevent_service() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let (listener, folder) = platform("none");
    std::fs::remove_dir_all(&folder).expect("it is there");
    let proxy = Proxy::start_ready(
        &discovery,
        &Setup { passed_socket: Some((listener, folder)), ..setup_with_admin() },
    );
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
}

/// Holds the handover's lock, as another process does that was stopped in the middle of a change.
fn locked(folder: &std::path::Path) -> std::fs::File {
    let lock = std::fs::File::create(folder.join("leadrelay-n0.lock")).expect("a file");
    lock.lock().expect("nobody else holds it for long");
    lock
}

/// The status of an admin call and the time until its response.
fn timed_call(proxy: &Proxy, call: &str) -> (u16, Duration) {
    let started_at = Instant::now();
    (proxy.admin_call(call).status(), started_at.elapsed())
}

#[test]
fn locked_handover_does_not_block_the_proxy() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let passed = platform("locked");
    let folder = passed.1.clone();
    let mut proxy = Proxy::start_ready(
        &discovery,
        &Setup { passed_socket: Some(passed), deadline_ms: 1000, ..setup_with_admin() },
    );
    let lock = locked(&folder);
    for call in ["PUT /backends/s-0/maint", "PUT /backends/s-0/ready", "PUT /healthcheck/fail"] {
        let (status, after) = timed_call(&proxy, call);
        eprintln!("{call}: {status} after {after:?}");
        assert_eq!(status, 404, "{call}");
        assert!(after < Duration::from_secs(1), "{call}: {after:?}");
    }
    // Longer than from one writing of the state to the next.
    let end = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < end {
        let started_at = Instant::now();
        assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
        assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
    }
    // A call waits for a lock that is released soon.
    let answer = std::thread::scope(|scope| {
        let call = scope.spawn(|| timed_call(&proxy, "PUT /healthcheck/ok"));
        std::thread::sleep(Duration::from_millis(100));
        drop(lock);
        call.join().expect("no panic")
    });
    assert_eq!(answer.0, 200, "{answer:?}");
    assert_eq!(timed_call(&proxy, "PUT /backends/s-0/maint").0, 200);
    let left = std::fs::read_to_string(folder.join("leadrelay-n0.json")).expect("a file");
    assert!(left.contains(r#""drained":false"#) && !left.contains(r#""bans":[]"#), "{left}");
    let lock = locked(&folder);
    let started_at = Instant::now();
    proxy.terminate();
    assert!(proxy.wait().success());
    eprintln!("SIGTERM: the end after {:?}", started_at.elapsed());
    assert!(started_at.elapsed() < Duration::from_millis(1700), "{:?}", started_at.elapsed());
    drop(lock);
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn process_starts_while_handover_is_locked() {
    let backend = Backend::new(Reply::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let passed = platform("start");
    let folder = passed.1.clone();
    let lock = locked(&folder);
    let started_at = Instant::now();
    let lock = Arc::new(std::sync::Mutex::new(Some(lock)));
    let released = lock.clone();
    // Released in the end, so that a process that waits for it is found to be late.
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(10));
        released.lock().expect("no panic").take();
    });
    let proxy = Proxy::start_ready(&discovery, &Setup { passed_socket: Some(passed), ..setup_with_admin() });
    assert!(started_at.elapsed() < Duration::from_secs(5), "{:?}", started_at.elapsed());
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    // What could not be written at the start is written once it can be.
    let file = folder.join("leadrelay-n0.json");
    assert!(!file.exists());
    lock.lock().expect("no panic").take();
    wait_for("the state file", || {
        std::fs::read_to_string(&file).is_ok_and(|text| text.contains(r#""stage":"Serving""#))
    });
    std::fs::remove_dir_all(folder).expect("it is there");
}
