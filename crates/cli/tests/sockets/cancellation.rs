//! Clients that cancel their requests.

use std::io::Read;
use std::net::TcpStream;

use super::backend::{Backend, Latch, Reply, ok};
use super::client::{Client, page, submit};
use super::discovery::{Discovery, list};
use super::listener::wait_for_close;
use super::proxy::Proxy;
use super::setup::Setup;
use super::{LIMIT, wait_for};

/// How a client cancels.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cancellation {
    Close,
    Reset,
    /// It shuts down for writing only, which counts as a close: the proxy can't distinguish the two.
    ShutDownWrite,
    /// With a part of the next request, or with all of it, behind the one that waits.
    CloseBehindPart,
    CloseBehindRequest,
    ResetBehindRequest,
}

pub const CANCELLATIONS: [Cancellation; 6] = [
    Cancellation::Close,
    Cancellation::Reset,
    Cancellation::ShutDownWrite,
    Cancellation::CloseBehindPart,
    Cancellation::CloseBehindRequest,
    Cancellation::ResetBehindRequest,
];

impl Cancellation {
    /// Cancels, and waits until the proxy's system has received it. Returns the client if its connection is still open.
    #[must_use]
    pub fn cancel(self, client: Client) -> Option<Client> {
        let (from, to) = client.addresses();
        let open = self.close(client);
        wait_for_close(from, to);
        open
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

/// A request with a long time-out.
pub fn with_long_timeout(request: &str) -> String {
    request.replace("X-Timeout: 5\r", "X-Timeout: 60\r")
}

/// A proxy with an admin address and long time-outs, and its discovery.
pub fn start_proxy_with_long_timeouts(hosts: &[String]) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, hosts));
    let setup =
        Setup { has_admin: true, deadline_ms: 60_000, connect_timeout_ms: 30_000, ..Setup::default() };
    let proxy = Proxy::start_ready(&discovery, &setup);
    (discovery, proxy)
}

pub fn wait_for_pending(proxy: &Proxy, count: u64) {
    wait_for("the count of open requests", || proxy.stat("/pending") == count);
}

/// A backend that delays requests with this prefix until the latch opens, and answers all others.
pub fn delaying_backend(latch: &Latch, prefix: &'static str) -> Backend {
    let latch = latch.clone();
    Backend::with(move |request| match request.id().starts_with(prefix) {
        true => Reply::Delayed(latch.clone(), ok("held")),
        false => Reply::Write(ok("prompt")),
    })
}

/// Sends twelve requests that the backend delays: more than it has slots, so that what follows waits.
pub fn send_delayed_requests(proxy: &Proxy) -> Vec<Client> {
    let client = |number| {
        let mut client = proxy.client();
        client.send(&submit(&format!("r-held-{number}"), "60", "x"));
        client
    };
    (0..12).map(client).collect()
}

/// Sends twelve requests that the backend delays, and waits until the proxy has them all.
pub fn fill_slots(proxy: &Proxy) -> Vec<Client> {
    let clients = send_delayed_requests(proxy);
    wait_for_pending(proxy, 12);
    clients
}

pub fn request_ids(backend: &Backend) -> Vec<String> {
    backend.requests().iter().map(|request| request.id().to_owned()).collect()
}

/// Asserts that the proxy ends a connection without a byte on it.
pub fn assert_closed_unused(mut connection: TcpStream, how: impl std::fmt::Debug) {
    connection.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let mut bytes = Vec::new();
    let ended = connection.read_to_end(&mut bytes);
    assert!(ended.is_ok() && bytes.is_empty(), "{how:?}: {ended:?}, {}", String::from_utf8_lossy(&bytes));
}
