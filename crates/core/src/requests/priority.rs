//! Priorities of waiting requests, which decide which one is sent first and which one is shed first.

use std::cmp::Ordering;

use super::Request;
use crate::estimators::LatencyModel;
use crate::ids::Millis;
use crate::settings::Settings;

/// The slack that lowers the urgency by a factor of e, as a fraction of the latency objective.
const SLACK_FRACTION: f64 = 0.5;
/// Lower bound of the mean latency of a request class, which is used as a divisor.
const MIN_CLASS_LATENCY: Millis = 0.1;

/// The rank of a waiting request: by weight per unit of work, then by urgency.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(crate) struct Priority {
    weight_per_work: f64,
    urgency: f64,
}

/// Computes priorities from settings and latency estimates.
#[derive(Clone, Copy)]
pub(crate) struct Priorities<'a> {
    pub settings: &'a Settings,
    pub latency: &'a LatencyModel,
}

impl Priorities<'_> {
    /// The priority weight that a request earns per unit of work, where work is the expected latency.
    pub fn weight_per_work(&self, request: &Request) -> f64 {
        let spec = &request.spec;
        let class = &self.settings.classes[spec.class];
        let per_work = self.settings.weight_per_work;
        let weight =
            if per_work { class.priority_weight * spec.relative_cost } else { class.priority_weight };
        let quota_factor = if spec.over_quota { self.settings.over_quota_fraction } else { 1.0 };
        weight / self.work(request) * quota_factor
    }

    /// The weight per unit of work, discounted by the slack until the latency objective. Under overload the weight
    /// decides the order of requests, otherwise the urgency does.
    pub fn urgency(&self, request: &Request, now: Millis) -> f64 {
        let class = &self.settings.classes[request.spec.class];
        let slack = request.spec.objective_at - now - self.work(request);
        let fraction = if slack < 0.0 { class.late_fraction } else { 1.0 };
        let slack_scale = SLACK_FRACTION * class.latency_objective.max(1.0);
        fraction * self.weight_per_work(request) * (-slack.max(0.0) / slack_scale).exp()
    }

    /// The rank of a waiting request at this time.
    pub fn rank(&self, request: &Request, now: Millis) -> Priority {
        Priority { weight_per_work: self.weight_per_work(request), urgency: self.urgency(request, now) }
    }

    /// Compares two requests by their urgency.
    pub fn compare_urgency(&self, left: &Request, right: &Request, now: Millis) -> Ordering {
        self.urgency(left, now).total_cmp(&self.urgency(right, now))
    }

    /// The expected latency of a request, as a measure of the work that it takes.
    fn work(&self, request: &Request) -> Millis {
        self.latency.class_mean(request.spec.class).max(MIN_CLASS_LATENCY) * request.spec.relative_cost
    }
}
