//! Passes endpoint lists and their changes between the discovery model, the drain rule and the policies.

use leadrelay_core::{
    CallId, CellId, DiscoveryEvent, Endpoint, EndpointId, EndpointState, Event as ProxyEvent, ListScope,
    MachineClassId, Millis, ZoneId,
};

use super::Simulation;
use super::event::Event;
use crate::backend::Backend;
use crate::discovery::{Caller, DiscoveryParameters, DiscoveryService, Effect, Step};
use crate::drain_rule::WrittenList;
use crate::index::{BackendIndex, ConnectionIndex, ProxyIndex};
use crate::workload::Workload;

impl Simulation<'_> {
    /// Delivers the cached endpoint list to a proxy that has just started.
    pub(super) fn deliver_cached_list(&mut self, proxy: ProxyIndex) {
        self.drain_rule.proxy_started(self.now(), proxy);
        let entries = self.proxies[proxy].cached_list.clone();
        self.proxies[proxy].known_starts.clear();
        self.record_known_starts(proxy, &entries);
        self.deliver(proxy, ProxyEvent::List { scope: ListScope::Cached, entries });
    }

    /// Records the starts of backends that a proxy has been notified of.
    fn record_known_starts(&mut self, proxy: ProxyIndex, entries: &[Endpoint]) {
        let starts =
            entries.iter().filter_map(|entry| Some((BackendIndex(entry.id.0 as usize), entry.started_at?)));
        self.proxies[proxy].known_starts.extend(starts);
    }

    /// Announces a new state of a backend, which reaches the discovery service after a delay.
    pub(super) fn announce(&mut self, backend: BackendIndex, state: EndpointState) {
        let entry = endpoint(backend, &self.backends[backend], state);
        let delay = self.workload.discovery.propagation_delay;
        self.events.schedule_after(delay, Event::DiscoveryUpdate(entry));
    }

    /// Runs an operation on the discovery service and applies the resulting effects.
    pub(super) fn with_discovery(
        &mut self, operation: impl FnOnce(&mut DiscoveryService, Millis, &mut Vec<Effect>),
    ) {
        let mut effects = Vec::new();
        let now = self.now();
        operation(&mut self.discovery, now, &mut effects);
        for effect in effects {
            self.apply(effect);
        }
    }

    /// Applies an effect of the discovery service.
    fn apply(&mut self, effect: Effect) {
        let now = self.now();
        match effect {
            Effect::Schedule { at, step } => self.events.schedule_at(at, Event::DiscoveryStep(step)),
            Effect::Read { at, connection, event } => {
                self.events.schedule_at(at, Event::DiscoveryRead { connection, event });
            }
            Effect::Updated(entry) => self.drain_rule.discovery_updated(now, &entry),
            Effect::Written { proxy, former_address, complete, entries } => {
                let list = WrittenList { former_address, complete, entries: &entries };
                self.drain_rule.list_written(now, proxy, list);
            }
            Effect::WatchEnded { proxy } => self.drain_rule.watch_closed(now, proxy),
        }
    }

    pub(super) fn discovery_step(&mut self, step: Step) {
        self.with_discovery(|service, now, effects| service.step(now, step, effects));
    }

    pub(super) fn discovery_update(&mut self, entry: Endpoint) {
        self.with_discovery(|service, _, effects| service.update(entry, effects));
    }

    pub(super) fn subscribe(&mut self, proxy: ProxyIndex, call: CallId, after: Option<u64>) {
        let caller = self.caller(proxy);
        self.with_discovery(|service, now, effects| service.call(now, caller, call, after, effects));
    }

    pub(super) fn unsubscribe(&mut self, proxy: ProxyIndex, call: CallId) {
        let caller = self.caller(proxy);
        if self.discovery.give_up(caller, call) {
            self.drain_rule.watch_closed(self.now(), proxy);
        }
    }

    fn caller(&self, proxy: ProxyIndex) -> Caller {
        Caller { proxy, incarnation: self.proxies[proxy].incarnation }
    }

    /// Handles a proxy reading an event from a connection to discovery.
    pub(super) fn discovery_read(&mut self, connection: ConnectionIndex, event: DiscoveryEvent) {
        let Some(Caller { proxy, incarnation }) = self.discovery.reader(connection) else { return };
        if !self.is_running(proxy, incarnation) {
            return;
        }
        if let DiscoveryEvent::Update { complete, entries, .. } = &event {
            self.update_cached_list(proxy, *complete, entries);
            self.record_known_starts(proxy, entries);
        }
        if self.proxies[proxy].policy.handles_discovery_events() {
            self.deliver(proxy, ProxyEvent::Discovery(event));
        } else if let Some(event) = as_list(event) {
            self.deliver(proxy, event);
        }
    }

    /// Updates the list that the next process of a proxy starts with.
    fn update_cached_list(&mut self, proxy: ProxyIndex, complete: bool, entries: &[Endpoint]) {
        let list = &mut self.proxies[proxy].cached_list;
        if complete {
            *list = entries.to_vec();
            return;
        }
        for entry in entries {
            list.retain(|cached| cached.id != entry.id);
            if entry.state != EndpointState::Removed {
                list.push(entry.clone());
            }
        }
    }

    /// Moves discovery to another address and notifies each running proxy of the move.
    pub(super) fn move_discovery(&mut self) {
        self.with_discovery(|service, now, effects| service.move_address(now, effects));
        for proxy in self.proxies.indices() {
            if !self.proxies[proxy].up {
                continue;
            }
            self.drain_rule.discovery_moved(self.now(), proxy);
            if self.proxies[proxy].policy.handles_discovery_events() {
                self.deliver(proxy, ProxyEvent::Discovery(DiscoveryEvent::Moved));
            }
        }
    }

    /// Resets the watches of some proxies.
    pub(super) fn reset_watches(&mut self, proxies: &[ProxyIndex]) {
        let is_affected = |proxy: ProxyIndex| proxies.contains(&proxy);
        self.with_discovery(|service, now, effects| service.reset_watches(now, is_affected, effects));
    }

    /// Stalls the watches of some proxies.
    pub(super) fn stall_watches(&mut self, proxies: &[ProxyIndex]) {
        for proxy in self.discovery.stall_watches(|proxy| proxies.contains(&proxy)) {
            self.drain_rule.watch_stalled(self.now(), proxy);
        }
    }
}

/// Converts a discovery event for a policy that does not observe its calls; returns `None` for an event without a list.
fn as_list(event: DiscoveryEvent) -> Option<ProxyEvent> {
    match event {
        DiscoveryEvent::Update { complete, entries, .. } => {
            let scope = if complete { ListScope::Full } else { ListScope::Delta };
            Some(ProxyEvent::List { scope, entries })
        }
        DiscoveryEvent::Ended { .. } => {
            Some(ProxyEvent::List { scope: ListScope::Failed, entries: Vec::new() })
        }
        DiscoveryEvent::Moved
        | DiscoveryEvent::TakeoverStarted
        | DiscoveryEvent::Connected(_)
        | DiscoveryEvent::Heartbeat { .. } => None,
    }
}

/// Builds the entry of a backend on the endpoint list.
pub(super) fn endpoint(index: BackendIndex, backend: &Backend, state: EndpointState) -> Endpoint {
    let machine = &backend.machine;
    Endpoint {
        id: EndpointId(index.0 as u64),
        zone: Some(ZoneId(machine.zone.0 as u32)),
        machine_class: Some(MachineClassId(machine.machine_class.0 as u32)),
        cell: Some(CellId(machine.cell.0)),
        state,
        weight: machine.weight,
        started_at: backend.started_at.is_finite().then_some(backend.started_at),
    }
}

/// Returns the parameters of the discovery service of a workload.
pub(super) fn discovery_parameters(workload: &Workload) -> DiscoveryParameters {
    let spec = &workload.scenario.discovery;
    DiscoveryParameters {
        calls_per_s: workload.discovery.calls_per_s,
        max_wait: spec.timeout_ms,
        push_interval: spec.push_interval_ms,
        pushed: spec.pushed,
        outage: spec.outage,
        full_list_fraction: spec.full_list_fraction,
        omits_draining: spec.omits_draining,
    }
}
