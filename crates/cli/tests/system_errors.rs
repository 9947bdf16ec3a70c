//! System calls that fail for a moment, as their manual pages allow, and a wall clock that is stepped: by a library that is
//! loaded into the proxy.
mod sockets;

use std::process::{Command, Stdio};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use leadrelay_soak::syscall_faults::{CONTROL_FILE_VARIABLE, Errno, LIBRARY, SocketErrors, SyscallFaults};
use sockets::*;

/// A proxy whose system calls can be made to fail.
struct Faulty {
    faults: SyscallFaults,
    proxy: Proxy,
    discovery: Discovery,
    version: u64,
}

impl Faulty {
    fn up(hosts: &[String]) -> Self {
        let discovery = Discovery::new();
        discovery.say(&list(1, true, hosts));
        let text = config(discovery.address, &Setup { admin: true, ..Setup::default() });
        // A cold span of two seconds instead of nearly nine.
        let file = config_file(&text.replace("\"cold\":8700", "\"cold\":2000"));
        let faults = SyscallFaults::new(&file.with_extension("faults")).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_leadrelay"));
        command
            .arg("serve")
            .env("NODE_CONFIG", &file)
            .env("LD_PRELOAD", LIBRARY)
            .env(CONTROL_FILE_VARIABLE, faults.path());
        let child = command.stderr(Stdio::piped()).spawn().expect("the proxy starts");
        let proxy = Proxy::of(child, file);
        wait_for("/up", || proxy.is_up());
        Faulty { faults, proxy, discovery, version: 1 }
    }

    fn tell(&mut self, entry: String) {
        self.version += 1;
        self.discovery.say(&list(self.version, false, &[entry]));
    }

    fn members(&self, standing: &str) -> Option<u64> {
        let text = self.proxy.call("GET /metrics").text();
        let start = format!("leadrelay_members{{standing=\"{standing}\"}} ");
        text.lines().find_map(|line| line.strip_prefix(&start)).and_then(|count| count.parse().ok())
    }
}

impl Drop for Faulty {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.faults.path());
    }
}

/// Unix time in milliseconds by a clock that is so many seconds ahead.
fn unix_ms(ahead: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    (now.as_millis() as i64 + ahead * 1000) as u64
}

/// A backend that starts after the clocks of all machines were stepped is cold for as long as any other, and no longer.
fn starts_cold_after_a_step(seconds: i64) {
    let (old, new) = (Backend::new(Deed::Write(ok("old"))), Backend::new(Deed::Write(ok("new"))));
    let mut faulty = Faulty::up(&[host("s-0", old.address, "up", 0)]);
    faulty.faults.step_clock(seconds);
    std::thread::sleep(Duration::from_millis(300)); // the proxy runs on for a while before it is told anything
    faulty.tell(host("s-1", new.address, "up", unix_ms(seconds)));
    wait_for("two members", || faulty.proxy.figure("/members") == 2);
    assert_eq!(faulty.members("cold"), Some(1), "it has just started");
    wait_for("its warmth", || faulty.members("cold") == Some(0));
}

#[test]
fn a_backend_that_starts_after_the_clock_was_set_back_an_hour_is_cold() {
    starts_cold_after_a_step(-3600);
}

#[test]
fn a_backend_that_starts_after_the_clock_was_set_back_by_seconds_is_cold() {
    starts_cold_after_a_step(-5);
}

#[test]
fn a_backend_that_starts_after_the_clock_was_set_forward_an_hour_warms_up() {
    starts_cold_after_a_step(3600);
}

#[test]
fn interrupted_and_short_calls_lose_no_request() {
    let backend = Backend::new(Deed::Write(ok("served")));
    let faulty = Faulty::up(&[host("s-0", backend.address, "up", 0)]);
    faulty.faults.interrupt(30, 50);
    for connection in 0..10 {
        let mut client = Client::new(&faulty.proxy);
        for request in 0..6 {
            let id = format!("r-{connection}-{request}");
            let text = if request % 2 == 0 { page(&id) } else { submit(&id, "5", &"x".repeat(3000)) };
            let answer = client.ask(&text);
            assert_eq!(answer.map(|answer| answer.status()), Some(200), "{id}");
        }
    }
}

#[test]
fn connections_that_can_not_be_opened_here_are_no_fault_of_their_backends() {
    for errno in [Errno::TooManyFiles, Errno::NoBuffers, Errno::AddressNotAvailable] {
        let backends: Vec<Backend> = (0..4).map(|_| Backend::new(Deed::Write(ok("served")))).collect();
        let hosts: Vec<String> =
            (0..4).map(|n| host(&format!("s-{n}"), backends[n].address, "up", 0)).collect();
        let faulty = Faulty::up(&hosts);
        let errors = match errno {
            Errno::AddressNotAvailable => SocketErrors { connect: Some(errno), ..SocketErrors::default() },
            _ => SocketErrors { socket: Some(errno), ..SocketErrors::default() },
        };
        faulty.faults.fail_sockets(errors, 100);
        for n in 0..8 {
            let text = page(&format!("r-{n}")).replace("X-Timeout: 5\r", "X-Timeout: 0.6\r");
            let answer = Client::new(&faulty.proxy).ask(&text).expect("an answer");
            assert_eq!(answer.status(), 503, "{errno:?}: nothing can be sent");
            assert!(answer.header("retry-after").is_some(), "{errno:?}");
        }
        faulty.faults.clear();
        std::thread::sleep(Duration::from_millis(150)); // until the figures have been counted anew
        assert_eq!((faulty.members("ill"), faulty.members("trial")), (Some(0), Some(0)), "{errno:?}");
        assert_eq!(Client::new(&faulty.proxy).ask(&page("r-after")).expect("an answer").status(), 200);
    }
}

#[test]
fn requests_of_a_connection_that_was_accepted_late_tell_their_backend_what_is_left() {
    let backend = Backend::new(Deed::Write(ok("served")));
    let faulty = Faulty::up(&[host("s-0", backend.address, "up", 0)]);
    let errors = SocketErrors { accept: Some(Errno::NoBuffers), ..SocketErrors::default() };
    faulty.faults.fail_sockets(errors, 100);
    let mut client = Client::new(&faulty.proxy);
    client.send(&(submit("r-1", "5", "x") + &submit("r-2", "5", "x")));
    let sent_at = std::time::Instant::now();
    std::thread::sleep(Duration::from_millis(800));
    let waited = sent_at.elapsed().as_secs_f64();
    faulty.faults.clear();
    assert!((0..2).all(|_| client.answer().expect("an answer").status() == 200));
    for request in backend.seen() {
        let told: f64 = request.header("x-timeout").and_then(|seconds| seconds.parse().ok()).expect("a time");
        assert!(told <= 5.0 - waited + 0.15, "{}: {told} s after {waited} s", request.id());
    }
}
