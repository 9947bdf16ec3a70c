//! Test support: runs a proxy process on loopback with a mock discovery, mock backends and test clients. The operating
//! system chooses all ports. All waits end when a condition is met, or fail after the generous [`LIMIT`].
#![allow(dead_code, unused_imports)] // each test file uses only some of these helpers

mod backend;
pub mod cancellation;
mod client;
mod discovery;
mod listener;
mod message;
mod paced_backend;
mod program;
mod proxy;
mod scripted_discovery;
mod setup;
pub mod slow_writers;
mod system;

use std::thread;
use std::time::{Duration, Instant};

pub use backend::{Backend, Latch, Reply, empty, ok};
pub use cancellation::delaying_backend;
pub use client::{Client, page, submit};
pub use discovery::{Discovery, all_up, host, list};
pub use listener::{RefusingAddress, accept_connecting, fill_accept_queue, full_listener, wait_for_close};
pub use message::{Message, read_message};
pub use paced_backend::{CHUNKED_HEAD, LAST_CHUNK, PIECE_BYTES, PacedResponse, chunk, start_paced_backend};
pub use program::{config_with_two_backends, run_leadrelay, text};
pub use proxy::Proxy;
pub use scripted_discovery::{ScriptedDiscovery, ScriptedResponse};
pub use setup::{Platform, Setup, config, config_file, setup_with_admin, setup_with_platform};

/// The time limit of every wait, long enough for a heavily loaded machine.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Waits until a condition is met; panics after [`LIMIT`] with a message that names the condition.
pub fn wait_for(condition: &str, mut is_met: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !is_met() {
        assert!(Instant::now() < end, "timed out after {LIMIT:?} waiting for {condition}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The status of a response; panics if there is none.
pub fn status(response: Option<Message>) -> u16 {
    response.expect("a response").status()
}

/// Starts a discovery that lists these backends as up, and a proxy with default settings; waits until it is ready.
pub fn proxy_with(backends: &[&Backend]) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&all_up(backends));
    let proxy = Proxy::start_ready(&discovery, &Setup::default());
    (discovery, proxy)
}
