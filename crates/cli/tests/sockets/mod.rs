//! A proxy process on loopback, with a stand-in discovery, stand-in backends and clients for it. All ports are the system's
//! choice, and all waits end on a condition or after a generous limit.
#![allow(dead_code, unused_imports)] // each test file uses its own part

mod backend;
pub mod cancellation;
mod client;
mod discovery;
mod listener;
mod message;
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
pub use program::{leadrelay, text, two_backends};
pub use proxy::Proxy;
pub use scripted_discovery::{ScriptedDiscovery, ScriptedResponse};
pub use setup::{Platform, Setup, config, config_file, setup_with_admin, setup_with_platform};

/// No wait takes longer, however loaded the machine.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Waits until a condition is met.
pub fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !is_met() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The status of a response that has to be there.
pub fn status(response: Option<Message>) -> u16 {
    response.expect("a response").status()
}

/// A ready proxy with these backends, all up.
pub fn proxy_with(backends: &[&Backend]) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&all_up(backends));
    let proxy = Proxy::start_ready(&discovery, &Setup::default());
    (discovery, proxy)
}
