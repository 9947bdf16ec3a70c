//! The command-line interface: output and exit codes.
mod sockets;

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};

use sockets::*;

/// A configuration file that is removed when the value is dropped.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(text: &str) -> Self {
        TemporaryFile(config_file(text))
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn startup_error_gives_one_message_and_exit_code() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = listener.local_addr().expect("an address");
    let file = |listen: &str, more: &str| {
        TemporaryFile::new(&format!("listen = \"{listen}\"\n[[backends]]\naddress = \"127.0.0.1:1\"\n{more}"))
    };
    for (file, code, expected) in [
        (file(&taken.to_string(), ""), 1, format!("cannot listen on {taken}")),
        (
            file("127.0.0.1:0", &format!("[admin]\nlisten = \"{taken}\"\n")),
            1,
            format!("operators on {taken}"),
        ),
        (file("nowhere", ""), 2, "1:10: 'nowhere' is not a valid address".into()),
        (file("127.0.0.1:0", "lisen = 1\n"), 2, "unknown key 'lisen'".into()),
        (file("127.0.0.1:0", "[logging]\nfilter = \"a=b=c\"\n"), 2, "not a valid filter".into()),
        (
            file("127.0.0.1:0", "[[classes]]\nname = \"a\"\neffect = \"safe\"\n"),
            2,
            "'deadline' is missing".into(),
        ),
    ] {
        let run = run_leadrelay(&["serve", "--config", file.path()]);
        let message = text(&run.stderr);
        assert_eq!(run.status.code(), Some(code), "{message}");
        let messages = message.lines().filter(|line| line.starts_with("leadrelay: ")).count();
        assert!(message.contains(&expected) && messages == 1, "{message}");
    }
    for args in [
        &["serve"][..],
        &["serve", "--config"],
        &["chek"],
        &["ctl", "health"],
        &["ctl", "--admin", "x", "stats"],
    ] {
        let run = run_leadrelay(args);
        assert_eq!(run.status.code(), Some(2), "{args:?}: {}", text(&run.stderr));
    }
    let missing = run_leadrelay(&["check", "/nonexistent.toml"]);
    assert_eq!(
        (missing.status.code(), text(&missing.stderr).contains("/nonexistent.toml: ")),
        (Some(2), true)
    );
    drop(listener);
}

#[test]
fn check_reports_all_errors_as_text_and_json() {
    let file = TemporaryFile::new("listen = 1\n[limits]\nattempts = 0\n");
    let run = run_leadrelay(&["check", file.path()]);
    let path = file.path();
    let expected = format!(
        "{path}:1:10: 'listen' has to be text, not a number\n{path}:3:12: 'attempts' is 0, and has to be 1 or more\n"
    );
    assert_eq!((run.status.code(), text(&run.stderr)), (Some(2), expected));
    let run = run_leadrelay(&["check", "--json", path]);
    let errors: serde_json::Value = serde_json::from_slice(&run.stdout).expect("JSON");
    assert_eq!((run.status.code(), errors[1]["line"].as_u64()), (Some(2), Some(3)));
    let example = TemporaryFile::new(&text(&run_leadrelay(&["config", "example"]).stdout));
    let run = run_leadrelay(&["check", example.path()]);
    assert_eq!(run.status.code(), Some(0), "{}", text(&run.stderr));
}

#[test]
fn readme_configuration_is_valid() {
    let readme = include_str!("../../../README.md");
    let (_, rest) = readme.split_once("```toml\n").expect("an example");
    let (toml, _) = rest.split_once("```").expect("the end of the example");
    let file = TemporaryFile::new(toml);
    let run = run_leadrelay(&["check", file.path()]);
    assert_eq!(run.status.code(), Some(0), "{}", text(&run.stderr));
}

#[test]
fn unread_log_does_not_block_the_proxy() {
    let backend = Backend::new(Reply::Write(ok("")));
    let file = TemporaryFile::new(&config_with_two_backends(&backend, &Backend::new(Reply::Write(ok("")))));
    let mut child = Command::new(env!("CARGO_BIN_EXE_leadrelay"))
        .args(["serve", "--config", file.path(), "--log", "trace"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let address = loop {
        let mut line = String::new();
        assert!(
            log.read_line(&mut line).expect("a line") > 0,
            "the proxy logs its address before its log ends"
        );
        if let Some((_, rest)) = line.split_once("listen=") {
            break rest.split_whitespace().next().expect("an address").to_owned();
        }
    };
    // Nothing reads the log from here on, so the pipe fills up and stays full.
    let mut stream = BufReader::new(TcpStream::connect(address).expect("the proxy accepts the connection"));
    stream.get_ref().set_read_timeout(Some(LIMIT)).expect("the read timeout is set");
    let name = "x".repeat(8000);
    for number in 0..300 {
        let request = format!("GET /{number} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}{number}\r\n\r\n");
        stream.get_mut().write_all(request.as_bytes()).expect("the peer receives the bytes");
        assert_eq!(read_message(&mut stream).expect("a response").status(), 200);
    }
    drop(log); // The proxy also goes on serving once the reader of its log has closed the pipe.
    for _ in 0..50 {
        stream
            .get_mut()
            .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("the peer receives the bytes");
        assert_eq!(read_message(&mut stream).expect("a response").status(), 200);
    }
    assert!(child.try_wait().expect("a child").is_none(), "the proxy is still running");
    child.kill().expect("the proxy is running");
    child.wait().expect("the program exits");
}

#[test]
fn man_page_completions_version_and_schema_are_printed() {
    let man = text(&run_leadrelay(&["man"]).stdout);
    assert!(man.contains(".TH leadrelay") && man.contains("Exit codes"), "{man}");
    for shell in ["bash", "zsh", "fish"] {
        assert!(text(&run_leadrelay(&["completions", shell]).stdout).contains("leadrelay"), "{shell}");
    }
    let version = run_leadrelay(&["version"]);
    assert_eq!(text(&version.stdout), format!("leadrelay {}\n", env!("CARGO_PKG_VERSION")));
    let schema = run_leadrelay(&["config", "schema"]);
    let schema: serde_json::Value = serde_json::from_slice(&schema.stdout).expect("JSON");
    assert!(schema["properties"]["listen"].is_object());
}

#[test]
fn demo_accounts_for_every_request() {
    let run = run_leadrelay(&["demo", "--seconds", "2", "--json"]);
    assert_eq!(run.status.code(), Some(0), "{}", text(&run.stderr));
    let summary: serde_json::Value =
        serde_json::from_slice(&run.stdout).expect("one JSON object and nothing else");
    let count = |key: &str| summary[key].as_u64().expect("a count");
    assert!(count("sent") > 100, "{summary}");
    assert_eq!(
        count("sent"),
        count("in_time") + count("late") + count("refused") + count("failed"),
        "{summary}"
    );
    let served = summary["backends"]
        .as_array()
        .expect("a list")
        .iter()
        .map(|backend| backend["served"].as_u64().expect("a count"));
    assert!(served.sum::<u64>() >= count("in_time") + count("late"), "{summary}");
    let causes = summary["causes"]
        .as_object()
        .expect("a table")
        .values()
        .map(|count| count.as_u64().expect("a count"));
    assert!(causes.sum::<u64>() <= count("sent"), "{summary}");
    assert!(
        summary["choices"]["at_once"].as_u64().expect("a count") > 0
            && summary["p99_ms"].as_f64() > Some(0.0),
        "{summary}"
    );
}

#[test]
fn demo_prints_summary_at_ctrl_c() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_leadrelay"))
        .arg("demo")
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines().map_while(Result::ok);
    assert!(
        lines.any(|line| line.contains("threshold:")),
        "a line a second on an output that is not a terminal"
    );
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-INT", &pid]).status().expect("kill runs").success());
    assert!(lines.any(|line| line.contains("requests: in time")), "a summary");
    assert_eq!(child.wait().expect("the program exits").code(), Some(0));
}
