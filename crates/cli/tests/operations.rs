//! Operations on a running proxy: calls to its admin address, and reloads of its configuration by SIGHUP.
mod sockets;

use std::io::{Read, Write};

use sockets::*;

#[test]
fn statistics_count_each_request_once() {
    let latch = Latch::default();
    let latch_copy = latch.clone();
    let backend = Backend::with_handler(move |request| match request.id() {
        "r-held" => Reply::Delayed(latch_copy.clone(), ok("")),
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
    latch.open();
    assert_eq!(status(waiting.response()), 200);
    wait_for("the end of the request", || proxy.stat("/pending") == 0);
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
fn unfinished_admin_calls_are_closed_and_do_not_block_others() {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    let mut stalled: Vec<_> = (0..40).map(|_| proxy.admin_connection()).collect();
    stalled.iter_mut().for_each(|connection| connection.write_all(b"GET /sta").expect("the proxy accepts"));
    assert_eq!(proxy.admin_call("GET /stats").status(), 200);
    for mut connection in stalled {
        let mut response = Vec::new();
        let _ = connection.read_to_end(&mut response); // the proxy closes or resets it
        assert!(!response.starts_with(b"HTTP/1.1 2"));
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
    // A connected client is served once more before its connection is closed. New connections are still accepted.
    let response = used.request(&page("r-3")).expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(used.is_closed());
    assert!(idle.is_closed(), "idle connections are closed too");
    assert_eq!(proxy.client().request(&page("r-4")).expect("a response").header("connection"), Some("close"));
    assert_eq!(proxy.admin_call("PUT /healthcheck/ok").status(), 200);
    assert!(proxy.is_up());
    let response = proxy.client().request(&page("r-5")).expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, None));
    assert!(proxy.is_running());
}

#[test]
fn backend_in_maintenance_gets_no_requests() {
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
    // The backend restarts, according to the endpoint list; the maintenance still applies.
    discovery.publish(&list(2, false, &[host("s-0", one.address, "removed", 0)]));
    discovery.publish(&list(3, false, &[host("s-0", one.address, "up", 1)]));
    wait_for("two backends again", || proxy.stat("/members") == 2);
    assert_eq!(proxy.stat("/members_unavailable"), 1);
    (10..20).for_each(|id| assert_eq!(serving_backend(id), "two"));
    assert_eq!(one.requests().len(), before);
    assert_eq!(proxy.admin_call("PUT /backends/s-0/ready").status(), 200);
    let mut id = 20;
    wait_for("a response of the backend that is ready again", || {
        id += 1;
        serving_backend(id) == "one"
    });
    wait_for("two available backends", || proxy.stat("/members_unavailable") == 0);
}

/// The JSON text of the request class with this name in a configuration.
fn class(text: &str, name: &str) -> String {
    let start = text.find(&format!(r#"{{"name":"{name}""#)).expect("a class");
    text[start..=start + text[start..].find('}').expect("the end of the class")].to_owned()
}

#[test]
fn reload_changes_classes_and_keeps_counts() {
    let latch = Latch::default();
    let backend = delaying_backend(&latch, "r-held");
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start_ready(&discovery, &setup_with_admin());
    assert_eq!(status(proxy.client().request(&page("r-1"))), 200);
    assert_eq!(status(proxy.client().request(&submit("r-2", "5", "x"))), 200);
    let mut pending_client = proxy.client();
    pending_client.send(&page("r-held"));
    wait_for("the delayed request", || backend.requests().len() == 3);
    // The new configuration removes the class of the pending request, has another first class instead, and makes the
    // deduplicated class `booking` idempotent.
    let text = config(discovery.address, &setup_with_admin());
    let removed_class = class(&text, "page");
    let deduplicated_class = class(&text, "booking");
    let text = text
        .replace(&deduplicated_class, &removed_class.replace("page", "booking"))
        .replace(&removed_class, &removed_class.replace("page", "fresh"));
    proxy.reload(&text);
    wait_for("the reload", || proxy.stat("/config_reloads") == 1);
    assert_eq!(status(proxy.client().request(&page("r-3"))), 404);
    for path in ["/fresh", "/booking"] {
        assert_eq!(status(proxy.client().request(&page("r-4").replace("/page", path))), 200, "{path}");
    }
    assert_eq!(status(proxy.client().request(&submit("r-5", "5", "x"))), 200);
    latch.open();
    assert_eq!(pending_client.response().expect("a response").text(), "held");
    wait_for("the end of the delayed request", || proxy.stat("/completed/page") == 2);
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
        wait_for("the rejected reload", || proxy.stat("/config_reload_errors") == number as u64 + 1);
        assert_eq!(status(proxy.client().request(&page(&format!("r-{number}")))), 200);
    }
    assert_eq!(proxy.stat("/config_reloads"), 0);
    assert!(proxy.is_running());
}
