//! Samples the requests as a Poisson process whose rate follows the bursts.

use leadrelay_core::{AffinityKey, Millis};

use super::{Request, Workload};
use crate::index::{ClassIndex, IndexedVec, TenantIndex, ZoneIndex};
use crate::random::{RandomStream, Zipf};
use crate::scenario::{FaultKind, Scenario};
use crate::time::MS_PER_S;

/// Samples requests from the scenario and the parameters of the run.
struct RequestSampler<'a> {
    scenario: &'a Scenario,
    zone_fractions: &'a [f64],
    mean_work: IndexedVec<ClassIndex, Millis>,
    work_variation: IndexedVec<ClassIndex, f64>,
    keys: Zipf,
    early_disconnects: f64,
    random: RandomStream,
}

/// The random numbers of one candidate arrival. All are sampled whether or not the arrival becomes a request.
struct Arrival {
    at: Millis,
    acceptance: f64,
    class: f64,
    tenant: f64,
    zone: f64,
}

impl RequestSampler<'_> {
    fn next_arrival(&mut self, previous: Millis, max_rate: f64) -> Option<Arrival> {
        let at = previous + self.random.exponential() / max_rate;
        if at >= self.scenario.duration_s * MS_PER_S {
            return None;
        }
        Some(Arrival {
            at,
            acceptance: self.random.uniform(),
            class: self.random.uniform(),
            tenant: self.random.uniform(),
            zone: self.random.uniform(),
        })
    }

    fn request(&mut self, arrival: &Arrival, tenant_burst: f64) -> Request {
        let scenario = self.scenario;
        let total_share: f64 = scenario.classes.iter().map(|class| class.share).sum();
        let class_shares = scenario.classes.iter().map(|class| class.share);
        let class = select(class_shares, total_share, arrival.class).unwrap_or(0);
        let class_index = ClassIndex(class);
        let zone = select(self.zone_fractions.iter().copied(), 1.0, arrival.zone).unwrap_or(0);
        Request {
            arrives_at: arrival.at,
            class: class_index,
            tenant: self.tenant(arrival.tenant, tenant_burst),
            key: AffinityKey(self.keys.sample(&mut self.random) as u64),
            work: self.mean_work[class_index] * self.random.lognormal(self.work_variation[class_index]),
            zone: ZoneIndex(zone),
            proxy_position: self.random.uniform(),
            attempt_timeout: self.random.in_range(scenario.clients.attempt_timeout),
            disconnects_after: self.random.chance(self.early_disconnects).then(|| self.random.uniform()),
            priority_weight: scenario.classes[class].priority_weight,
        }
    }

    /// Returns the tenant at a position in the tenants' shares; `burst` multiplies the share of the first tenant.
    fn tenant(&self, position: f64, burst: f64) -> TenantIndex {
        let tenants = &self.scenario.tenants;
        let first_share = tenants.first().map_or(0.0, |tenant| tenant.share * (burst - 1.0));
        let total = total_tenant_share(self.scenario) + first_share;
        let share = |(index, share): (usize, f64)| if index == 0 { share * burst } else { share };
        let shares = tenants.iter().map(|tenant| tenant.share).enumerate().map(share);
        TenantIndex(select(shares, total, position).unwrap_or(0))
    }
}

impl Workload {
    pub(super) fn sample_requests(&mut self, zone_fractions: &[f64]) {
        let scenario = self.scenario.clone();
        let mut random = RandomStream::new(self.seed, "clients");
        let load = random.in_range(scenario.load);
        self.mean_work_by_class =
            scenario.classes.iter().map(|class| random.in_range(class.work_ms)).collect();
        let work_variation = scenario.classes.iter().map(|class| random.in_range(class.work_cv)).collect();
        let requests_per_ms = load * self.capacity / self.mean_work();
        self.sample_quotas(requests_per_ms, &mut random);
        let distinct_keys = random.in_range(scenario.keys.distinct) as usize;
        let key_exponent = random.in_range(scenario.keys.exponent);
        let early_disconnects = random.in_range(scenario.clients.early_disconnects);
        let mut sampler = RequestSampler {
            scenario: &scenario,
            zone_fractions,
            mean_work: self.mean_work_by_class.clone(),
            work_variation,
            keys: Zipf::new(distinct_keys, key_exponent),
            early_disconnects,
            random,
        };
        // A Poisson process with the maximum rate is thinned to the current rate.
        let max_factor = self.max_rate_factor();
        let mut now = 0.0;
        while let Some(arrival) = sampler.next_arrival(now, requests_per_ms * max_factor) {
            now = arrival.at;
            let tenant_burst = self.burst_factor(FaultKind::TenantBurst, now).max(1.0);
            let rate_factor =
                self.burst_factor(FaultKind::Burst, now) * self.tenant_burst_factor(tenant_burst);
            if arrival.acceptance * max_factor < rate_factor {
                self.requests.push(sampler.request(&arrival, tenant_burst));
            }
        }
    }

    fn sample_quotas(&mut self, requests_per_ms: f64, random: &mut RandomStream) {
        let total_share = total_tenant_share(&self.scenario);
        for tenant in &self.scenario.tenants {
            let usual_per_s = requests_per_ms * MS_PER_S * tenant.share / total_share.max(1e-9);
            self.tenant_quotas.push(usual_per_s * random.in_range(tenant.quota));
        }
    }

    /// Returns the factor by which bursts of a kind multiply traffic at a point in time.
    fn burst_factor(&self, kind: FaultKind, at: Millis) -> f64 {
        let active =
            self.faults.iter().filter(|fault| fault.kind == kind && (fault.start..fault.end).contains(&at));
        active.map(|fault| fault.magnitude.max(0.0)).product()
    }

    /// Returns an upper bound of the factor by which bursts multiply traffic.
    fn max_rate_factor(&self) -> f64 {
        let max_burst = |kind| {
            let bursts = self.faults.iter().filter(|fault| fault.kind == kind);
            bursts.map(|fault| fault.magnitude.max(1.0)).product::<f64>()
        };
        max_burst(FaultKind::Burst) * self.tenant_burst_factor(max_burst(FaultKind::TenantBurst))
    }

    /// Returns the factor by which a burst of the first tenant multiplies the total traffic.
    fn tenant_burst_factor(&self, burst: f64) -> f64 {
        let total_share = total_tenant_share(&self.scenario);
        let first_tenant = self.scenario.tenants.first();
        let first_fraction = first_tenant.map_or(0.0, |tenant| tenant.share / total_share.max(1e-9));
        1.0 + first_fraction * (burst - 1.0)
    }
}

fn total_tenant_share(scenario: &Scenario) -> f64 {
    scenario.tenants.iter().map(|tenant| tenant.share).sum()
}

/// Returns the index of the part that a position, as a fraction in [0, 1) of the total, falls into.
fn select(mut parts: impl Iterator<Item = f64>, total: f64, position: f64) -> Option<usize> {
    let mut remaining = position * total;
    parts.position(|part| {
        remaining -= part;
        remaining < 0.0
    })
}
