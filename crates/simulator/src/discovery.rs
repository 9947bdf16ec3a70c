//! The model of discovery: the service that lists backends, the network to it, and the calls of the proxies.
//!
//! One queue is served in turn at a constant rate. A call that would wait longer than the service's limit ends with a
//! failure when that limit is over. A call that its proxy has given up is served all the same, for nothing, as its
//! place in the queue can't be taken back. A watch tells changes with the version that they lead to, and a heartbeat
//! each 2 s while nothing changes. Nothing is decided here: the model hands back [`Effect`]s, and its owner plans them
//! on its own clock.

use leadrelay_core::{CallEnd, CallId, DiscoveryEvent, Endpoint, EndpointState};
use rustc_hash::FxHashMap;
use serde::Deserialize;

use crate::random::RandomStream;

/// One way between a proxy and the service, in ms.
const WAY: f64 = 1.0;
/// Span between the lines of a watch while nothing changes, in ms.
const HEARTBEAT: f64 = 2000.0;
/// After a move the former address ends its watches after this span, in ms.
const FORMER: f64 = 1500.0;

/// What calls meet while discovery is down.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// They are accepted, and fail when the service's limit is over.
    #[default]
    Fails,
    /// Nobody accepts them.
    Refuses,
}

/// Calls that are served in turn. Spans are in ms.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    calls_per_s: f64,
    limit: f64,
    free_at: f64,
}

impl Queue {
    /// An empty queue; a call that would wait for longer than `limit` is not let in.
    pub fn new(calls_per_s: f64, limit: f64) -> Self {
        Queue { calls_per_s, limit, free_at: 0.0 }
    }

    /// Joins the queue; returns when the call will have been served, `None` if it would wait too long.
    pub fn join(&mut self, now: f64) -> Option<f64> {
        let start = self.free_at.max(now);
        if start - now > self.limit {
            return None;
        }
        self.free_at = start + 1000.0 / self.calls_per_s;
        Some(self.free_at)
    }
}

/// What the service is like. Spans are in ms.
#[derive(Clone, Copy, Debug)]
pub struct Character {
    /// Calls a second that it can answer.
    pub calls_per_s: f64,
    /// A call that would wait longer fails.
    pub limit: f64,
    /// Span between looks for news to write to watches.
    pub push_interval: f64,
    /// Each proxy has an agent of its own, so calls wait for nobody.
    pub pushed: bool,
    /// What calls meet while it is down.
    pub outage: Outage,
    /// The part of the calls after a known version that get the whole list all the same.
    pub whole_part: f64,
    /// Whole lists leave out what drains.
    pub hides_draining: bool,
}

/// A connection to the service, numbered in the order of calls.
pub type ConnectionId = usize;

/// One life of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Caller {
    /// Its number.
    pub proxy: usize,
    /// How often it had been started before.
    pub life: u32,
}

/// What the service does at a planned time.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A call's turn is over.
    Answer(ConnectionId),
    /// A call has waited for too long.
    Expire(ConnectionId),
    /// A watch may be owed an empty line.
    Heartbeat(ConnectionId),
    /// News is written to the watches.
    Push,
    /// The former address ends its watches.
    EndFormer,
}

/// What follows from a deed.
#[derive(Clone, Debug)]
pub enum Effect {
    /// The service is to go on then.
    Later {
        /// When.
        at: f64,
        /// With what.
        step: Step,
    },
    /// A proxy reads something from a connection then, if it has not given the call up by that time.
    Read {
        /// When.
        at: f64,
        /// Where.
        connection: ConnectionId,
        /// What.
        event: DiscoveryEvent,
    },
    /// The service now has a change.
    Learned(Endpoint),
    /// The service has written lines to a proxy.
    Wrote {
        /// To which.
        proxy: usize,
        /// At the address that discovery has left.
        former: bool,
        /// The whole list.
        whole: bool,
        /// The lines.
        lines: Vec<Endpoint>,
    },
    /// A watch at the present address has ended.
    WatchEnded {
        /// Whose.
        proxy: usize,
    },
}

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// It waits, and fails then at the latest.
    Waiting { until: f64 },
    /// A watch.
    Open,
    /// Nothing more is written to it.
    Ended,
}

struct Connection {
    caller: Caller,
    call: CallId,
    after: Option<u64>,
    phase: Phase,
    /// Its proxy has given it up or is dead.
    abandoned: bool,
    /// The network loses all that is written to it.
    silent: bool,
    /// It leads to the address that discovery has left.
    former: bool,
    /// The version told by it, and when something was last written.
    version: u64,
    written_at: f64,
}

/// How many calls there were.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// In all.
    pub calls: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that were served although their proxies had given them up.
    pub wasted: u64,
}

/// The service with all its connections.
pub struct Service {
    character: Character,
    queue: Queue,
    list: Vec<Endpoint>,
    /// What each version changed, from version 1 on.
    history: Vec<Endpoint>,
    /// Changes that come to it once it is back.
    missed: Vec<Endpoint>,
    down: bool,
    connections: Vec<Connection>,
    by_call: FxHashMap<(Caller, CallId), ConnectionId>,
    /// Connections that are waiting or open.
    live: Vec<ConnectionId>,
    counts: Counts,
    chance: RandomStream,
}

impl Service {
    /// A service that has this list.
    pub fn new(character: Character, list: Vec<Endpoint>, seed: u64) -> Self {
        Service {
            character,
            queue: Queue::new(character.calls_per_s, character.limit),
            list,
            history: Vec::new(),
            missed: Vec::new(),
            down: false,
            connections: Vec::new(),
            by_call: FxHashMap::default(),
            live: Vec::new(),
            counts: Counts::default(),
            chance: RandomStream::new(seed, "discovery"),
        }
    }

    /// How many calls there were.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// A proxy opens a watch; `after` is the version that it has.
    pub fn call(
        &mut self, now: f64, caller: Caller, call: CallId, after: Option<u64>, out: &mut Vec<Effect>,
    ) {
        self.counts.calls += 1;
        let refused = self.down && self.character.outage == Outage::Refuses;
        let arrived = now + WAY;
        let until = arrived + self.character.limit;
        let connection = self.connections.len();
        self.connections.push(Connection {
            caller,
            call,
            after,
            phase: if refused { Phase::Ended } else { Phase::Waiting { until } },
            abandoned: false,
            silent: false,
            former: false,
            version: 0,
            written_at: now,
        });
        self.by_call.insert((caller, call), connection);
        let up = now + 2.0 * WAY;
        if refused {
            self.counts.failed += 1;
            let event = DiscoveryEvent::Ended { call, at: now, end: CallEnd::Unreachable };
            return out.push(Effect::Read { at: up, connection, event });
        }
        self.live.push(connection);
        out.push(Effect::Read { at: up, connection, event: DiscoveryEvent::Connected(call) });
        let turn = match (self.down, self.character.pushed) {
            (true, _) => None,
            (false, true) => Some(up),
            (false, false) => self.queue.join(arrived).map(|at| at.max(up)),
        };
        out.push(match turn {
            Some(at) => Effect::Later { at, step: Step::Answer(connection) },
            None => Effect::Later { at: until, step: Step::Expire(connection) },
        });
    }

    /// A proxy gives a call up; whether that was an open watch at the present address.
    pub fn give_up(&mut self, caller: Caller, call: CallId) -> bool {
        let Some(&connection) = self.by_call.get(&(caller, call)) else { return false };
        let c = &self.connections[connection];
        let watched = c.phase == Phase::Open && !c.former;
        self.abandon(connection);
        watched
    }

    /// A proxy is dead: its connections are shut.
    pub fn hang_up(&mut self, proxy: usize) {
        for connection in self.live_of(|c| c.caller.proxy == proxy) {
            self.abandon(connection);
        }
    }

    /// Whose connection it is, if its proxy still reads from it.
    pub fn reader(&self, connection: ConnectionId) -> Option<Caller> {
        let connection = &self.connections[connection];
        (!connection.abandoned).then_some(connection.caller)
    }

    /// Something has changed; while the service is down it learns of that at its return.
    pub fn change(&mut self, line: Endpoint, out: &mut Vec<Effect>) {
        if self.down {
            return self.missed.push(line);
        }
        let at = self.list.iter().position(|l| l.id == line.id);
        match (line.state, at) {
            (EndpointState::Removed, Some(at)) => drop(self.list.remove(at)),
            (EndpointState::Removed, None) => return,
            (_, Some(at)) => self.list[at] = line.clone(),
            (_, None) => self.list.push(line.clone()),
        }
        self.history.push(line.clone());
        out.push(Effect::Learned(line));
    }

    /// Goes on with what was planned.
    pub fn step(&mut self, now: f64, step: Step, out: &mut Vec<Effect>) {
        match step {
            Step::Answer(connection) => self.answer(now, connection, out),
            Step::Expire(connection) => self.end(now, connection, out),
            Step::Heartbeat(connection) => self.heartbeat(now, connection, out),
            Step::Push => self.push(now, out),
            Step::EndFormer => {
                for connection in self.live_of(|c| c.former) {
                    self.end(now, connection, out);
                }
            }
        }
    }

    /// Goes down: watches end, calls fail.
    pub fn go_down(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.down = true;
        self.break_watches(now, |_| true, out);
    }

    /// Comes back, with an empty queue.
    pub fn come_back(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.down = false;
        self.queue.free_at = now;
        for line in std::mem::take(&mut self.missed) {
            self.change(line, out);
        }
    }

    /// Has another address from now on. The former one serves what it has accepted and then ends its watches.
    pub fn move_away(&mut self, now: f64, out: &mut Vec<Effect>) {
        for connection in self.live.clone() {
            self.connections[connection].former = true;
        }
        self.queue.free_at = now;
        out.push(Effect::Later { at: now + FORMER, step: Step::EndFormer });
    }

    /// The watches of these proxies are reset.
    pub fn break_watches(&mut self, now: f64, of: impl Fn(usize) -> bool, out: &mut Vec<Effect>) {
        for connection in self.live_of(|c| c.phase == Phase::Open && !c.silent && of(c.caller.proxy)) {
            self.end(now, connection, out);
        }
    }

    /// The watches of these proxies fall silent; returns whose did.
    pub fn silence_watches(&mut self, of: impl Fn(usize) -> bool) -> Vec<usize> {
        let struck = self.live_of(|c| c.phase == Phase::Open && !c.silent && of(c.caller.proxy));
        struck.iter().for_each(|&connection| self.connections[connection].silent = true);
        struck.iter().map(|&connection| self.connections[connection].caller.proxy).collect()
    }

    fn live_of(&self, wanted: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        self.live.iter().copied().filter(|&connection| wanted(&self.connections[connection])).collect()
    }

    fn abandon(&mut self, connection: ConnectionId) {
        self.connections[connection].abandoned = true;
        if self.connections[connection].phase == Phase::Open {
            self.connections[connection].phase = Phase::Ended;
            self.live.retain(|&live| live != connection);
        }
    }

    /// The service or the network ends a connection.
    fn end(&mut self, now: f64, connection: ConnectionId, out: &mut Vec<Effect>) {
        let c = &mut self.connections[connection];
        let was = std::mem::replace(&mut c.phase, Phase::Ended);
        if was == Phase::Ended {
            return;
        }
        self.live.retain(|&live| live != connection);
        match was {
            Phase::Waiting { .. } => self.counts.failed += 1,
            Phase::Open if !c.former => out.push(Effect::WatchEnded { proxy: c.caller.proxy }),
            Phase::Open | Phase::Ended => {}
        }
        let at = now + WAY;
        let event = DiscoveryEvent::Ended { call: c.call, at, end: CallEnd::Closed };
        out.push(Effect::Read { at, connection, event });
    }

    fn answer(&mut self, now: f64, connection: ConnectionId, out: &mut Vec<Effect>) {
        let c = &self.connections[connection];
        let Phase::Waiting { until } = c.phase else { return };
        if self.down {
            return out.push(Effect::Later { at: until, step: Step::Expire(connection) });
        }
        if c.abandoned {
            self.counts.wasted += 1;
            self.connections[connection].phase = Phase::Ended;
            return self.live.retain(|&live| live != connection);
        }
        let whole_part = self.character.whole_part;
        let resumed = c.after.filter(|&version| version <= self.version());
        let resumed = resumed.filter(|_| whole_part <= 0.0 || !self.chance.chance(whole_part));
        self.connections[connection].phase = Phase::Open;
        match resumed {
            Some(version) => self.write_changes(now, connection, version, out),
            None => {
                let hidden =
                    |l: &&Endpoint| self.character.hides_draining && l.state == EndpointState::Draining;
                let lines = self.list.iter().filter(|l| !hidden(l)).cloned().collect();
                self.write(now, connection, true, lines, out);
            }
        }
        out.push(Effect::Later { at: now + HEARTBEAT, step: Step::Heartbeat(connection) });
    }

    fn push(&mut self, now: f64, out: &mut Vec<Effect>) {
        out.push(Effect::Later { at: now + self.character.push_interval, step: Step::Push });
        let version = self.version();
        for connection in self.live_of(|c| c.phase == Phase::Open && !c.silent && c.version < version) {
            self.write_changes(now, connection, self.connections[connection].version, out);
        }
    }

    fn heartbeat(&mut self, now: f64, connection: ConnectionId, out: &mut Vec<Effect>) {
        let c = &mut self.connections[connection];
        if c.phase != Phase::Open || c.silent {
            return;
        }
        if now >= c.written_at + HEARTBEAT {
            c.written_at = now;
            let read_at = now + WAY;
            let event = DiscoveryEvent::Heartbeat { call: c.call, read_at };
            out.push(Effect::Read { at: read_at, connection, event });
        }
        out.push(Effect::Later { at: c.written_at + HEARTBEAT, step: Step::Heartbeat(connection) });
    }

    fn write_changes(&mut self, now: f64, connection: ConnectionId, after: u64, out: &mut Vec<Effect>) {
        let lines = self.history[after as usize..].to_vec();
        self.write(now, connection, false, lines, out);
    }

    fn write(
        &mut self, now: f64, connection: ConnectionId, whole: bool, lines: Vec<Endpoint>,
        out: &mut Vec<Effect>,
    ) {
        let version = self.version();
        let c = &mut self.connections[connection];
        (c.version, c.written_at) = (version, now);
        let (call, read_at, entries) = (c.call, now + WAY, lines.clone());
        out.push(Effect::Wrote { proxy: c.caller.proxy, former: c.former, whole, lines });
        let event = DiscoveryEvent::Update { call, read_at, version, complete: whole, entries };
        out.push(Effect::Read { at: read_at, connection, event });
    }

    fn version(&self) -> u64 {
        self.history.len() as u64
    }
}
