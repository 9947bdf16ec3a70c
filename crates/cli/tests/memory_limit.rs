//! The process stays within its memory limit whatever its clients and backends do.
mod sockets;

use std::ops::Range;
use std::thread;
use std::time::Duration;

use sockets::*;

/// The lowest memory limit and the highest descriptor limit that the platform states.
const MEMORY_MB: usize = 32;
const MAX_DESCRIPTORS: usize = 1024;
const BYTES_PER_MB: usize = 1_000_000;
/// Clients that send requests: just under a third of the descriptors.
const CLIENTS: usize = 335;
/// Further clients, which connect and send nothing.
const SILENT_CLIENTS: usize = 300;
/// Further clients, which send a part of a long request head.
const PARTIAL_HEADS: usize = 640;
/// Length in bytes of such a part.
const PARTIAL_HEAD_BYTES: usize = 15_000;
/// Length in bytes of a part that is longer than a head may be.
const TOO_LONG_HEAD_BYTES: usize = 20_000;
/// Length in bytes of a head that is nearly as long as a head may be.
const LONG_HEAD_BYTES: usize = 14_000;
/// Number of short header fields that a request may have beside the usual ones.
const MANY_FIELDS: usize = 85;
/// Length in bytes of a request or response body that its client takes or sends slowly.
const LONG_BODY_BYTES: usize = 8_000_000;
/// Length in bytes of a request body of which one half is sent.
const HALF_SENT_BODY_BYTES: usize = 1_000_000;
/// Length in bytes of a response that is buffered.
const BUFFERED_RESPONSE_BYTES: usize = 60_000;
/// Bytes that a slow client sends between two looks at the memory, and the time between them.
const SLOW_PIECE_BYTES: usize = 6_400;
const SLOW_PIECE_PAUSE: Duration = Duration::from_millis(100);
/// How often a test looks at the memory: for longer than a request may take to arrive.
const LOOKS: usize = 25;

/// Starts a proxy with the limits before a backend at this address.
fn proxy_with_limits(backend: std::net::SocketAddr) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", backend, "up", 0)]));
    let setup = Setup { memory_mb: MEMORY_MB, max_descriptors: MAX_DESCRIPTORS, ..setup_with_admin() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    (discovery, proxy)
}

/// Starts a backend that gives a long response to each request.
fn start_long_backend() -> std::net::SocketAddr {
    start_paced_backend(|_| PacedResponse::of_length(LONG_BODY_BYTES))
}

fn assert_within_limit(proxy: &Proxy) {
    assert_together_within_limit(&[proxy]);
}

/// Asserts that processes of one proxy are within its limit together.
fn assert_together_within_limit(processes: &[&Proxy]) {
    let used: Vec<usize> = processes.iter().map(|process| process.anonymous_kib() << 10).collect();
    assert!(used.iter().sum::<usize>() <= MEMORY_MB * BYTES_PER_MB, "{used:?} bytes are used");
}

/// Looks at something again and again, for longer than a request may take to arrive.
fn look_repeatedly(mut look: impl FnMut()) {
    for _ in 0..LOOKS {
        look();
        // The pause is the pace of the clients; it does not wait for an event.
        thread::sleep(SLOW_PIECE_PAUSE);
    }
}

/// Guards against connections that keep the memory of the longest response that they have carried.
#[test]
fn buffered_responses_leave_nothing_with_their_connections() {
    let backend = Backend::new(Reply::Write(ok(&"x".repeat(BUFFERED_RESPONSE_BYTES))));
    let (_discovery, proxy) = proxy_with_limits(backend.address);
    let mut clients: Vec<Client> = Vec::new();
    for number in 0..CLIENTS {
        let mut client = proxy.client();
        let response = client.request(&page(&format!("r-{number}"))).expect("a response");
        assert_eq!((response.status(), response.body.len()), (200, BUFFERED_RESPONSE_BYTES));
        clients.push(client);
    }
    clients.extend((0..SILENT_CLIENTS).map(|_| proxy.client()));
    wait_for("the connections", || {
        proxy.metric("leadrelay_connections{side=\"clients\"}") >= (CLIENTS + SILENT_CLIENTS) as u64
    });
    assert_within_limit(&proxy);
}

/// A request with the head of a long body, which is sent later.
fn long_upload(id: &str, length: usize) -> String {
    submit(id, "5", "").replace("Content-Length: 0", &format!("Content-Length: {length}"))
}

/// Clients of which every second one sends a long body slowly and the others read nothing of a long response.
struct SlowClients(Vec<Client>);

impl SlowClients {
    /// Starts clients with these numbers, whose requests have these header fields beside the usual ones.
    fn start(proxy: &Proxy, numbers: Range<usize>, fields: &str) -> Self {
        let start = |number| {
            let mut client = proxy.client();
            let id = format!("r-{number}");
            let request = if number % 2 == 0 { long_upload(&id, LONG_BODY_BYTES) } else { page(&id) };
            client.send(&request.replacen("\r\n", &format!("\r\n{fields}"), 1));
            client
        };
        SlowClients(numbers.map(start).collect())
    }

    /// Lets the clients send for a while, and looks at something again and again meanwhile.
    fn go_on(&mut self, look: impl Fn()) {
        let piece = "x".repeat(SLOW_PIECE_BYTES);
        look_repeatedly(|| {
            self.0.iter_mut().step_by(2).for_each(|client| client.send(&piece));
            look();
        });
    }
}

/// Lets slow clients whose requests have these header fields go on for a while. Asserts that the proxy stays within its
/// limit, and that it serves all of them.
fn assert_slow_clients_are_served_within_the_limit(fields: &str) {
    let (_discovery, proxy) = proxy_with_limits(start_long_backend());
    let mut clients = SlowClients::start(&proxy, 0..CLIENTS, fields);
    clients.go_on(|| assert_within_limit(&proxy));
    assert_eq!(proxy.stat("/pending"), CLIENTS as u64);
}

/// Guards against slow clients with long bodies that drive the proxy over its memory limit.
#[test]
fn slow_clients_with_long_bodies_stay_within_the_limit() {
    assert_slow_clients_are_served_within_the_limit("");
}

/// Guards against long heads of which each connection and each request keeps a copy.
#[test]
fn slow_clients_with_long_heads_stay_within_the_limit() {
    assert_slow_clients_are_served_within_the_limit(&format!("X-Long: {}\r\n", "x".repeat(LONG_HEAD_BYTES)));
}

/// Guards against heads of many short fields, whose tables take far more memory than the fields.
#[test]
fn slow_clients_with_many_header_fields_stay_within_the_limit() {
    let fields: String = (0..MANY_FIELDS).map(|number| format!("f{number}: abc\r\n")).collect();
    assert_slow_clients_are_served_within_the_limit(&fields);
}

/// Starts a proxy and, once slow clients have used it for a while, its successor, between which `leave` is called with the
/// clients. Then as many clients as are missing use the successor. Asserts that both stay within the limit together.
fn assert_upgrade_stays_within_the_limit(first_clients: usize, leave: impl Fn(SlowClients) -> SlowClients) {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", start_long_backend(), "up", 0)]));
    let (setup, _folder) = setup_with_platform("memory-limit");
    let setup = Setup { memory_mb: MEMORY_MB, max_descriptors: MAX_DESCRIPTORS, ..setup };
    let predecessor = Proxy::start_ready(&discovery, &setup);
    let mut clients = SlowClients::start(&predecessor, 0..first_clients, "");
    clients.go_on(|| assert_within_limit(&predecessor));
    let mut clients = leave(clients);
    let successor = Proxy::start(&discovery, &setup);
    let missing = clients.0.len()..CLIENTS;
    clients.0.extend(SlowClients::start(&successor, missing, "").0);
    clients.go_on(|| assert_together_within_limit(&[&predecessor, &successor]));
}

/// Guards against two processes of an upgrade that are over the limit together.
#[test]
fn slow_clients_stay_within_the_limit_while_two_processes_overlap() {
    assert_upgrade_stays_within_the_limit(CLIENTS / 2, |clients| clients);
}

/// Guards against a process that keeps the memory of clients which have left, and that its successor needs.
#[test]
fn memory_of_clients_that_have_left_is_free_for_the_successor() {
    assert_upgrade_stays_within_the_limit(CLIENTS, |clients| {
        drop(clients);
        SlowClients(Vec::new())
    });
}

/// Guards against clients that send one half of a long body at once, and then stop.
#[test]
fn clients_that_stop_half_way_through_a_body_stay_within_the_limit() {
    let (_discovery, proxy) = proxy_with_limits(start_long_backend());
    let half = "x".repeat(HALF_SENT_BODY_BYTES / 2);
    let clients: Vec<thread::JoinHandle<Client>> = (0..CLIENTS)
        .map(|number| {
            let mut client = proxy.client();
            client.send(&long_upload(&format!("r-{number}"), HALF_SENT_BODY_BYTES));
            let half = half.clone();
            thread::spawn(move || {
                client.send(&half);
                client
            })
        })
        .collect();
    look_repeatedly(|| assert_within_limit(&proxy));
    clients.into_iter().for_each(|client| drop(client.join()));
}

/// Lets clients send parts of this length of a request head, and asserts that the proxy stays within its limit.
fn assert_partial_heads_stay_within_the_limit(part_length: usize) {
    let backend = Backend::new(Reply::Write(ok("")));
    let (_discovery, proxy) = proxy_with_limits(backend.address);
    let part = format!("GET /page HTTP/1.1\r\nX-Long: {}", "x".repeat(part_length));
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..PARTIAL_HEADS {
        let mut client = proxy.client();
        client.send(&part);
        clients.push(client);
    }
    look_repeatedly(|| assert_within_limit(&proxy));
}

/// Guards against clients that send a part of a long head, of which the proxy holds every byte twice.
#[test]
fn partial_heads_stay_within_the_limit() {
    assert_partial_heads_stay_within_the_limit(PARTIAL_HEAD_BYTES);
}

/// Guards against clients that send a head that is too long, and whose buffers are kept until they close.
#[test]
fn heads_that_are_too_long_stay_within_the_limit() {
    assert_partial_heads_stay_within_the_limit(TOO_LONG_HEAD_BYTES);
}
