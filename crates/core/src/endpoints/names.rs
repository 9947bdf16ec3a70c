//! The 16-bit names by which gossip messages refer to endpoints.

use rustc_hash::FxHashMap;

use super::{EndpointEntry, EndpointIndex};
use crate::hash::mix;
use crate::ids::EndpointId;

/// Hashes of an id that are tried for a name. Of 1,024 endpoints about 16 share their first hash with another one, and
/// hardly any their second too.
const ROUNDS: u64 = 16;

/// Which endpoint each name stands for.
///
/// Two of some hundreds of endpoints are likely to have equal hashes of 16 bits. A name that several listed endpoints
/// hash to is given to none of them; each of them goes on to the next hash of its id. The names follow from the ids
/// on the list alone, in whatever order it came, so all proxies that have the same list use the same names. While
/// lists differ, a name that is shared on the longer list is unknown there, and what is reported under it is ignored
/// instead of being taken for another endpoint's.
#[derive(Default)]
pub(crate) struct EndpointNames {
    /// `None` for a name that several endpoints hash to.
    owners: FxHashMap<u16, Option<EndpointIndex>>,
    /// Whether endpoints have joined or left the list since the names were given.
    outdated: bool,
}

impl EndpointNames {
    /// The endpoint with that name.
    pub fn owner(&self, name: u16) -> Option<EndpointIndex> {
        self.owners.get(&name).copied().flatten()
    }

    /// Whether endpoints have joined or left the list since the names were given.
    pub fn is_outdated(&self) -> bool {
        self.outdated
    }

    /// An endpoint has joined or left the list.
    pub fn mark_outdated(&mut self) {
        self.outdated = true;
    }

    /// Gives all endpoints their names anew. One that has left the list keeps its first hash if no listed one has it:
    /// requests may still be in flight to it.
    pub fn assign(&mut self, by_id: &FxHashMap<EndpointId, EndpointIndex>, entries: &mut [EndpointEntry]) {
        self.outdated = false;
        self.owners.clear();
        for &endpoint in by_id.values() {
            entries[endpoint.as_usize()].gossip_name = None;
        }
        let is_listed = |endpoint: &EndpointIndex| entries[endpoint.as_usize()].is_listed();
        let (mut unnamed, removed): (Vec<EndpointIndex>, Vec<EndpointIndex>) =
            by_id.values().copied().partition(is_listed);
        for round in 0..ROUNDS {
            unnamed = self.propose(round, unnamed, entries);
        }
        for endpoint in removed {
            let name = hash(entries[endpoint.as_usize()].listed.id, 0);
            if !self.owners.contains_key(&name) {
                self.give(name, endpoint, entries);
            }
        }
    }

    /// Gives each of these endpoints its hash of this round unless another one has it; returns those without a name.
    fn propose(
        &mut self, round: u64, unnamed: Vec<EndpointIndex>, entries: &mut [EndpointEntry],
    ) -> Vec<EndpointIndex> {
        let mut proposals: FxHashMap<u16, Vec<EndpointIndex>> = FxHashMap::default();
        for endpoint in unnamed {
            let name = hash(entries[endpoint.as_usize()].listed.id, round);
            proposals.entry(name).or_default().push(endpoint);
        }
        let mut rejected = Vec::new();
        for (name, proposers) in proposals {
            match proposers[..] {
                [endpoint] if !self.owners.contains_key(&name) => self.give(name, endpoint, entries),
                _ => {
                    self.owners.entry(name).or_insert(None);
                    rejected.extend(proposers);
                }
            }
        }
        rejected
    }

    fn give(&mut self, name: u16, endpoint: EndpointIndex, entries: &mut [EndpointEntry]) {
        self.owners.insert(name, Some(endpoint));
        entries[endpoint.as_usize()].gossip_name = Some(name);
    }

    /// Forgets the name of an endpoint that nothing refers to any more.
    pub fn release(&mut self, entry: &mut EndpointEntry) {
        if let Some(name) = entry.gossip_name.take() {
            self.owners.remove(&name);
        }
    }
}

/// One of the hashes of an id, by its number.
fn hash(id: EndpointId, round: u64) -> u16 {
    mix(id.0 ^ mix(round)) as u16
}
