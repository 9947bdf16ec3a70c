//! The records of all endpoints that are on the endpoint list or still referred to.

use std::ops::{Index, IndexMut};

use rustc_hash::FxHashMap;

use super::{EndpointEntry, EndpointIndex, EndpointNames};
use crate::endpoint::{Endpoint, EndpointState};
use crate::ids::{EndpointId, Millis};
use crate::machine_class::MachineClassIndex;
use crate::operator_overrides::OperatorOverrides;

/// Lower bound of the total weight, which is used as a divisor.
const MIN_TOTAL_WEIGHT: f64 = 1e-6;

/// The records of all endpoints, the positions that can be reused, and the names that gossip uses.
#[derive(Default)]
pub(crate) struct EndpointTable {
    entries: Vec<EndpointEntry>,
    /// Positions that can be reused: their endpoints were removed and nothing refers to them.
    vacant: Vec<EndpointIndex>,
    by_id: FxHashMap<EndpointId, EndpointIndex>,
    names: EndpointNames,
    /// Sum of the weights of endpoints in service.
    total_weight: f64,
}

impl EndpointTable {
    /// Number of positions, including vacant ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// All positions, including vacant ones.
    pub fn indices(&self) -> impl DoubleEndedIterator<Item = EndpointIndex> + use<> {
        (0..self.entries.len()).map(EndpointIndex::new)
    }

    /// All records, including those at vacant positions.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.iter()
    }

    /// All records with their positions, including vacant ones.
    pub fn iter_indexed(&self) -> impl Iterator<Item = (EndpointIndex, &EndpointEntry)> {
        self.entries.iter().enumerate().map(|(position, entry)| (EndpointIndex::new(position), entry))
    }

    /// All records as mutable references, including those at vacant positions.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut EndpointEntry> {
        self.entries.iter_mut()
    }

    /// Records of endpoints to which discovery and operators allow requests to be sent.
    pub fn in_service(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.iter().filter(|entry| entry.is_in_service())
    }

    /// The position of the record of an endpoint.
    pub fn find(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(&id).copied()
    }

    /// The endpoint that gossip messages refer to by this name.
    pub fn find_by_gossip_name(&self, name: u16) -> Option<EndpointIndex> {
        self.names.owner(name)
    }

    /// The sum of the weights of all endpoints in service.
    pub fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// Records the entries of an endpoint list. Returns the endpoints of these entries; with a complete list also all
    /// endpoints that are missing from it.
    pub fn record_list(
        &mut self, now: Millis, complete: bool, entries: Vec<Endpoint>, classes: usize,
        overrides: &mut OperatorOverrides,
    ) -> Vec<EndpointIndex> {
        let mut recorded: Vec<EndpointIndex> =
            entries.into_iter().map(|entry| self.record(now, entry, classes, overrides)).collect();
        if complete {
            self.remove_unlisted(now, &mut recorded);
        }
        if self.names.is_outdated() {
            self.names.assign(&self.by_id, &mut self.entries);
        }
        let weights = self.in_service().map(|entry| entry.listed.weight);
        self.total_weight = weights.sum::<f64>().max(MIN_TOTAL_WEIGHT);
        recorded
    }

    fn record(
        &mut self, now: Millis, mut listed: Endpoint, classes: usize, overrides: &mut OperatorOverrides,
    ) -> EndpointIndex {
        listed.weight = if listed.weight.is_finite() && listed.weight > 0.0 { listed.weight } else { 1.0 };
        let known = self.find(listed.id);
        let was_listed = known.is_some_and(|endpoint| self[endpoint].is_listed());
        if was_listed != (listed.state != EndpointState::Removed) {
            self.names.mark_outdated();
        }
        let endpoint = known.unwrap_or_else(|| self.insert(EndpointEntry::new(listed.clone(), classes, now)));
        listed.started_at = overrides.effective_start(&listed);
        let in_service = listed.state == EndpointState::Up && !overrides.is_in_maintenance(listed.id);
        let entry = &mut self[endpoint];
        entry.draining_since = if in_service { None } else { entry.draining_since.or(Some(now)) };
        entry.restarted |= entry.listed.started_at != listed.started_at
            || listed.started_at.is_some() && !entry.slow_start.is_active();
        entry.machine_class = MachineClassIndex::from_id(listed.machine_class);
        entry.listed = listed;
        endpoint
    }

    fn insert(&mut self, entry: EndpointEntry) -> EndpointIndex {
        let id = entry.listed.id;
        let endpoint = match self.vacant.pop() {
            Some(vacant) => {
                self[vacant] = entry;
                vacant
            }
            None => {
                self.entries.push(entry);
                EndpointIndex::new(self.entries.len() - 1)
            }
        };
        self.by_id.insert(id, endpoint);
        endpoint
    }

    /// Marks all endpoints that are not in `recorded` as removed and appends them to it.
    fn remove_unlisted(&mut self, now: Millis, recorded: &mut Vec<EndpointIndex>) {
        let mut unlisted = vec![true; self.entries.len()];
        for endpoint in recorded.iter() {
            unlisted[endpoint.as_usize()] = false;
        }
        for endpoint in self.indices().filter(|endpoint| unlisted[endpoint.as_usize()]) {
            let entry = &mut self.entries[endpoint.as_usize()];
            if entry.is_listed() {
                self.names.mark_outdated();
            }
            entry.draining_since = entry.draining_since.or(Some(now));
            entry.listed.state = EndpointState::Removed;
            recorded.push(endpoint);
        }
    }

    /// Endpoints whose records can be reused: they were removed, have neither attempts nor waiting requests, and are
    /// not in `referred_to`. Without reuse the table would grow, since endpoints come and go while the process runs.
    pub fn reclaimable(&self, referred_to: impl Iterator<Item = EndpointIndex>) -> Vec<EndpointIndex> {
        let is_unused = |entry: &EndpointEntry| {
            !entry.is_listed() && entry.load.this_proxy == 0 && entry.affinity.pending == 0
        };
        let mut reclaimable: Vec<bool> = self.entries.iter().map(is_unused).collect();
        for endpoint in self.vacant.iter().copied().chain(referred_to) {
            reclaimable[endpoint.as_usize()] = false;
        }
        self.indices().filter(|endpoint| reclaimable[endpoint.as_usize()]).collect()
    }

    /// Frees an endpoint's record; its position is reused for a new endpoint.
    pub fn reclaim(&mut self, endpoint: EndpointIndex) {
        let entry = &mut self.entries[endpoint.as_usize()];
        self.by_id.remove(&entry.listed.id);
        self.names.release(entry);
        self.vacant.push(endpoint);
    }
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = EndpointEntry;

    fn index(&self, endpoint: EndpointIndex) -> &EndpointEntry {
        &self.entries[endpoint.as_usize()]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, endpoint: EndpointIndex) -> &mut EndpointEntry {
        &mut self.entries[endpoint.as_usize()]
    }
}
