//! The model of discovery: the service that lists backends, the network to it, and the calls of the proxies.
//!
//! One queue is served in turn at a constant rate. A call that would wait longer than the service's limit fails when
//! that limit is over. A call that its proxy has given up is served all the same, for nothing, as its place in the
//! queue can't be taken back. A watch carries changes with the version that they lead to, and a heartbeat each 2 s
//! while nothing changes. Nothing is decided here: the model returns [`Effect`]s, and its owner schedules them on its
//! own clock.

mod connections;
mod effect;
mod queue;
mod watch;

use leadrelay_core::{CallEnd, CallId, DiscoveryEvent, Endpoint, EndpointState, Millis};
use serde::Deserialize;

pub use self::connections::Caller;
use self::connections::{Connection, Connections, Phase};
pub use self::effect::{Effect, Step};
pub use self::queue::CallQueue;
use crate::index::{ConnectionIndex, ProxyIndex};
use crate::random::RandomStream;

/// One-way latency between a proxy and the service.
const LATENCY: Millis = 1.0;
/// After a move the former address ends its watches after this time.
const FORMER_ADDRESS_LINGER: Millis = 1500.0;

/// What calls meet during an outage of discovery.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// They are accepted, and fail when the service's limit is over.
    #[default]
    Fails,
    /// Nobody accepts them.
    Refuses,
}

/// The parameters of the service.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryParameters {
    /// Calls a second that it can answer.
    pub calls_per_s: f64,
    /// A call that would wait longer fails.
    pub max_wait: Millis,
    /// Interval at which changes are written to watches.
    pub push_interval: Millis,
    /// Each proxy has an agent of its own: no call waits in a queue.
    pub pushed: bool,
    /// What calls meet during an outage.
    pub outage: OutageMode,
    /// The fraction of the calls with a known version that get the complete list all the same.
    pub full_list_fraction: f64,
    /// Complete lists leave out what drains.
    pub omits_draining: bool,
}

/// How many calls there were.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// In all.
    pub calls: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that were served although their proxies had given them up.
    pub wasted: u64,
}

/// The service with all its connections.
pub struct DiscoveryService {
    parameters: DiscoveryParameters,
    queue: CallQueue,
    list: Vec<Endpoint>,
    /// What each version changed, from version 1 on.
    history: Vec<Endpoint>,
    /// Changes that it gets once the outage is over.
    missed: Vec<Endpoint>,
    down: bool,
    connections: Connections,
    counts: CallCounts,
    random: RandomStream,
}

impl DiscoveryService {
    /// A service that has this list.
    pub fn new(parameters: DiscoveryParameters, list: Vec<Endpoint>, seed: u64) -> Self {
        DiscoveryService {
            parameters,
            queue: CallQueue::new(parameters.calls_per_s, parameters.max_wait),
            list,
            history: Vec::new(),
            missed: Vec::new(),
            down: false,
            connections: Connections::default(),
            counts: CallCounts::default(),
            random: RandomStream::new(seed, "discovery"),
        }
    }

    /// How many calls there were.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// A proxy opens a watch; `after` is the version that it has.
    pub fn call(
        &mut self, now: Millis, caller: Caller, call: CallId, after: Option<u64>, effects: &mut Vec<Effect>,
    ) {
        self.counts.calls += 1;
        let connected_at = now + 2.0 * LATENCY;
        if self.down && self.parameters.outage == OutageMode::Refuses {
            self.counts.failed += 1;
            let refused = Connection::new(now, caller, call, after, Phase::Ended);
            let connection = self.connections.open(refused);
            let event = DiscoveryEvent::Ended { call, at: now, end: CallEnd::Unreachable };
            return effects.push(Effect::Read { at: connected_at, connection, event });
        }
        let arrives_at = now + LATENCY;
        let until = arrives_at + self.parameters.max_wait;
        let waiting = Connection::new(now, caller, call, after, Phase::Waiting { until });
        let connection = self.connections.open(waiting);
        let event = DiscoveryEvent::Connected(call);
        effects.push(Effect::Read { at: connected_at, connection, event });
        effects.push(match self.turn(arrives_at, connected_at) {
            Some(at) => Effect::Schedule { at, step: Step::Answer(connection) },
            None => Effect::Schedule { at: until, step: Step::Expire(connection) },
        });
    }

    /// When a call will be answered, `None` if it will not.
    fn turn(&mut self, arrives_at: Millis, connected_at: Millis) -> Option<Millis> {
        if self.down {
            return None;
        }
        if self.parameters.pushed {
            return Some(connected_at);
        }
        let served_at = self.queue.join(arrives_at)?;
        Some(served_at.max(connected_at))
    }

    /// A proxy gives a call up; returns whether that was an open watch at the present address.
    pub fn give_up(&mut self, caller: Caller, call: CallId) -> bool {
        let Some(index) = self.connections.find(caller, call) else { return false };
        let connection = self.connections.get(index);
        let was_watch = connection.phase == Phase::Open && !connection.former_address;
        self.connections.abandon(index);
        was_watch
    }

    /// A proxy is down: its connections are closed.
    pub fn close_connections(&mut self, proxy: ProxyIndex) {
        for index in self.connections.active(|connection| connection.caller.proxy == proxy) {
            self.connections.abandon(index);
        }
    }

    /// Whose connection it is, if its proxy still reads from it.
    pub fn reader(&self, index: ConnectionIndex) -> Option<Caller> {
        let connection = self.connections.get(index);
        (!connection.abandoned).then_some(connection.caller)
    }

    /// An endpoint has changed; during an outage the service gets the change at its end.
    pub fn update(&mut self, entry: Endpoint, effects: &mut Vec<Effect>) {
        if self.down {
            return self.missed.push(entry);
        }
        let position = self.list.iter().position(|listed| listed.id == entry.id);
        match (entry.state, position) {
            (EndpointState::Removed, Some(position)) => {
                self.list.remove(position);
            }
            (EndpointState::Removed, None) => return,
            (_, Some(position)) => self.list[position] = entry.clone(),
            (_, None) => self.list.push(entry.clone()),
        }
        self.history.push(entry.clone());
        effects.push(Effect::Updated(entry));
    }

    /// Does what was scheduled.
    pub fn step(&mut self, now: Millis, step: Step, effects: &mut Vec<Effect>) {
        match step {
            Step::Answer(connection) => self.answer(now, connection, effects),
            Step::Expire(connection) => self.end(now, connection, effects),
            Step::Heartbeat(connection) => self.heartbeat(now, connection, effects),
            Step::Push => self.push(now, effects),
            Step::EndFormerAddress => {
                for connection in self.connections.active(|connection| connection.former_address) {
                    self.end(now, connection, effects);
                }
            }
        }
    }

    /// An outage starts: watches end, calls fail.
    pub fn start_outage(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.down = true;
        self.reset_watches(now, |_| true, effects);
    }

    /// The outage ends; the queue is empty.
    pub fn end_outage(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.down = false;
        self.queue.clear(now);
        for entry in std::mem::take(&mut self.missed) {
            self.update(entry, effects);
        }
    }

    /// The service moves to another address. The former one serves what it has accepted and then ends its watches.
    pub fn move_address(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.connections.leave_address();
        self.queue.clear(now);
        let at = now + FORMER_ADDRESS_LINGER;
        effects.push(Effect::Schedule { at, step: Step::EndFormerAddress });
    }

    /// The watches of these proxies are reset.
    pub fn reset_watches(
        &mut self, now: Millis, is_affected: impl Fn(ProxyIndex) -> bool, effects: &mut Vec<Effect>,
    ) {
        for connection in self.live_watches(is_affected) {
            self.end(now, connection, effects);
        }
    }

    /// The watches of these proxies stall; returns whose did.
    pub fn stall_watches(&mut self, is_affected: impl Fn(ProxyIndex) -> bool) -> Vec<ProxyIndex> {
        let mut proxies = Vec::new();
        for index in self.live_watches(is_affected) {
            let connection = self.connections.get_mut(index);
            connection.stalled = true;
            proxies.push(connection.caller.proxy);
        }
        proxies
    }

    fn live_watches(&self, is_affected: impl Fn(ProxyIndex) -> bool) -> Vec<ConnectionIndex> {
        self.connections
            .active(|connection| connection.is_live_watch() && is_affected(connection.caller.proxy))
    }

    /// The service or the network ends a connection.
    fn end(&mut self, now: Millis, index: ConnectionIndex, effects: &mut Vec<Effect>) {
        let phase = self.connections.end(index);
        let connection = self.connections.get(index);
        let call = connection.call;
        match phase {
            Phase::Ended => return,
            Phase::Waiting { .. } => self.counts.failed += 1,
            Phase::Open if connection.former_address => {}
            Phase::Open => effects.push(Effect::WatchEnded { proxy: connection.caller.proxy }),
        }
        let at = now + LATENCY;
        let event = DiscoveryEvent::Ended { call, at, end: CallEnd::Closed };
        effects.push(Effect::Read { at, connection: index, event });
    }

    fn version(&self) -> u64 {
        self.history.len() as u64
    }
}
