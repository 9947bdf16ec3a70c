//! What is known of one endpoint. Each part is changed by the component that owns it.

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
    /// Those of this proxy, those given up that may still be running included.
    pub own: u32,
    /// Those of proxies in the endpoint's zone, as they reported.
    pub peers_same_zone: u32,
    /// Those of proxies in other zones, as they reported.
    pub peers_other_zones: u32,
}

impl Load {
    /// All attempts in flight, as far as this proxy knows.
    pub fn total(&self) -> u32 {
        self.own + self.peers_same_zone + self.peers_other_zones
    }
}

/// How many requests an endpoint may hold.
pub(crate) struct SlotAllotment {
    /// For all proxies together.
    pub capacity: f64,
    /// For this proxy alone.
    pub own_slots: f64,
}

/// The requests whose key has its affinity with an endpoint.
#[derive(Default)]
pub(crate) struct AffinityQueue {
    /// Weight of the endpoint in rendezvous hashing: the inverse of its capacity.
    pub hash_weight: f64,
    /// Waiting requests of its keys, in order of arrival; some may no longer wait.
    pub queue: VecDeque<RequestId>,
    /// How many of them wait.
    pub pending: u32,
    /// Whether a request of its keys may be sent now.
    pub available: bool,
    /// With which probability it may, in each review interval.
    pub admission_probability: f64,
}

impl AffinityQueue {
    /// A request of its keys waits from now on.
    pub fn push(&mut self, id: RequestId) {
        self.pending += 1;
        self.queue.push_back(id);
    }

    /// A request of its keys waits no longer.
    pub fn stop_waiting(&mut self) {
        self.pending -= 1;
        if self.pending == 0 {
            self.queue.clear(); // what is left in it no longer waits
        }
    }

    /// Whether there are requests to send and the endpoint may get one.
    pub fn may_send(&self) -> bool {
        self.pending > 0 && self.available
    }
}

/// What is known of an endpoint.
pub(crate) struct EndpointEntry {
    /// Its entry on the list.
    pub listed: Endpoint,
    /// The name that gossip messages use for it.
    pub gossip_name: Option<u16>,
    /// Since when it is known to drain, to be removed or to be in maintenance.
    pub draining_since: Option<Millis>,
    /// Whether the list has just reported a new process.
    pub restarted: bool,
    /// Its class of machines.
    pub machine_class: MachineClassIndex,
    /// Attempts in flight.
    pub load: Load,
    /// Which part of the time of an attempt from another zone is spent at the endpoint itself.
    pub processing_fraction: f64,
    /// Other proxies that report it as an outlier.
    pub outlier_reports: u32,
    /// Mean latency relative to its classes' means over the fleet.
    pub relative_latency: WeightedMean,
    /// Failures and timeouts.
    pub outlier: OutlierRecord,
    /// What it may be sent in slow start.
    pub slow_start: SlowStartBudget,
    /// The part of its capacity that it has for certain.
    pub slow_start_factor: f64,
    /// How many requests it may hold.
    pub slots: SlotAllotment,
    /// Expected latency relative to the fleet's mean, the price of crossing zones included.
    pub cost: f64,
    /// The speed tier of that cost.
    pub tier: TierIndex,
    /// Where it is filed among the speed tiers.
    pub membership: TierMembership,
    /// Requests whose key has its affinity here.
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
            slots: SlotAllotment { capacity: 1.0, own_slots: 0.0 },
            cost: 1.0,
            tier: TierIndex::default(),
            membership: TierMembership::default(),
            affinity: AffinityQueue { hash_weight: 1.0, ..AffinityQueue::default() },
        }
    }

    /// Whether it may be sent requests as far as discovery and operators say.
    pub fn is_in_service(&self) -> bool {
        self.draining_since.is_none()
    }

    /// Whether it is still on the list.
    pub fn is_listed(&self) -> bool {
        self.listed.state != EndpointState::Removed
    }

    /// Whether it has started so recently that it does not have all of its capacity yet.
    pub fn is_warming_up(&self) -> bool {
        self.slow_start.is_active() && self.slow_start_factor < 1.0
    }

    /// Whether it deduplicates the requests of an endpoint that was tried before.
    pub fn deduplicates(&self, first: &EndpointEntry, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.listed.zone.is_some() && self.listed.zone == first.listed.zone,
            DeduplicationScope::Cell => first.listed.cell.is_some() && self.listed.cell == first.listed.cell,
        }
    }

    /// Whether a proxy in that zone reaches it across zones.
    pub fn crosses_zones_from(&self, zone: Option<ZoneId>) -> bool {
        self.listed.zone.is_some() && self.listed.zone != zone
    }

    /// The attempts expected to be at the endpoint itself, seen from a proxy in that zone: those on their way across
    /// zones take none of its time.
    pub fn expected_concurrency(&self, zone: Option<ZoneId>) -> f64 {
        let own_fraction = if self.crosses_zones_from(zone) { self.processing_fraction } else { 1.0 };
        f64::from(self.load.own) * own_fraction + self.reported_concurrency()
    }

    /// The attempts of other proxies expected to be at the endpoint itself, by their reports.
    pub fn reported_concurrency(&self) -> f64 {
        f64::from(self.load.peers_same_zone)
            + f64::from(self.load.peers_other_zones) * self.processing_fraction
    }

    /// How many requests it can hold now, slow start counted.
    pub fn present_capacity(&self) -> f64 {
        self.slots.capacity * self.slow_start_factor
    }

    /// Whether it is filed as open for requests without affinity.
    pub fn is_open(&self) -> bool {
        self.membership.is_open()
    }
}
