//! The 16-bit names by which gossip messages refer to endpoints.

use rustc_hash::FxHashMap;

use super::{EndpointEntry, EndpointIndex};
use crate::hash::mix;
use crate::ids::EndpointId;

/// Number of hashes of an id that are tested as its name. Of 1,024 endpoints about 16 share their first hash with
/// another one, and hardly any of these share their second hash too.
const HASH_ROUNDS: u64 = 16;

/// The mapping from names to endpoints.
///
/// Among a few hundred endpoints, two are likely to have the same 16-bit hash. A name that several listed endpoints
/// hash to is assigned to none of them; each of them proceeds to the next hash of its id. The names depend only on the
/// ids on the list, not on their order, so all proxies with the same list use the same names. While lists differ, a
/// name that several endpoints on the longer list hash to is unknown to proxies with that list: they ignore reports
/// under this name instead of attributing them to the wrong endpoint.
#[derive(Default)]
pub(crate) struct EndpointNames {
    /// `None` for a name that several endpoints hash to.
    owners: FxHashMap<u16, Option<EndpointIndex>>,
    /// Whether endpoints have joined or left the list since the names were assigned.
    outdated: bool,
}

impl EndpointNames {
    /// The endpoint with this name.
    pub fn owner(&self, name: u16) -> Option<EndpointIndex> {
        self.owners.get(&name).copied().flatten()
    }

    /// Whether endpoints have joined or left the list since the names were assigned.
    pub fn is_outdated(&self) -> bool {
        self.outdated
    }

    /// Marks the names as outdated, because an endpoint has joined or left the list.
    pub fn mark_outdated(&mut self) {
        self.outdated = true;
    }

    /// Reassigns the names of all endpoints. An endpoint that has left the list is named by its first hash if no listed
    /// endpoint hashes to it, since requests to it may still be in flight.
    pub fn assign(&mut self, by_id: &FxHashMap<EndpointId, EndpointIndex>, entries: &mut [EndpointEntry]) {
        self.outdated = false;
        self.owners.clear();
        for &endpoint in by_id.values() {
            entries[endpoint.as_usize()].gossip_name = None;
        }
        let is_listed = |endpoint: &EndpointIndex| entries[endpoint.as_usize()].is_listed();
        let (mut unnamed, removed): (Vec<EndpointIndex>, Vec<EndpointIndex>) =
            by_id.values().copied().partition(is_listed);
        for round in 0..HASH_ROUNDS {
            unnamed = self.assign_round(round, unnamed, entries);
        }
        for endpoint in removed {
            let name = hash(entries[endpoint.as_usize()].listed.id, 0);
            if !self.owners.contains_key(&name) {
                self.set_owner(name, endpoint, entries);
            }
        }
    }

    /// Names each of these endpoints by its hash of this round unless another one has the same hash; returns the
    /// endpoints that remain without a name.
    fn assign_round(
        &mut self, round: u64, unnamed: Vec<EndpointIndex>, entries: &mut [EndpointEntry],
    ) -> Vec<EndpointIndex> {
        let mut endpoints_by_hash: FxHashMap<u16, Vec<EndpointIndex>> = FxHashMap::default();
        for endpoint in unnamed {
            let name = hash(entries[endpoint.as_usize()].listed.id, round);
            endpoints_by_hash.entry(name).or_default().push(endpoint);
        }
        let mut still_unnamed = Vec::new();
        for (name, endpoints) in endpoints_by_hash {
            match endpoints[..] {
                [endpoint] if !self.owners.contains_key(&name) => self.set_owner(name, endpoint, entries),
                _ => {
                    self.owners.entry(name).or_insert(None);
                    still_unnamed.extend(endpoints);
                }
            }
        }
        still_unnamed
    }

    fn set_owner(&mut self, name: u16, endpoint: EndpointIndex, entries: &mut [EndpointEntry]) {
        self.owners.insert(name, Some(endpoint));
        entries[endpoint.as_usize()].gossip_name = Some(name);
    }

    /// Removes the name of an endpoint that nothing refers to any more.
    pub fn release(&mut self, entry: &mut EndpointEntry) {
        if let Some(name) = entry.gossip_name.take() {
            self.owners.remove(&name);
        }
    }
}

/// The 16-bit hash of an id for this round.
fn hash(id: EndpointId, round: u64) -> u16 {
    mix(id.0 ^ mix(round)) as u16
}
