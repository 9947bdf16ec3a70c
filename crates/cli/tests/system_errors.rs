//! System calls that fail for a moment, as their manual pages allow, and a wall clock that is stepped: by a library that is
//! loaded into the proxy.
mod sockets;

use std::process::{Command, Stdio};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use leadrelay_soak::syscall_faults::{CONTROL_FILE_VARIABLE, Errno, LIBRARY, SocketErrors, SyscallFaults};
use sockets::*;

/// A proxy whose system calls can be made to fail.
struct FaultyProxy {
    faults: SyscallFaults,
    process: Proxy,
    discovery: Discovery,
    version: u64,
}

impl FaultyProxy {
    fn start(hosts: &[String]) -> Self {
        FaultyProxy::start_with_clock_ahead(hosts, 0)
    }

    /// Starts a proxy whose wall clock is so many seconds ahead from the first.
    fn start_with_clock_ahead(hosts: &[String], seconds: i64) -> Self {
        let discovery = Discovery::new();
        discovery.publish(&list(1, true, hosts));
        let text = config(discovery.address, &Setup { has_admin: true, ..Setup::default() });
        // A slow start of two seconds instead of nearly nine.
        FaultyProxy::start_with_config(discovery, &text.replace("\"cold\":8700", "\"cold\":2000"), seconds)
    }

    fn start_with_config(discovery: Discovery, text: &str, seconds: i64) -> Self {
        let file = config_file(text);
        let faults = SyscallFaults::new(&file.with_extension("faults")).expect("a file");
        faults.step_clock(seconds);
        let mut command = Command::new(env!("CARGO_BIN_EXE_leadrelay"));
        command
            .arg("serve")
            .env("NODE_CONFIG", &file)
            .env("LD_PRELOAD", LIBRARY)
            .env(CONTROL_FILE_VARIABLE, faults.path());
        let child = command.stderr(Stdio::piped()).spawn().expect("the proxy starts");
        let process = Proxy::from_child(child, file);
        wait_for("/up", || process.is_up());
        FaultyProxy { faults, process, discovery, version: 1 }
    }

    fn publish(&mut self, entry: String) {
        self.version += 1;
        self.discovery.publish(&list(self.version, false, &[entry]));
    }

    fn members(&self, status: &str) -> Option<u64> {
        let text = self.process.admin_call("GET /metrics").text();
        let start = format!("leadrelay_members{{standing=\"{status}\"}} ");
        text.lines().find_map(|line| line.strip_prefix(&start)).and_then(|count| count.parse().ok())
    }
}

impl Drop for FaultyProxy {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.faults.path());
    }
}

/// Unix time in milliseconds by a clock that is so many seconds ahead.
fn unix_ms(ahead: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    (now.as_millis() as i64 + ahead * 1000) as u64
}

/// Asserts that a backend that starts after the clocks of all machines were stepped is in slow start as long as any other.
fn assert_slow_start_after_step(seconds: i64) {
    let old = Backend::new(Reply::Write(ok("old")));
    let new = Backend::new(Reply::Write(ok("new")));
    let mut proxy = FaultyProxy::start(&[host("s-0", old.address, "up", 0)]);
    proxy.faults.step_clock(seconds);
    std::thread::sleep(Duration::from_millis(300)); // the proxy runs on for a while before anything is published
    proxy.publish(host("s-1", new.address, "up", unix_ms(seconds)));
    wait_for("two members", || proxy.process.stat("/members") == 2);
    assert_eq!(proxy.members("cold"), Some(1), "it has just started");
    wait_for("the end of slow start", || proxy.members("cold") == Some(0));
}

#[test]
fn backend_started_after_clock_set_back_an_hour_is_in_slow_start() {
    assert_slow_start_after_step(-3600);
}

#[test]
fn backend_started_after_clock_set_back_seconds_is_in_slow_start() {
    assert_slow_start_after_step(-5);
}

#[test]
fn backend_started_after_clock_set_forward_ends_slow_start() {
    assert_slow_start_after_step(3600);
}

/// In seconds.
const MINUTE: i64 = 60;
/// In seconds.
const HOUR: i64 = 60 * MINUTE;

/// Asserts that a backend which restarts while a proxy runs whose wall clock was an hour ahead at its start is in slow
/// start as long as any other. `before` is published ahead of the restart, if anything is.
fn assert_slow_start_with_clock_ahead_at_start(health_before: Option<&str>) {
    let old = Backend::new(Reply::Write(ok("old")));
    let new = Backend::new(Reply::Write(ok("new")));
    let former_start = unix_ms(-2 * HOUR);
    let hosts = [host("s-0", old.address, "up", 0), host("s-1", old.address, "up", former_start)];
    let mut proxy = FaultyProxy::start_with_clock_ahead(&hosts, HOUR);
    assert_eq!(proxy.members("cold"), Some(0), "both have been warm for long");
    if let Some(health) = health_before {
        proxy.publish(host("s-1", old.address, health, former_start));
        std::thread::sleep(Duration::from_millis(300)); // it is out of service for a while
    }
    proxy.publish(host("s-1", new.address, "up", unix_ms(0)));
    wait_for("slow start", || proxy.members("cold") == Some(1));
    wait_for("the end of slow start", || proxy.members("cold") == Some(0));
}

#[test]
fn backend_restarted_with_proxy_clock_ahead_at_start_is_in_slow_start() {
    assert_slow_start_with_clock_ahead_at_start(None);
}

#[test]
fn backend_drained_and_restarted_with_proxy_clock_ahead_at_start_is_in_slow_start() {
    assert_slow_start_with_clock_ahead_at_start(Some("draining"));
}

#[test]
fn backend_removed_and_restarted_with_proxy_clock_ahead_at_start_is_in_slow_start() {
    assert_slow_start_with_clock_ahead_at_start(Some("removed"));
}

/// Asserts that a backend that has just started is in slow start once the clock of a proxy is right that was so many
/// seconds ahead at its start. `listed_later` says that the backend is not in the first list of the proxy.
fn assert_slow_start_once_clock_is_right(seconds: i64, listed_later: bool) {
    let old = Backend::new(Reply::Write(ok("old")));
    let new = Backend::new(Reply::Write(ok("new")));
    let old_entry = host("s-0", old.address, "up", unix_ms(-2 * HOUR));
    let started = host("s-1", new.address, "up", unix_ms(0));
    let discovery = Discovery::new();
    let text = config(discovery.address, &Setup { has_admin: true, ..Setup::default() });
    let first = if listed_later { vec![old_entry] } else { vec![old_entry, started.clone()] };
    discovery.publish(&list(1, true, &first));
    let mut proxy = FaultyProxy::start_with_config(discovery, &text, seconds);
    if listed_later {
        proxy.publish(started);
    }
    wait_for("two members", || proxy.process.stat("/members") == 2);
    proxy.faults.step_clock(0);
    wait_for("slow start", || proxy.members("cold") == Some(1));
    wait_for("the end of slow start", || proxy.members("cold") == Some(0));
    proxy.faults.step_clock(-2 * HOUR);
    std::thread::sleep(Duration::from_millis(300)); // until the proxy has seen the step
    assert_eq!(proxy.members("cold"), Some(0), "both are known not to have started now");
}

#[test]
fn backend_in_first_list_is_in_slow_start_once_clock_ahead_is_set_right() {
    assert_slow_start_once_clock_is_right(HOUR, false);
}

#[test]
fn backend_listed_with_clock_ahead_is_in_slow_start_once_clock_is_set_right() {
    assert_slow_start_once_clock_is_right(HOUR, true);
}

#[test]
fn backend_listed_with_clock_seconds_ahead_is_in_slow_start_once_clock_is_set_right() {
    assert_slow_start_once_clock_is_right(9, true);
}

/// Guards against slow start of backends whose age is known: by a right clock too, starts may be listed late.
#[test]
fn backend_of_known_age_is_warm_however_it_is_listed() {
    let backend = Backend::new(Reply::Write(ok("served")));
    let entry = |name: &str, health: &str, age: i64| host(name, backend.address, health, unix_ms(-age));
    let former = entry("s-1", "up", 10 * MINUTE);
    let mut proxy = FaultyProxy::start(&[host("s-0", backend.address, "up", 0), former]);
    let restarted = entry("s-1", "up", MINUTE);
    proxy.publish(restarted.clone());
    proxy.publish(entry("s-2", "up", HOUR));
    wait_for("a new backend", || proxy.process.stat("/members") == 3);
    assert_eq!(
        proxy.members("cold"),
        Some(0),
        "a start that is listed late, a backend that was not listed before"
    );
    proxy.publish(restarted.replace("\"up\"", "\"removed\""));
    wait_for("its removal", || proxy.process.stat("/members") == 2);
    proxy.publish(restarted);
    wait_for("its return", || proxy.process.stat("/members") == 3);
    assert_eq!(proxy.members("cold"), Some(0), "a backend that is back");
}

#[test]
fn interrupted_and_short_calls_lose_no_request() {
    let backend = Backend::new(Reply::Write(ok("served")));
    let proxy = FaultyProxy::start(&[host("s-0", backend.address, "up", 0)]);
    proxy.faults.interrupt(30, 50);
    for connection in 0..10 {
        let mut client = proxy.process.client();
        for request in 0..6 {
            let id = format!("r-{connection}-{request}");
            let text = if request % 2 == 0 { page(&id) } else { submit(&id, "5", &"x".repeat(3000)) };
            let response = client.request(&text);
            assert_eq!(response.map(|response| response.status()), Some(200), "{id}");
        }
    }
}

#[test]
fn local_connect_errors_eject_no_backend() {
    for errno in [Errno::TooManyFiles, Errno::NoBuffers, Errno::AddressNotAvailable] {
        let backends: Vec<Backend> = (0..4).map(|_| Backend::new(Reply::Write(ok("served")))).collect();
        let hosts: Vec<String> =
            (0..4).map(|number| host(&format!("s-{number}"), backends[number].address, "up", 0)).collect();
        let proxy = FaultyProxy::start(&hosts);
        let errors = match errno {
            Errno::AddressNotAvailable => SocketErrors { connect: Some(errno), ..SocketErrors::default() },
            _ => SocketErrors { socket: Some(errno), ..SocketErrors::default() },
        };
        proxy.faults.fail_sockets(errors, 100);
        for number in 0..8 {
            let text = page(&format!("r-{number}")).replace("X-Timeout: 5\r", "X-Timeout: 0.6\r");
            let response = proxy.process.client().request(&text).expect("a response");
            assert_eq!(response.status(), 503, "{errno:?}: nothing can be sent");
            assert!(response.header("retry-after").is_some(), "{errno:?}");
        }
        proxy.faults.clear();
        std::thread::sleep(Duration::from_millis(150)); // until the statistics have been updated
        assert_eq!((proxy.members("ill"), proxy.members("trial")), (Some(0), Some(0)), "{errno:?}");
        assert_eq!(proxy.process.client().request(&page("r-after")).expect("a response").status(), 200);
    }
}

/// Requests of a hundred that are served by backends that close each connection, while half of the proxy's calls to
/// open one fail.
fn served_of_a_hundred(errors: SocketErrors) -> usize {
    let response = ok("served").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    let backends: Vec<Backend> = (0..4).map(|_| Backend::new(Reply::Write(response.clone()))).collect();
    let hosts: Vec<String> =
        (0..4).map(|number| host(&format!("s-{number}"), backends[number].address, "up", 0)).collect();
    let proxy = FaultyProxy::start(&hosts);
    proxy.faults.fail_sockets(errors, 50);
    let mut client = proxy.process.client();
    let mut served = 0;
    for number in 0..100 {
        let text = page(&format!("r-{number}")).replace("X-Timeout: 5\r", "X-Timeout: 1\r");
        served += usize::from(client.request(&text).expect("a response").status() == 200);
    }
    assert_eq!((proxy.members("ill"), proxy.members("trial")), (Some(0), Some(0)), "{errors:?}");
    served
}

/// Guards against momentary errors of this machine that are held against backends or leave requests unserved.
#[test]
fn connect_errors_on_every_second_call_are_borne() {
    for errno in [Errno::AddressNotAvailable, Errno::NetworkUnreachable] {
        let errors = SocketErrors { connect: Some(errno), ..SocketErrors::default() };
        let served = served_of_a_hundred(errors);
        assert!(served >= 98, "{errno:?}: {served} of 100");
    }
    let errors = SocketErrors { socket: Some(Errno::TooManyFiles), ..SocketErrors::default() };
    let served = served_of_a_hundred(errors);
    assert!(served >= 98, "no descriptor: {served} of 100");
}

#[test]
fn late_accepted_requests_send_their_remaining_time() {
    let backend = Backend::new(Reply::Write(ok("served")));
    let proxy = FaultyProxy::start(&[host("s-0", backend.address, "up", 0)]);
    let errors = SocketErrors { accept: Some(Errno::NoBuffers), ..SocketErrors::default() };
    proxy.faults.fail_sockets(errors, 100);
    let mut client = proxy.process.client();
    client.send(&(submit("r-1", "5", "x") + &submit("r-2", "5", "x")));
    let sent_at = std::time::Instant::now();
    std::thread::sleep(Duration::from_millis(800));
    let waited = sent_at.elapsed().as_secs_f64();
    proxy.faults.clear();
    assert!((0..2).all(|_| client.response().expect("a response").status() == 200));
    for request in backend.requests() {
        let remaining: f64 =
            request.header("x-timeout").and_then(|seconds| seconds.parse().ok()).expect("a time");
        assert!(remaining <= 5.0 - waited + 0.15, "{}: {remaining} s after {waited} s", request.id());
    }
}
