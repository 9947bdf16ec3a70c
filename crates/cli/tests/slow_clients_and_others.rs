//! Clients that take nothing of long responses, and others beside them.
mod sockets;

use std::time::Duration;

use sockets::*;

/// The memory and descriptor limits, the lowest that the platform states.
const MEMORY_MB: usize = 32;
const MAX_DESCRIPTORS: usize = 256;
/// Clients that take nothing; together with the others under a third of the descriptors.
const STUCK_CLIENTS: usize = 50;
/// As many clients as may send requests, less one.
const MOST_STUCK_CLIENTS: usize = MAX_DESCRIPTORS / 3 - 1;
/// Clients that connect before the others and send nothing: more than there are sockets for.
const SILENT_CLIENTS: usize = 200;
/// Length in bytes of a response that the socket buffers do not hold.
const STUCK_RESPONSE_BYTES: usize = 16_000_000;
/// Length in bytes of the other clients' responses and request bodies.
const PROMPT_BYTES: usize = 1_000_000;
/// The time for which the rest of a response must not be held back.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// A proxy with clients that have read the head of a long response, and take nothing of its body.
struct StuckClients {
    proxy: Proxy,
    _discovery: Discovery,
    _clients: Vec<Client>,
}

impl StuckClients {
    /// Starts as many such clients, after others that only connect.
    fn start(count: usize, silent: usize) -> Self {
        let backend = start_paced_backend(|request| match request.id() {
            "prompt" => PacedResponse::of_length(PROMPT_BYTES),
            _ => PacedResponse::of_length(STUCK_RESPONSE_BYTES),
        });
        let discovery = Discovery::new();
        discovery.publish(&list(1, true, &[host("s-0", backend, "up", 0)]));
        let setup = Setup { memory_mb: MEMORY_MB, max_descriptors: MAX_DESCRIPTORS, ..setup_with_admin() };
        let proxy = Proxy::start_ready(&discovery, &setup);
        let mut clients: Vec<Client> = (0..silent).map(|_| proxy.client()).collect();
        let start_client = |number| {
            let mut client = proxy.client();
            client.send(&page(&format!("r-{number}")));
            assert_eq!(client.read_head().status(), 200);
            client
        };
        clients.extend((0..count).map(start_client));
        // By then the socket buffers are full and the responses stand still in the proxy.
        std::thread::sleep(Duration::from_millis(500));
        StuckClients { proxy, _discovery: discovery, _clients: clients }
    }
}

/// Asserts that another client's response arrives in time.
fn assert_prompt_response(proxy: &Proxy) {
    let mut client = proxy.client();
    client.send(&page("prompt"));
    client.set_read_timeout(MAX_WAIT);
    let response = client.response().expect("a complete response without a pause of 2 s");
    assert_eq!((response.status(), response.body.len()), (200, PROMPT_BYTES));
}

/// Guards against clients that take their responses slowly and hold back other clients' responses.
#[test]
fn clients_that_take_nothing_do_not_hold_back_another_response() {
    let stuck = StuckClients::start(STUCK_CLIENTS, 0);
    assert_prompt_response(&stuck.proxy);
}

/// Guards against clients that are allowed to send requests, and are rejected because all sockets for backends are in use.
#[test]
fn every_client_that_may_send_a_request_gets_a_connection_to_a_backend() {
    let stuck = StuckClients::start(MOST_STUCK_CLIENTS, 0);
    assert_prompt_response(&stuck.proxy);
}

/// Guards against the same while clients that send nothing occupy the other sockets.
#[test]
fn clients_that_send_nothing_leave_sockets_for_backends() {
    let stuck = StuckClients::start(MOST_STUCK_CLIENTS, SILENT_CLIENTS);
    assert_prompt_response(&stuck.proxy);
}

/// Guards against clients that take their responses slowly and hold back a request body that is forwarded while it is received.
#[test]
fn clients_that_take_nothing_do_not_hold_back_a_request_body() {
    let stuck = StuckClients::start(STUCK_CLIENTS, 0);
    let request = submit("prompt", "2", &"x".repeat(PROMPT_BYTES));
    let response = stuck.proxy.client().request(&request).expect("a response");
    assert_eq!((response.status(), response.body.len()), (200, PROMPT_BYTES));
}
