//! Which part of an endpoint's capacity this proxy may use, beside the others.

use crate::endpoints::{EndpointEntry, EndpointIndex, EndpointTable, SlotAllotment};
use crate::estimators::{ArrivalRate, LatencyModel};
use crate::gossip::GossipState;
use crate::hash::unit_hash;
use crate::operator_overrides::OperatorOverrides;
use crate::requests::RequestQueues;
use crate::schedule::REVIEW_INTERVAL;
use crate::settings::{Settings, WeightMeaning};
use crate::slow_start::REQUESTS_PER_CORE;

/// Slots of an endpoint at most: a bound on work, whatever a list says.
const MAX_SLOTS: u32 = 1024;
/// Requests more that an endpoint may hold where no proxy sees whether it is idle.
const STALE_EXTRA_REQUESTS: f64 = 1.5;
/// Requests that are taken to wait at each proxy at least.
const MIN_QUEUE_LENGTH: f64 = 0.05;

/// The components from which a proxy's part of an endpoint's capacity follows.
pub(crate) struct CapacitySharing<'a> {
    pub settings: &'a Settings,
    pub endpoints: &'a EndpointTable,
    pub latency: &'a LatencyModel,
    pub arrivals: &'a ArrivalRate,
    pub queues: &'a RequestQueues,
    pub gossip: &'a GossipState,
    pub overrides: &'a OperatorOverrides,
}

impl CapacitySharing<'_> {
    /// The fraction of this proxy's part that this process may use.
    pub fn process_fraction(&self) -> f64 {
        if self.overrides.overlapping_process { 0.5 } else { 1.0 }
    }

    /// Proxies whose clients stay with them, among which this one's part is computed.
    pub fn active_proxies(&self) -> f64 {
        let draining = self.gossip.draining_peers() + u32::from(self.overrides.draining);
        f64::from(self.settings.proxies.saturating_sub(draining).max(1))
    }

    /// Which part of the load of endpoints is not known: other proxies' attempts that started or ended since their
    /// last message. Without gossip slots are shared in another way.
    pub fn staleness_factor(&self) -> f64 {
        if !self.settings.gossip_enabled {
            return 0.0;
        }
        let others = 1.0 - 1.0 / f64::from(self.settings.proxies);
        others * (1.0 - (-self.gossip.mean_interval() / self.latency.mean()).exp())
    }

    /// What all proxies together can send an endpoint in a review interval: what it finishes (Little's law), and its
    /// shortfall. Until its speed is known nothing is held back.
    pub fn supply(&self, entry: &EndpointEntry, concurrency: f64) -> f64 {
        let class = self.latency.machine_class(entry.machine_class);
        if !class.is_measured() {
            return f64::INFINITY;
        }
        let finished_per_ms = concurrency.max(class.cores()) * entry.slow_start_factor
            / class.mean_latency(self.latency.mean());
        (REVIEW_INTERVAL * (finished_per_ms + self.shortfall_per_ms(entry, concurrency))).max(0.0)
    }

    /// What an endpoint lacks to its capacity, over the time after which the proxies see that it was sent.
    fn shortfall_per_ms(&self, entry: &EndpointEntry, concurrency: f64) -> f64 {
        (entry.present_capacity() - concurrency) / (self.gossip.mean_interval() + self.latency.mean())
    }

    /// What all proxies want to send an endpoint in a review interval for keys with affinity to it, judged by this
    /// proxy's traffic. The requests that wait here for it alone are too few to judge by.
    pub fn demand(&self, entry: &EndpointEntry) -> f64 {
        let part = self.active_proxies() * entry.listed.weight / self.endpoints.total_weight();
        part * (REVIEW_INTERVAL * self.arrivals.per_ms() + self.queues.mean_length())
    }

    /// With which probability a request may be sent to the endpoint that its key has its affinity with. A proxy that
    /// sees the endpoint's load need not share what is idle blindly.
    pub fn admission_probability(&self, entry: &EndpointEntry, concurrency: f64) -> f64 {
        let part = (self.supply(entry, concurrency) / self.demand(entry).max(1e-9)).min(1.0);
        part.powf(self.staleness_factor())
    }

    /// With which probability this proxy may use, for a review interval, what is idle of an endpoint and not its own.
    /// If gossip is fresh one proxy is to come for each idle slot, else one waiting request for each that is missing.
    pub fn borrow_probability(&self, entry: &EndpointEntry, concurrency: f64) -> f64 {
        let staleness = self.staleness_factor();
        let idle = entry.present_capacity() - concurrency;
        let missing = REVIEW_INTERVAL * self.shortfall_per_ms(entry, concurrency)
            / self.queues.mean_length().max(MIN_QUEUE_LENGTH);
        ((1.0 - staleness) * idle + staleness * missing) / self.active_proxies()
    }

    /// The cores of an endpoint, as inferred from its weight and its class of machines.
    pub fn cores(&self, entry: &EndpointEntry) -> f64 {
        let counts = self.settings.weight_meaning == WeightMeaning::Capacity;
        let weight = if counts { entry.listed.weight } else { 1.0 };
        let class = self.latency.machine_class(entry.machine_class);
        class.cores_of(weight, self.latency.slowest_service_time())
    }

    /// How many requests an endpoint may hold, and how many of them are this proxy's own.
    pub fn allot(&self, entry: &EndpointEntry, cores: f64, shares_all_endpoints: bool) -> SlotAllotment {
        let class = self.latency.machine_class(entry.machine_class);
        let visible = (REQUESTS_PER_CORE * class.concurrency_factor() * cores).max(1.0);
        let own_slots = if shares_all_endpoints {
            1.0
        } else {
            let rounded = (visible + unit_hash(entry.listed.id.0, 0)).floor() as u32;
            f64::from(self.owned_slots(entry, rounded)) * self.process_fraction()
        };
        let capacity = visible + self.staleness_factor() * STALE_EXTRA_REQUESTS;
        SlotAllotment { capacity, own_slots }
    }

    /// How many of an endpoint's slots are this proxy's own: each has one owner among the proxies of the endpoint's
    /// zone, or among all where there is none, by a hash that all proxies compute alike.
    fn owned_slots(&self, entry: &EndpointEntry, slots: u32) -> u32 {
        let has_candidate = (0..self.settings.proxies).any(|proxy| self.is_candidate(entry, proxy));
        let owner = |slot: u32| {
            let score = |proxy: u32| unit_hash(entry.listed.id.0 ^ u64::from(slot), u64::from(proxy));
            (0..self.settings.proxies)
                .filter(|&proxy| self.is_candidate(entry, proxy) || !has_candidate)
                .max_by(|&left, &right| score(left).total_cmp(&score(right)))
        };
        let own = Some(self.settings.proxy_index);
        (0..slots.min(MAX_SLOTS)).filter(|&slot| owner(slot) == own).count() as u32
    }

    /// Whether a proxy may own slots of an endpoint: it takes clients, and is in the endpoint's zone as far as is
    /// known.
    fn is_candidate(&self, entry: &EndpointEntry, proxy: u32) -> bool {
        let zone = self.gossip.zone_of(proxy);
        (zone.is_none() || zone == entry.listed.zone) && !self.is_draining(proxy)
    }

    /// Whether a proxy has reported of late that it drains: its slots are the others' meanwhile. One that is merely
    /// silent keeps them, as it may serve its clients all the same.
    fn is_draining(&self, proxy: u32) -> bool {
        if proxy == self.settings.proxy_index {
            self.overrides.draining
        } else {
            self.gossip.is_draining(proxy)
        }
    }

    /// How loaded the endpoint is that a key has its affinity with, seen as a queue of its own: the arrival rate of
    /// its keys over its service rate.
    pub fn affinity_utilization(&self, endpoint: EndpointIndex, speed: f64) -> f64 {
        let entry = &self.endpoints[endpoint];
        self.arrivals.per_ms() * self.active_proxies() * entry.listed.weight / self.endpoints.total_weight()
            * self.latency.mean()
            / (entry.slots.capacity * speed)
    }
}
