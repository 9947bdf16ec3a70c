//! How lists reach the proxies of a day: between the model of discovery, the rule on drains and who decides.

use leadrelay_core::{
    CallEnd, CallId, DiscoveryEvent, Endpoint, EndpointState, Event as ProxyEvent, ListScope,
};

use super::{Event, Simulation, line};
use crate::discovery::{Caller, Character, ConnectionId, Effect, Step};
use crate::workload::Workload;

impl Simulation<'_> {
    /// A proxy that has just started gets its list as last seen.
    pub(super) fn greet(&mut self, p: usize) {
        self.drains.started(self.now, p);
        let entries = self.proxies[p].list.clone();
        self.proxies[p].starts.clear();
        self.note_starts(p, &entries);
        self.tell(p, ProxyEvent::List { scope: ListScope::Cached, entries });
    }

    /// Notes of which starts a proxy has been told.
    fn note_starts(&mut self, p: usize, lines: &[Endpoint]) {
        let starts = lines.iter().filter_map(|l| Some((l.id.0 as usize, l.started_at?)));
        self.proxies[p].starts.extend(starts);
    }

    /// The service learns of a change, late.
    pub(super) fn tell_discovery(&mut self, b: usize, state: EndpointState) {
        let line = line(b, &self.backends[b], state);
        self.after(self.day.discovery.0, Event::Notice(line));
    }

    /// Lets something happen at the service.
    pub(super) fn at_discovery(
        &mut self, deed: impl FnOnce(&mut crate::discovery::Service, f64, &mut Vec<Effect>),
    ) {
        let mut effects = Vec::new();
        deed(&mut self.discovery, self.now, &mut effects);
        for effect in effects {
            self.follow(effect);
        }
    }

    fn follow(&mut self, effect: Effect) {
        match effect {
            Effect::Later { at, step } => self.at(at, Event::Discovery(step)),
            Effect::Read { at, connection, event } => self.at(at, Event::Read { connection, event }),
            Effect::Learned(line) => self.drains.learned(self.now, &line),
            Effect::Wrote { proxy, former, whole, lines } => {
                self.drains.written(self.now, proxy, former, whole, &lines);
            }
            Effect::WatchEnded { proxy } => self.drains.watch_closed(self.now, proxy),
        }
    }

    pub(super) fn step_discovery(&mut self, step: Step) {
        self.at_discovery(|service, now, out| service.step(now, step, out));
    }

    pub(super) fn subscribe(&mut self, p: usize, call: CallId, after: Option<u64>) {
        let caller = Caller { proxy: p, life: self.proxies[p].life };
        self.at_discovery(|service, now, out| service.call(now, caller, call, after, out));
    }

    pub(super) fn unsubscribe(&mut self, p: usize, call: CallId) {
        let caller = Caller { proxy: p, life: self.proxies[p].life };
        if self.discovery.give_up(caller, call) {
            self.drains.watch_closed(self.now, p);
        }
    }

    /// A proxy reads what has come on a connection.
    pub(super) fn read(&mut self, connection: ConnectionId, event: DiscoveryEvent) {
        let Some(Caller { proxy, life }) = self.discovery.reader(connection) else { return };
        if !self.lives(proxy, life) {
            return;
        }
        if let DiscoveryEvent::Update { complete: whole, entries, .. } = &event {
            self.remember(proxy, *whole, entries);
            self.note_starts(proxy, entries);
        }
        let event = match self.proxies[proxy].brain.follows_calls() {
            true => Some(ProxyEvent::Discovery(event)),
            false => as_list(event),
        };
        if let Some(event) = event {
            self.tell(proxy, event);
        }
    }

    /// Keeps the list as last seen, for the next process.
    fn remember(&mut self, p: usize, whole: bool, lines: &[Endpoint]) {
        let list = &mut self.proxies[p].list;
        if whole {
            return *list = lines.to_vec();
        }
        for line in lines {
            list.retain(|l| l.id != line.id);
            if line.state != EndpointState::Removed {
                list.push(line.clone());
            }
        }
    }

    /// Discovery has another address, and each proxy is told so.
    pub(super) fn move_discovery(&mut self) {
        self.at_discovery(|service, now, out| service.move_away(now, out));
        for p in 0..self.proxies.len() {
            if !self.proxies[p].alive {
                continue;
            }
            self.drains.moved(self.now, p);
            if self.proxies[p].brain.follows_calls() {
                self.tell(p, ProxyEvent::Discovery(DiscoveryEvent::Moved));
            }
        }
    }

    /// The watches of a part of the proxies fall silent, or are reset.
    pub(super) fn strike_watches(&mut self, fault: usize, silent: bool) {
        let mut struck = vec![false; self.proxies.len()];
        self.struck(fault, self.proxies.len()).into_iter().for_each(|p| struck[p] = true);
        if !silent {
            return self.at_discovery(|service, now, out| service.break_watches(now, |p| struck[p], out));
        }
        for p in self.discovery.silence_watches(|p| struck[p]) {
            self.drains.fell_silent(self.now, p);
        }
    }
}

/// What those are told that know of lists alone.
fn as_list(event: DiscoveryEvent) -> Option<ProxyEvent> {
    match event {
        DiscoveryEvent::Update { complete: whole, entries, .. } => {
            let scope = if whole { ListScope::Full } else { ListScope::Delta };
            Some(ProxyEvent::List { scope, entries })
        }
        DiscoveryEvent::Ended {
            end: CallEnd::Unreachable | CallEnd::Malformed | CallEnd::Closed, ..
        } => Some(ProxyEvent::List { scope: ListScope::Failed, entries: Vec::new() }),
        DiscoveryEvent::Moved
        | DiscoveryEvent::TakeoverStarted
        | DiscoveryEvent::Connected(_)
        | DiscoveryEvent::Heartbeat { .. } => None,
    }
}

/// What a day's discovery is like.
pub(super) fn character(day: &Workload) -> Character {
    let of = &day.scenario.discovery;
    Character {
        calls_per_s: day.discovery.1,
        limit: of.timeout_ms,
        push_interval: of.push_ms,
        pushed: of.pushed,
        outage: of.outage,
        whole_part: of.whole_part,
        hides_draining: of.hides_draining,
    }
}
