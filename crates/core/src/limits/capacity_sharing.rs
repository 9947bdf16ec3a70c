//! Computes the share of each endpoint's capacity that this proxy may use beside the other proxies.

use crate::endpoints::{EndpointEntry, EndpointIndex, EndpointTable, SlotAllocation};
use crate::estimators::{ArrivalRate, LatencyModel};
use crate::gossip::GossipState;
use crate::hash::unit_hash;
use crate::operator_overrides::OperatorOverrides;
use crate::requests::RequestQueues;
use crate::schedule::REVIEW_INTERVAL;
use crate::settings::{Settings, WeightMeaning};
use crate::slow_start::REQUESTS_PER_CORE;

/// Upper bound of the slots of an endpoint for which an owner is computed. It limits the computing time per endpoint,
/// whatever weights the list contains.
const MAX_SLOTS: u32 = 1024;
/// Additional requests that an endpoint may hold at a staleness factor of 1, where no proxy can see whether it is idle.
const STALE_EXTRA_REQUESTS: f64 = 1.5;
/// Lower bound of the mean number of requests that wait at each proxy, which is used as a divisor.
const MIN_QUEUE_LENGTH: f64 = 0.05;

/// The components from which this proxy's share of an endpoint's capacity is computed.
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
    /// The fraction of this proxy's share that this process may use: half of it beside an overlapping process.
    pub fn process_fraction(&self) -> f64 {
        if self.overrides.overlapping_process { 0.5 } else { 1.0 }
    }

    /// The number of proxies that keep their clients because they are not draining, at least 1. This proxy's share is
    /// computed among them.
    pub fn active_proxies(&self) -> f64 {
        let draining = self.gossip.draining_peers() + u32::from(self.overrides.draining);
        f64::from(self.settings.proxies.saturating_sub(draining).max(1))
    }

    /// The fraction of the endpoints' load that is unknown: attempts of other proxies that started or ended since their
    /// last gossip message. It is 0 without gossip, where slots are shared in another way.
    pub fn staleness_factor(&self) -> f64 {
        if !self.settings.gossip_enabled {
            return 0.0;
        }
        let peers_fraction = 1.0 - 1.0 / f64::from(self.settings.proxies);
        peers_fraction * (1.0 - (-self.gossip.mean_interval() / self.latency.mean()).exp())
    }

    /// The number of requests that all proxies together can send to an endpoint in a review interval: those that it
    /// finishes (Little's law) plus its shortfall, the requests that it lacks to its capacity. The supply is unlimited
    /// until the machine class has been measured.
    pub fn supply(&self, entry: &EndpointEntry, concurrency: f64) -> f64 {
        let class = self.latency.machine_class(entry.machine_class);
        if !class.is_measured() {
            return f64::INFINITY;
        }
        let finished_per_ms = concurrency.max(class.cores()) * entry.slow_start_factor
            / class.mean_latency(self.latency.mean());
        (REVIEW_INTERVAL * (finished_per_ms + self.shortfall_per_ms(entry, concurrency))).max(0.0)
    }

    /// The unused capacity of an endpoint divided by the time after which all proxies see that requests were sent to
    /// it, in requests per millisecond; negative above capacity.
    fn shortfall_per_ms(&self, entry: &EndpointEntry, concurrency: f64) -> f64 {
        (entry.present_capacity() - concurrency) / (self.gossip.mean_interval() + self.latency.mean())
    }

    /// The number of requests with affinity to an endpoint that all proxies want to send to it in a review interval,
    /// estimated from all traffic of this proxy. The requests that wait here for this endpoint alone are too few for an
    /// estimate.
    pub fn demand(&self, entry: &EndpointEntry) -> f64 {
        let traffic_factor = self.active_proxies() * entry.listed.weight / self.endpoints.total_weight();
        traffic_factor * (REVIEW_INTERVAL * self.arrivals.per_ms() + self.queues.mean_length())
    }

    /// The probability with which a request may be sent to its affinity endpoint in a review interval. It approaches 1
    /// as gossip gets fresher: a proxy that sees the endpoint's load does not have to share idle capacity blindly.
    pub fn admission_probability(&self, entry: &EndpointEntry, concurrency: f64) -> f64 {
        let supply_ratio = (self.supply(entry, concurrency) / self.demand(entry).max(1e-9)).min(1.0);
        supply_ratio.powf(self.staleness_factor())
    }

    /// The probability with which this proxy may use idle slots of an endpoint that belong to other proxies, for a
    /// review interval. It is chosen so that with fresh gossip one proxy uses each idle slot on average, and with stale
    /// gossip one waiting request is sent for each request of the shortfall.
    pub fn borrow_probability(&self, entry: &EndpointEntry, concurrency: f64) -> f64 {
        let staleness = self.staleness_factor();
        let idle = entry.present_capacity() - concurrency;
        let shortfall_per_waiting = REVIEW_INTERVAL * self.shortfall_per_ms(entry, concurrency)
            / self.queues.mean_length().max(MIN_QUEUE_LENGTH);
        ((1.0 - staleness) * idle + staleness * shortfall_per_waiting) / self.active_proxies()
    }

    /// The number of cores of an endpoint, inferred from its weight and its machine class.
    pub fn cores(&self, entry: &EndpointEntry) -> f64 {
        let weight_is_capacity = self.settings.weight_meaning == WeightMeaning::Capacity;
        let weight = if weight_is_capacity { entry.listed.weight } else { 1.0 };
        let class = self.latency.machine_class(entry.machine_class);
        class.cores_of(weight, self.latency.slowest_service_time())
    }

    /// The slots of an endpoint, and how many of them are this proxy's own.
    pub fn allocate_slots(
        &self, entry: &EndpointEntry, cores: f64, shares_all_endpoints: bool,
    ) -> SlotAllocation {
        let class = self.latency.machine_class(entry.machine_class);
        let slots = (REQUESTS_PER_CORE * class.concurrency_factor() * cores).max(1.0);
        let own_slots = if shares_all_endpoints {
            1.0
        } else {
            let rounded = (slots + unit_hash(entry.listed.id.0, 0)).floor() as u32;
            f64::from(self.owned_slots(entry, rounded)) * self.process_fraction()
        };
        let capacity = slots + self.staleness_factor() * STALE_EXTRA_REQUESTS;
        SlotAllocation { capacity, own_slots }
    }

    /// The number of an endpoint's slots that are this proxy's own. Each slot has one owner, determined by a hash that
    /// is the same at all proxies. The owner is one of the candidates (see `is_candidate`), or one of all proxies if
    /// there is no candidate.
    fn owned_slots(&self, entry: &EndpointEntry, slots: u32) -> u32 {
        let has_candidate = (0..self.settings.proxies).any(|proxy| self.is_candidate(entry, proxy));
        let owner = |slot: u32| {
            let score = |proxy: u32| unit_hash(entry.listed.id.0 ^ u64::from(slot), u64::from(proxy));
            (0..self.settings.proxies)
                .filter(|&proxy| self.is_candidate(entry, proxy) || !has_candidate)
                .max_by(|&left, &right| score(left).total_cmp(&score(right)))
        };
        let this_proxy = Some(self.settings.proxy_index);
        (0..slots.min(MAX_SLOTS)).filter(|&slot| owner(slot) == this_proxy).count() as u32
    }

    /// Whether a proxy may own slots of an endpoint: the proxy is not draining, and its zone is the endpoint's or
    /// unknown.
    fn is_candidate(&self, entry: &EndpointEntry, proxy: u32) -> bool {
        let zone = self.gossip.zone_of(proxy);
        (zone.is_none() || zone == entry.listed.zone) && !self.is_draining(proxy)
    }

    /// Whether a proxy has recently reported that it is draining, so that its slots go to the others. A proxy that just
    /// sends no reports keeps its slots, since it may still serve its clients.
    fn is_draining(&self, proxy: u32) -> bool {
        if proxy == self.settings.proxy_index {
            self.overrides.draining
        } else {
            self.gossip.is_draining(proxy)
        }
    }

    /// The utilization of an affinity endpoint, modelled as a separate queue: the arrival rate of requests with
    /// affinity to it divided by its service rate.
    pub fn affinity_utilization(&self, endpoint: EndpointIndex, speed: f64) -> f64 {
        let entry = &self.endpoints[endpoint];
        self.arrivals.per_ms() * self.active_proxies() * entry.listed.weight / self.endpoints.total_weight()
            * self.latency.mean()
            / (entry.slots.capacity * speed)
    }
}
