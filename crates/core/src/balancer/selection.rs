//! Decides whether a waiting request is sent or held, by the two-speed threshold, and selects its endpoint.

use super::answers::FINAL_RESPONSE_MARGIN;
use super::is_idempotent;
use crate::decision::ThresholdDecision;
use crate::endpoints::{EndpointEntry, EndpointIndex, EndpointTable, SpeedTier, SpeedTiers, TierIndex};
use crate::estimators::{ArrivalRate, LatencyModel};
use crate::hash::{rendezvous_score, unit_hash};
use crate::ids::{Millis, RequestId};
use crate::limits::CapacitySharing;
use crate::outlier_detector::OutlierDetector;
use crate::requests::{Priorities, RepeatWindow, Request, RequestQueues, RequestTable};
use crate::schedule::TICK;
use crate::settings::Settings;
use crate::threshold::threshold;

/// Largest number of open endpoints of a speed tier that are examined, from a random position on, before the search
/// continues with the next tier.
const MAX_PROBES: usize = 8;
/// A request does not wait for faster endpoints on which this proxy owns fewer slots than this in total.
const MIN_FASTER_SLOTS: f64 = 0.01;
/// A request becomes urgent at this multiple of its expected latency, plus a margin, before its latency objective.
const URGENT_FACTOR: f64 = 1.5;

/// The result of the selection for a waiting request.
pub(super) struct Selection {
    /// The endpoint to which the request is sent; `None` if it keeps waiting.
    pub endpoint: Option<EndpointIndex>,
    /// The decision of the two-speed threshold; `None` if the threshold did not apply.
    pub decision: Option<ThresholdDecision>,
}

impl Selection {
    fn without_threshold(endpoint: Option<EndpointIndex>) -> Self {
        Selection { endpoint, decision: None }
    }

    fn from_decision(decision: ThresholdDecision, endpoint: EndpointIndex) -> Self {
        let endpoint = (decision != ThresholdDecision::Held).then_some(endpoint);
        Selection { endpoint, decision: Some(decision) }
    }
}

/// This proxy's own slots on endpoints faster than the fastest open one.
#[derive(Default)]
struct FasterSlots {
    count: f64,
    /// Sum of the speeds of these slots, relative to the mean speed of all endpoints.
    throughput: f64,
}

impl FasterSlots {
    fn add(&mut self, slots: f64, speed: f64) {
        self.count += slots;
        self.throughput += slots * speed;
    }

    /// The part of these slots that a class may use, which is `fraction` of them.
    fn scaled(&self, fraction: f64) -> FasterSlots {
        FasterSlots { count: self.count * fraction, throughput: self.throughput * fraction }
    }
}

/// A waiting request for which an endpoint is selected.
struct Candidate<'a> {
    request: &'a Request,
    /// The affinity endpoint of the request's key, unless an attempt has already gone there.
    affinity_endpoint: Option<EndpointIndex>,
    /// The request may be sent to any endpoint on probation.
    allows_probation: bool,
    /// The latency objective is so near that the request is sent to any open endpoint.
    is_urgent: bool,
}

/// Selects endpoints for requests, from the state of the components that it borrows.
pub(super) struct Selector<'a> {
    pub now: Millis,
    /// The number of the current review interval.
    pub epoch: u64,
    pub settings: &'a Settings,
    pub has_idempotent_class: bool,
    pub endpoints: &'a EndpointTable,
    pub tiers: &'a SpeedTiers,
    pub requests: &'a RequestTable,
    pub queues: &'a RequestQueues,
    pub latency: &'a LatencyModel,
    pub arrivals: &'a ArrivalRate,
    pub outliers: &'a OutlierDetector,
    pub sharing: CapacitySharing<'a>,
}

impl Selector<'_> {
    /// Selects the endpoint to which a request is sent now, or holds the request: the D policy of the paper by Shenker
    /// and Weinrib.
    pub fn select(&self, id: RequestId, rng: &mut fastrand::Rng) -> Selection {
        let Some(request) = self.requests.get(id) else { return Selection::without_threshold(None) };
        let class = &self.settings.classes[request.spec.class];
        if let Some(window) = request.repeat_window(class) {
            return Selection::without_threshold(self.select_for_repeat(request, window));
        }
        let candidate = self.candidate(request);
        let mut faster = FasterSlots::default();
        for (tier_index, tier) in self.tiers.iter() {
            let start = if tier.open.len() > 1 { rng.usize(0..tier.open.len()) } else { 0 };
            if let Some(endpoint) = self.find_open(&candidate, tier, start) {
                return match candidate.affinity_endpoint {
                    Some(affinity) => self.decide_with_affinity(id, &candidate, affinity, endpoint, tier),
                    None => self.decide(&candidate, endpoint, tier, &faster),
                };
            }
            faster.add(self.slots_to_wait_for(request, tier_index, tier), tier.speed);
        }
        let affinity = candidate.affinity_endpoint;
        Selection::without_threshold(affinity.filter(|&endpoint| self.is_admitted(endpoint, id)))
    }

    /// Selects an endpoint for a retry of a request that may have run: only an endpoint that recognizes and drops the
    /// repeat, and only within the deduplication window.
    fn select_for_repeat(&self, request: &Request, window: RepeatWindow) -> Option<EndpointIndex> {
        if self.now >= window.until {
            return None;
        }
        let first_endpoint = &self.endpoints[window.first_endpoint];
        let is_suitable = |endpoint: &EndpointIndex| {
            let entry = &self.endpoints[*endpoint];
            entry.deduplicates(first_endpoint, window.scope)
                && entry.is_open()
                && self.is_eligible(*endpoint, request)
        };
        let cost = |endpoint: &EndpointIndex| self.endpoints[*endpoint].cost;
        let suitable = self.endpoints.indices().filter(is_suitable);
        suitable.min_by(|left, right| cost(left).total_cmp(&cost(right)))
    }

    fn candidate<'r>(&self, request: &'r Request) -> Candidate<'r> {
        let class = &self.settings.classes[request.spec.class];
        let urgency_lead =
            URGENT_FACTOR * self.expected_latency(request) + FINAL_RESPONSE_MARGIN + 2.0 * TICK;
        Candidate {
            request,
            affinity_endpoint: request
                .spec
                .affinity_endpoint
                .filter(|&endpoint| !request.has_attempted(endpoint)),
            allows_probation: is_idempotent(class) || !self.has_idempotent_class,
            is_urgent: request.spec.objective_at - self.now < urgency_lead,
        }
    }

    /// Finds a suitable open endpoint in a speed tier. Without affinity the search starts at `start`, which the
    /// caller draws at random. With affinity it follows the hash of the key, so that requests of one key which don't go
    /// to their affinity endpoint share another endpoint.
    fn find_open(&self, candidate: &Candidate, tier: &SpeedTier, start: usize) -> Option<EndpointIndex> {
        let is_suitable = |endpoint: &EndpointIndex| self.is_suitable(*endpoint, candidate);
        if candidate.affinity_endpoint.is_some() {
            let key = candidate.request.spec.key;
            let score = |endpoint: &EndpointIndex| self.affinity_score(*endpoint, key);
            let suitable = tier.open.iter().copied().filter(is_suitable);
            return suitable.min_by(|left, right| score(left).total_cmp(&score(right)));
        }
        let probes = tier.open.len().min(MAX_PROBES);
        let mut probed = (0..probes).map(|offset| tier.open[(start + offset) % tier.open.len()]);
        probed.find(is_suitable)
    }

    fn is_suitable(&self, endpoint: EndpointIndex, candidate: &Candidate) -> bool {
        let entry = &self.endpoints[endpoint];
        let is_available =
            candidate.is_urgent || entry.affinity.available || candidate.affinity_endpoint.is_some();
        self.may_send_on_probation(entry, candidate)
            && is_available
            && self.is_eligible(endpoint, candidate.request)
    }

    /// Whether probation allows a request to be sent to an endpoint. An endpoint on probation gets only idempotent
    /// requests if a class of these is on offer. It gets all requests if it is on probation for an idempotent class,
    /// because it may be just the idempotent requests that it leaves unanswered.
    fn may_send_on_probation(&self, entry: &EndpointEntry, candidate: &Candidate) -> bool {
        if candidate.allows_probation || !entry.outlier.is_on_probation() || self.outliers.is_in_panic_mode()
        {
            return true;
        }
        let mut classes = self.settings.classes.iter().enumerate();
        classes.any(|(class, rules)| is_idempotent(rules) && entry.outlier.is_on_probation_for_class(class))
    }

    /// Whether an endpoint may be sent a request: no earlier attempt went there, the endpoint is not ejected for the
    /// request's class, and the request is not too heavy for an endpoint that warms up.
    pub fn is_eligible(&self, endpoint: EndpointIndex, request: &Request) -> bool {
        let entry = &self.endpoints[endpoint];
        let class = request.spec.class;
        let is_ejected =
            entry.outlier.is_ejected_for_class(class, self.now) && self.outliers.class_ejections_apply(class);
        let is_too_heavy = entry.slow_start.is_too_heavy(
            self.expected_latency(request),
            entry.slow_start_factor,
            &self.settings.limits,
        );
        !request.has_attempted(endpoint) && !is_ejected && !is_too_heavy
    }

    /// The own slots of a speed tier that a request can wait for: all but those on endpoints to which an earlier
    /// attempt went, because the request is not sent there again.
    fn slots_to_wait_for(&self, request: &Request, tier_index: TierIndex, tier: &SpeedTier) -> f64 {
        let excluded_slots = request
            .attempts
            .iter()
            .filter_map(|attempt| self.endpoints[attempt.endpoint].membership.slots_in(tier_index));
        tier.slots - excluded_slots.sum::<f64>()
    }

    /// Applies the threshold to a request without affinity: decides whether it waits for a faster endpoint than the
    /// open one that was found.
    fn decide(
        &self, candidate: &Candidate, endpoint: EndpointIndex, tier: &SpeedTier, faster: &FasterSlots,
    ) -> Selection {
        // Slots on faster endpoints that are ejected for this class don't become available to it.
        let open_fraction = 1.0 - self.outliers.ejected_fraction(candidate.request.spec.class);
        let faster = faster.scaled(open_fraction);
        let decision = if faster.count < MIN_FASTER_SLOTS {
            ThresholdDecision::AtOnce
        } else if candidate.is_urgent {
            ThresholdDecision::Urgent
        } else if self.queues.waiting() > self.threshold_for(&faster, tier) as usize {
            ThresholdDecision::PastThreshold
        } else {
            ThresholdDecision::Held
        };
        Selection::from_decision(decision, endpoint)
    }

    fn threshold_for(&self, faster: &FasterSlots, tier: &SpeedTier) -> u32 {
        let utilization = self.arrivals.per_ms() * self.latency.mean() / faster.throughput;
        let speed_ratio = faster.throughput / faster.count / tier.speed;
        threshold(faster.count, utilization, speed_ratio)
    }

    /// Applies the threshold to a request with affinity. The slots of its affinity endpoint count as the faster
    /// servers, and the requests that wait for this endpoint at all proxies as the queue.
    fn decide_with_affinity(
        &self, id: RequestId, candidate: &Candidate, affinity: EndpointIndex, endpoint: EndpointIndex,
        tier: &SpeedTier,
    ) -> Selection {
        if self.is_admitted(affinity, id) {
            return Selection::from_decision(ThresholdDecision::AtOnce, affinity);
        }
        let entry = &self.endpoints[affinity];
        let speed = self.latency.affinity_speedup() / entry.cost;
        let utilization = self.sharing.affinity_utilization(affinity, speed);
        let max_waiting = threshold(entry.slots.capacity, utilization, speed / tier.speed);
        let waiting = f64::from(entry.affinity.pending) * self.sharing.active_proxies();
        let decision = if candidate.is_urgent {
            ThresholdDecision::Urgent
        } else if waiting > f64::from(max_waiting) {
            ThresholdDecision::PastThreshold
        } else {
            ThresholdDecision::Held
        };
        Selection::from_decision(decision, endpoint)
    }

    /// Whether a request is among those that its affinity endpoint has capacity for in this review interval. Each proxy
    /// admits the requests with the highest priority among its own, up to the fraction for which the endpoint has
    /// capacity. They are a fair sample of the requests that wait at all proxies.
    pub fn is_admitted(&self, endpoint: EndpointIndex, id: RequestId) -> bool {
        let entry = &self.endpoints[endpoint];
        let probability = entry.affinity.admission_probability;
        if !entry.affinity.available {
            return false;
        }
        if probability >= 1.0 {
            return true;
        }
        // Request ids are unique only within a proxy, so the hash includes the index of the proxy.
        let proxy = u64::from(self.settings.proxy_index);
        let seed = unit_hash(id.0, proxy).to_bits() ^ self.epoch;
        let position = self.waiting_ahead(id) as f64 + unit_hash(seed, entry.listed.id.0);
        position < probability * self.queues.waiting() as f64
    }

    /// The number of waiting requests with a higher priority than this one.
    fn waiting_ahead(&self, id: RequestId) -> usize {
        let priorities = Priorities { settings: self.settings, latency: self.latency };
        let rank = priorities.rank(&self.requests[id], self.now);
        let is_ahead = |other: &&Request| other.waiting && priorities.rank(other, self.now) > rank;
        self.requests.iter().filter(is_ahead).count()
    }

    fn affinity_score(&self, endpoint: EndpointIndex, key: u64) -> f64 {
        let entry = &self.endpoints[endpoint];
        rendezvous_score(entry.listed.id.0, key, entry.affinity.hash_weight)
    }

    fn expected_latency(&self, request: &Request) -> Millis {
        self.latency.expected(request.spec.class, request.spec.relative_cost)
    }
}
