//! The connections of the proxies to discovery.

use leadrelay_core::{CallId, Millis};
use rustc_hash::FxHashMap;

use crate::index::{ConnectionIndex, IndexedVec, ProxyIndex};

/// One incarnation of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Caller {
    /// Which proxy.
    pub proxy: ProxyIndex,
    /// How often it had been started before.
    pub incarnation: u32,
}

/// The state of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// It waits, and fails at this time at the latest.
    Waiting { until: Millis },
    /// It is a watch.
    Open,
    /// Nothing more is written to it.
    Ended,
}

pub(super) struct Connection {
    pub(super) caller: Caller,
    pub(super) call: CallId,
    /// The version that the proxy has.
    pub(super) after: Option<u64>,
    pub(super) phase: Phase,
    /// Its proxy has given it up or is down.
    pub(super) abandoned: bool,
    /// The network loses all that is written to it.
    pub(super) stalled: bool,
    /// It leads to the address that discovery has left.
    pub(super) former_address: bool,
    /// The version that was last written to it.
    pub(super) version: u64,
    pub(super) written_at: Millis,
}

impl Connection {
    /// A connection that is opened now.
    pub(super) fn new(now: Millis, caller: Caller, call: CallId, after: Option<u64>, phase: Phase) -> Self {
        Connection {
            caller,
            call,
            after,
            phase,
            abandoned: false,
            stalled: false,
            former_address: false,
            version: 0,
            written_at: now,
        }
    }

    /// Whether what is written to it arrives.
    pub(super) fn is_live_watch(&self) -> bool {
        self.phase == Phase::Open && !self.stalled
    }
}

/// All connections, open ones first found.
#[derive(Default)]
pub(super) struct Connections {
    all: IndexedVec<ConnectionIndex, Connection>,
    by_call: FxHashMap<(Caller, CallId), ConnectionIndex>,
    /// Those that are waiting or open, in the order of calls.
    active: Vec<ConnectionIndex>,
}

impl Connections {
    pub(super) fn open(&mut self, connection: Connection) -> ConnectionIndex {
        let call = (connection.caller, connection.call);
        let is_active = connection.phase != Phase::Ended;
        let index = self.all.push(connection);
        self.by_call.insert(call, index);
        if is_active {
            self.active.push(index);
        }
        index
    }

    pub(super) fn get(&self, index: ConnectionIndex) -> &Connection {
        &self.all[index]
    }

    pub(super) fn get_mut(&mut self, index: ConnectionIndex) -> &mut Connection {
        &mut self.all[index]
    }

    pub(super) fn find(&self, caller: Caller, call: CallId) -> Option<ConnectionIndex> {
        self.by_call.get(&(caller, call)).copied()
    }

    /// The active ones that fulfil a condition, in the order of calls.
    pub(super) fn active(&self, condition: impl Fn(&Connection) -> bool) -> Vec<ConnectionIndex> {
        self.active.iter().copied().filter(|index| condition(&self.all[*index])).collect()
    }

    /// Ends a connection; returns the phase that it had.
    pub(super) fn end(&mut self, index: ConnectionIndex) -> Phase {
        let phase = std::mem::replace(&mut self.all[index].phase, Phase::Ended);
        if phase != Phase::Ended {
            self.active.retain(|active| *active != index);
        }
        phase
    }

    /// Its proxy no longer reads from it. A watch ends; a call that waits keeps its place in the queue.
    pub(super) fn abandon(&mut self, index: ConnectionIndex) {
        let connection = &mut self.all[index];
        connection.abandoned = true;
        if connection.phase == Phase::Open {
            self.end(index);
        }
    }

    /// From now on all active connections lead to the former address.
    pub(super) fn leave_address(&mut self) {
        for index in &self.active {
            self.all[*index].former_address = true;
        }
    }
}
