//! The connections of the proxies to the discovery service.

use leadrelay_core::{CallId, Millis};
use rustc_hash::FxHashMap;

use crate::index::{ConnectionIndex, IndexedVec, ProxyIndex};

/// The incarnation of a proxy that made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Caller {
    /// The proxy.
    pub proxy: ProxyIndex,
    /// How many times the proxy had been restarted before this incarnation.
    pub incarnation: u32,
}

/// The state of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// The call waits to be served and fails at `until` at the latest.
    Waiting { until: Millis },
    /// The call has been accepted as a watch.
    Open,
    /// The call has ended; nothing more is written to its connection.
    Ended,
}

/// A call of a proxy to discovery, with its connection.
pub(super) struct Connection {
    pub(super) caller: Caller,
    pub(super) call: CallId,
    /// The version of the endpoint list that the proxy had when it called; `None` without a list.
    pub(super) known_version: Option<u64>,
    pub(super) phase: Phase,
    /// Whether the proxy has given the call up or is down.
    pub(super) abandoned: bool,
    /// Whether the network drops everything that is written to the connection.
    pub(super) stalled: bool,
    /// Whether the connection leads to the address that the service had before its last move.
    pub(super) former_address: bool,
    /// The version of the endpoint list that was last written to the connection.
    pub(super) version: u64,
    pub(super) written_at: Millis,
}

impl Connection {
    /// Creates a connection that is opened now.
    pub(super) fn new(
        now: Millis, caller: Caller, call: CallId, known_version: Option<u64>, phase: Phase,
    ) -> Self {
        Connection {
            caller,
            call,
            known_version,
            phase,
            abandoned: false,
            stalled: false,
            former_address: false,
            version: 0,
            written_at: now,
        }
    }

    /// Whether the connection is a watch whose messages reach the proxy.
    pub(super) fn is_live_watch(&self) -> bool {
        self.phase == Phase::Open && !self.stalled
    }
}

/// All connections, with an index of those that are still active.
#[derive(Default)]
pub(super) struct Connections {
    all: IndexedVec<ConnectionIndex, Connection>,
    by_call: FxHashMap<(Caller, CallId), ConnectionIndex>,
    /// The connections that are waiting or open, in the order of their calls.
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

    /// Returns the active connections that satisfy a condition, in the order of their calls.
    pub(super) fn active(&self, condition: impl Fn(&Connection) -> bool) -> Vec<ConnectionIndex> {
        self.active.iter().copied().filter(|index| condition(&self.all[*index])).collect()
    }

    /// Ends a connection; returns its previous phase.
    pub(super) fn end(&mut self, index: ConnectionIndex) -> Phase {
        let phase = std::mem::replace(&mut self.all[index].phase, Phase::Ended);
        if phase != Phase::Ended {
            self.active.retain(|active| *active != index);
        }
        phase
    }

    /// Marks a connection that its proxy no longer reads. A watch ends; a waiting call keeps its place in the queue.
    pub(super) fn abandon(&mut self, index: ConnectionIndex) {
        let connection = &mut self.all[index];
        connection.abandoned = true;
        if connection.phase == Phase::Open {
            self.end(index);
        }
    }

    /// Marks all active connections as leading to the former address.
    pub(super) fn leave_address(&mut self) {
        for index in &self.active {
            self.all[*index].former_address = true;
        }
    }
}
