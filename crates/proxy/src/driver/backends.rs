//! The listed backends as sockets need them: where each is, and whether something new may go there.

use std::collections::VecDeque;
use std::rc::Rc;

use leadrelay_core::names::{Names, hash_name, intern};
use leadrelay_core::{Balancer, CellId, Endpoint, EndpointId, EndpointState, MachineClassId, Millis, ZoneId};
use rustc_hash::{FxHashMap, FxHashSet};

use super::clock::Clock;
use crate::host::{Health, Host};
use crate::upstream::{UpstreamEndpoint, UpstreamPool};

/// Zones and kinds that are told apart: a bound, whatever discovery comes up with over the years.
const NAMES: usize = 4096;
/// Backends whose ids are remembered.
const LISTED: usize = 10_000;

/// What is needed to make a backend's endpoint and its line for the core.
pub struct Context<'a> {
    pub balancer: &'a Balancer,
    pub clock: &'a Clock,
    pub names: &'a mut Names,
    pub upstreams: &'a UpstreamPool,
}

/// A backend's start, as discovery tells it and by the core's clock.
#[derive(Clone, Copy)]
struct Start {
    born_ms: f64,
    since: Option<Millis>,
}

/// The listed backends.
#[derive(Default)]
pub struct Backends {
    endpoints: FxHashMap<EndpointId, Rc<UpstreamEndpoint>>,
    /// The list as it stands.
    hosts: FxHashMap<EndpointId, Host>,
    /// When each listed backend started. That is reckoned once, as the wall clock may be stepped after it.
    starts: FxHashMap<EndpointId, Start>,
    /// Backends that have ever been listed.
    listed: Listed,
}

impl Backends {
    /// Takes in a list; returns its lines for the core. What a whole list lacks gets nothing more.
    pub fn apply(&mut self, whole: bool, hosts: Vec<Host>, context: &mut Context) -> Vec<Endpoint> {
        if whole {
            self.hosts.clear();
        }
        let entries: Vec<Endpoint> = hosts.into_iter().map(|host| self.apply_host(host, context)).collect();
        if whole {
            let listed: FxHashSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
            // Attempts that are out keep what they need of a backend that has left.
            self.starts.retain(|id, _| listed.contains(id));
            self.endpoints.retain(|id, endpoint| {
                let stays = listed.contains(id);
                if !stays {
                    endpoint.set_open(false);
                }
                stays
            });
        }
        entries
    }

    fn apply_host(&mut self, host: Host, context: &mut Context) -> Endpoint {
        let id = EndpointId(hash_name(&host.host));
        self.listed.add(id);
        let state = match host.health {
            Health::Up if host.dial.is_some() => EndpointState::Up,
            Health::Up | Health::Draining => EndpointState::Draining,
            Health::Removed => EndpointState::Removed,
        };
        self.connect(id, &host, context);
        if let Some(endpoint) = self.endpoints.get(&id) {
            endpoint.set_open(state == EndpointState::Up);
        }
        let names = &mut context.names;
        let zone = host.site.as_ref().and_then(|zone| known(&mut names.zones, zone)).map(ZoneId);
        let kind =
            host.class.as_ref().and_then(|kind| known(&mut names.machine_classes, kind)).map(MachineClassId);
        let (cell, rating) = (host.block.map(CellId), host.share.unwrap_or(1.0));
        let since = self.since(id, host.born_ms, context.clock);
        if state == EndpointState::Removed {
            self.endpoints.remove(&id);
            self.hosts.remove(&id);
            self.starts.remove(&id);
        } else {
            self.hosts.insert(id, host);
        }
        Endpoint { id, zone, machine_class: kind, cell, state, weight: rating, started_at: since }
    }

    fn since(&mut self, id: EndpointId, born_ms: f64, clock: &Clock) -> Option<Millis> {
        let known = self.starts.get(&id).filter(|start| start.born_ms == born_ms);
        let start = known.copied().unwrap_or_else(|| Start { born_ms, since: clock.born(born_ms) });
        self.starts.insert(id, start);
        start.since
    }

    /// Makes an endpoint for a backend's process, unless there is one for that process at that address.
    fn connect(&mut self, id: EndpointId, host: &Host, context: &mut Context) {
        let Some(address) = host.dial else { return };
        let same =
            |endpoint: &Rc<UpstreamEndpoint>| endpoint.address == address && endpoint.born_ms == host.born_ms;
        if self.endpoints.get(&id).is_some_and(same) {
            return;
        }
        let endpoint = UpstreamEndpoint::new(address, host.born_ms);
        endpoint.set_in_maintenance(context.balancer.in_maintenance(id));
        context.upstreams.add(&endpoint);
        if let Some(old) = self.endpoints.insert(id, endpoint) {
            old.set_open(false);
        }
    }

    pub fn endpoint(&self, id: EndpointId) -> Option<&Rc<UpstreamEndpoint>> {
        self.endpoints.get(&id)
    }

    pub fn name(&self, id: EndpointId) -> Option<&str> {
        self.hosts.get(&id).map(|host| host.host.as_str())
    }

    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    pub fn was_listed(&self, id: EndpointId) -> bool {
        self.listed.ids.contains(&id)
    }

    pub fn ever_listed(&self) -> impl Iterator<Item = EndpointId> {
        self.listed.ids.iter().copied()
    }

    pub fn note_listed(&mut self, id: EndpointId) {
        self.listed.add(id);
    }
}

/// The backends that were listed last, listed or not at present: a bound, as they come and go for ever.
#[derive(Default)]
struct Listed {
    ids: FxHashSet<EndpointId>,
    order: VecDeque<EndpointId>,
}

impl Listed {
    fn add(&mut self, id: EndpointId) {
        if self.ids.insert(id) {
            self.order.push_back(id);
            if self.order.len() > LISTED
                && let Some(oldest) = self.order.pop_front()
            {
                self.ids.remove(&oldest); // if it is still listed, its next line adds it again
            }
        }
    }
}

/// The number of a zone or kind; past `NAMES` of them, what is new has none.
fn known(names: &mut Vec<String>, name: &str) -> Option<u32> {
    let number = match names.iter().position(|known| known == name) {
        Some(number) => number,
        None if names.len() < NAMES => intern(names, name),
        None => return None,
    };
    u32::try_from(number).ok()
}
