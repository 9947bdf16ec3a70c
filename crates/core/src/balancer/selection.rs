//! Hold or send: the two-speed threshold, and the endpoint that a request is sent to.

use super::answers::ANSWER_MARGIN;
use super::is_idempotent;
use crate::decision::Decision;
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

/// Endpoints of a tier that are tried at random before the next tier.
const MAX_PROBES: usize = 8;
/// Faster slots below which there is nothing to wait for.
const MIN_FASTER_SLOTS: f64 = 0.01;
/// Expected latencies before its latency objective from which on a request is urgent.
const URGENT_FACTOR: f64 = 1.5;

/// What is decided for a waiting request.
pub(super) struct Selection {
    /// Where it is sent; `None` if it is held.
    pub endpoint: Option<EndpointIndex>,
    /// What the threshold decided, if it was asked.
    pub decision: Option<Decision>,
}

impl Selection {
    fn without_threshold(endpoint: Option<EndpointIndex>) -> Self {
        Selection { endpoint, decision: None }
    }

    fn of(decision: Decision, endpoint: EndpointIndex) -> Self {
        let endpoint = (decision != Decision::Held).then_some(endpoint);
        Selection { endpoint, decision: Some(decision) }
    }
}

/// This proxy's own slots on endpoints faster than the fastest open one.
#[derive(Default)]
struct FasterSlots {
    count: f64,
    /// Sum of their speeds.
    throughput: f64,
}

impl FasterSlots {
    fn add(&mut self, slots: f64, speed: f64) {
        self.count += slots;
        self.throughput += slots * speed;
    }

    /// The part of them that a class may use.
    fn scaled(&self, fraction: f64) -> FasterSlots {
        FasterSlots { count: self.count * fraction, throughput: self.throughput * fraction }
    }
}

/// A request for which an endpoint is sought.
struct Candidate<'a> {
    request: &'a Request,
    /// The endpoint that its key has its affinity with, unless it has been tried there.
    affinity_endpoint: Option<EndpointIndex>,
    /// Whether endpoints on probation may be sent this request.
    may_probe: bool,
    /// Its latency objective is near: it is sent to any open endpoint.
    is_urgent: bool,
}

/// The components from which the endpoint of a request follows.
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
    /// The endpoint to which a request is sent now, if it is not held: the D policy of the paper.
    pub fn select(&self, id: RequestId, rng: &mut fastrand::Rng) -> Selection {
        let Some(request) = self.requests.get(id) else { return Selection::without_threshold(None) };
        let class = &self.settings.classes[request.spec.class];
        if let Some(window) = request.repeat_window(class) {
            return Selection::without_threshold(self.select_for_repeat(request, window));
        }
        let candidate = self.candidate(request);
        let mut faster = FasterSlots::default();
        for (tier_index, tier) in self.tiers.iter() {
            let first = if tier.open.len() > 1 { rng.usize(0..tier.open.len()) } else { 0 };
            if let Some(endpoint) = self.find_open(&candidate, tier, first) {
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

    /// A request that may have run is sent again only where its repeat is dropped, and only while it is.
    fn select_for_repeat(&self, request: &Request, window: RepeatWindow) -> Option<EndpointIndex> {
        if self.now >= window.until {
            return None;
        }
        let first = &self.endpoints[window.first];
        let is_suitable = |endpoint: &EndpointIndex| {
            let entry = &self.endpoints[*endpoint];
            entry.deduplicates(first, window.scope) && entry.is_open() && self.is_eligible(*endpoint, request)
        };
        let cost = |endpoint: &EndpointIndex| self.endpoints[*endpoint].cost;
        let suitable = self.endpoints.indices().filter(is_suitable);
        suitable.min_by(|left, right| cost(left).total_cmp(&cost(right)))
    }

    fn candidate<'r>(&self, request: &'r Request) -> Candidate<'r> {
        let class = &self.settings.classes[request.spec.class];
        let lead = URGENT_FACTOR * self.expected_latency(request) + ANSWER_MARGIN + 2.0 * TICK;
        Candidate {
            request,
            affinity_endpoint: request
                .spec
                .affinity_endpoint
                .filter(|&endpoint| !request.has_tried(endpoint)),
            may_probe: is_idempotent(class) || !self.has_idempotent_class,
            is_urgent: request.spec.objective_at - self.now < lead,
        }
    }

    /// An open endpoint of a tier that suits a request. Ties are broken at random, from the position `first` on; with a
    /// key by its hash, so that what overflows meets the same endpoint again too.
    fn find_open(&self, candidate: &Candidate, tier: &SpeedTier, first: usize) -> Option<EndpointIndex> {
        let is_suitable = |endpoint: &EndpointIndex| self.is_suitable(*endpoint, candidate);
        if candidate.affinity_endpoint.is_some() {
            let key = candidate.request.spec.key;
            let score = |endpoint: &EndpointIndex| self.affinity_score(*endpoint, key);
            let suitable = tier.open.iter().copied().filter(is_suitable);
            return suitable.min_by(|left, right| score(left).total_cmp(&score(right)));
        }
        let probes = tier.open.len().min(MAX_PROBES);
        let mut probed = (0..probes).map(|offset| tier.open[(first + offset) % tier.open.len()]);
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

    /// An endpoint on probation is tried with idempotent requests, if there are any, unless it is them that it leaves
    /// unanswered.
    fn may_send_on_probation(&self, entry: &EndpointEntry, candidate: &Candidate) -> bool {
        if candidate.may_probe || !entry.outlier.is_on_probation() || self.outliers.is_in_panic_mode() {
            return true;
        }
        let mut classes = self.settings.classes.iter().enumerate();
        classes.any(|(class, rules)| is_idempotent(rules) && entry.outlier.is_on_probation_for_class(class))
    }

    /// Whether an endpoint may be sent a request: for the first time, not ejected for its class, and nothing heavy
    /// while it warms up.
    pub fn is_eligible(&self, endpoint: EndpointIndex, request: &Request) -> bool {
        let entry = &self.endpoints[endpoint];
        let class = request.spec.class;
        let is_ejected = entry.outlier.is_ejected_for_class(class, self.now)
            && self.outliers.believes_class_ejections(class);
        let is_too_heavy = entry.slow_start.is_too_heavy(
            self.expected_latency(request),
            entry.slow_start_factor,
            &self.settings.limits,
        );
        !request.has_tried(endpoint) && !is_ejected && !is_too_heavy
    }

    /// The own slots of a tier whose endpoints may come free for a request: where it has been tried it is not sent
    /// again.
    fn slots_to_wait_for(&self, request: &Request, tier_index: TierIndex, tier: &SpeedTier) -> f64 {
        let tried = request
            .attempts
            .iter()
            .filter_map(|attempt| self.endpoints[attempt.endpoint].membership.slots_in(tier_index));
        tier.slots - tried.sum::<f64>()
    }

    /// The threshold for a request without affinity: whether one of the faster endpoints is worth waiting for.
    fn decide(
        &self, candidate: &Candidate, endpoint: EndpointIndex, tier: &SpeedTier, faster: &FasterSlots,
    ) -> Selection {
        // Faster endpoints that are ejected for this class won't come free for it.
        let open_fraction = 1.0 - self.outliers.ejected_fraction(candidate.request.spec.class);
        let faster = faster.scaled(open_fraction);
        let decision = if faster.count < MIN_FASTER_SLOTS {
            Decision::AtOnce
        } else if candidate.is_urgent {
            Decision::Urgent
        } else if self.queues.waiting() > self.threshold_for(&faster, tier) as usize {
            Decision::PastThreshold
        } else {
            Decision::Held
        };
        Selection::of(decision, endpoint)
    }

    fn threshold_for(&self, faster: &FasterSlots, tier: &SpeedTier) -> u32 {
        let utilization = self.arrivals.per_ms() * self.latency.mean() / faster.throughput;
        let speed_ratio = faster.throughput / faster.count / tier.speed;
        threshold(faster.count, utilization, speed_ratio)
    }

    /// The threshold for a request with affinity: its affinity endpoint's slots are the faster ones, and those that
    /// wait for it over all proxies the queue.
    fn decide_with_affinity(
        &self, id: RequestId, candidate: &Candidate, affinity: EndpointIndex, endpoint: EndpointIndex,
        tier: &SpeedTier,
    ) -> Selection {
        if self.is_admitted(affinity, id) {
            return Selection::of(Decision::AtOnce, affinity);
        }
        let entry = &self.endpoints[affinity];
        let speed = self.latency.affinity_speedup() / entry.cost;
        let utilization = self.sharing.affinity_utilization(affinity, speed);
        let max_waiting = threshold(entry.slots.capacity, utilization, speed / tier.speed);
        let waiting = f64::from(entry.affinity.pending) * self.sharing.active_proxies();
        let decision = if candidate.is_urgent {
            Decision::Urgent
        } else if waiting > f64::from(max_waiting) {
            Decision::PastThreshold
        } else {
            Decision::Held
        };
        Selection::of(decision, endpoint)
    }

    /// Whether a request is among those of its review interval that its affinity endpoint has capacity for: the highest
    /// in rank of those that wait here, a fair sample of all that wait.
    pub fn is_admitted(&self, endpoint: EndpointIndex, id: RequestId) -> bool {
        let entry = &self.endpoints[endpoint];
        let probability = entry.affinity.admission_probability;
        if !entry.affinity.available {
            return false;
        }
        if probability >= 1.0 {
            return true;
        }
        // Requests have the same numbers at every proxy, so the proxy's own index goes in.
        let proxy = u64::from(self.settings.proxy_index);
        let seed = unit_hash(id.0, proxy).to_bits() ^ self.epoch;
        let position = self.waiting_ahead(id) as f64 + unit_hash(seed, entry.listed.id.0);
        position < probability * self.queues.waiting() as f64
    }

    /// How many waiting requests have a higher rank.
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
