//! Samples the machines, the proxies and the distribution of traffic over zones.

use leadrelay_core::CellId;

use super::{Contention, KeyCacheParameters, Machine, ProxySite, SlowStart};
use crate::index::{BackendIndex, IndexedVec, MachineClassIndex, ProxyIndex, ZoneIndex};
use crate::random::RandomStream;
use crate::scenario::Scenario;
use crate::time::MS_PER_S;

/// Number of backends in a cell, which share the deduplication of requests.
const CELL_SIZE: usize = 4;
/// Coefficient of variation of the weights on the endpoint list relative to the true capacity.
const WEIGHT_VARIATION: f64 = 0.15;
/// Minimum weight on the endpoint list.
const MIN_WEIGHT: f64 = 0.05;
/// Minimum fraction of the full capacity that a machine has at the beginning of slow start.
const MIN_INITIAL_CAPACITY: f64 = 0.01;

pub(super) fn sample_machines(
    scenario: &Scenario, random: &mut RandomStream,
) -> IndexedVec<BackendIndex, Machine> {
    let shares: Vec<f64> = scenario.machine_classes.iter().map(|class| class.share).collect();
    let classes = apportion(scenario.backends, &shares);
    let spec = &scenario.key_cache;
    let key_cache = KeyCacheParameters {
        saving: random.in_range(spec.saving),
        retention: random.in_range(spec.retention_s) * MS_PER_S,
        capacity: random.in_range(spec.capacity) as usize,
    };
    let sample = |(number, &class): (usize, &usize)| {
        sample_machine(scenario, number, MachineClassIndex(class), key_cache, random)
    };
    classes.iter().enumerate().map(sample).collect()
}

fn sample_machine(
    scenario: &Scenario, number: usize, machine_class: MachineClassIndex, key_cache: KeyCacheParameters,
    random: &mut RandomStream,
) -> Machine {
    let class = &scenario.machine_classes[machine_class.0];
    let zones = scenario.zones.len();
    let zone = number % zones;
    let cell = number / zones / CELL_SIZE * zones + zone;
    let speed = random.in_range(class.speed);
    Machine {
        zone: ZoneIndex(zone),
        machine_class,
        cell: CellId(cell as u64),
        cores: class.cores,
        speed,
        slots: random.in_range(class.slots).max(1.0) as usize,
        queue: random.in_range(class.queue) as usize,
        contention: Contention {
            loss_per_request: random.in_range(class.contention.loss_per_request),
            threshold: random.in_range(class.contention.threshold),
        },
        slow_start: SlowStart {
            initial_capacity: random
                .in_range(class.slow_start.initial_capacity)
                .clamp(MIN_INITIAL_CAPACITY, 1.0),
            duration: (random.in_range(class.slow_start.duration_s) * MS_PER_S).max(1.0),
        },
        error_rate: random.in_range(class.error_rate),
        max_connections: random.in_range(scenario.network.max_connections) as usize,
        weight: (class.cores * speed * random.lognormal(WEIGHT_VARIATION)).max(MIN_WEIGHT),
        key_cache,
    }
}

pub(super) fn sample_proxies(
    scenario: &Scenario, random: &mut RandomStream,
) -> IndexedVec<ProxyIndex, ProxySite> {
    let zones = scenario.zones.len();
    let spread = random.in_range(scenario.proxy_spread);
    let sample =
        |number| ProxySite { zone: ZoneIndex(number % zones), front_weight: random.lognormal(spread) };
    (0..scenario.proxies).map(sample).collect()
}

/// Samples each zone's fraction of the traffic.
pub(super) fn sample_zone_fractions(zones: usize, skew: f64, random: &mut RandomStream) -> Vec<f64> {
    let sample = |_| 1.0 + skew * (2.0 * random.uniform() - 1.0);
    let mut fractions: Vec<f64> = (0..zones).map(sample).collect();
    let total: f64 = fractions.iter().sum();
    for fraction in &mut fractions {
        *fraction /= total;
    }
    fractions
}

/// Apportions `count` items according to shares; returns the index of the share that each item belongs to, in order.
fn apportion(count: usize, shares: &[f64]) -> Vec<usize> {
    let total: f64 = shares.iter().sum();
    let mut assigned = Vec::with_capacity(count);
    let mut cumulative = 0.0;
    for (index, share) in shares.iter().enumerate() {
        cumulative += share / total.max(1e-9);
        let is_last = index + 1 == shares.len();
        let end = if is_last { count } else { (cumulative * count as f64).round() as usize };
        assigned.resize(end.clamp(assigned.len(), count), index);
    }
    assigned
}
