//! The record of one endpoint. Each part is changed by the component that owns it.

use std::collections::VecDeque;

use super::speed_tiers::{TierIndex, TierMembership};
use crate::endpoint::{Endpoint, EndpointState};
use crate::ids::{Millis, RequestId, ZoneId};
use crate::machine_class::MachineClassIndex;
use crate::outlier_record::OutlierRecord;
use crate::settings::DeduplicationScope;
use crate::slow_start::SlowStartBudget;
use crate::weighted_mean::WeightedMean;

/// Attempts in flight to an endpoint.
#[derive(Default)]
pub(crate) struct Load {
    /// Attempts of this proxy, including abandoned ones that may still be running.
    pub this_proxy: u32,
    /// Attempts of other proxies in the endpoint's zone, as reported by gossip.
    pub peers_same_zone: u32,
    /// Attempts of proxies in other zones, as reported by gossip.
    pub peers_other_zones: u32,
}

impl Load {
    /// All attempts in flight that this proxy knows of.
    pub fn total(&self) -> u32 {
        self.this_proxy + self.peers_same_zone + self.peers_other_zones
    }
}

/// The concurrency slots of an endpoint: how many requests it may hold at once.
pub(crate) struct SlotAllocation {
    /// Slots for all proxies together.
    pub capacity: f64,
    /// Slots that belong to this proxy alone.
    pub own_slots: f64,
}

/// Waiting requests whose key has its affinity with an endpoint.
#[derive(Default)]
pub(crate) struct AffinityQueue {
    /// The weight of the endpoint in rendezvous hashing: the inverse of its capacity.
    pub hash_weight: f64,
    /// Requests with affinity to the endpoint, in order of arrival; some of them may no longer wait.
    pub queue: VecDeque<RequestId>,
    /// Number of requests in `queue` that still wait.
    pub pending: u32,
    /// Whether a request with affinity to the endpoint may be sent to it now.
    pub available: bool,
    /// The fraction of the waiting requests that is admitted to the endpoint in each review interval, highest priority
    /// first.
    pub admission_probability: f64,
}

impl AffinityQueue {
    /// Adds a request that waits from now on.
    pub fn push(&mut self, id: RequestId) {
        self.pending += 1;
        self.queue.push_back(id);
    }

    /// Decrements the number of waiting requests. The queue may still contain the id of the request, and is cleared
    /// once none of its requests waits.
    pub fn stop_waiting(&mut self) {
        self.pending -= 1;
        if self.pending == 0 {
            self.queue.clear(); // the remaining ids are of requests that no longer wait
        }
    }

    /// Whether a request waits and may be sent to the endpoint.
    pub fn may_send(&self) -> bool {
        self.pending > 0 && self.available
    }
}

/// The record of an endpoint: its entry on the endpoint list, its load, and what has been measured of it.
pub(crate) struct EndpointEntry {
    /// The endpoint's entry on the endpoint list.
    pub listed: Endpoint,
    /// The name that gossip messages use for the endpoint.
    pub gossip_name: Option<u16>,
    /// When this proxy learned that the endpoint drains, was removed or is in maintenance; `None` in service.
    pub draining_since: Option<Millis>,
    /// Whether the list has reported a new process for which slow start has not been started yet.
    pub restarted: bool,
    /// The machine class of the endpoint.
    pub machine_class: MachineClassIndex,
    /// Attempts in flight.
    pub load: Load,
    /// The fraction of the duration of an attempt from another zone that is spent at the endpoint itself.
    pub processing_fraction: f64,
    /// Number of other proxies that report the endpoint as an outlier.
    pub outlier_reports: u32,
    /// Mean latency relative to the means of the request classes over all endpoints.
    pub relative_latency: WeightedMean,
    /// Failures, timeouts and ejections of the endpoint.
    pub outlier: OutlierRecord,
    /// Requests that this proxy may send to the endpoint during slow start.
    pub slow_start: SlowStartBudget,
    /// The fraction of its capacity that the endpoint has at least; 1 after slow start.
    pub slow_start_factor: f64,
    /// How many requests the endpoint may hold.
    pub slots: SlotAllocation,
    /// Expected latency relative to the mean of all endpoints, including the price of crossing zones.
    pub cost: f64,
    /// The speed tier that `cost` falls into.
    pub tier: TierIndex,
    /// The position of the endpoint in the speed tiers.
    pub membership: TierMembership,
    /// Waiting requests whose key has its affinity with the endpoint.
    pub affinity: AffinityQueue,
}

impl EndpointEntry {
    pub fn new(listed: Endpoint, classes: usize, now: Millis) -> Self {
        EndpointEntry {
            listed,
            gossip_name: None,
            draining_since: None,
            restarted: false,
            machine_class: MachineClassIndex::default(),
            load: Load::default(),
            processing_fraction: 1.0,
            outlier_reports: 0,
            relative_latency: WeightedMean::guess(1.0),
            outlier: OutlierRecord::new(classes, now),
            slow_start: SlowStartBudget::new(now),
            slow_start_factor: 1.0,
            slots: SlotAllocation { capacity: 1.0, own_slots: 0.0 },
            cost: 1.0,
            tier: TierIndex::default(),
            membership: TierMembership::default(),
            affinity: AffinityQueue { hash_weight: 1.0, ..AffinityQueue::default() },
        }
    }

    /// Whether discovery and operators allow requests to be sent to the endpoint.
    pub fn is_in_service(&self) -> bool {
        self.draining_since.is_none()
    }

    /// Whether the endpoint is still on the endpoint list.
    pub fn is_listed(&self) -> bool {
        self.listed.state != EndpointState::Removed
    }

    /// Whether the endpoint is in slow start and does not have its full capacity yet.
    pub fn is_warming_up(&self) -> bool {
        self.slow_start.is_active() && self.slow_start_factor < 1.0
    }

    /// Whether the endpoint recognizes repeats of requests that were sent to `prior` before.
    pub fn deduplicates(&self, prior: &EndpointEntry, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => prior.listed.zone.is_some() && self.listed.zone == prior.listed.zone,
            DeduplicationScope::Cell => prior.listed.cell.is_some() && self.listed.cell == prior.listed.cell,
        }
    }

    /// Whether requests from a proxy in `zone` cross zones to reach the endpoint.
    pub fn crosses_zones_from(&self, zone: Option<ZoneId>) -> bool {
        self.listed.zone.is_some() && self.listed.zone != zone
    }

    /// The expected number of attempts at the endpoint itself, seen from a proxy in `zone`. Attempts in transit between
    /// zones are not counted, since they take none of the endpoint's time.
    pub fn expected_concurrency(&self, zone: Option<ZoneId>) -> f64 {
        let own_fraction = if self.crosses_zones_from(zone) { self.processing_fraction } else { 1.0 };
        f64::from(self.load.this_proxy) * own_fraction + self.reported_concurrency()
    }

    /// The expected number of attempts of other proxies at the endpoint itself, according to their reports.
    pub fn reported_concurrency(&self) -> f64 {
        f64::from(self.load.peers_same_zone)
            + f64::from(self.load.peers_other_zones) * self.processing_fraction
    }

    /// How many requests the endpoint can hold now, reduced during slow start.
    pub fn present_capacity(&self) -> f64 {
        self.slots.capacity * self.slow_start_factor
    }

    /// Whether the speed tiers list the endpoint as open to requests without affinity.
    pub fn is_open(&self) -> bool {
        self.membership.is_open()
    }
}
