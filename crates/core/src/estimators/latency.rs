//! How long requests take: by request class, by class of machines, by endpoint, and across zones.

use super::affinity::AffinitySpeedup;
use super::{MAX_RELATIVE_SAMPLE, MIN_RELATIVE_LATENCY};
use crate::endpoints::{EndpointEntry, EndpointTable};
use crate::ids::Millis;
use crate::learned_state::MachineClassState;
use crate::machine_class::{BASELINE_RISE, CLASS_SAMPLES, MIN_SAMPLES, MachineClass, MachineClassIndex};
use crate::settings::{RequestClass, Settings};
use crate::weighted_mean::WeightedMean;

/// Responses over which the latency of an endpoint is averaged.
const ENDPOINT_SAMPLES: f64 = 12.0;
/// Responses over which the spread of latencies is averaged: long ones are rare.
const SPREAD_SAMPLES: f64 = 1000.0;
/// An attempt that takes so many times its expected latency counts as unanswered.
pub(crate) const HANG_FACTOR: f64 = 5.0;
/// The part of a latency that the path across zones may account for.
const MAX_PATH_FRACTION: f64 = 0.9;
/// By which factor the price of crossing zones counts as a delay: latency objectives leave slack.
const CROSSING_FACTOR: f64 = 3.0;
/// The latency of a class that has not been measured, as a fraction of its objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.25;
/// Weight that a class without samples has in the mean over all classes.
const PRIOR_WEIGHT: f64 = 0.01;

/// A response from which latencies are learned.
pub(crate) struct LatencySample {
    /// The request class.
    pub class: usize,
    /// Its latency over its relative cost.
    pub latency: Millis,
    /// Whether the endpoint is the one that the request's key has its affinity with.
    pub at_affinity_endpoint: bool,
    /// Whether it found the endpoint without load.
    pub unloaded: bool,
}

/// How fast an endpoint is for a request of mean cost.
pub(crate) struct EndpointSpeed {
    /// Expected latency relative to the fleet's mean, the price of crossing zones included.
    pub cost: f64,
    /// Which part of the time of an attempt from another zone is spent at the endpoint itself.
    pub processing_fraction: f64,
}

/// The lowest latencies of late; 0 if unknown.
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

    /// Lets them rise slowly, so that they follow slower paths.
    fn age(&mut self) {
        self.same_zone *= BASELINE_RISE;
        self.other_zones *= BASELINE_RISE;
    }

    /// How much longer the path to another zone is.
    fn path_between_zones(&self) -> Millis {
        (self.other_zones - self.same_zone).max(0.0)
    }
}

/// What is known of latencies.
pub(crate) struct LatencyModel {
    by_class: Vec<WeightedMean>,
    machine_classes: Vec<MachineClass>,
    /// Mean latency over all request classes.
    mean: Millis,
    /// Service time of the slowest class of machines.
    slowest_service_time: Millis,
    /// The longest latency objective of a request class.
    longest_objective: Millis,
    lowest: LowestLatencies,
    /// Mean square of latency over its expected value.
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
    pub fn of_class(&self, class: usize) -> Millis {
        self.by_class[class].value
    }

    /// Expected latency of a request of that class and relative cost.
    pub fn expected(&self, class: usize, relative_cost: f64) -> Millis {
        self.by_class[class].value * relative_cost
    }

    /// Mean square of latency over its expected value; 2 for an exponential distribution.
    pub fn spread(&self) -> f64 {
        self.spread.value
    }

    /// By which factor an endpoint is faster for a key that it has met.
    pub fn affinity_speedup(&self) -> f64 {
        self.affinity.speedup()
    }

    /// Service time of the slowest class of machines.
    pub fn slowest_service_time(&self) -> Millis {
        self.slowest_service_time
    }

    pub fn machine_class(&self, class: MachineClassIndex) -> &MachineClass {
        &self.machine_classes[class.as_usize()]
    }

    pub fn machine_class_mut(&mut self, class: MachineClassIndex) -> &mut MachineClass {
        &mut self.machine_classes[class.as_usize()]
    }

    /// Makes room for a class of machines that the list has named.
    pub fn add_machine_class(&mut self, class: MachineClassIndex) {
        let count = self.machine_classes.len().max(class.as_usize() + 1);
        self.machine_classes.resize_with(count, MachineClass::default);
    }

    /// How fast an endpoint is at that slow-start factor, crossings of zones counted as a delay.
    pub fn speed_of(
        &self, entry: &EndpointEntry, slow_start_factor: f64, settings: &Settings,
    ) -> EndpointSpeed {
        let of_class = self.machine_class(entry.machine_class).relative_latency.value;
        let own = entry.relative_latency;
        let relative = (own.value * own.weight + of_class * MIN_SAMPLES) / (own.weight + MIN_SAMPLES);
        let crosses_zones = entry.crosses_zones_from(settings.zone);
        let crossing = CROSSING_FACTOR * settings.prices.cross_zone * self.longest_objective / self.mean;
        let cost = relative / slow_start_factor + if crosses_zones { crossing } else { 0.0 };
        // How much longer the path to another zone is shows in the lowest latencies; the rest is the endpoint's.
        let path = self.lowest.path_between_zones();
        let latency = (relative / slow_start_factor * self.mean).max(1e-3);
        let on_path = if crosses_zones { path.min(MAX_PATH_FRACTION * latency) } else { 0.0 };
        let processing = latency - on_path;
        EndpointSpeed { cost, processing_fraction: processing / (processing + path) }
    }

    /// Learns from a response how fast an endpoint is. Failures and endpoints in slow start say nothing of their
    /// class.
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
        let over_mean = (relative / endpoint_mean.max(MIN_RELATIVE_LATENCY)).min(HANG_FACTOR);
        self.spread.add(over_mean * over_mean, SPREAD_SAMPLES);
    }

    /// Sets the mean of the endpoints' relative latencies to 1 and the classes' means accordingly. Only their products
    /// are measured: without this each would keep for good what the other was first taken for.
    pub fn normalize(&mut self, endpoints: &mut EndpointTable) {
        let (sum, weight) = endpoints.in_service().fold((0.0, 0.0), |(sum, weight), entry| {
            let own = entry.relative_latency;
            (sum + own.value * own.weight, weight + own.weight)
        });
        if weight < 1.0 {
            return;
        }
        let mean = (sum / weight).max(1e-6);
        self.by_class.iter_mut().for_each(|class| class.value *= mean);
        let of_endpoints = endpoints.iter_mut().map(|entry| &mut entry.relative_latency);
        let of_machines = self.machine_classes.iter_mut().map(|class| &mut class.relative_latency);
        for relative in of_endpoints.chain(of_machines).filter(|relative| relative.weight > 0.0) {
            relative.value /= mean;
        }
    }

    /// Computes the mean latency over all request classes anew, by their responses.
    pub fn update_mean(&mut self) {
        let (sum, weight) = self.by_class.iter().fold((0.0, 0.0), |(sum, weight), class| {
            (sum + class.value * (class.weight + PRIOR_WEIGHT), weight + class.weight + PRIOR_WEIGHT)
        });
        self.mean = if weight > 0.0 { (sum / weight).max(0.01) } else { 1.0 };
    }

    /// Follows the baselines of paths and classes of machines.
    pub fn review_baselines(&mut self) {
        self.lowest.age();
        for class in &mut self.machine_classes {
            class.review(self.mean);
        }
        let service_times = self.machine_classes.iter().filter_map(MachineClass::measured_service_time);
        self.slowest_service_time = service_times.fold(0.0, f64::max);
    }

    /// Takes other request classes; each inherits the mean of the one that is named for it.
    pub fn reconfigure(&mut self, classes: &[RequestClass], inherits_from: &[Option<usize>]) {
        self.by_class = crate::reconfigure::inherit(&self.by_class, inherits_from, |class| {
            initial_latency(&classes[class])
        });
        self.longest_objective = longest_objective(classes);
    }

    /// What a successor takes over of request classes.
    pub fn learned_classes(&self) -> Vec<WeightedMean> {
        self.by_class.clone()
    }

    /// What a successor takes over of classes of machines.
    pub fn learned_machine_classes(&self) -> Vec<MachineClassState> {
        self.machine_classes.iter().map(MachineClass::learned_state).collect()
    }

    /// Takes over what a predecessor has learned.
    pub fn restore(&mut self, classes: Vec<WeightedMean>, machine_classes: Vec<MachineClassState>) {
        for (own, learned) in self.by_class.iter_mut().zip(classes) {
            if learned.is_usable() {
                *own = learned;
            }
        }
        let count = self.machine_classes.len().max(machine_classes.len());
        self.machine_classes.resize_with(count, MachineClass::default);
        for (own, learned) in self.machine_classes.iter_mut().zip(machine_classes) {
            own.restore(learned);
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
