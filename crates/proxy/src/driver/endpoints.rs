//! The listed endpoints: where each is, and whether new requests may be sent there.

use std::collections::VecDeque;
use std::rc::Rc;

use leadrelay_core::names::{Names, hash_name, intern};
use leadrelay_core::{Balancer, CellId, Endpoint, EndpointId, EndpointState, MachineClassId, Millis, ZoneId};
use rustc_hash::{FxHashMap, FxHashSet};

use super::clock::Clock;
use super::start_times::{ListTime, StartTimes};
use crate::listed_endpoint::{Health, ListedEndpoint};
use crate::upstream::{UpstreamEndpoint, UpstreamPool};

/// Zones, and machine classes, that are distinguished: bounds memory, as discovery may name ever new ones.
const MAX_NAMES: usize = 4096;
/// Endpoints whose ids are remembered after they have left the list.
const MAX_REMEMBERED: usize = 10_000;

/// What is needed to make the upstream and the balancer's entry of an endpoint.
pub struct Context<'a> {
    pub balancer: &'a Balancer,
    pub time: ListTime<'a>,
    pub names: &'a mut Names,
    pub upstreams: &'a UpstreamPool,
}

/// The listed endpoints.
#[derive(Default)]
pub struct Endpoints {
    upstreams: FxHashMap<EndpointId, Rc<UpstreamEndpoint>>,
    /// The present list.
    listed: FxHashMap<EndpointId, ListedEndpoint>,
    start_times: StartTimes,
    ever_listed: RememberedIds,
}

impl Endpoints {
    /// Applies a list; returns its entries for the balancer. Endpoints that a complete list lacks get no new requests.
    pub fn apply(
        &mut self, complete: bool, endpoints: Vec<ListedEndpoint>, context: &mut Context,
    ) -> Vec<Endpoint> {
        if complete {
            self.listed.clear();
        }
        let entries: Vec<Endpoint> =
            endpoints.into_iter().map(|endpoint| self.apply_entry(endpoint, context)).collect();
        if complete {
            let listed: FxHashSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
            self.retain(&listed);
            self.start_times.retain(&listed, context.time);
        }
        entries
    }

    /// Drops the endpoints that are not listed. Attempts in flight keep what they need of them.
    fn retain(&mut self, listed: &FxHashSet<EndpointId>) {
        self.upstreams.retain(|id, upstream| {
            let is_listed = listed.contains(id);
            if !is_listed {
                upstream.set_open(false);
            }
            is_listed
        });
    }

    fn apply_entry(&mut self, endpoint: ListedEndpoint, context: &mut Context) -> Endpoint {
        let id = EndpointId(hash_name(&endpoint.name));
        self.ever_listed.add(id);
        let state = endpoint_state(&endpoint);
        self.connect(id, &endpoint, context);
        if let Some(upstream) = self.upstreams.get(&id) {
            upstream.set_open(state == EndpointState::Up);
        }
        let entry = Endpoint {
            id,
            zone: number_of(&mut context.names.zones, endpoint.zone.as_deref()).map(ZoneId),
            machine_class: number_of(&mut context.names.machine_classes, endpoint.machine_class.as_deref())
                .map(MachineClassId),
            cell: endpoint.cell.map(CellId),
            state,
            weight: endpoint.weight.unwrap_or(1.0),
            started_at: match state {
                EndpointState::Removed => {
                    self.start_times.find(id, endpoint.started_unix_ms, context.time.clock)
                }
                _ => self.start_times.record(id, endpoint.started_unix_ms, context.time),
            },
        };
        if state == EndpointState::Removed {
            self.upstreams.remove(&id);
            self.listed.remove(&id);
            self.start_times.unlist(id, context.time);
        } else {
            self.listed.insert(id, endpoint);
        }
        entry
    }

    /// Allows for steps of the wall clock. Returns listed endpoints that may have started later than was known.
    pub fn correct_start_times(&mut self, clock: &Clock) -> Vec<(EndpointId, Millis)> {
        self.start_times.correct(clock)
    }

    /// Makes the upstream of an endpoint's process, unless there is one for that process at that address.
    fn connect(&mut self, id: EndpointId, endpoint: &ListedEndpoint, context: &mut Context) {
        let Some(address) = endpoint.address else { return };
        let is_same = |upstream: &Rc<UpstreamEndpoint>| {
            upstream.address == address && upstream.started_unix_ms == endpoint.started_unix_ms
        };
        if self.upstreams.get(&id).is_some_and(is_same) {
            return;
        }
        let upstream = UpstreamEndpoint::new(address, endpoint.started_unix_ms);
        upstream.set_in_maintenance(context.balancer.is_in_maintenance(id));
        context.upstreams.add_endpoint(&upstream);
        if let Some(replaced) = self.upstreams.insert(id, upstream) {
            replaced.set_open(false);
        }
    }

    /// The socket side of an endpoint.
    pub fn upstream(&self, id: EndpointId) -> Option<&Rc<UpstreamEndpoint>> {
        self.upstreams.get(&id)
    }

    /// The name of a listed endpoint.
    pub fn name(&self, id: EndpointId) -> Option<&str> {
        self.listed.get(&id).map(|endpoint| endpoint.name.as_str())
    }

    /// The present list.
    pub fn listed(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.listed.values()
    }

    /// Whether an endpoint has ever been listed.
    pub fn was_listed(&self, id: EndpointId) -> bool {
        self.ever_listed.ids.contains(&id)
    }

    /// The endpoints that have ever been listed.
    pub fn ever_listed(&self) -> impl Iterator<Item = EndpointId> {
        self.ever_listed.ids.iter().copied()
    }

    /// Remembers an endpoint that a predecessor process has seen listed.
    pub fn remember(&mut self, id: EndpointId) {
        self.ever_listed.add(id);
    }
}

/// An endpoint without an address gets no new requests.
fn endpoint_state(endpoint: &ListedEndpoint) -> EndpointState {
    match endpoint.health {
        Health::Up if endpoint.address.is_some() => EndpointState::Up,
        Health::Up | Health::Draining => EndpointState::Draining,
        Health::Removed => EndpointState::Removed,
    }
}

/// The ids of the endpoints that were listed last, whether listed at present or not.
#[derive(Default)]
struct RememberedIds {
    ids: FxHashSet<EndpointId>,
    /// Oldest first.
    order: VecDeque<EndpointId>,
}

impl RememberedIds {
    fn add(&mut self, id: EndpointId) {
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest); // if it is still listed, its next entry adds it again
        }
    }
}

/// The number of a zone or machine class; beyond `MAX_NAMES` of them a new name has none.
fn number_of(names: &mut Vec<String>, name: Option<&str>) -> Option<u32> {
    let name = name?;
    let number = match names.iter().position(|known| known == name) {
        Some(number) => number,
        None if names.len() < MAX_NAMES => intern(names, name),
        None => return None,
    };
    u32::try_from(number).ok()
}
