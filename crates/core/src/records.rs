//! What is kept of servers, kinds of machine, attempts and requests. Nothing is decided here.
use crate::interface::*;
use std::collections::VecDeque;

/// How well a server does, as a whole or for one class.
#[derive(Clone, Default)]
pub(crate) struct Health {
    pub fails: f64,      // running mean of failures
    pub closed: Millis,  // not open before this
    pub backoff: Millis, // the next closing's length; 0 before the first
    pub trial: bool,     // back from a closing, still to prove itself
}

impl Health {
    /// Nothing is held against a server.
    pub fn clean(now: Millis) -> Self {
        Health { fails: 0.0, closed: now, backoff: 0.0, trial: false }
    }
}

/// What is known of a server.
#[derive(Default)]
pub(crate) struct Server {
    pub info: Endpoint,
    pub wire_name: Option<u16>, // by which messages between proxies tell it
    pub told: Option<Millis>,   // when its drain or end was told
    pub own: u32,               // this proxy's attempts there, those given up but plausibly running included
    pub peers: [u32; 2],        // attempts of other proxies, as told by them: from its zone, from others
    pub present: f64,           // part of its time that an attempt from another zone is at the server
    pub blame: u32,             // other proxies that hold it for ill
    pub slow: (f64, f64),       // mean latency relative to its classes' means over the fleet, and its weight
    pub health: Health,         // as a whole
    pub by_class: Vec<Health>,  // and for each class
    pub full: bool,             // its last failure was mere fullness
    pub progress: Millis,       // last answer, or the send that ended its idleness
    pub unheard: u32,           // attempts that went silent since the last answer
    pub restarted: bool,        // the list has just told of a new process
    pub fresh: bool,            // seen within its cold span: budgeted
    pub tokens: f64,            // sends that a cold server's budget still allows
    pub tokens_at: Millis,
    pub whole_at: Millis,          // when they last came to be enough for a send
    pub machine_class: usize,      // its kind of machine; 0 if none is told
    pub room: f64,                 // slots for all proxies together
    pub mine: f64,                 // those of them that are this proxy's own
    pub band: usize,               // the speed band of that cost
    pub warmth: f64,               // part of its capacity that it surely has
    pub cost: f64,                 // expected latency relative to the fleet's mean, crossing included
    pub weight: f64,               // inverse weight in the choice of a key's home
    pub line: VecDeque<RequestId>, // waiting requests of its keys, some perhaps no longer
    pub free: bool,                // a request of its keys may come
    pub gate: f64,                 // and with this chance in each epoch
    pub wanted: u32,               // waiting requests whose key is at home here
    pub slot_band: usize,          // where its own slots are filed, and how many
    pub slots: f64,
    pub place: Option<(usize, usize)>, // band and position while open
}

impl Server {
    pub fn new(info: Endpoint, classes: usize, now: Millis) -> Self {
        let (health, slow) = (Health::clean(now), (1.0, 0.0));
        let mut s =
            Server { info, slow, by_class: vec![health.clone(); classes], health, ..Server::default() };
        (s.room, s.warmth, s.cost, s.weight, s.present) = (1.0, 1.0, 1.0, 1.0, 1.0);
        (s.progress, s.tokens_at) = (now, now);
        s
    }

    /// Whether it is in one group with the server of an earlier attempt.
    pub fn drops_repeats_of(&self, first: &Server, group: DeduplicationScope) -> bool {
        match group {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.info.zone.is_some() && self.info.zone == first.info.zone,
            DeduplicationScope::Cell => first.info.cell.is_some() && self.info.cell == first.info.cell,
        }
    }

    /// Nothing is held against it any more.
    pub fn forgive(&mut self, now: Millis) {
        self.health = Health::clean(now);
        self.by_class.fill(Health::clean(now));
    }

    /// Attempts out there, as far as this proxy knows.
    pub fn held(&self) -> u32 {
        self.own + self.peers[0] + self.peers[1]
    }

    /// Those expected to be at the server itself: on their way across zones they take none of its time.
    pub fn load(&self, zone: Option<ZoneId>) -> f64 {
        let own = if self.crosses(zone) { self.present } else { 1.0 };
        f64::from(self.own) * own + f64::from(self.peers[0]) + f64::from(self.peers[1]) * self.present
    }

    /// Whether a proxy in that zone reaches it across zones.
    pub fn crosses(&self, zone: Option<ZoneId>) -> bool {
        self.info.zone.is_some() && self.info.zone != zone
    }

    pub fn open(&self) -> bool {
        self.place.is_some()
    }
}

/// What is known of a kind of machine.
pub(crate) struct Kind {
    pub slow: (f64, f64), // mean relative latency, and its weight
    pub lone: (f64, f64), // mean latency of requests that found a server idle, and its weight
    pub core: Millis,     // mean latency on a core of its own
    pub cores: f64,       // cores of a server, as inferred
    pub calm: Millis,     // the least mean latency of late
    pub throttle: f64,    // the part of its slots that it is given
}

pub(crate) struct Attempt {
    pub server: usize,
    pub sent: Millis,
    pub over: bool,
    pub lone: bool,   // it found the server idle
    pub silent: bool, // it was out for so long that its server was blamed
    pub ran: bool,    // it runs or may have run
}

pub(crate) struct Request {
    pub class: usize,
    pub over_share: bool,
    pub size: f64,   // its expected work, relative to its class
    pub aim: Millis, // the clock time until which it earns its full worth
    pub due: Millis, // the clock time at which its client leaves
    pub key: u64,
    pub home: Option<usize>,
    pub attempts: Vec<Attempt>,
    pub most: usize, // attempts that it may have
    pub waiting: bool,
    pub done: bool,
    pub started: bool,
    pub begun: Millis,   // when its body began to be sent on
    pub uploading: bool, // its body still comes, while it is sent on
    pub spent: bool,     // its body can't be sent again
}

impl Request {
    pub fn new(
        class: usize, size: f64, over_share: bool, aim: Millis, due: Millis, key: u64, home: Option<usize>,
    ) -> Self {
        let (attempts, waiting, done, started) = (Vec::new(), false, false, false);
        let (begun, uploading, spent) = (0.0, false, false);
        Request {
            class,
            size,
            over_share,
            aim,
            due,
            key,
            home,
            attempts,
            most: 1,
            waiting,
            done,
            started,
            begun,
            uploading,
            spent,
        }
    }

    pub fn running(&self) -> bool {
        self.attempts.iter().any(|a| !a.over)
    }

    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.ran)
    }

    pub fn tried(&self, server: usize) -> bool {
        self.attempts.iter().any(|a| a.server == server)
    }
}
