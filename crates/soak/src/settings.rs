//! The settings of a small fleet, and the configuration of its proxies.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

/// A class of requests. Classes differ in whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Idempotent.
    Read,
    /// Carries an idempotency key: backends of one cell drop duplicates for [`IDEMPOTENCY_WINDOW`].
    Booking,
    /// Not idempotent: it must run once at most.
    Submit,
}

impl RequestClass {
    /// All classes.
    pub const ALL: [RequestClass; 3] = [RequestClass::Read, RequestClass::Booking, RequestClass::Submit];

    /// Name of the class in paths and settings.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Read => "read",
            RequestClass::Booking => "booking",
            RequestClass::Submit => "submit",
        }
    }
}

/// For how long backends of a cell drop duplicates.
pub const IDEMPOTENCY_WINDOW: Duration = Duration::from_millis(1200);
/// How long attempts may still begin at a backend after it has started to drain.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Longest deadline of a class.
pub const MAX_DEADLINE: Duration = Duration::from_secs(2);
/// File descriptors that a proxy may hold.
pub const MAX_DESCRIPTORS: usize = 512;
/// How long a new backend is in slow start.
pub const SLOW_START: Duration = Duration::from_millis(8700);
/// Fraction of its capacity that a new backend has at the beginning of slow start.
pub const SLOW_START_MIN_CAPACITY: f64 = 0.3;
/// A backend in slow start is overloaded by more than this multiple of its capacity within [`OVERLOAD_WINDOW`].
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// The window over which the load of a backend in slow start is counted.
pub const OVERLOAD_WINDOW: Duration = Duration::from_millis(1500);

/// Fraction of its capacity that a backend has at the given age: it rises linearly during slow start, then stays at 1.
pub fn slow_start_factor(age: Duration) -> f64 {
    let progress = (age.as_secs_f64() / SLOW_START.as_secs_f64()).min(1.0);
    SLOW_START_MIN_CAPACITY + (1.0 - SLOW_START_MIN_CAPACITY) * progress
}

/// A proxy's position in the fleet and its addresses.
#[derive(Clone, Debug)]
pub struct ProxySpec {
    /// Index of the proxy in the fleet.
    pub index: usize,
    /// Number of proxies in the fleet.
    pub proxy_count: usize,
    /// Address on which the proxy listens for clients.
    pub listen: SocketAddr,
    /// Address of the discovery listener that serves only this proxy.
    pub discovery: SocketAddr,
    /// Gossip addresses of both proxies, if gossip is enabled.
    pub peers: Option<[SocketAddr; 2]>,
}

/// Returns the configuration of a process, in the JSON format that operators use.
pub fn proxy_config(spec: &ProxySpec, admin: SocketAddr, seed: u64, extra_classes: usize) -> Value {
    let mut config = json!({
        "name": format!("n{}", spec.index), "listen": spec.listen, "admin_addr": admin,
        "discovery": spec.discovery, "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": MAX_DESCRIPTORS}, "known": null,
        "settings": {"zone": "a", "zones": ["a"], "flavors": ["k"], "nInstances": spec.proxy_count,
            "myNumber": spec.index, "discovery": "pushed", "weightSource": "nominal",
            "accounts": [{"name": "acme", "allowancePerS": 100_000}], "classes": classes(extra_classes),
            "ceilings": {"maxAttempts": 4, "dialTimeout": 300, "idleClose": 4000,
                "mayTell": spec.peers.is_some()},
            "rules": {"startCapacity": SLOW_START_MIN_CAPACITY, "cold": SLOW_START.as_millis() as u64,
                "fall": OVERLOAD_WINDOW.as_millis() as u64, "fallMultiple": OVERLOAD_MULTIPLE,
                "drainGrace": DRAIN_GRACE.as_millis() as u64}}});
    if let Some(peers) = spec.peers {
        config["peer_listen"] = json!(peers[spec.index]);
        config["peers"] = json!(peers);
        config["peers_all"] = json!(peers[1 - spec.index]);
    }
    config
}

/// Returns the settings of all classes, and of additional classes that no client uses.
fn classes(extra: usize) -> Vec<Value> {
    let mut classes = vec![
        class(RequestClass::Read.name(), "idempotent"),
        class(RequestClass::Booking.name(), "deduplicated"),
        class(RequestClass::Submit.name(), "at_most_once"),
    ];
    classes.extend((0..extra).map(|number| class(&format!("extra-{number}"), "idempotent")));
    classes
}

fn class(name: &str, effect: &str) -> Value {
    let deadline = MAX_DEADLINE.as_millis() as u64;
    json!({"name": name, "effect": effect, "dedupScope": "cell",
        "window": IDEMPOTENCY_WINDOW.as_millis() as u64, "promise": deadline * 4 / 5, "deadline": deadline,
        "worth": 1})
}
