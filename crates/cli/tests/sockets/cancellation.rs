//! Helpers for tests in which clients cancel their requests.

use std::io::Read;
use std::net::TcpStream;

use super::backend::{Backend, Latch, Reply, ok};
use super::client::{Client, page, submit};
use super::discovery::{Discovery, list};
use super::listener::wait_for_close;
use super::proxy::Proxy;
use super::setup::Setup;
use super::{LIMIT, wait_for};

/// The way in which a client cancels its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cancellation {
    /// The client closes the connection.
    Close,
    /// The client resets the connection.
    Reset,
    /// The client shuts down its side for writing only. This counts as a close, because the proxy can't distinguish the
    /// two.
    ShutDownWrite,
    /// The client sends a part of the next request behind the waiting one, then closes the connection.
    CloseBehindPart,
    /// The client sends all of the next request behind the waiting one, then closes the connection.
    CloseBehindRequest,
    /// The client sends all of the next request behind the waiting one, then resets the connection.
    ResetBehindRequest,
}

/// All ways to cancel.
pub const CANCELLATIONS: [Cancellation; 6] = [
    Cancellation::Close,
    Cancellation::Reset,
    Cancellation::ShutDownWrite,
    Cancellation::CloseBehindPart,
    Cancellation::CloseBehindRequest,
    Cancellation::ResetBehindRequest,
];

impl Cancellation {
    /// Cancels, and waits until the operating system has delivered the cancellation to the proxy's socket. Returns the
    /// client if its side of the connection is still open for reading.
    #[must_use]
    pub fn cancel(self, client: Client) -> Option<Client> {
        let (client_address, proxy_address) = client.addresses();
        let half_open_client = self.close(client);
        wait_for_close(client_address, proxy_address);
        half_open_client
    }

    fn close(self, mut client: Client) -> Option<Client> {
        match self {
            Cancellation::Close | Cancellation::Reset | Cancellation::ShutDownWrite => {}
            Cancellation::CloseBehindPart => client.send("GET /pa"),
            Cancellation::CloseBehindRequest | Cancellation::ResetBehindRequest => {
                client.send(&page("r-behind"))
            }
        }
        match self {
            Cancellation::ShutDownWrite => {
                client.shut_down_write();
                return Some(client);
            }
            Cancellation::Reset | Cancellation::ResetBehindRequest => client.reset(),
            Cancellation::Close | Cancellation::CloseBehindPart | Cancellation::CloseBehindRequest => {
                drop(client)
            }
        }
        None
    }
}

/// Replaces a request's timeout of 5 s by 60 s.
pub fn with_long_timeout(request: &str) -> String {
    request.replace("X-Timeout: 5\r", "X-Timeout: 60\r")
}

/// Starts a discovery with these hosts, and a proxy with an admin address and long timeouts; waits until it is ready.
pub fn start_proxy_with_long_timeouts(hosts: &[String]) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, hosts));
    let setup =
        Setup { has_admin: true, deadline_ms: 60_000, connect_timeout_ms: 30_000, ..Setup::default() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    (discovery, proxy)
}

/// Waits until this many requests are open in the proxy.
pub fn wait_for_pending(proxy: &Proxy, count: u64) {
    wait_for("the expected number of open requests", || proxy.stat("/pending") == count);
}

/// A backend that delays requests whose id has this prefix until the latch opens, and replies at once to all others.
pub fn delaying_backend(latch: &Latch, prefix: &'static str) -> Backend {
    let latch = latch.clone();
    Backend::with_handler(move |request| match request.id().starts_with(prefix) {
        true => Reply::Delayed(latch.clone(), ok("held")),
        false => Reply::Write(ok("prompt")),
    })
}

/// Sends twelve requests that the backend delays. They are more than it has slots, so that later requests are queued.
pub fn send_delayed_requests(proxy: &Proxy) -> Vec<Client> {
    let client = |number| {
        let mut client = proxy.client();
        client.send(&submit(&format!("r-held-{number}"), "60", "x"));
        client
    };
    (0..12).map(client).collect()
}

/// Sends twelve requests that the backend delays, and waits until all of them are open in the proxy.
pub fn fill_slots(proxy: &Proxy) -> Vec<Client> {
    let clients = send_delayed_requests(proxy);
    wait_for_pending(proxy, 12);
    clients
}

/// The ids of the requests that a backend has received, in their order.
pub fn request_ids(backend: &Backend) -> Vec<String> {
    backend.requests().iter().map(|request| request.id().to_owned()).collect()
}

/// Asserts that the proxy closes a connection without having sent a byte on it; `context` is part of the message.
pub fn assert_closed_unused(mut connection: TcpStream, context: impl std::fmt::Debug) {
    connection.set_read_timeout(Some(LIMIT)).expect("a read timeout");
    let mut bytes = Vec::new();
    let ended = connection.read_to_end(&mut bytes);
    assert!(ended.is_ok() && bytes.is_empty(), "{context:?}: {ended:?}, {}", String::from_utf8_lossy(&bytes));
}
