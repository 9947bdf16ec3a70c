//! The result of a run: the score by the operators' weights and prices, and the lost weight by cause.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{Counters, Recorder, RequestOutcome, RequestRecord, Violation};
use crate::index::{ClassIndex, IndexedVec, TenantIndex};
use crate::slow_start::SlowStartReport;
use crate::time::MS_PER_S;
use crate::workload::{Request, Workload};

/// Length in seconds of the windows among which the worst is reported.
const WINDOW_S: usize = 10;
/// Number of bytes of gossip that the price of gossip applies to.
const PRICED_GOSSIP_BYTES: f64 = 256.0;
/// The most violations that a result lists.
const MAX_LISTED_VIOLATIONS: usize = 20;
/// Lower bound of divisors, which keeps divisions defined where nothing was offered.
const MIN_TOTAL: f64 = 1e-9;

/// Weights of the parts of the service in the score, as the operators specified them.
mod score_weight {
    pub const RUN: f64 = 0.25;
    pub const WORST_WINDOW: f64 = 0.45;
    pub const WORST_CLASS: f64 = 0.2;
    pub const WORST_TENANT: f64 = 0.1;
}

/// Weight by outcome, as a fraction of all weight offered.
pub type OutcomeWeights = BTreeMap<RequestOutcome, f64>;

/// A dimension by which the outcomes are broken down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    /// The backend of the last attempt.
    Backend,
    /// The class of the request.
    Class,
    /// The proxy of the last attempt.
    Proxy,
    /// The second of the run in which the request arrived.
    Second,
    /// The zone of the request.
    Zone,
}

/// The window with the smallest fraction of its weight served.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct WorstWindow {
    /// Weight served in time over weight offered.
    pub served: f64,
    /// Start of the window, in seconds.
    pub start_s: f64,
}

impl From<WorstWindow> for (f64, f64) {
    fn from(window: WorstWindow) -> Self {
        (window.served, window.start_s)
    }
}

/// Charges of a run, as a fraction of the weight of a mean request.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Charges {
    /// Charge for attempts that cross zones.
    pub cross_zone: f64,
    /// Charge for new connections.
    pub handshake: f64,
    /// Charge for gossip.
    #[serde(rename = "peer")]
    pub gossip: f64,
    /// Charge for wasted work.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
}

impl Charges {
    /// The sum of all charges.
    pub fn total(&self) -> f64 {
        self.cross_zone + self.handshake + self.gossip + self.wasted_work
    }
}

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the workload.
    pub seed: u64,
    /// Name of the version that made the decisions.
    pub version: String,
    /// Service by the operators' weights, minus the charges.
    #[serde(rename = "g")]
    pub score: f64,
    /// Weight served in time over weight offered.
    pub served: f64,
    /// Weight served in time over weight offered, in the worst 10 s.
    pub worst_window: WorstWindow,
    /// Weight served in time over weight offered, for the worst class.
    pub worst_class: f64,
    /// Weight served in time over weight offered, for the worst tenant; only requests within its quota count.
    pub worst_tenant: f64,
    /// The charges.
    #[serde(rename = "prices")]
    pub charges: Charges,
    /// Weight by outcome, as a fraction of all weight offered.
    #[serde(rename = "ends")]
    pub outcomes: OutcomeWeights,
    /// Weight by outcome, broken down by dimension and value; the sum over the values of a dimension is `outcomes`.
    #[serde(rename = "by")]
    pub outcomes_by: BTreeMap<Dimension, BTreeMap<String, OutcomeWeights>>,
    /// Number of requests.
    pub requests: usize,
    /// Counters of the run.
    #[serde(rename = "sums")]
    pub counters: Counters,
    /// How close backends in slow start came to an overload.
    #[serde(rename = "cold")]
    pub slow_start: SlowStartReport,
    /// Number of violations.
    #[serde(rename = "broken_rules")]
    pub violation_count: usize,
    /// The first 20 violations.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
}

/// Weight served in time and weight offered.
#[derive(Clone, Copy, Default)]
struct Service {
    offered: f64,
    served: f64,
}

impl Service {
    fn add(&mut self, weight: f64, is_served: bool) {
        self.offered += weight;
        self.served += if is_served { weight } else { 0.0 };
    }

    fn plus(self, other: &Service) -> Self {
        Service { offered: self.offered + other.offered, served: self.served + other.served }
    }

    fn fraction(&self) -> f64 {
        if self.offered > 0.0 { self.served / self.offered } else { 1.0 }
    }
}

/// Sums over all requests.
struct Totals {
    run: Service,
    by_class: IndexedVec<ClassIndex, Service>,
    by_tenant: IndexedVec<TenantIndex, Service>,
    by_second: Vec<Service>,
    outcomes: OutcomeWeights,
    outcomes_by: BTreeMap<Dimension, BTreeMap<String, OutcomeWeights>>,
}

impl Totals {
    fn new(workload: &Workload) -> Self {
        let scenario = &workload.scenario;
        let seconds = (workload.duration / MS_PER_S).ceil() as usize;
        Totals {
            run: Service::default(),
            by_class: vec![Service::default(); scenario.classes.len()].into(),
            by_tenant: vec![Service::default(); scenario.tenants.len().max(1)].into(),
            by_second: vec![Service::default(); seconds.max(1)],
            outcomes: OutcomeWeights::new(),
            outcomes_by: BTreeMap::new(),
        }
    }

    fn add(&mut self, workload: &Workload, record: &RequestRecord) {
        let request = &workload.requests[record.request];
        let quota_factor = if record.within_quota { 1.0 } else { workload.scenario.over_quota_weight };
        let weight = request.priority_weight * quota_factor;
        let is_served = record.outcome == RequestOutcome::Served;
        self.run.add(weight, is_served);
        self.by_class[request.class].add(weight, is_served);
        if record.within_quota {
            self.by_tenant[request.tenant].add(weight, is_served);
        }
        let second = ((request.arrives_at / MS_PER_S) as usize).min(self.by_second.len() - 1);
        self.by_second[second].add(weight, is_served);
        *self.outcomes.entry(record.outcome).or_default() += weight;
        for (dimension, value) in dimensions(workload, record, request) {
            let outcomes = self.outcomes_by.entry(dimension).or_default().entry(value).or_default();
            *outcomes.entry(record.outcome).or_default() += weight;
        }
    }

    /// Divides weights by outcome by all weight offered.
    fn normalize(&mut self) {
        let total = self.run.offered.max(MIN_TOTAL);
        let broken_down = self.outcomes_by.values_mut().flat_map(BTreeMap::values_mut);
        for outcomes in broken_down.chain([&mut self.outcomes]) {
            for weight in outcomes.values_mut() {
                *weight /= total;
            }
        }
    }

    fn worst_window(&self) -> WorstWindow {
        let length = WINDOW_S.min(self.by_second.len());
        let windows = self.by_second.windows(length).enumerate().map(|(start, window)| {
            let service = window.iter().fold(Service::default(), Service::plus);
            WorstWindow { served: service.fraction(), start_s: start as f64 }
        });
        let worst = windows.min_by(|one, other| one.served.total_cmp(&other.served));
        worst.unwrap_or(WorstWindow { served: 1.0, start_s: 0.0 })
    }
}

fn dimensions(workload: &Workload, record: &RequestRecord, request: &Request) -> [(Dimension, String); 5] {
    let scenario = &workload.scenario;
    let backend = record.backend.map_or_else(|| "none".to_owned(), |backend| backend.to_string());
    [
        (Dimension::Class, scenario.classes[request.class.0].name.clone()),
        (Dimension::Zone, scenario.zones[request.zone.0].clone()),
        (Dimension::Proxy, record.proxy.to_string()),
        (Dimension::Backend, backend),
        (Dimension::Second, format!("{:.0}", (request.arrives_at / MS_PER_S).floor())),
    ]
}

fn worst<'a>(services: impl Iterator<Item = &'a Service>) -> f64 {
    services.map(Service::fraction).fold(1.0, f64::min)
}

impl Recorder {
    /// Computes the result of a run with the decisions of a version.
    pub fn result(&self, workload: &Workload, version: &str) -> RunResult {
        let mut totals = Totals::new(workload);
        for record in &self.requests {
            totals.add(workload, record);
        }
        totals.normalize();
        let worst_window = totals.worst_window();
        let worst_class = worst(totals.by_class.iter());
        let worst_tenant = worst(totals.by_tenant.iter());
        let charges = self.charges(workload);
        let service = score_weight::RUN * totals.run.fraction()
            + score_weight::WORST_WINDOW * worst_window.served
            + score_weight::WORST_CLASS * worst_class
            + score_weight::WORST_TENANT * worst_tenant;
        RunResult {
            scenario: workload.scenario.name.clone(),
            seed: workload.seed,
            version: version.to_owned(),
            score: service - charges.total(),
            served: totals.run.fraction(),
            worst_window,
            worst_class,
            worst_tenant,
            charges,
            outcomes: totals.outcomes,
            outcomes_by: totals.outcomes_by,
            requests: workload.requests.len(),
            counters: self.counters.clone(),
            slow_start: self.slow_start,
            violation_count: self.violations.len(),
            violations: self.violations.iter().take(MAX_LISTED_VIOLATIONS).cloned().collect(),
        }
    }

    fn charges(&self, workload: &Workload) -> Charges {
        let prices = &workload.scenario.prices;
        let requests = workload.requests.len().max(1) as f64;
        let offered_work: f64 = workload.requests.iter().map(|request| request.work).sum();
        let gossip_bytes = self.counters.gossip_bytes as f64;
        Charges {
            cross_zone: prices.cross_zone * self.counters.cross_zone_attempts as f64 / requests,
            handshake: prices.handshake * self.counters.handshakes as f64 / requests,
            gossip: prices.gossip * gossip_bytes / PRICED_GOSSIP_BYTES / requests,
            wasted_work: prices.wasted_work * self.counters.wasted_work / offered_work.max(MIN_TOTAL),
        }
    }
}
