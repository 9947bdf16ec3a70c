//! How fast the endpoints of one class of machines are, and how many requests suit them.

use crate::ids::{MachineClassId, Millis};
use crate::learned_state::MachineClassState;
use crate::weighted_mean::WeightedMean;

/// Responses over which the latency of a request class or a class of machines is averaged.
pub(crate) const CLASS_SAMPLES: f64 = 100.0;
/// An estimate with fewer samples than this counts less than that of its class of machines.
pub(crate) const MIN_SAMPLES: f64 = 6.0;
/// The lowest fraction of its slots that an overloaded class of machines keeps.
const MIN_CONCURRENCY_FACTOR: f64 = 0.3;
/// The fraction of its slots that a new class of machines gets: an overload from the start must not pass for its
/// baseline.
const INITIAL_CONCURRENCY_FACTOR: f64 = 0.5;
/// Bounds of the change of the concurrency factor in one review.
const CONCURRENCY_STEP: std::ops::RangeInclusive<f64> = 0.95..=1.02;
/// Latency over its baseline at which a class of machines counts as overloaded.
const OVERLOAD_RATIO: f64 = 1.6;
/// Responses before the baseline of a class is measured: the lowest of few is too low.
const BASELINE_SAMPLES: f64 = 60.0;
/// By which factor the baseline may rise in one review: a tenth in ten seconds.
pub(crate) const BASELINE_RISE: f64 = 1.001;
/// The same where the lowest concurrency has not brought the latency down: the baseline was too low.
const FAST_BASELINE_RISE: f64 = 1.01;
/// A single response counts at most so many times the mean: a few slow endpoints are not the class.
const MAX_SAMPLE: f64 = 2.0;
/// Lower bound of a relative latency from which a service time follows.
const MIN_RELATIVE_LATENCY: f64 = 0.2;

/// The position of a class of machines; the first is that of endpoints without one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MachineClassIndex(usize);

impl MachineClassIndex {
    /// The position of the class that the list names.
    pub fn of(class: Option<MachineClassId>) -> Self {
        MachineClassIndex(class.map_or(0, |class| class.0 as usize + 1))
    }

    pub fn as_usize(self) -> usize {
        self.0
    }
}

/// What is known of a class of machines.
pub(crate) struct MachineClass {
    /// Mean latency relative to the request classes' means.
    pub relative_latency: WeightedMean,
    /// Mean latency of requests that found an endpoint without load.
    unloaded: WeightedMean,
    /// Mean latency on a core of its own.
    service_time: Millis,
    /// Cores of an endpoint, as inferred from weights and service times.
    cores: f64,
    /// The lowest mean latency of late.
    baseline: Millis,
    /// The fraction of its slots that it is given.
    concurrency_factor: f64,
}

impl Default for MachineClass {
    fn default() -> Self {
        MachineClass {
            relative_latency: WeightedMean::guess(1.0),
            unloaded: WeightedMean::default(),
            service_time: f64::INFINITY,
            cores: 1.0,
            baseline: f64::INFINITY,
            concurrency_factor: INITIAL_CONCURRENCY_FACTOR,
        }
    }
}

impl MachineClass {
    /// Whether enough responses have shown how fast it is.
    pub fn is_measured(&self) -> bool {
        self.relative_latency.weight >= MIN_SAMPLES
    }

    pub fn cores(&self) -> f64 {
        self.cores
    }

    pub fn concurrency_factor(&self) -> f64 {
        self.concurrency_factor
    }

    /// The cores of an endpoint of that weight: on the slowest class of machines a core has about the speed of the
    /// yardstick.
    pub fn cores_of(&self, weight: f64, slowest_service_time: Millis) -> f64 {
        weight * (self.service_time / slowest_service_time).min(1.0)
    }

    /// Sets the cores of an endpoint, as inferred.
    pub fn set_cores(&mut self, cores: f64) {
        self.cores = cores.max(1.0);
    }

    /// Its service time if that has been measured.
    pub fn measured_service_time(&self) -> Option<Millis> {
        Some(self.service_time).filter(|time| time.is_finite())
    }

    /// How long a request of mean cost occupies a core. Waits under load are not work.
    pub fn work_per_request(&self, mean_latency: Millis) -> Millis {
        self.service_time.min(self.mean_latency(mean_latency))
    }

    /// Its latency for a request of mean cost.
    pub fn mean_latency(&self, mean_latency: Millis) -> Millis {
        mean_latency * self.relative_latency.value.max(MIN_RELATIVE_LATENCY)
    }

    /// Takes in a response, as a latency relative to the expected one of its request class. `unloaded` says that the
    /// request found the endpoint without load.
    pub fn record(&mut self, relative: f64, mean_latency: Millis, unloaded: bool) {
        let is_first = self.relative_latency.weight == 0.0;
        let sample = if is_first { relative } else { relative.min(MAX_SAMPLE * self.relative_latency.value) };
        self.relative_latency.add(sample, CLASS_SAMPLES);
        if unloaded {
            self.unloaded.add(sample * mean_latency, CLASS_SAMPLES);
        }
    }

    /// Follows the baseline, and gives the class fewer slots while its latency is far above it: overloaded endpoints
    /// are all alike slow and look as if they had more cores.
    pub fn review(&mut self, mean_latency: Millis) {
        if self.relative_latency.weight < BASELINE_SAMPLES {
            return;
        }
        let latency = self.relative_latency.value * mean_latency;
        if !self.baseline.is_finite() {
            self.concurrency_factor = 1.0; // measured for the first time
        }
        let is_at_minimum = self.concurrency_factor <= MIN_CONCURRENCY_FACTOR;
        let rise = if is_at_minimum { FAST_BASELINE_RISE } else { BASELINE_RISE };
        self.baseline = latency.min(self.baseline * rise);
        let has_unloaded = self.unloaded.weight >= MIN_SAMPLES;
        self.service_time = if has_unloaded { self.unloaded.value } else { self.baseline };
        let acceptable = self.baseline.max(self.service_time * (1.0 + 0.5 / self.cores));
        let step =
            (OVERLOAD_RATIO * acceptable / latency).clamp(*CONCURRENCY_STEP.start(), *CONCURRENCY_STEP.end());
        self.concurrency_factor = (self.concurrency_factor * step).clamp(MIN_CONCURRENCY_FACTOR, 1.0);
    }

    /// What a successor takes over.
    pub fn learned_state(&self) -> MachineClassState {
        MachineClassState {
            relative_latency: self.relative_latency,
            baseline: self.baseline,
            concurrency_factor: self.concurrency_factor,
        }
    }

    /// Takes over what a predecessor has learned, if that is of use.
    pub fn restore(&mut self, learned: MachineClassState) {
        if learned.relative_latency.is_usable() && learned.baseline > 0.0 && learned.concurrency_factor > 0.0
        {
            self.relative_latency = learned.relative_latency;
            self.baseline = learned.baseline;
            self.concurrency_factor = learned.concurrency_factor.min(1.0);
            self.service_time = self.baseline;
        }
    }
}
