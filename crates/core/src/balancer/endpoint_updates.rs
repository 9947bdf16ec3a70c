//! Updates the derived state of endpoints (slots, speed, eligibility) after changes of the list, of time or of load.

use super::Balancer;
use crate::endpoint::Endpoint;
use crate::endpoints::{EndpointIndex, TierIndex};
use crate::hash::unit_hash;
use crate::ids::{EndpointId, Millis};
use crate::slow_start::{SlowStartShare, slow_start_factor};

/// Number of speed tiers by which a slot owned by another proxy counts as slower, because both proxies may use it at
/// once.
const BORROW_TIER_PENALTY: usize = 3;
/// Idle capacity of an endpoint, in requests, above which a request may be sent beyond this proxy's own slots.
const MIN_IDLE_CAPACITY: f64 = 0.5;
/// Lower bound of an endpoint's capacity in rendezvous hashing, which divides by the capacity.
const MIN_HASH_CAPACITY: f64 = 1e-6;

/// Which requests an endpoint may be sent at present.
struct Eligibility {
    /// Requests whose key has affinity with the endpoint may be sent.
    available: bool,
    /// The speed tier in which the endpoint is open for requests without affinity; `None` if it is not open.
    open_tier: Option<TierIndex>,
}

impl Balancer {
    /// Records the entries of an endpoint list and updates the endpoints that they concern.
    pub(super) fn apply_list(&mut self, now: Millis, complete: bool, entries: Vec<Endpoint>) {
        let classes = self.settings.classes.len();
        let recorded = self.endpoints.record_list(now, complete, entries, classes, &mut self.overrides);
        for endpoint in recorded {
            self.latency.add_machine_class(self.endpoints[endpoint].machine_class);
            self.start_slow_start_if_restarted(endpoint, now);
            self.update_slots(endpoint);
            self.update_speed(endpoint, now);
        }
    }

    /// Starts slow start for an endpoint whose process is new, and clears its record of failures.
    fn start_slow_start_if_restarted(&mut self, endpoint: EndpointIndex, now: Millis) {
        let entry = &mut self.endpoints[endpoint];
        if std::mem::take(&mut entry.restarted) {
            entry.slow_start.restart(now, self.rng.f64());
            entry.outlier.reset(now);
        }
    }

    /// Corrects the start times of endpoints that started later than the list said. Slow start begins for an endpoint
    /// that counted as warm but is not. Unlike after a restart, its record of failures is kept.
    pub(super) fn correct_start_times(&mut self, now: Millis, starts: &[(EndpointId, Millis)]) {
        for &(id, started_at) in starts {
            let Some(endpoint) = self.endpoints.find(id) else { continue };
            let known = self.endpoints[endpoint].listed.started_at;
            if known.is_some_and(|known| known >= started_at) {
                continue;
            }
            let was_warm = self.slow_start_factor(endpoint, now) >= 1.0;
            self.endpoints[endpoint].listed.started_at = Some(started_at);
            if was_warm && self.slow_start_factor(endpoint, now) < 1.0 {
                self.endpoints[endpoint].slow_start.restart(now, self.rng.f64());
            }
            self.update_speed(endpoint, now);
            self.update_slots(endpoint);
        }
    }

    pub(super) fn slow_start_factor(&self, endpoint: EndpointIndex, now: Millis) -> f64 {
        let started_at = self.endpoints[endpoint].listed.started_at;
        slow_start_factor(started_at, now, &self.settings.limits)
    }

    /// Refills the send budget of an endpoint in slow start.
    pub(super) fn refill_slow_start(&mut self, endpoint: EndpointIndex, now: Millis) {
        let factor = self.slow_start_factor(endpoint, now);
        let entry = &self.endpoints[endpoint];
        let class = self.latency.machine_class(entry.machine_class);
        let share = SlowStartShare {
            capacity: entry.slots.capacity,
            work_per_request: class.work_per_request(self.latency.mean()),
            proxies: self.settings.proxies,
            process_fraction: self.sharing().process_fraction(),
        };
        let entry = &mut self.endpoints[endpoint];
        let started_at = entry.listed.started_at;
        entry.slow_start.refill(now, factor, started_at, &share, &self.settings.limits);
    }

    /// Recomputes the slots of an endpoint (the requests that it may hold), and how many of them this proxy owns.
    pub(super) fn update_slots(&mut self, endpoint: EndpointIndex) {
        let shares_all_endpoints = self.shares_all_endpoints();
        let sharing = self.sharing();
        let entry = &self.endpoints[endpoint];
        let cores = sharing.cores(entry);
        let slots = sharing.allocate_slots(entry, cores, shares_all_endpoints);
        let entry = &mut self.endpoints[endpoint];
        entry.slots = slots;
        let capacity = entry.listed.weight * entry.slow_start_factor;
        entry.affinity.hash_weight = 1.0 / capacity.max(MIN_HASH_CAPACITY);
        self.latency.machine_class_mut(entry.machine_class).set_cores(cores);
    }

    /// Recomputes how fast an endpoint is, and its speed tier.
    pub(super) fn update_speed(&mut self, endpoint: EndpointIndex, now: Millis) {
        let factor = self.slow_start_factor(endpoint, now);
        let speed = self.latency.speed_of(&self.endpoints[endpoint], factor, &self.settings);
        let entry = &mut self.endpoints[endpoint];
        entry.processing_fraction = speed.processing_fraction;
        entry.cost = speed.cost;
        entry.slow_start_factor = factor;
        entry.tier = self.tiers.tier_of(speed.cost);
        self.update_eligibility(endpoint, now);
    }

    /// Recomputes which requests an endpoint may be sent, and places it in the speed tiers accordingly.
    pub(super) fn update_eligibility(&mut self, endpoint: EndpointIndex, now: Millis) {
        let entry = &self.endpoints[endpoint];
        let is_usable = self.outliers.is_usable(entry, now);
        let concurrency =
            entry.expected_concurrency(self.settings.zone) + self.unheard_load.on_endpoint(entry);
        let eligibility = self.eligibility(endpoint, is_usable, concurrency);
        let admission_probability = self.sharing().admission_probability(entry, concurrency);
        let slots = if is_usable { entry.slots.own_slots * entry.slow_start_factor } else { 0.0 };
        let slot_tier = entry.tier;
        let affinity = &mut self.endpoints[endpoint].affinity;
        affinity.available = eligibility.available;
        affinity.admission_probability = admission_probability;
        self.tiers.place(&mut self.endpoints, endpoint, slot_tier, slots, eligibility.open_tier);
    }

    fn eligibility(&self, endpoint: EndpointIndex, is_usable: bool, concurrency: f64) -> Eligibility {
        let entry = &self.endpoints[endpoint];
        let may_send = is_usable
            && (!entry.outlier.is_on_probation() || entry.load.this_proxy == 0)
            && (!entry.is_warming_up() || entry.slow_start.covers_send());
        let own_slots = entry.slots.own_slots;
        let min_slots = if self.settings.key_affinity { 1.0 } else { 0.0 };
        let has_own_slot = may_send && f64::from(entry.load.this_proxy) < own_slots.max(min_slots);
        if !self.settings.gossip_enabled {
            // The load of the other proxies is unknown, so this proxy uses only its own slots.
            return Eligibility { available: has_own_slot, open_tier: has_own_slot.then_some(entry.tier) };
        }
        let capacity = entry.present_capacity();
        if has_own_slot && concurrency < capacity && own_slots > 0.0 {
            return Eligibility { available: true, open_tier: Some(entry.tier) };
        }
        let has_idle_slot = may_send && concurrency + MIN_IDLE_CAPACITY < capacity;
        let may_borrow = has_idle_slot && self.may_borrow(endpoint, concurrency);
        Eligibility {
            available: has_idle_slot,
            open_tier: may_borrow.then(|| entry.tier.slower_by(BORROW_TIER_PENALTY)),
        }
    }

    /// Whether this proxy may use an idle slot that another proxy owns. All proxies see the same idle slots. So that
    /// about one proxy uses each slot, a proxy may borrow only at a random part of the endpoints, which changes with
    /// each review interval.
    fn may_borrow(&self, endpoint: EndpointIndex, concurrency: f64) -> bool {
        let entry = &self.endpoints[endpoint];
        let probability = self.sharing().borrow_probability(entry, concurrency);
        let proxy = u64::from(self.settings.proxy_index);
        unit_hash(entry.listed.id.0 ^ self.schedule.epoch(), proxy) < probability
    }
}
