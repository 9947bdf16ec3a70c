//! The model of discovery: the service that lists backends, the network to it, and the calls of the proxies.
//!
//! Calls wait in a queue that is served in order at a constant rate. A call that would wait longer than the service's
//! limit fails once that limit has passed. A call that its proxy has given up still takes up service time, because it
//! can't be removed from the queue. A watch carries changes with the version that results from them, and a heartbeat
//! every 2 s while nothing changes. The model has no clock: it returns [`Effect`]s, and the caller schedules them.

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

/// One-way network latency between a proxy and the service.
const LATENCY: Millis = 1.0;
/// Time between a move of the service and the end of the watches at the former address.
const FORMER_ADDRESS_LINGER: Millis = 1500.0;

/// The behaviour of the service towards calls during an outage.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Calls are accepted and fail after the maximum waiting time of the service.
    #[default]
    Fails,
    /// Connections are refused.
    Refuses,
}

/// The parameters of the discovery service.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryParameters {
    /// Calls per second that the service can accept.
    pub calls_per_s: f64,
    /// Maximum waiting time of a call; a call that would wait longer fails.
    pub max_wait: Millis,
    /// Interval at which changes are written to the watches.
    pub push_interval: Millis,
    /// Whether each proxy has its own discovery agent, so that no call waits in a queue.
    pub pushed: bool,
    /// The behaviour towards calls during an outage.
    pub outage: OutageMode,
    /// The fraction of the calls with a known version that get the complete list instead of the changes.
    pub full_list_fraction: f64,
    /// Whether complete lists omit draining endpoints.
    pub omits_draining: bool,
}

/// Counts of the calls to the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// All calls.
    pub calls: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls that reached the head of the queue after their proxies had given them up.
    pub wasted: u64,
}

/// The discovery service with all its connections.
pub struct DiscoveryService {
    parameters: DiscoveryParameters,
    queue: CallQueue,
    list: Vec<Endpoint>,
    /// The entry that each version changed, starting with version 1.
    history: Vec<Endpoint>,
    /// Changes during an outage, which the service receives when the outage ends.
    deferred_changes: Vec<Endpoint>,
    is_down: bool,
    connections: Connections,
    counts: CallCounts,
    random: RandomStream,
}

impl DiscoveryService {
    /// Creates a service with an initial endpoint list.
    pub fn new(parameters: DiscoveryParameters, list: Vec<Endpoint>, seed: u64) -> Self {
        DiscoveryService {
            parameters,
            queue: CallQueue::new(parameters.calls_per_s, parameters.max_wait),
            list,
            history: Vec::new(),
            deferred_changes: Vec::new(),
            is_down: false,
            connections: Connections::default(),
            counts: CallCounts::default(),
            random: RandomStream::new(seed, "discovery"),
        }
    }

    /// Returns the counts of calls so far.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Handles the call of a proxy that opens a watch; `known_version` is the version of the list that the proxy has.
    pub fn call(
        &mut self, now: Millis, caller: Caller, call: CallId, known_version: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        self.counts.calls += 1;
        let connected_at = now + 2.0 * LATENCY;
        if self.is_down && self.parameters.outage == OutageMode::Refuses {
            self.counts.failed += 1;
            let refused = Connection::new(now, caller, call, known_version, Phase::Ended);
            let connection = self.connections.open(refused);
            let event = DiscoveryEvent::Ended { call, at: now, end: CallEnd::Unreachable };
            return effects.push(Effect::Read { at: connected_at, connection, event });
        }
        let arrives_at = now + LATENCY;
        let until = arrives_at + self.parameters.max_wait;
        let waiting = Connection::new(now, caller, call, known_version, Phase::Waiting { until });
        let connection = self.connections.open(waiting);
        let event = DiscoveryEvent::Connected(call);
        effects.push(Effect::Read { at: connected_at, connection, event });
        effects.push(match self.enqueue(arrives_at, connected_at) {
            Some(at) => Effect::Schedule { at, step: Step::Accept(connection) },
            None => Effect::Schedule { at: until, step: Step::Expire(connection) },
        });
    }

    /// Enqueues a call; returns the time at which it is accepted, or `None` if it fails.
    fn enqueue(&mut self, arrives_at: Millis, connected_at: Millis) -> Option<Millis> {
        if self.is_down {
            return None;
        }
        if self.parameters.pushed {
            return Some(connected_at);
        }
        let served_at = self.queue.join(arrives_at)?;
        Some(served_at.max(connected_at))
    }

    /// Handles a proxy giving a call up; returns whether the call was an open watch at the current address.
    pub fn give_up(&mut self, caller: Caller, call: CallId) -> bool {
        let Some(index) = self.connections.find(caller, call) else { return false };
        let connection = self.connections.get(index);
        let was_watch = connection.phase == Phase::Open && !connection.former_address;
        self.connections.abandon(index);
        was_watch
    }

    /// Closes all connections of a proxy that has gone down.
    pub fn close_connections(&mut self, proxy: ProxyIndex) {
        for index in self.connections.active(|connection| connection.caller.proxy == proxy) {
            self.connections.abandon(index);
        }
    }

    /// Returns the caller that owns a connection, or `None` if the caller no longer reads from it.
    pub fn reader(&self, index: ConnectionIndex) -> Option<Caller> {
        let connection = self.connections.get(index);
        (!connection.abandoned).then_some(connection.caller)
    }

    /// Applies a change of an endpoint; during an outage the change is deferred to the end of the outage.
    pub fn update(&mut self, entry: Endpoint, effects: &mut Vec<Effect>) {
        if self.is_down {
            return self.deferred_changes.push(entry);
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

    /// Performs a scheduled step.
    pub fn step(&mut self, now: Millis, step: Step, effects: &mut Vec<Effect>) {
        match step {
            Step::Accept(connection) => self.accept(now, connection, effects),
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

    /// Starts an outage: watches end and calls fail.
    pub fn start_outage(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.is_down = true;
        self.reset_watches(now, |_| true, effects);
    }

    /// Ends the outage with an empty queue and applies the deferred changes.
    pub fn end_outage(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.is_down = false;
        self.queue.clear(now);
        for entry in std::mem::take(&mut self.deferred_changes) {
            self.update(entry, effects);
        }
    }

    /// Moves the service to another address. The former address serves its accepted calls, then ends its watches.
    pub fn move_address(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.connections.leave_address();
        self.queue.clear(now);
        let at = now + FORMER_ADDRESS_LINGER;
        effects.push(Effect::Schedule { at, step: Step::EndFormerAddress });
    }

    /// Ends the live watches of the affected proxies.
    pub fn reset_watches(
        &mut self, now: Millis, is_affected: impl Fn(ProxyIndex) -> bool, effects: &mut Vec<Effect>,
    ) {
        for connection in self.live_watches(is_affected) {
            self.end(now, connection, effects);
        }
    }

    /// Stalls the live watches of the affected proxies; returns the proxies whose watches were stalled.
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

    /// Ends a connection from the side of the service or the network.
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
