//! The command line as a user meets it: what it prints and how it exits.
mod sockets;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use sockets::*;

/// A file that goes away with the test.
struct File(PathBuf);

impl File {
    fn new(text: &str) -> Self {
        File(config_file(text))
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn leadrelay(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadrelay"));
    command.env_remove("NODE_CONFIG").env_remove("NODE_ADMIN_ADDR").args(args).output().expect("it starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// A proxy that runs by a TOML file.
struct Served {
    child: Child,
    clients: SocketAddr,
    admin: Option<SocketAddr>,
    file: File,
}

impl Served {
    fn new(toml: &str) -> Self {
        let file = File::new(toml);
        let mut child = Command::new(env!("CARGO_BIN_EXE_leadrelay"))
            .env_remove("NODE_CONFIG")
            .args(["serve", "--config", file.path()])
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines().map_while(Result::ok);
        let line = lines.find(|line| line.contains("listen=")).expect("it listens");
        let field = |name: &str| {
            let rest = line.split_once(name)?.1;
            rest.split_whitespace().next()?.parse().ok()
        };
        let (clients, admin) = (field("listen=").expect("an address"), field("admin="));
        std::thread::spawn(move || lines.for_each(|line| eprintln!("{line}")));
        Served { child, clients, admin, file }
    }

    fn ask(&self, request: &str) -> Message {
        let mut stream = BufReader::new(TcpStream::connect(self.clients).expect("it accepts"));
        stream.get_ref().set_read_timeout(Some(LIMIT)).expect("a time-out");
        stream.get_mut().write_all(request.as_bytes()).expect("it reads");
        read_message(&mut stream).expect("an answer")
    }

    fn ctl(&self, args: &[&str]) -> Output {
        let admin = self.admin.expect("an address").to_string();
        leadrelay(&[&["ctl", "--admin", &admin], args].concat())
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn two_backends(first: &Backend, second: &Backend) -> String {
    let backend = |b: &Backend| format!("[[backends]]\naddress = \"{}\"\n", b.address);
    let admin = "[admin]\nlisten = \"127.0.0.1:0\"\n[logging]\naccess = 1\n";
    format!("listen = \"127.0.0.1:0\"\nup_path = \"/up\"\n{}{}{admin}", backend(first), backend(second))
}

#[test]
fn a_small_file_serves_any_client() {
    let (one, two) = (Backend::new(Deed::Write(ok("hello"))), Backend::new(Deed::Write(ok("hello"))));
    let served = Served::new(&two_backends(&one, &two));
    let answer = served.ask("GET /any/path?x=1 HTTP/1.1\r\nHost: example\r\n\r\n");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "hello"));
    assert_eq!(served.ask("GET /up HTTP/1.1\r\nHost: example\r\n\r\n").status(), 200);
    let seen: Vec<Message> = one.seen().into_iter().chain(two.seen()).collect();
    assert_eq!(seen.len(), 1, "the proxy answers /up by itself");
    assert_eq!(seen[0].first, "GET /any/path?x=1 HTTP/1.1");
    assert!(!seen[0].id().is_empty(), "a request without an id gets one");
    assert_eq!(seen[0].header("x-forwarded-for"), Some("127.0.0.1"));
    assert_eq!(seen[0].header("host"), Some("example"));
}

#[test]
fn a_backends_own_answer_is_passed_on_as_it_is_worded() {
    let own = |request: &Message| match request.first.split(' ').nth(1) {
        Some("/gone") => Deed::Write("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno".into()),
        Some("/moved") => {
            Deed::Write("HTTP/1.1 302 Found\r\nLocation: /else\r\nContent-Length: 0\r\n\r\n".into())
        }
        _ => Deed::Write("HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops".into()),
    };
    let (one, two) = (Backend::with(own), Backend::with(own));
    let served = Served::new(&two_backends(&one, &two));
    let get = |path: &str| served.ask(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
    assert_eq!((get("/gone").status(), get("/gone").text().as_str()), (404, "no"));
    assert_eq!(get("/moved").header("location"), Some("/else"));
    let post = served.ask("POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    assert_eq!((post.status(), post.text().as_str()), (500, "oops"));
    let seen = one.seen().into_iter().chain(two.seen());
    assert_eq!(
        seen.filter(|m| m.first.starts_with("POST")).count(),
        1,
        "what must not run twice is sent once"
    );
}

#[test]
fn a_head_tells_the_length_of_what_a_get_would_bring() {
    let head = Deed::Write("HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n".into());
    let (one, two) = (Backend::new(head.clone()), Backend::new(head));
    let served = Served::new(&two_backends(&one, &two));
    let mut stream = TcpStream::connect(served.clients).expect("it accepts");
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    stream.write_all(b"HEAD /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an end");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(
        answer.to_lowercase().contains("content-length: 1234\r\n") && answer.ends_with("\r\n\r\n"),
        "{answer}"
    );
}

#[test]
fn operators_reach_a_proxy_by_ctl() {
    let (one, two) = (Backend::new(Deed::Write(ok(""))), Backend::new(Deed::Write(ok(""))));
    let served = Served::new(&two_backends(&one, &two));
    wait_for("readiness", || served.ctl(&["health"]).status.success());
    served.ask("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    let stats = served.ctl(&["stats", "--json"]);
    let stats: serde_json::Value = serde_json::from_slice(&stats.stdout).expect("JSON");
    assert_eq!((&stats["completed"]["read"], &stats["members"]), (&1.into(), &2.into()));
    assert!(
        text(&served.ctl(&["stats"]).stdout).lines().any(|l| l.starts_with("| read ")),
        "a table for people"
    );
    let metrics = text(&served.ctl(&["metrics"]).stdout);
    assert!(metrics.contains("leadrelay_requests_total{class=\"read\",cause=\"served\"} 1"), "{metrics}");
    assert!(metrics.contains("leadrelay_choices_total{choice=\"at_once\"}"), "{metrics}");
    let id = one.address.to_string();
    assert_eq!(text(&served.ctl(&["maint", &id]).stdout), "yes\n");
    for _ in 0..4 {
        served.ask("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    let before = one.seen().len();
    assert!(before <= 1 && two.seen().len() >= 4, "nothing goes to a backend in maintenance");
    assert_eq!(text(&served.ctl(&["ready", &id]).stdout), "yes\n");
    let unknown = served.ctl(&["maint", "nobody"]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(text(&unknown.stderr).contains("no backend named 'nobody'"), "{}", text(&unknown.stderr));
    assert_eq!(text(&served.ctl(&["drain"]).stdout), "yes\n");
    assert_eq!(served.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status(), 503);
    assert_eq!(text(&served.ctl(&["undrain", "--json"]).stdout), "{\"status\":200,\"yes\":true}\n");
}

#[test]
fn a_reload_takes_other_backends_whole_or_not_at_all() {
    let (one, two) = (Backend::new(Deed::Write(ok(""))), Backend::new(Deed::Write(ok(""))));
    let toml = two_backends(&one, &two);
    let served = Served::new(&toml);
    wait_for("readiness", || served.ctl(&["health"]).status.success());
    let count = |key: &str| {
        let stats = served.ctl(&["stats", "--json"]);
        serde_json::from_slice::<serde_json::Value>(&stats.stdout).expect("JSON")[key].as_u64()
    };
    let reload = |text: &str| {
        std::fs::write(&served.file.0, text).expect("a file");
        let pid = served.child.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &pid]).status().expect("kill runs").success());
    };
    reload("listen = 7");
    wait_for("the fault", || count("config_reload_errors") == Some(1));
    assert_eq!(count("members"), Some(2));
    let other = Backend::new(Deed::Write(ok("")));
    reload(&format!("{toml}[[backends]]\naddress = \"{}\"\n", other.address));
    wait_for("the third", || count("members") == Some(3));
    assert_eq!((count("config_reloads"), count("config_reload_errors")), (Some(1), Some(1)));
}

#[test]
fn what_can_not_be_used_is_told_in_one_message_with_the_right_code() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let listener = taken;
    let taken = listener.local_addr().expect("an address");
    let file = |listen: &str, more: &str| {
        File::new(&format!("listen = \"{listen}\"\n[[backends]]\naddress = \"127.0.0.1:1\"\n{more}"))
    };
    for (file, code, word) in [
        (file(&taken.to_string(), ""), 1, format!("cannot listen on {taken}")),
        (
            file("127.0.0.1:0", &format!("[admin]\nlisten = \"{taken}\"\n")),
            1,
            format!("operators on {taken}"),
        ),
        (file("nowhere", ""), 2, "1:10: 'nowhere' is no address".into()),
        (file("127.0.0.1:0", "lisen = 1\n"), 2, "unknown key 'lisen'".into()),
        (file("127.0.0.1:0", "[logging]\nfilter = \"a=b=c\"\n"), 2, "no filter".into()),
        (
            file("127.0.0.1:0", "[[classes]]\nname = \"a\"\neffect = \"safe\"\n"),
            2,
            "'deadline' is missing".into(),
        ),
    ] {
        let run = leadrelay(&["serve", "--config", file.path()]);
        let told = text(&run.stderr);
        assert_eq!(run.status.code(), Some(code), "{told}");
        assert!(
            told.contains(&word) && told.lines().filter(|l| l.starts_with("leadrelay: ")).count() == 1,
            "{told}"
        );
    }
    for args in [
        &["serve"][..],
        &["serve", "--config"],
        &["chek"],
        &["ctl", "health"],
        &["ctl", "--admin", "x", "stats"],
    ] {
        let run = leadrelay(args);
        assert_eq!(run.status.code(), Some(2), "{args:?}: {}", text(&run.stderr));
    }
    let missing = leadrelay(&["check", "/nonexistent.toml"]);
    assert_eq!(
        (missing.status.code(), text(&missing.stderr).contains("/nonexistent.toml: ")),
        (Some(2), true)
    );
    drop(listener);
}

#[test]
fn an_admin_address_that_does_not_answer_is_a_failure_in_time() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = silent.local_addr().expect("an address").to_string();
    let run = leadrelay(&["ctl", "--admin", &address, "health"]);
    assert_eq!(run.status.code(), Some(1));
    assert!(text(&run.stderr).contains("no answer within"), "{}", text(&run.stderr));
    drop(silent);
    let run = leadrelay(&["ctl", "--admin", &address, "health"]);
    assert_eq!(run.status.code(), Some(1));
    assert!(text(&run.stderr).contains("cannot connect"), "{}", text(&run.stderr));
}

#[test]
fn check_tells_every_fault_for_people_and_for_scripts() {
    let file = File::new("listen = 1\n[limits]\nattempts = 0\n");
    let run = leadrelay(&["check", file.path()]);
    let path = file.path();
    let expected = format!(
        "{path}:1:10: 'listen' has to be text, not a number\n{path}:3:12: 'attempts' is 0, and has to be 1 or more\n"
    );
    assert_eq!((run.status.code(), text(&run.stderr)), (Some(2), expected));
    let run = leadrelay(&["check", "--json", path]);
    let faults: serde_json::Value = serde_json::from_slice(&run.stdout).expect("JSON");
    assert_eq!((run.status.code(), faults[1]["line"].as_u64()), (Some(2), Some(3)));
    let example = File::new(&text(&leadrelay(&["config", "example"]).stdout));
    let run = leadrelay(&["check", example.path()]);
    assert_eq!(run.status.code(), Some(0), "{}", text(&run.stderr));
}

#[test]
fn the_readmes_configuration_is_good() {
    let readme = include_str!("../../../README.md");
    let (_, rest) = readme.split_once("```toml\n").expect("an example");
    let (toml, _) = rest.split_once("```").expect("its end");
    let file = File::new(toml);
    let run = leadrelay(&["check", file.path()]);
    assert_eq!(run.status.code(), Some(0), "{}", text(&run.stderr));
}

#[test]
fn a_log_that_nobody_reads_holds_nobody_up() {
    let backend = Backend::new(Deed::Write(ok("")));
    let file = File::new(&two_backends(&backend, &Backend::new(Deed::Write(ok("")))));
    let mut child = Command::new(env!("CARGO_BIN_EXE_leadrelay"))
        .args(["serve", "--config", file.path(), "--log", "trace"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let address = loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).expect("a line") > 0, "it listens");
        if let Some((_, rest)) = line.split_once("listen=") {
            break rest.split_whitespace().next().expect("an address").to_owned();
        }
    };
    // From here on the pipe fills up and stays full.
    let mut stream = BufReader::new(TcpStream::connect(address).expect("it accepts"));
    stream.get_ref().set_read_timeout(Some(LIMIT)).expect("a time-out");
    let name = "x".repeat(8000);
    for n in 0..300 {
        let request = format!("GET /{n} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}{n}\r\n\r\n");
        stream.get_mut().write_all(request.as_bytes()).expect("it reads");
        assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
    }
    drop(log); // and a log whose reader has gone
    for _ in 0..50 {
        stream.get_mut().write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").expect("it reads");
        assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
    }
    assert!(child.try_wait().expect("a child").is_none(), "it runs on");
    child.kill().expect("it runs");
    child.wait().expect("it ends");
}

#[test]
fn pages_and_completions_come_from_the_same_source() {
    let man = text(&leadrelay(&["man"]).stdout);
    assert!(man.contains(".TH leadrelay") && man.contains("Exit codes"), "{man}");
    for shell in ["bash", "zsh", "fish"] {
        assert!(text(&leadrelay(&["completions", shell]).stdout).contains("leadrelay"), "{shell}");
    }
    let version = leadrelay(&["version"]);
    assert_eq!(text(&version.stdout), format!("leadrelay {}\n", env!("CARGO_PKG_VERSION")));
    let schema = leadrelay(&["config", "schema"]);
    let schema: serde_json::Value = serde_json::from_slice(&schema.stdout).expect("JSON");
    assert!(schema["properties"]["listen"].is_object());
}

#[test]
fn the_demo_accounts_for_every_request() {
    let run = leadrelay(&["demo", "--seconds", "2", "--json"]);
    assert_eq!(run.status.code(), Some(0), "{}", text(&run.stderr));
    let told: serde_json::Value =
        serde_json::from_slice(&run.stdout).expect("one JSON object and nothing else");
    let of = |key: &str| told[key].as_u64().expect("a count");
    assert!(of("sent") > 100, "{told}");
    assert_eq!(of("sent"), of("in_time") + of("late") + of("refused") + of("failed"), "{told}");
    let served =
        told["backends"].as_array().expect("a list").iter().map(|b| b["served"].as_u64().expect("a count"));
    assert!(served.sum::<u64>() >= of("in_time") + of("late"), "{told}");
    let causes = told["causes"].as_object().expect("a table").values().map(|c| c.as_u64().expect("a count"));
    assert!(causes.sum::<u64>() <= of("sent"), "{told}");
    assert!(
        told["choices"]["at_once"].as_u64().expect("a count") > 0 && told["p99_ms"].as_f64() > Some(0.0),
        "{told}"
    );
}

#[test]
fn the_demo_ends_with_a_summary_at_ctrl_c() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_leadrelay"))
        .arg("demo")
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("threshold:")), "a line a second where there is no terminal");
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-INT", &pid]).status().expect("kill runs").success());
    assert!(lines.any(|line| line.contains("requests: in time")), "a summary");
    assert_eq!(child.wait().expect("it ends").code(), Some(0));
}
