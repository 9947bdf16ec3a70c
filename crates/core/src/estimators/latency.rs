//! Estimates how long requests take: by request class, by machine class, by endpoint, and across zones.

use super::affinity::AffinitySpeedup;
use super::{MAX_RELATIVE_SAMPLE, MIN_RELATIVE_LATENCY};
use crate::endpoints::{EndpointEntry, EndpointTable};
use crate::ids::Millis;
use crate::learned_state::MachineClassState;
use crate::machine_class::{BASELINE_RISE, CLASS_SAMPLES, MIN_SAMPLES, MachineClass, MachineClassIndex};
use crate::settings::{RequestClass, Settings};
use crate::weighted_mean::WeightedMean;

/// Number of responses over which the latency of an endpoint is averaged.
const ENDPOINT_SAMPLES: f64 = 12.0;
/// Number of responses over which the spread of latencies is averaged; it is high since long latencies are rare.
const SPREAD_SAMPLES: f64 = 1000.0;
/// An attempt without a response after this multiple of its expected latency counts as unanswered.
pub(crate) const HANG_FACTOR: f64 = 5.0;
/// The fraction of a latency that may be attributed to the network path between zones.
const MAX_PATH_FRACTION: f64 = 0.9;
/// The factor on the price of crossing zones when it is converted to a delay, since latency objectives leave slack.
const CROSSING_FACTOR: f64 = 3.0;
/// The assumed latency of a request class without measurements, as a fraction of its latency objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.25;
/// The weight added to each request class in the mean over all of them, so that a class without samples counts too.
const PRIOR_WEIGHT: f64 = 0.01;

/// A response as a sample for the latency model.
pub(crate) struct LatencySample {
    /// The index of the request class.
    pub class: usize,
    /// The latency of the response divided by the relative cost of the request.
    pub latency: Millis,
    /// Whether the request's key has its affinity with the endpoint that responded.
    pub at_affinity_endpoint: bool,
    /// Whether the endpoint had no load when the request was sent.
    pub unloaded: bool,
}

/// The speed of an endpoint for a request of mean cost.
pub(crate) struct EndpointSpeed {
    /// Expected latency relative to the mean of all endpoints, including the price of crossing zones.
    pub cost: f64,
    /// The fraction of the duration of an attempt from another zone that is spent at the endpoint itself.
    pub processing_fraction: f64,
}

/// The lowest recent latencies within this proxy's zone and across zones; 0 if unknown.
#[derive(Default)]
struct LowestLatencies {
    same_zone: Millis,
    other_zones: Millis,
}

impl LowestLatencies {
    fn record(&mut self, crosses_zones: bool, latency: Millis) {
        let lowest = if crosses_zones { &mut self.other_zones } else { &mut self.same_zone };
        *lowest = if *lowest > 0.0 { lowest.min(latency) } else { latency };
    }

    /// Raises the lowest latencies slightly, so that they follow a path that becomes slower.
    fn age(&mut self) {
        self.same_zone *= BASELINE_RISE;
        self.other_zones *= BASELINE_RISE;
    }

    /// The additional latency of the network path to another zone.
    fn cross_zone_delay(&self) -> Millis {
        (self.other_zones - self.same_zone).max(0.0)
    }
}

/// Running estimates of latencies, by which endpoints are compared and the duration of requests is predicted.
pub(crate) struct LatencyModel {
    /// Mean latency of each request class on an endpoint of mean speed.
    by_class: Vec<WeightedMean>,
    machine_classes: Vec<MachineClass>,
    /// Mean latency over all request classes.
    mean: Millis,
    /// Service time of the slowest machine class.
    slowest_service_time: Millis,
    /// The longest latency objective of all request classes.
    longest_objective: Millis,
    lowest: LowestLatencies,
    /// Mean square of the ratio of a latency to its expected value.
    spread: WeightedMean,
    affinity: AffinitySpeedup,
}

impl LatencyModel {
    pub fn new(settings: &Settings) -> Self {
        let longest_objective = longest_objective(&settings.classes);
        LatencyModel {
            by_class: settings.classes.iter().map(initial_latency).collect(),
            machine_classes: vec![MachineClass::default()],
            mean: (longest_objective * INITIAL_OBJECTIVE_FRACTION).max(1.0),
            slowest_service_time: 0.0,
            longest_objective,
            lowest: LowestLatencies::default(),
            spread: WeightedMean::new(2.0, 0.2 * SPREAD_SAMPLES),
            affinity: AffinitySpeedup::new(settings.key_affinity),
        }
    }

    /// Mean latency over all request classes.
    pub fn mean(&self) -> Millis {
        self.mean
    }

    /// Mean latency of a request class.
    pub fn class_mean(&self, class: usize) -> Millis {
        self.by_class[class].value
    }

    /// Expected latency of a request with this class and relative cost.
    pub fn expected(&self, class: usize, relative_cost: f64) -> Millis {
        self.by_class[class].value * relative_cost
    }

    /// Mean square of the ratio of a latency to its expected value; 2 for an exponential distribution.
    pub fn spread(&self) -> f64 {
        self.spread.value
    }

    /// The factor by which an endpoint serves a key faster if it has served the key before.
    pub fn affinity_speedup(&self) -> f64 {
        self.affinity.speedup()
    }

    /// Service time of the slowest machine class.
    pub fn slowest_service_time(&self) -> Millis {
        self.slowest_service_time
    }

    pub fn machine_class(&self, class: MachineClassIndex) -> &MachineClass {
        &self.machine_classes[class.as_usize()]
    }

    pub fn machine_class_mut(&mut self, class: MachineClassIndex) -> &mut MachineClass {
        &mut self.machine_classes[class.as_usize()]
    }

    /// Adds a machine class that the endpoint list names, unless it is present.
    pub fn add_machine_class(&mut self, class: MachineClassIndex) {
        let count = self.machine_classes.len().max(class.as_usize() + 1);
        self.machine_classes.resize_with(count, MachineClass::default);
    }

    /// The speed of an endpoint at this slow-start factor; the price of crossing zones counts as a delay.
    pub fn speed_of(
        &self, entry: &EndpointEntry, slow_start_factor: f64, settings: &Settings,
    ) -> EndpointSpeed {
        let class_mean = self.machine_class(entry.machine_class).relative_latency.value;
        let measured = entry.relative_latency;
        let relative =
            (measured.value * measured.weight + class_mean * MIN_SAMPLES) / (measured.weight + MIN_SAMPLES);
        let crosses_zones = entry.crosses_zones_from(settings.zone);
        let crossing = CROSSING_FACTOR * settings.prices.cross_zone * self.longest_objective / self.mean;
        let cost = relative / slow_start_factor + if crosses_zones { crossing } else { 0.0 };
        // The lowest latencies show how much the path to another zone adds; the rest is spent at the endpoint.
        let path = self.lowest.cross_zone_delay();
        let latency = (relative / slow_start_factor * self.mean).max(1e-3);
        let path_latency = if crosses_zones { path.min(MAX_PATH_FRACTION * latency) } else { 0.0 };
        let processing = latency - path_latency;
        EndpointSpeed { cost, processing_fraction: processing / (processing + path) }
    }

    /// Updates the latency estimates from a response. Failures are not recorded, and responses of endpoints in slow
    /// start don't count for the means of their request class and machine class, since neither is typical of the class.
    pub fn record(&mut self, entry: &mut EndpointEntry, sample: &LatencySample, crosses_zones: bool) {
        let slow_start_factor = entry.slow_start_factor;
        self.affinity.record(
            sample.latency,
            entry.relative_latency.value,
            self.by_class[sample.class].value,
            slow_start_factor,
            sample.at_affinity_endpoint,
        );
        self.lowest.record(crosses_zones, sample.latency);
        let speedup = if sample.at_affinity_endpoint { 1.0 / self.affinity.speedup() } else { 1.0 };
        let factor = speedup / slow_start_factor;
        let class_latency = self.by_class[sample.class].value.max(0.01);
        let relative = (sample.latency / (class_latency * factor)).min(MAX_RELATIVE_SAMPLE);
        self.record_spread(relative, entry.relative_latency.value);
        entry.relative_latency.add(relative, ENDPOINT_SAMPLES);
        if slow_start_factor >= 1.0 {
            let expected = entry.relative_latency.value.max(MIN_RELATIVE_LATENCY) * factor;
            self.by_class[sample.class].add(sample.latency / expected, CLASS_SAMPLES);
            let machine_class = &mut self.machine_classes[entry.machine_class.as_usize()];
            machine_class.record(relative, self.mean, sample.unloaded);
        }
    }

    fn record_spread(&mut self, relative: f64, endpoint_mean: f64) {
        let ratio = (relative / endpoint_mean.max(MIN_RELATIVE_LATENCY)).min(HANG_FACTOR);
        self.spread.add(ratio * ratio, SPREAD_SAMPLES);
    }

    /// Scales the endpoints' relative latencies to a mean of 1, and the request classes' means inversely. Responses
    /// only show the product of the two: without this, an error in the initial value of one would stay in the other for
    /// good.
    pub fn normalize(&mut self, endpoints: &mut EndpointTable) {
        let (sum, weight) = endpoints.in_service().fold((0.0, 0.0), |(sum, weight), entry| {
            let latency = entry.relative_latency;
            (sum + latency.value * latency.weight, weight + latency.weight)
        });
        if weight < 1.0 {
            return;
        }
        let mean = (sum / weight).max(1e-6);
        self.by_class.iter_mut().for_each(|class| class.value *= mean);
        let endpoint_latencies = endpoints.iter_mut().map(|entry| &mut entry.relative_latency);
        let machine_latencies = self.machine_classes.iter_mut().map(|class| &mut class.relative_latency);
        for relative in endpoint_latencies.chain(machine_latencies).filter(|relative| relative.weight > 0.0) {
            relative.value /= mean;
        }
    }

    /// Recomputes the mean latency over all request classes, weighted by their responses.
    pub fn update_mean(&mut self) {
        let (sum, weight) = self.by_class.iter().fold((0.0, 0.0), |(sum, weight), class| {
            (sum + class.value * (class.weight + PRIOR_WEIGHT), weight + class.weight + PRIOR_WEIGHT)
        });
        self.mean = if weight > 0.0 { (sum / weight).max(0.01) } else { 1.0 };
    }

    /// Updates the lowest latencies of paths and the baselines of machine classes.
    pub fn review_baselines(&mut self) {
        self.lowest.age();
        for class in &mut self.machine_classes {
            class.review(self.mean);
        }
        let service_times = self.machine_classes.iter().filter_map(MachineClass::measured_service_time);
        self.slowest_service_time = service_times.fold(0.0, f64::max);
    }

    /// Switches to other request classes. Each one inherits the mean of the old class in `inherits_from`, if any.
    pub fn reconfigure(&mut self, classes: &[RequestClass], inherits_from: &[Option<usize>]) {
        self.by_class = crate::reconfigure::inherit(&self.by_class, inherits_from, |class| {
            initial_latency(&classes[class])
        });
        self.longest_objective = longest_objective(classes);
    }

    /// Mean latencies of the request classes, for the handover to a successor.
    pub fn learned_classes(&self) -> Vec<WeightedMean> {
        self.by_class.clone()
    }

    /// Estimates for the machine classes, for the handover to a successor.
    pub fn learned_machine_classes(&self) -> Vec<MachineClassState> {
        self.machine_classes.iter().map(MachineClass::learned_state).collect()
    }

    /// Restores the usable estimates that a predecessor handed over.
    pub fn restore(&mut self, classes: Vec<WeightedMean>, machine_classes: Vec<MachineClassState>) {
        for (current, learned) in self.by_class.iter_mut().zip(classes) {
            if learned.is_usable() {
                *current = learned;
            }
        }
        let count = self.machine_classes.len().max(machine_classes.len());
        self.machine_classes.resize_with(count, MachineClass::default);
        for (current, learned) in self.machine_classes.iter_mut().zip(machine_classes) {
            current.restore(learned);
        }
        self.update_mean();
    }
}

fn longest_objective(classes: &[RequestClass]) -> Millis {
    classes.iter().map(|class| class.latency_objective).fold(0.0, f64::max)
}

fn initial_latency(class: &RequestClass) -> WeightedMean {
    WeightedMean::guess(class.latency_objective * INITIAL_OBJECTIVE_FRACTION)
}
