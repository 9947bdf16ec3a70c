//! System calls that fail temporarily, as their manual pages allow, and steps of the wall clock. Both are simulated by
//! a library that is loaded into the proxy.
mod sockets;

use std::process::{Command, Stdio};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use leadrelay_soak::syscall_faults::{
    CONTROL_FILE_VARIABLE, Errno, FAULTS_LIBRARY, SocketErrors, SyscallFaults,
};
use sockets::*;

/// A proxy whose system calls can be made to fail, and whose wall clock can be stepped.
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

    /// Starts a proxy whose wall clock is `seconds_ahead` seconds ahead from its start on.
    fn start_with_clock_ahead(hosts: &[String], seconds_ahead: i64) -> Self {
        let discovery = Discovery::new();
        discovery.publish(&list(1, true, hosts));
        let text = config(discovery.address, &Setup { has_admin: true, ..Setup::default() });
        // A slow start of two seconds instead of the 8.7 seconds of `config`.
        FaultyProxy::start_with_config(
            discovery,
            &text.replace("\"cold\":8700", "\"cold\":2000"),
            seconds_ahead,
        )
    }

    fn start_with_config(discovery: Discovery, text: &str, seconds_ahead: i64) -> Self {
        let file = config_file(text);
        let faults = SyscallFaults::new(&file.with_extension("faults")).expect("a file");
        faults.set_clock_offset(seconds_ahead);
        let mut command = Command::new(env!("CARGO_BIN_EXE_leadrelay"));
        command
            .arg("serve")
            .env("NODE_CONFIG", &file)
            .env("LD_PRELOAD", FAULTS_LIBRARY)
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

    /// The number of backends with this status, according to the metrics.
    fn members(&self, status: &str) -> Option<u64> {
        let text = self.process.admin_call("GET /metrics").text();
        let prefix = format!("leadrelay_members{{standing=\"{status}\"}} ");
        text.lines().find_map(|line| line.strip_prefix(&prefix)).and_then(|count| count.parse().ok())
    }
}

impl Drop for FaultyProxy {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.faults.path());
    }
}

/// The Unix time in milliseconds according to a clock that is `seconds_ahead` seconds ahead.
fn unix_ms(seconds_ahead: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    (now.as_millis() as i64 + seconds_ahead * 1000) as u64
}

/// Asserts that a backend is in slow start, and leaves it after the usual time, if it starts after the clocks of all
/// machines were stepped by `step_seconds`.
fn assert_slow_start_after_step(step_seconds: i64) {
    let old = Backend::new(Reply::Write(ok("old")));
    let new = Backend::new(Reply::Write(ok("new")));
    let mut proxy = FaultyProxy::start(&[host("s-0", old.address, "up", 0)]);
    proxy.faults.set_clock_offset(step_seconds);
    std::thread::sleep(Duration::from_millis(300)); // the proxy runs on for a while before anything is published
    proxy.publish(host("s-1", new.address, "up", unix_ms(step_seconds)));
    wait_for("two backends", || proxy.process.stat("/members") == 2);
    assert_eq!(proxy.members("cold"), Some(1), "the backend has just started");
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

/// A minute, in seconds.
const MINUTE: i64 = 60;
/// An hour, in seconds.
const HOUR: i64 = 60 * MINUTE;

/// Asserts that a backend is in slow start after a restart, and leaves it after the usual time, although the wall clock
/// of the proxy has been an hour ahead since the proxy started. `health_before`, if given, is the health of the backend
/// that is published before the restart.
fn assert_slow_start_with_clock_ahead_at_start(health_before: Option<&str>) {
    let old = Backend::new(Reply::Write(ok("old")));
    let new = Backend::new(Reply::Write(ok("new")));
    let former_start = unix_ms(-2 * HOUR);
    let hosts = [host("s-0", old.address, "up", 0), host("s-1", old.address, "up", former_start)];
    let mut proxy = FaultyProxy::start_with_clock_ahead(&hosts, HOUR);
    assert_eq!(proxy.members("cold"), Some(0), "neither backend has started recently");
    if let Some(health) = health_before {
        proxy.publish(host("s-1", old.address, health, former_start));
        std::thread::sleep(Duration::from_millis(300)); // the backend is out of service for a while
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

/// Asserts that a backend that has just started is in slow start once the proxy's clock is corrected, which was
/// `seconds_ahead` seconds ahead when the proxy started. With `listed_later`, the backend is not in the proxy's first
/// list.
fn assert_slow_start_once_clock_is_right(seconds_ahead: i64, listed_later: bool) {
    let old = Backend::new(Reply::Write(ok("old")));
    let new = Backend::new(Reply::Write(ok("new")));
    let old_entry = host("s-0", old.address, "up", unix_ms(-2 * HOUR));
    let new_entry = host("s-1", new.address, "up", unix_ms(0));
    let discovery = Discovery::new();
    let text = config(discovery.address, &Setup { has_admin: true, ..Setup::default() });
    let first_hosts = if listed_later { vec![old_entry] } else { vec![old_entry, new_entry.clone()] };
    discovery.publish(&list(1, true, &first_hosts));
    let mut proxy = FaultyProxy::start_with_config(discovery, &text, seconds_ahead);
    if listed_later {
        proxy.publish(new_entry);
    }
    wait_for("two backends", || proxy.process.stat("/members") == 2);
    proxy.faults.set_clock_offset(0);
    wait_for("slow start", || proxy.members("cold") == Some(1));
    wait_for("the end of slow start", || proxy.members("cold") == Some(0));
    proxy.faults.set_clock_offset(-2 * HOUR);
    std::thread::sleep(Duration::from_millis(300)); // until the proxy has seen the step
    assert_eq!(proxy.members("cold"), Some(0), "the proxy knows that neither backend has just started");
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

/// Guards against slow start of backends that the proxy knows to have run for a while: even with correct clocks, a
/// start may be listed late.
#[test]
fn backend_of_known_age_is_not_in_slow_start_however_it_is_listed() {
    let backend = Backend::new(Reply::Write(ok("served")));
    let entry = |name: &str, health: &str, age: i64| host(name, backend.address, health, unix_ms(-age));
    let old_entry = entry("s-1", "up", 10 * MINUTE);
    let mut proxy = FaultyProxy::start(&[host("s-0", backend.address, "up", 0), old_entry]);
    let restarted_entry = entry("s-1", "up", MINUTE);
    proxy.publish(restarted_entry.clone());
    proxy.publish(entry("s-2", "up", HOUR));
    wait_for("a new backend", || proxy.process.stat("/members") == 3);
    assert_eq!(
        proxy.members("cold"),
        Some(0),
        "one start is listed late, and one backend of some age is listed for the first time"
    );
    proxy.publish(restarted_entry.replace("\"up\"", "\"removed\""));
    wait_for("the removal of the backend", || proxy.process.stat("/members") == 2);
    proxy.publish(restarted_entry);
    wait_for("the return of the backend", || proxy.process.stat("/members") == 3);
    assert_eq!(proxy.members("cold"), Some(0), "the same backend is listed again");
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
            assert_eq!(response.status(), 503, "{errno:?}: no request can be sent");
            assert!(response.header("retry-after").is_some(), "{errno:?}");
        }
        proxy.faults.clear();
        std::thread::sleep(Duration::from_millis(150)); // until the statistics have been updated
        assert_eq!((proxy.members("ill"), proxy.members("trial")), (Some(0), Some(0)), "{errno:?}");
        assert_eq!(proxy.process.client().request(&page("r-after")).expect("a response").status(), 200);
    }
}

/// The number of requests out of 100 that are served while half of the proxy's calls to open a connection fail. The
/// backends close each connection after one response, so that every request needs a new one.
fn served_requests_out_of_100(errors: SocketErrors) -> usize {
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

/// Guards against temporary errors on the proxy's own machine that count as failures of backends or leave requests
/// unserved.
#[test]
fn connect_errors_on_every_second_call_are_tolerated() {
    for errno in [Errno::AddressNotAvailable, Errno::NetworkUnreachable] {
        let errors = SocketErrors { connect: Some(errno), ..SocketErrors::default() };
        let served = served_requests_out_of_100(errors);
        assert!(served >= 98, "{errno:?}: {served} of 100");
    }
    let errors = SocketErrors { socket: Some(Errno::TooManyFiles), ..SocketErrors::default() };
    let served = served_requests_out_of_100(errors);
    assert!(served >= 98, "no descriptors: {served} of 100");
}

/// Guards against a timeout for the backend that ignores how long the client waited while `accept` failed.
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
            request.header("x-timeout").and_then(|seconds| seconds.parse().ok()).expect("a timeout");
        assert!(remaining <= 5.0 - waited + 0.15, "{}: {remaining} s after {waited} s", request.id());
    }
}
