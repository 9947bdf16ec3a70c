//! Estimates how fast the endpoints of a machine class are, and how many requests they should hold.

use crate::ids::{MachineClassId, Millis};
use crate::learned_state::MachineClassState;
use crate::weighted_mean::WeightedMean;

/// Number of responses over which the latency of a request class or a machine class is averaged.
pub(crate) const CLASS_SAMPLES: f64 = 100.0;
/// Number of samples above which the estimate of an endpoint counts more than that of its machine class. From this
/// number of samples on, an estimate for a machine class counts as measured.
pub(crate) const MIN_SAMPLES: f64 = 6.0;
/// The lowest fraction of its slots that an overloaded machine class keeps.
const MIN_CONCURRENCY_FACTOR: f64 = 0.3;
/// The fraction of its slots that a new machine class gets. It is low so that the latency under an initial overload is
/// not measured as the baseline.
const INITIAL_CONCURRENCY_FACTOR: f64 = 0.5;
/// Bounds of the change of the concurrency factor in one review.
const CONCURRENCY_STEP: std::ops::RangeInclusive<f64> = 0.95..=1.02;
/// The ratio of the latency to its acceptable value, which is the baseline or more, above which a machine class counts
/// as overloaded.
const OVERLOAD_RATIO: f64 = 1.6;
/// Number of responses before the baseline of a machine class is measured, since the minimum of few samples is too low.
const BASELINE_SAMPLES: f64 = 60.0;
/// The factor by which the baseline may rise in one review, which is about a tenth in ten seconds.
pub(crate) const BASELINE_RISE: f64 = 1.001;
/// The factor by which the baseline may rise in one review if the latency stays high at the lowest concurrency, which
/// shows that the baseline was too low.
const FAST_BASELINE_RISE: f64 = 1.01;
/// Upper bound of a single sample, as a multiple of the mean, so that a few slow endpoints don't dominate the estimate
/// of their class.
const MAX_SAMPLE: f64 = 2.0;
/// Lower bound of the relative latency of a machine class, from which its mean latency is computed.
const MIN_RELATIVE_LATENCY: f64 = 0.2;

/// The position of a machine class; the first position is used for endpoints without a machine class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MachineClassIndex(usize);

impl MachineClassIndex {
    /// The position of the machine class that the endpoint list names, if any.
    pub fn from_id(class: Option<MachineClassId>) -> Self {
        MachineClassIndex(class.map_or(0, |class| class.0 as usize + 1))
    }

    pub fn as_usize(self) -> usize {
        self.0
    }
}

/// The estimates for a machine class: latency, service time, cores, and the slots that suit it.
pub(crate) struct MachineClass {
    /// Mean latency relative to the means of the request classes.
    pub relative_latency: WeightedMean,
    /// Mean latency of requests whose endpoint had no load when they were sent.
    unloaded: WeightedMean,
    /// Mean latency of a request that has a core to itself.
    service_time: Millis,
    /// Number of cores of an endpoint, inferred from weights and service times.
    cores: f64,
    /// The lowest recent mean latency.
    baseline: Millis,
    /// The fraction of its slots that each endpoint of the class gets.
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
    /// Whether enough responses have been recorded for an estimate of latency.
    pub fn is_measured(&self) -> bool {
        self.relative_latency.weight >= MIN_SAMPLES
    }

    pub fn cores(&self) -> f64 {
        self.cores
    }

    pub fn concurrency_factor(&self) -> f64 {
        self.concurrency_factor
    }

    /// The number of cores of an endpoint with this weight. Weights count cores of a reference speed, which is assumed
    /// to be about the speed of a core of the slowest machine class.
    pub fn cores_of(&self, weight: f64, slowest_service_time: Millis) -> f64 {
        weight * (self.service_time / slowest_service_time).min(1.0)
    }

    /// Sets the inferred number of cores of an endpoint, at least 1.
    pub fn set_cores(&mut self, cores: f64) {
        self.cores = cores.max(1.0);
    }

    /// The service time, if it has been measured.
    pub fn measured_service_time(&self) -> Option<Millis> {
        Some(self.service_time).filter(|time| time.is_finite())
    }

    /// The time for which a request of mean cost occupies a core, without waiting times under load.
    pub fn work_per_request(&self, mean_latency: Millis) -> Millis {
        self.service_time.min(self.mean_latency(mean_latency))
    }

    /// The latency of this class for a request of mean cost, given the mean latency of all endpoints.
    pub fn mean_latency(&self, mean_latency: Millis) -> Millis {
        mean_latency * self.relative_latency.value.max(MIN_RELATIVE_LATENCY)
    }

    /// Records a response by its latency relative to the expected one of its request class. `unloaded` means that the
    /// endpoint had no load when the request was sent.
    pub fn record(&mut self, relative: f64, mean_latency: Millis, unloaded: bool) {
        let is_first = self.relative_latency.weight == 0.0;
        let sample = if is_first { relative } else { relative.min(MAX_SAMPLE * self.relative_latency.value) };
        self.relative_latency.add(sample, CLASS_SAMPLES);
        if unloaded {
            self.unloaded.add(sample * mean_latency, CLASS_SAMPLES);
        }
    }

    /// Updates the baseline, and reduces the slots of the class while its latency is far above the baseline. Overloaded
    /// endpoints of a class are all equally slow and would otherwise look as if they had more cores.
    pub fn review(&mut self, mean_latency: Millis) {
        if self.relative_latency.weight < BASELINE_SAMPLES {
            return;
        }
        let latency = self.relative_latency.value * mean_latency;
        if !self.baseline.is_finite() {
            self.concurrency_factor = 1.0; // this is the first measurement
        }
        let is_at_minimum = self.concurrency_factor <= MIN_CONCURRENCY_FACTOR;
        let rise = if is_at_minimum { FAST_BASELINE_RISE } else { BASELINE_RISE };
        self.baseline = latency.min(self.baseline * rise);
        let has_unloaded_samples = self.unloaded.weight >= MIN_SAMPLES;
        self.service_time = if has_unloaded_samples { self.unloaded.value } else { self.baseline };
        let acceptable = self.baseline.max(self.service_time * (1.0 + 0.5 / self.cores));
        let step =
            (OVERLOAD_RATIO * acceptable / latency).clamp(*CONCURRENCY_STEP.start(), *CONCURRENCY_STEP.end());
        self.concurrency_factor = (self.concurrency_factor * step).clamp(MIN_CONCURRENCY_FACTOR, 1.0);
    }

    /// The estimates for the handover to a successor.
    pub fn learned_state(&self) -> MachineClassState {
        MachineClassState {
            relative_latency: self.relative_latency,
            baseline: self.baseline,
            concurrency_factor: self.concurrency_factor,
        }
    }

    /// Restores the estimates that a predecessor handed over, if they are usable.
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
