//! What operators do with a running proxy, through its second address and its signals.
mod sockets;

use std::io::{Read, Write};
use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sockets::*;

fn operated() -> Setup {
    Setup { admin: true, ..Setup::default() }
}

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

#[test]
fn figures_count_each_request_once_at_its_end() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-held" => Deed::Hold(held.clone(), ok("")),
        "r-bad" => Deed::Write(empty("500 Oops")),
        _ => Deed::Write(ok("")),
    });
    let discovery = Discovery::new();
    let proxy = Proxy::start(&discovery, &operated());
    assert_eq!(proxy.call("GET /healthcheck").status(), 503);
    discovery.say(&all_up(&[&backend]));
    wait_for("/healthcheck", || proxy.call("GET /healthcheck").status() == 200);
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    assert_eq!(status(Client::new(&proxy).ask(&submit("r-bad", "5", "x"))), 502);
    let mut waits = Client::new(&proxy);
    waits.send(&page("r-held"));
    wait_for("a pending request", || proxy.figure("/pending") == 1);
    assert_eq!(proxy.figure("/completed/page"), 1);
    assert_eq!(proxy.figure("/failed/submit"), 1);
    assert_eq!(proxy.figure("/rejected/booking"), 0);
    wait_for("three attempts", || proxy.figure("/upstream_requests") == 3);
    wait_for("one backend", || proxy.figure("/members") == 1);
    gate.open();
    assert_eq!(status(waits.answer()), 200);
    wait_for("its end", || proxy.figure("/pending") == 0);
    assert_eq!(proxy.figure("/completed/page"), 2);
}

#[test]
fn a_request_refused_for_want_of_a_backend_counts_as_rejected() {
    let discovery = Discovery::new();
    discovery.say(&list(1, true, &[]));
    let proxy = Proxy::up(&discovery, &operated());
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 503);
    assert_eq!(proxy.figure("/rejected/page"), 1);
    assert_eq!(proxy.figure("/pending"), 0);
}

#[test]
fn callers_that_finish_no_call_delay_nobody_and_are_closed() {
    let discovery = Discovery::new();
    discovery.say(&list(1, true, &[]));
    let proxy = Proxy::up(&discovery, &operated());
    let mut stalled: Vec<_> = (0..40).map(|_| proxy.caller()).collect();
    stalled.iter_mut().for_each(|s| s.write_all(b"GET /sta").expect("it is there"));
    assert_eq!(proxy.call("GET /stats").status(), 200);
    for mut caller in stalled {
        let mut answer = Vec::new();
        let _ = caller.read_to_end(&mut answer); // closed or reset, either is an end
        assert!(!answer.starts_with(b"HTTP/1.1 2"));
    }
}

#[test]
fn what_is_no_call_is_turned_down() {
    let discovery = Discovery::new();
    discovery.say(&list(1, true, &[]));
    let proxy = Proxy::up(&discovery, &operated());
    for (call, wanted) in
        [("GET /", 404), ("PUT /stats", 405), ("GET /healthcheck/fail", 405), ("PUT /backends/s-0/none", 404)]
    {
        assert_eq!(proxy.call(call).status(), wanted, "{call}");
    }
}

#[test]
fn a_drained_proxy_sends_its_clients_away_and_comes_back() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let mut proxy = Proxy::up(&discovery, &operated());
    let (mut used, mut idle) = (Client::new(&proxy), Client::new(&proxy));
    assert_eq!(status(used.ask(&page("r-1"))), 200);
    assert_eq!(status(idle.ask(&page("r-2"))), 200);
    assert_eq!(proxy.call("PUT /healthcheck/fail").status(), 200);
    assert!(!proxy.is_up());
    assert_eq!(proxy.call("GET /healthcheck").status(), 200, "the process itself is well");
    // Who is connected is served once more, and new connections still are.
    let answer = used.ask(&page("r-3")).expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(used.is_closed());
    assert!(idle.is_closed(), "in the end");
    assert_eq!(Client::new(&proxy).ask(&page("r-4")).expect("an answer").header("connection"), Some("close"));
    assert_eq!(proxy.call("PUT /healthcheck/ok").status(), 200);
    assert!(proxy.is_up());
    let answer = Client::new(&proxy).ask(&page("r-5")).expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
    assert!(proxy.runs());
}

#[test]
fn a_backend_in_maintenance_gets_nothing_whatever_the_list_says() {
    let (one, two) = (Backend::new(Deed::Write(ok("one"))), Backend::new(Deed::Write(ok("two"))));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&one, &two]));
    let proxy = Proxy::up(&discovery, &operated());
    assert_eq!(proxy.call("PUT /backends/s-9/maint").status(), 404, "never listed");
    assert_eq!(proxy.call("PUT /backends/s-9/ready").status(), 404);
    assert_eq!(proxy.call("PUT /backends/s-0/maint").status(), 200);
    let before = one.seen().len();
    let ask = |id: usize| Client::new(&proxy).ask(&page(&format!("r-{id}"))).expect("an answer").text();
    (0..10).for_each(|id| assert_eq!(ask(id), "two"));
    // Restarted elsewhere, as the list tells.
    discovery.say(&list(2, false, &[host("s-0", one.address, "removed", 0)]));
    discovery.say(&list(3, false, &[host("s-0", one.address, "up", 1)]));
    wait_for("two members again", || proxy.figure("/members") == 2);
    assert_eq!(proxy.figure("/members_unavailable"), 1);
    (10..20).for_each(|id| assert_eq!(ask(id), "two"));
    assert_eq!(one.seen().len(), before);
    assert_eq!(proxy.call("PUT /backends/s-0/ready").status(), 200);
    let mut id = 20;
    wait_for("its use", || {
        id += 1;
        ask(id) == "one"
    });
    wait_for("two in use", || proxy.figure("/members_unavailable") == 0);
}

/// A platform that keeps a listening socket, with a folder of its own.
fn platform(name: &str) -> (Arc<TcpListener>, std::path::PathBuf) {
    let folder = std::env::temp_dir().join(format!("platform-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    (Arc::new(TcpListener::bind("127.0.0.1:0").expect("a port")), folder)
}

#[test]
fn an_upgrade_keeps_clients_bans_and_the_drain() {
    let (one, two) = (Backend::new(Deed::Write(ok("one"))), Backend::new(Deed::Write(ok("two"))));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&one, &two]));
    let (own, other) = (UdpSocket::bind("127.0.0.1:0").unwrap(), UdpSocket::bind("127.0.0.1:0").unwrap());
    let gossip_enabled = Some((own.local_addr().unwrap(), other.local_addr().unwrap()));
    drop(own);
    let passed = platform("upgrade");
    let folder = passed.1.clone();
    let setup = Setup { passed: Some(passed), gossip_enabled, ..operated() };
    let mut old = Proxy::up(&discovery, &setup);
    let mut client = Client::new(&old);
    assert_eq!(status(client.ask(&page("r-0"))), 200);
    assert_eq!(old.call("PUT /backends/s-0/maint").status(), 200);
    let before = one.seen().len();
    let mut new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.call("GET /healthcheck").status() == 200);
    assert_eq!(old.call("GET /healthcheck").status(), 200, "both serve");
    // What one is told holds at the other.
    assert_eq!(new.call("PUT /healthcheck/fail").status(), 200);
    wait_for("the drain at both", || (0..10).all(|_| !old.is_up()));
    assert_eq!(new.call("PUT /healthcheck/ok").status(), 200);
    wait_for("its end at both", || (0..10).all(|_| old.is_up()));
    old.terminate();
    assert_eq!(status(client.ask(&page("r-1"))), 200, "who is connected is answered");
    assert!(old.wait().success());
    for id in 2..20 {
        let answer = Client::new(&new).ask(&page(&format!("r-{id}"))).expect("an answer");
        assert_eq!(answer.text(), "two");
    }
    assert_eq!(one.seen().len(), before, "the ban outlives the process that was told");
    assert_eq!(new.call("PUT /backends/s-0/ready").status(), 200);
    let mut id = 20;
    wait_for("its use", || {
        id += 1;
        Client::new(&new).ask(&page(&format!("r-{id}"))).expect("an answer").text() == "one"
    });
    assert!(new.runs());
    std::fs::remove_dir_all(folder).expect("it is there");
}

/// A proxy that has been told to leave one of two backends alone, and the folder that its processes share.
struct Banned {
    backends: [Backend; 2],
    discovery: Discovery,
    setup: Setup,
    folder: std::path::PathBuf,
    old: Proxy,
}

impl Banned {
    fn new(name: &str) -> Self {
        let backends = ["one", "two"].map(|text| Backend::new(Deed::Write(ok(text))));
        let discovery = Discovery::new();
        discovery.say(&all_up(&[&backends[0], &backends[1]]));
        let passed = platform(name);
        let folder = passed.1.clone();
        let setup = Setup { passed: Some(passed), ..operated() };
        let old = Proxy::up(&discovery, &setup);
        assert_eq!(old.call("PUT /backends/s-0/maint").status(), 200);
        Banned { backends, discovery, setup, folder, old }
    }

    /// A successor takes over; nothing of what it sends goes to the backend that is left alone.
    fn holds_at_the_successor(mut self) {
        let new = Proxy::start(&self.discovery, &self.setup);
        wait_for("the new process", || new.call("GET /healthcheck").status() == 200);
        self.old.terminate();
        assert!(self.old.wait().success());
        let before = self.backends[0].seen().len();
        for id in 0..20 {
            let answer = Client::new(&new).ask(&page(&format!("r-{id}"))).expect("an answer");
            assert_eq!(answer.text(), "two");
        }
        assert_eq!(self.backends[0].seen().len(), before);
        std::fs::remove_dir_all(&self.folder).expect("it is there");
    }
}

#[test]
fn a_ban_holds_at_a_successor_that_can_write_nothing() {
    let banned = Banned::new("unwritable");
    // What is written before it replaces the file can't be, as on a full disk.
    std::fs::create_dir(banned.folder.join("leadrelay-n0.new")).expect("nothing has that name");
    banned.holds_at_the_successor();
}

#[test]
fn a_ban_holds_after_its_file_could_not_be_read_for_a_while() {
    let banned = Banned::new("unreadable");
    let (file, aside) = (banned.folder.join("leadrelay-n0.json"), banned.folder.join("aside"));
    std::fs::rename(&file, &aside).expect("it is there");
    std::os::unix::fs::symlink(&file, &file).expect("a link to itself, which can't be read");
    let unreadable = || file.symlink_metadata().expect("it is there").is_symlink();
    wait_for("a try to write", || !unreadable() || banned.old.said("handover file not written"));
    if unreadable() {
        std::fs::rename(&aside, &file).expect("it is there");
    }
    banned.holds_at_the_successor();
}

#[test]
fn a_ban_holds_after_its_file_was_lost() {
    let banned = Banned::new("lost");
    let file = banned.folder.join("leadrelay-n0.json");
    std::fs::write(&file, "{\"version\":").expect("half of a file");
    wait_for("a new file", || std::fs::read_to_string(&file).is_ok_and(|text| text.contains("hosts")));
    banned.holds_at_the_successor();
}

#[test]
fn a_killed_predecessor_shares_nothing_any_more() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let passed = platform("killed");
    let folder = passed.1.clone();
    let setup = Setup { passed: Some(passed), ..operated() };
    let old = Proxy::up(&discovery, &setup);
    let new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.call("GET /healthcheck").status() == 200);
    wait_for("its word of the old one", || new.said("overlapping=true"));
    drop(old); // by SIGKILL
    wait_for("its end at the new one", || new.said("overlapping=false"));
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn a_ban_told_to_the_old_process_reaches_the_new_one() {
    let (one, two) = (Backend::new(Deed::Write(ok("one"))), Backend::new(Deed::Write(ok("two"))));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&one, &two]));
    let passed = platform("ban");
    let folder = passed.1.clone();
    let setup = Setup { passed: Some(passed), ..operated() };
    let old = Proxy::up(&discovery, &setup);
    let new = Proxy::start(&discovery, &setup);
    wait_for("the new process", || new.call("GET /healthcheck").status() == 200);
    assert_eq!(old.call("PUT /backends/s-1/maint").status(), 200);
    wait_for("the ban at the new one", || new.figure("/members_unavailable") == 1);
    assert_eq!(old.call("PUT /backends/s-1/ready").status(), 200);
    wait_for("its end", || new.figure("/members_unavailable") == 0);
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn without_a_successor_who_comes_after_sigterm_is_still_served() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let passed = platform("alone");
    let folder = passed.1.clone();
    std::fs::write(folder.join("leadrelay-n0.json"), "{\"version\":").expect("a file");
    let mut proxy = Proxy::up(&discovery, &Setup { passed: Some(passed), ..operated() });
    proxy.terminate();
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    assert!(proxy.wait().success());
    std::fs::remove_dir_all(folder).expect("it is there");
}

/// The class of this name in a configuration.
fn class(text: &str, name: &str) -> String {
    let start = text.find(&format!(r#"{{"name":"{name}""#)).expect("a class");
    text[start..=start + text[start..].find('}').expect("its end")].to_owned()
}

#[test]
fn at_sighup_classes_change_for_new_requests_and_all_counts_stay() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-held" => Deed::Hold(held.clone(), ok("held")),
        _ => Deed::Write(ok("")),
    });
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &operated());
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    assert_eq!(status(Client::new(&proxy).ask(&submit("r-2", "5", "x"))), 200);
    let mut open = Client::new(&proxy);
    open.send(&page("r-held"));
    wait_for("an open request", || backend.seen().len() == 3);
    // The open one's class goes, another comes first, and one that was keyed is safe to repeat.
    let text = config(discovery.address, &operated());
    let (gone, keyed) = (class(&text, "page"), class(&text, "booking"));
    let text =
        text.replace(&keyed, &gone.replace("page", "booking")).replace(&gone, &gone.replace("page", "fresh"));
    proxy.reload(&text);
    wait_for("the new file", || proxy.figure("/config_reloads") == 1);
    assert_eq!(status(Client::new(&proxy).ask(&page("r-3"))), 404);
    for path in ["/fresh", "/booking"] {
        assert_eq!(status(Client::new(&proxy).ask(&page("r-4").replace("/page", path))), 200, "{path}");
    }
    assert_eq!(status(Client::new(&proxy).ask(&submit("r-5", "5", "x"))), 200);
    gate.open();
    assert_eq!(open.answer().expect("an answer").text(), "held");
    wait_for("its end", || proxy.figure("/completed/page") == 2);
    let counts = ["submit", "fresh", "booking"].map(|c| proxy.figure(&format!("/completed/{c}")));
    assert_eq!((counts, proxy.figure("/pending")), ([2, 1, 1], 0));
}

#[test]
fn a_broken_file_at_sighup_changes_nothing() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let mut proxy = Proxy::up(&discovery, &operated());
    let text = config(discovery.address, &operated()).replace(r#""name":"page""#, r#""name":"other""#);
    let broken = [
        String::new(),
        text[..text.len() / 2].to_owned(),
        text.replace(r#""maxAttempts":6"#, r#""maxAttempts":0"#),
        text.replace(r#""deadline":5000"#, r#""deadline":-5000"#),
        text.replace(r#""rules""#, r#""rulers""#),
    ];
    for (n, text) in broken.iter().enumerate() {
        proxy.reload(text);
        wait_for("its refusal", || proxy.figure("/config_reload_errors") == n as u64 + 1);
        assert_eq!(status(Client::new(&proxy).ask(&page(&format!("r-{n}")))), 200);
    }
    assert_eq!(proxy.figure("/config_reloads"), 0);
    assert!(proxy.runs());
}

#[test]
fn without_a_folder_for_the_handover_it_serves_all_the_same() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let (listener, folder) = platform("none");
    std::fs::remove_dir_all(&folder).expect("it is there");
    let proxy = Proxy::up(&discovery, &Setup { passed: Some((listener, folder)), ..operated() });
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
}

/// Holds the handover's lock as another process does that was stopped in the middle of a change.
fn locked(folder: &std::path::Path) -> std::fs::File {
    let lock = std::fs::File::create(folder.join("leadrelay-n0.lock")).expect("a file");
    lock.lock().expect("nobody else holds it for long");
    lock
}

/// An order and the time until its answer.
fn ordered(proxy: &Proxy, call: &str) -> (u16, Duration) {
    let begun = Instant::now();
    (proxy.call(call).status(), begun.elapsed())
}

#[test]
fn a_handover_that_another_process_has_locked_holds_up_nothing() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let passed = platform("locked");
    let folder = passed.1.clone();
    let mut proxy = Proxy::up(&discovery, &Setup { passed: Some(passed), deadline: 1000, ..operated() });
    let lock = locked(&folder);
    for call in ["PUT /backends/s-0/maint", "PUT /backends/s-0/ready", "PUT /healthcheck/fail"] {
        let (status, after) = ordered(&proxy, call);
        eprintln!("{call}: {status} after {after:?}");
        assert_eq!(status, 404, "{call}");
        assert!(after < Duration::from_secs(1), "{call}: {after:?}");
    }
    // Longer than from one writing of the state to the next.
    let end = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < end {
        let begun = Instant::now();
        assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    }
    // An order waits for a lock that is held for a moment only.
    let answer = std::thread::scope(|scope| {
        let order = scope.spawn(|| ordered(&proxy, "PUT /healthcheck/ok"));
        std::thread::sleep(Duration::from_millis(100));
        drop(lock);
        order.join().expect("no panic")
    });
    assert_eq!(answer.0, 200, "{answer:?}");
    assert_eq!(ordered(&proxy, "PUT /backends/s-0/maint").0, 200);
    let left = std::fs::read_to_string(folder.join("leadrelay-n0.json")).expect("a file");
    assert!(left.contains(r#""drained":false"#) && !left.contains(r#""bans":[]"#), "{left}");
    let lock = locked(&folder);
    let begun = Instant::now();
    proxy.terminate();
    assert!(proxy.wait().success());
    eprintln!("SIGTERM: the end after {:?}", begun.elapsed());
    assert!(begun.elapsed() < Duration::from_millis(1700), "{:?}", begun.elapsed());
    drop(lock);
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn a_process_starts_while_another_one_has_locked_the_handover() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let passed = platform("start");
    let folder = passed.1.clone();
    let lock = locked(&folder);
    let begun = Instant::now();
    let held = Arc::new(std::sync::Mutex::new(Some(lock)));
    let kept = held.clone();
    // Lets go in the end, so that a process that waits for it is seen to be late.
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(10));
        kept.lock().expect("no panic").take();
    });
    let proxy = Proxy::up(&discovery, &Setup { passed: Some(passed), ..operated() });
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    // What was to be said at the start is said once it can be.
    let file = folder.join("leadrelay-n0.json");
    assert!(!file.exists());
    held.lock().expect("no panic").take();
    wait_for("its word", || std::fs::read_to_string(&file).is_ok_and(|t| t.contains(r#""stage":"Serving""#)));
    std::fs::remove_dir_all(folder).expect("it is there");
}
