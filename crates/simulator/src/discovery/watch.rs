//! The messages that the discovery service writes to the watches of the proxies.

use leadrelay_core::{DiscoveryEvent, Endpoint, EndpointState, Millis};

use super::connections::{Connection, Phase};
use super::effect::{Effect, Step};
use super::{DiscoveryService, LATENCY};
use crate::index::ConnectionIndex;

/// Interval between the messages on a watch while nothing changes.
const HEARTBEAT_INTERVAL: Millis = 2000.0;

impl DiscoveryService {
    /// Accepts a call that has reached the head of the queue; it becomes a watch.
    pub(super) fn accept(&mut self, now: Millis, index: ConnectionIndex, effects: &mut Vec<Effect>) {
        let connection = self.connections.get(index);
        let Phase::Waiting { until } = connection.phase else { return };
        if self.is_down {
            return effects.push(Effect::Schedule { at: until, step: Step::Expire(index) });
        }
        if connection.abandoned {
            self.counts.wasted += 1;
            self.connections.end(index);
            return;
        }
        let resumes_from = connection.known_version.filter(|version| *version <= self.version());
        let resumes_from = resumes_from.filter(|_| !self.sends_full_list());
        self.connections.get_mut(index).phase = Phase::Open;
        match resumes_from {
            Some(version) => self.write_changes(now, index, version, effects),
            None => self.write_full_list(now, index, effects),
        }
        let at = now + HEARTBEAT_INTERVAL;
        effects.push(Effect::Schedule { at, step: Step::Heartbeat(index) });
    }

    /// Samples whether a call with a known version gets the complete list instead of the changes.
    fn sends_full_list(&mut self) -> bool {
        let fraction = self.parameters.full_list_fraction;
        fraction > 0.0 && self.random.chance(fraction)
    }

    /// Writes pending changes to all watches that are behind the current version.
    pub(super) fn push(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let at = now + self.parameters.push_interval;
        effects.push(Effect::Schedule { at, step: Step::Push });
        let version = self.version();
        let is_behind = |connection: &Connection| connection.is_live_watch() && connection.version < version;
        for index in self.connections.active(is_behind) {
            self.write_changes(now, index, self.connections.get(index).version, effects);
        }
    }

    /// Writes a heartbeat to a watch if nothing has been written to it for a heartbeat interval.
    pub(super) fn heartbeat(&mut self, now: Millis, index: ConnectionIndex, effects: &mut Vec<Effect>) {
        let connection = self.connections.get_mut(index);
        if !connection.is_live_watch() {
            return;
        }
        if now >= connection.written_at + HEARTBEAT_INTERVAL {
            connection.written_at = now;
            let read_at = now + LATENCY;
            let event = DiscoveryEvent::Heartbeat { call: connection.call, read_at };
            effects.push(Effect::Read { at: read_at, connection: index, event });
        }
        let at = connection.written_at + HEARTBEAT_INTERVAL;
        effects.push(Effect::Schedule { at, step: Step::Heartbeat(index) });
    }

    fn write_full_list(&mut self, now: Millis, index: ConnectionIndex, effects: &mut Vec<Effect>) {
        let omits_draining = self.parameters.omits_draining;
        let is_listed = |entry: &&Endpoint| !omits_draining || entry.state != EndpointState::Draining;
        let entries = self.list.iter().filter(is_listed).cloned().collect();
        self.write(now, index, true, entries, effects);
    }

    fn write_changes(
        &mut self, now: Millis, index: ConnectionIndex, known_version: u64, effects: &mut Vec<Effect>,
    ) {
        let entries = self.history[known_version as usize..].to_vec();
        self.write(now, index, false, entries, effects);
    }

    fn write(
        &mut self, now: Millis, index: ConnectionIndex, complete: bool, entries: Vec<Endpoint>,
        effects: &mut Vec<Effect>,
    ) {
        let version = self.version();
        let read_at = now + LATENCY;
        let connection = self.connections.get_mut(index);
        connection.version = version;
        connection.written_at = now;
        effects.push(Effect::Written {
            proxy: connection.caller.proxy,
            former_address: connection.former_address,
            complete,
            entries: entries.clone(),
        });
        let call = connection.call;
        let event = DiscoveryEvent::Update { call, read_at, version, complete, entries };
        effects.push(Effect::Read { at: read_at, connection: index, event });
    }
}
