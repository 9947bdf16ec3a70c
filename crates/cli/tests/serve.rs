//! `leadrelay serve` with a TOML file, and `leadrelay ctl`.
mod sockets;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};

use sockets::*;

/// Starts a proxy with a TOML file.
fn serve(toml: &str) -> Proxy {
    let file = config_file(toml);
    let child = Command::new(env!("CARGO_BIN_EXE_leadrelay"))
        .env_remove("NODE_CONFIG")
        .args(["serve", "--config", file.to_str().expect("a path")])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the proxy starts");
    Proxy::from_child(child, file)
}

/// Sends a request on a new connection and returns the response.
fn request(proxy: &Proxy, text: &str) -> Message {
    proxy.client().request(text).expect("a response")
}

/// Runs `leadrelay ctl` with the admin address of a proxy.
fn ctl(proxy: &Proxy, args: &[&str]) -> Output {
    let admin = proxy.admin_address().to_string();
    run_leadrelay(&[&["ctl", "--admin", &admin], args].concat())
}

#[test]
fn minimal_configuration_serves_any_client() {
    let one = Backend::new(Reply::Write(ok("hello")));
    let two = Backend::new(Reply::Write(ok("hello")));
    let proxy = serve(&config_with_two_backends(&one, &two));
    let response = request(&proxy, "GET /any/path?x=1 HTTP/1.1\r\nHost: example\r\n\r\n");
    assert_eq!((response.status(), response.text().as_str()), (200, "hello"));
    assert_eq!(request(&proxy, "GET /up HTTP/1.1\r\nHost: example\r\n\r\n").status(), 200);
    let seen: Vec<Message> = one.requests().into_iter().chain(two.requests()).collect();
    assert_eq!(seen.len(), 1, "the proxy itself responds to /up");
    assert_eq!(seen[0].first_line, "GET /any/path?x=1 HTTP/1.1");
    assert!(!seen[0].id().is_empty(), "a request without an id gets one");
    assert_eq!(seen[0].header("x-forwarded-for"), Some("127.0.0.1"));
    assert_eq!(seen[0].header("host"), Some("example"));
}

#[test]
fn backend_response_is_forwarded_unchanged() {
    let reply = |request: &Message| match request.first_line.split(' ').nth(1) {
        Some("/gone") => Reply::Write("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno".into()),
        Some("/moved") => {
            Reply::Write("HTTP/1.1 302 Found\r\nLocation: /else\r\nContent-Length: 0\r\n\r\n".into())
        }
        _ => Reply::Write("HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops".into()),
    };
    let one = Backend::with_handler(reply);
    let two = Backend::with_handler(reply);
    let proxy = serve(&config_with_two_backends(&one, &two));
    let get = |path: &str| request(&proxy, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
    assert_eq!((get("/gone").status(), get("/gone").text().as_str()), (404, "no"));
    assert_eq!(get("/moved").header("location"), Some("/else"));
    let post = request(&proxy, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    assert_eq!((post.status(), post.text().as_str()), (500, "oops"));
    let seen = one.requests().into_iter().chain(two.requests());
    assert_eq!(
        seen.filter(|request| request.first_line.starts_with("POST")).count(),
        1,
        "a request that is not idempotent is sent once"
    );
}

#[test]
fn head_response_keeps_content_length() {
    let head = Reply::Write("HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n".into());
    let one = Backend::new(head.clone());
    let two = Backend::new(head);
    let proxy = serve(&config_with_two_backends(&one, &two));
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream.set_read_timeout(Some(LIMIT)).expect("a valid timeout");
    stream.write_all(b"HEAD /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").expect("the proxy reads");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the end of the response");
    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    assert!(
        response.to_lowercase().contains("content-length: 1234\r\n") && response.ends_with("\r\n\r\n"),
        "{response}"
    );
}

#[test]
fn ctl_calls_reach_the_proxy() {
    let one = Backend::new(Reply::Write(ok("")));
    let two = Backend::new(Reply::Write(ok("")));
    let proxy = serve(&config_with_two_backends(&one, &two));
    wait_for("readiness", || ctl(&proxy, &["health"]).status.success());
    request(&proxy, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    let stats = ctl(&proxy, &["stats", "--json"]);
    let stats: serde_json::Value = serde_json::from_slice(&stats.stdout).expect("JSON");
    assert_eq!((&stats["completed"]["read"], &stats["members"]), (&1.into(), &2.into()));
    assert!(
        text(&ctl(&proxy, &["stats"]).stdout).lines().any(|line| line.starts_with("| read ")),
        "without --json, the statistics are a table"
    );
    let metrics = text(&ctl(&proxy, &["metrics"]).stdout);
    assert!(metrics.contains("leadrelay_requests_total{class=\"read\",cause=\"served\"} 1"), "{metrics}");
    assert!(metrics.contains("leadrelay_choices_total{choice=\"at_once\"}"), "{metrics}");
    let id = one.address.to_string();
    assert_eq!(text(&ctl(&proxy, &["maint", &id]).stdout), "yes\n");
    for _ in 0..4 {
        request(&proxy, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    let before = one.requests().len();
    assert!(before <= 1 && two.requests().len() >= 4, "a backend in maintenance gets no requests");
    assert_eq!(text(&ctl(&proxy, &["ready", &id]).stdout), "yes\n");
    let unknown = ctl(&proxy, &["maint", "nobody"]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(text(&unknown.stderr).contains("no backend named 'nobody'"), "{}", text(&unknown.stderr));
    assert_eq!(text(&ctl(&proxy, &["drain"]).stdout), "yes\n");
    assert_eq!(request(&proxy, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status(), 503);
    assert_eq!(text(&ctl(&proxy, &["undrain", "--json"]).stdout), "{\"status\":200,\"yes\":true}\n");
}

#[test]
fn reload_changes_backends_completely_or_not_at_all() {
    let one = Backend::new(Reply::Write(ok("")));
    let two = Backend::new(Reply::Write(ok("")));
    let toml = config_with_two_backends(&one, &two);
    let proxy = serve(&toml);
    wait_for("readiness", || ctl(&proxy, &["health"]).status.success());
    let count = |key: &str| {
        let stats = ctl(&proxy, &["stats", "--json"]);
        serde_json::from_slice::<serde_json::Value>(&stats.stdout).expect("JSON")[key].as_u64()
    };
    proxy.reload("listen = 7");
    wait_for("the rejected reload", || count("config_reload_errors") == Some(1));
    assert_eq!(count("members"), Some(2));
    let other = Backend::new(Reply::Write(ok("")));
    proxy.reload(&format!("{toml}[[backends]]\naddress = \"{}\"\n", other.address));
    wait_for("the third backend", || count("members") == Some(3));
    assert_eq!((count("config_reloads"), count("config_reload_errors")), (Some(1), Some(1)));
}

#[test]
fn ctl_without_response_fails_in_time() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = silent.local_addr().expect("an address").to_string();
    let output = run_leadrelay(&["ctl", "--admin", &address, "health"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("no response within"), "{}", text(&output.stderr));
    drop(silent);
    let output = run_leadrelay(&["ctl", "--admin", &address, "health"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("cannot connect"), "{}", text(&output.stderr));
}
