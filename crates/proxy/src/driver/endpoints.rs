//! The listed endpoints: their addresses, upstreams and start times, and whether new requests may be sent to them.

use std::collections::VecDeque;
use std::rc::Rc;

use leadrelay_core::names::{Names, hash_name, intern};
use leadrelay_core::{Balancer, CellId, Endpoint, EndpointId, EndpointState, MachineClassId, Millis, ZoneId};
use rustc_hash::{FxHashMap, FxHashSet};

use super::clock::Clock;
use super::start_times::{ListTime, StartTimes};
use crate::listed_endpoint::{Health, ListedEndpoint};
use crate::upstream::{UpstreamEndpoint, UpstreamPool};

/// Maximum number of distinct zones, and of distinct machine classes. Bounds memory, as discovery may keep sending new
/// names.
const MAX_NAMES: usize = 4096;
/// Maximum number of endpoint ids that are remembered, whether the endpoints are still listed or not.
const MAX_REMEMBERED: usize = 10_000;

/// The state of the driver that is needed to create an endpoint's upstream and its entry for the balancer.
pub struct ListContext<'a> {
    pub balancer: &'a Balancer,
    pub time: ListTime<'a>,
    /// The names of zones and machine classes. New ones are added.
    pub names: &'a mut Names,
    pub upstreams: &'a UpstreamPool,
}

/// The listed endpoints.
#[derive(Default)]
pub struct Endpoints {
    upstreams: FxHashMap<EndpointId, Rc<UpstreamEndpoint>>,
    /// The entries of the current list.
    listed: FxHashMap<EndpointId, ListedEndpoint>,
    start_times: StartTimes,
    ever_listed: RememberedIds,
}

impl Endpoints {
    /// Applies a list, and returns its entries for the balancer. Endpoints missing from a complete list get no new
    /// requests.
    pub fn apply(
        &mut self, complete: bool, endpoints: Vec<ListedEndpoint>, context: &mut ListContext,
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

    /// Closes and drops the upstreams of endpoints that are not in `listed`. Attempts in flight hold their own
    /// references to them.
    fn retain(&mut self, listed: &FxHashSet<EndpointId>) {
        self.upstreams.retain(|id, upstream| {
            let is_listed = listed.contains(id);
            if !is_listed {
                upstream.set_open(false);
            }
            is_listed
        });
    }

    fn apply_entry(&mut self, endpoint: ListedEndpoint, context: &mut ListContext) -> Endpoint {
        let id = EndpointId(hash_name(&endpoint.name));
        self.ever_listed.add(id);
        let state = endpoint_state(&endpoint);
        self.ensure_upstream(id, &endpoint, context);
        if let Some(upstream) = self.upstreams.get(&id) {
            upstream.set_open(state == EndpointState::Up);
        }
        let entry = Endpoint {
            id,
            zone: intern_bounded(&mut context.names.zones, endpoint.zone.as_deref()).map(ZoneId),
            machine_class: intern_bounded(
                &mut context.names.machine_classes,
                endpoint.machine_class.as_deref(),
            )
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

    /// Corrects start times after steps of the wall clock. Returns the listed endpoints that may have started later
    /// than recorded, with their corrected start times.
    pub fn correct_start_times(&mut self, clock: &Clock) -> Vec<(EndpointId, Millis)> {
        self.start_times.correct(clock)
    }

    /// Creates the upstream of an endpoint, unless there already is one with the same address and start time. An
    /// upstream that it replaces gets no new requests.
    fn ensure_upstream(&mut self, id: EndpointId, endpoint: &ListedEndpoint, context: &mut ListContext) {
        let Some(address) = endpoint.address else { return };
        let is_same_process = |upstream: &Rc<UpstreamEndpoint>| {
            upstream.address == address && upstream.started_unix_ms == endpoint.started_unix_ms
        };
        if self.upstreams.get(&id).is_some_and(is_same_process) {
            return;
        }
        let upstream = UpstreamEndpoint::new(address, endpoint.started_unix_ms);
        upstream.set_in_maintenance(context.balancer.is_in_maintenance(id));
        context.upstreams.add_endpoint(&upstream);
        if let Some(replaced) = self.upstreams.insert(id, upstream) {
            replaced.set_open(false);
        }
    }

    /// The upstream of an endpoint, if it has one.
    pub fn upstream(&self, id: EndpointId) -> Option<&Rc<UpstreamEndpoint>> {
        self.upstreams.get(&id)
    }

    /// The name of a listed endpoint.
    pub fn name(&self, id: EndpointId) -> Option<&str> {
        self.listed.get(&id).map(|endpoint| endpoint.name.as_str())
    }

    /// The entries of the current list.
    pub fn listed(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.listed.values()
    }

    /// Whether an endpoint is or was listed, as far as remembered.
    pub fn was_listed(&self, id: EndpointId) -> bool {
        self.ever_listed.ids.contains(&id)
    }

    /// The endpoints that are or were listed, as far as remembered.
    pub fn ever_listed(&self) -> impl Iterator<Item = EndpointId> {
        self.ever_listed.ids.iter().copied()
    }

    /// Remembers an endpoint that was listed in the other process of this proxy during an upgrade.
    pub fn remember(&mut self, id: EndpointId) {
        self.ever_listed.add(id);
    }
}

/// The balancer's state for a listed endpoint. An endpoint without an address gets no new requests.
fn endpoint_state(endpoint: &ListedEndpoint) -> EndpointState {
    match endpoint.health {
        Health::Up if endpoint.address.is_some() => EndpointState::Up,
        Health::Up | Health::Draining => EndpointState::Draining,
        Health::Removed => EndpointState::Removed,
    }
}

/// The ids of endpoints that are or were listed. Beyond `MAX_REMEMBERED` ids, the one added first is forgotten.
#[derive(Default)]
struct RememberedIds {
    ids: FxHashSet<EndpointId>,
    /// The same ids, in the order in which they were added.
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
            self.ids.remove(&oldest); // if the endpoint is still listed, its next list entry adds its id again
        }
    }
}

/// Returns the number of a zone or machine class, and adds the name if it is new. Returns `None` for a new name once
/// there are `MAX_NAMES` of them.
fn intern_bounded(names: &mut Vec<String>, name: Option<&str>) -> Option<u32> {
    let name = name?;
    let number = match names.iter().position(|known| known == name) {
        Some(number) => number,
        None if names.len() < MAX_NAMES => intern(names, name),
        None => return None,
    };
    u32::try_from(number).ok()
}
