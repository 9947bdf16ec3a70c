//! The shape of a small fleet, and the configuration that its proxies get.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

/// Whether a class of requests may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Repeating it does no harm.
    Read,
    /// Backends of one cell drop repeats for [`WINDOW`].
    Booking,
    /// It must run once at most.
    Submit,
}

impl Class {
    /// All of them.
    pub const ALL: [Class; 3] = [Class::Read, Class::Booking, Class::Submit];

    /// Its name in paths and settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Read => "read",
            Class::Booking => "booking",
            Class::Submit => "submit",
        }
    }
}

/// For how long backends of a cell drop repeats.
pub const WINDOW: Duration = Duration::from_millis(1200);
/// Within which sends to a backend that leaves have to end.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Longest deadline of a class.
pub const DEADLINE: Duration = Duration::from_secs(2);
/// Descriptors that a proxy may hold.
pub const SOCKETS: usize = 512;
/// How long a new backend is cold, the part of its capacity with which it starts, and what pushes it over.
pub const COLD: Duration = Duration::from_millis(8700);
/// The part of its capacity that a new backend has.
pub const START_CAPACITY: f64 = 0.3;
/// A cold backend falls when it gets more than this multiple of its capacity,
pub const FALL_MULTIPLE: f64 = 2.5;
/// for this span.
pub const FALL: Duration = Duration::from_millis(1500);

/// Where a proxy of the fleet is and who shares its backends.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its number in the fleet.
    pub number: usize,
    /// How many proxies the fleet has.
    pub proxies: usize,
    /// For clients.
    pub listen: SocketAddr,
    /// Its own discovery.
    pub discovery: SocketAddr,
    /// For datagrams: of every proxy, if they may talk.
    pub peers: Option<[SocketAddr; 2]>,
}

/// The configuration of a process, as JSON.
pub fn config(place: &Place, admin: SocketAddr, seed: u64, extra_classes: usize) -> Value {
    let deadline = DEADLINE.as_millis() as u64;
    let class = |name: String, effect: &str| {
        json!({"name": name, "effect": effect, "dedupScope": "cell", "window": WINDOW.as_millis() as u64,
            "promise": deadline * 4 / 5, "deadline": deadline, "worth": 1})
    };
    let mut classes = vec![
        class(Class::Read.name().into(), "idempotent"),
        class(Class::Booking.name().into(), "deduplicated"),
        class(Class::Submit.name().into(), "at_most_once"),
    ];
    classes.extend((0..extra_classes).map(|n| class(format!("extra-{n}"), "idempotent")));
    let mut config = json!({
        "name": format!("n{}", place.number), "listen": place.listen, "admin_addr": admin,
        "discovery": place.discovery, "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": SOCKETS}, "known": null,
        "settings": {"zone": "a", "zones": ["a"], "flavors": ["k"], "nInstances": place.proxies,
            "myNumber": place.number, "discovery": "pushed", "weightSource": "nominal",
            "accounts": [{"name": "acme", "allowancePerS": 100_000}], "classes": classes,
            "ceilings": {"maxAttempts": 4, "dialTimeout": 300, "idleClose": 4000,
                "mayTell": place.peers.is_some()},
            "rules": {"startCapacity": START_CAPACITY, "cold": COLD.as_millis() as u64,
                "fall": FALL.as_millis() as u64, "fallMultiple": FALL_MULTIPLE,
                "drainGrace": DRAIN_GRACE.as_millis() as u64}}});
    if let Some(peers) = place.peers {
        config["peer_listen"] = json!(peers[place.number]);
        config["peers"] = json!(peers);
        config["peers_all"] = json!(peers[1 - place.number]);
    }
    config
}
