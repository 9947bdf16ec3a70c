//! A workload: the fleet, the requests and the faults of one run, sampled from a scenario by a seed. Nothing in it
//! depends on what proxies decide.

mod fleet;
mod requests;

use leadrelay_core::{AffinityKey, CellId, Millis};

use crate::index::{
    BackendIndex, ClassIndex, FaultIndex, IndexedVec, MachineClassIndex, ProxyIndex, RequestIndex,
    TenantIndex, ZoneIndex,
};
use crate::random::RandomStream;
use crate::scenario::{FaultKind, FaultSpec, RequestIdempotency, Scenario};
use crate::time::MS_PER_S;

/// What a backend runs on.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its zone.
    pub zone: ZoneIndex,
    /// Its class.
    pub machine_class: MachineClassIndex,
    /// Its cell.
    pub cell: CellId,
    /// Cores.
    pub cores: f64,
    /// Speed of each, relative to a standard core.
    pub speed: f64,
    /// Requests in process at once.
    pub slots: usize,
    /// Requests that wait beyond those.
    pub queue: usize,
    /// How efficiency falls with concurrency.
    pub contention: Contention,
    /// Its slow start.
    pub slow_start: SlowStart,
    /// The fraction of its requests that fail.
    pub error_rate: f64,
    /// Connections that it accepts.
    pub max_connections: usize,
    /// The weight that the endpoint list gives it.
    pub weight: f64,
    /// Its cache for affinity keys.
    pub key_cache: KeyCacheParameters,
}

/// How the efficiency of a machine falls with concurrency.
#[derive(Clone, Copy, Debug)]
pub struct Contention {
    /// Efficiency lost for each request in process beyond the threshold.
    pub loss_per_request: f64,
    /// Requests in process that cost none.
    pub threshold: f64,
}

/// The slow start of a machine.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The fraction of its capacity that it has at once.
    pub initial_capacity: f64,
    /// The time until it has all of it.
    pub duration: Millis,
}

/// The cache of a backend for affinity keys.
#[derive(Clone, Copy, Debug)]
pub struct KeyCacheParameters {
    /// The fraction of the work that a cached key saves.
    pub saving: f64,
    /// For how long a key is cached.
    pub retention: Millis,
    /// How many keys are cached.
    pub capacity: usize,
}

/// Where a proxy is and how much traffic it gets.
#[derive(Clone, Copy, Debug)]
pub struct ProxySite {
    /// Its zone.
    pub zone: ZoneIndex,
    /// Its weight in the zone's front.
    pub front_weight: f64,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// When its first attempt is sent.
    pub arrives_at: Millis,
    /// Its class.
    pub class: ClassIndex,
    /// Its tenant.
    pub tenant: TenantIndex,
    /// Its affinity key.
    pub key: AffinityKey,
    /// Its work on a standard core.
    pub work: Millis,
    /// The zone whose front receives it.
    pub zone: ZoneIndex,
    /// Which of the zone's proxies the front selects, as a fraction of their total weight.
    pub proxy_position: f64,
    /// The timeout of an attempt, as a fraction of the deadline.
    pub attempt_timeout: f64,
    /// The client disconnects after this fraction of the deadline.
    pub disconnects_after: Option<f64>,
    /// What a response in time is worth.
    pub priority_weight: f64,
}

/// A fault of a run.
#[derive(Clone, Debug)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// When it starts.
    pub start: Millis,
    /// When it ends.
    pub end: Millis,
    /// Which fraction of its targets it affects.
    pub fraction: f64,
    /// How strong it is; see [`FaultKind`].
    pub magnitude: f64,
}

impl Fault {
    fn sample(spec: &FaultSpec, run: Millis, random: &mut RandomStream) -> Self {
        let start = random.in_range(spec.start) * run;
        let end = start + random.in_range(spec.duration_s) * MS_PER_S;
        let fraction = random.in_range(spec.fraction);
        let magnitude = random.in_range(spec.magnitude);
        Fault { kind: spec.kind, start, end, fraction, magnitude }
    }

    /// How many of `targets` it affects.
    pub fn affected(&self, targets: usize) -> usize {
        (self.fraction * targets as f64).round() as usize
    }
}

/// Mean one-way latencies.
#[derive(Clone, Copy, Debug)]
pub struct MeanLatencies {
    /// Within a zone.
    pub same_zone: Millis,
    /// Between zones.
    pub cross_zone: Millis,
    /// Between a client and its proxy.
    pub client: Millis,
    /// Of a datagram between proxies.
    pub gossip: Millis,
}

/// How fast discovery is.
#[derive(Clone, Copy, Debug)]
pub struct DiscoverySpeed {
    /// After this delay it has a change.
    pub propagation_delay: Millis,
    /// Calls a second that it can answer.
    pub calls_per_s: f64,
}

/// The workload of one run.
pub struct Workload {
    /// What it was sampled from.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// For how long requests arrive.
    pub duration: Millis,
    /// The machines of the backends that run at the start.
    pub machines: IndexedVec<BackendIndex, Machine>,
    /// The proxies.
    pub proxies: IndexedVec<ProxyIndex, ProxySite>,
    /// Requests in the order of arrival.
    pub requests: IndexedVec<RequestIndex, Request>,
    /// Faults.
    pub faults: IndexedVec<FaultIndex, Fault>,
    /// Quotas of the tenants, in requests a second.
    pub tenant_quotas: IndexedVec<TenantIndex, f64>,
    /// Mean latencies of the network.
    pub latencies: MeanLatencies,
    /// Work of a handshake for a backend.
    pub handshake_work: Millis,
    /// How fast discovery is.
    pub discovery: DiscoverySpeed,
    /// For how long the front still sends to a proxy that has crashed.
    pub front_detection: Millis,
    /// First backoff of a client.
    pub retry_backoff: Millis,
    /// Work that all backends do in a millisecond.
    pub capacity: f64,
    /// Mean work of each class.
    pub mean_work_by_class: IndexedVec<ClassIndex, Millis>,
}

impl Workload {
    /// Samples the workload of a seed.
    pub fn sample(scenario: &Scenario, seed: u64) -> Self {
        let mut random = RandomStream::new(seed, "fleet");
        let machines = fleet::sample_machines(scenario, &mut random);
        let skew = random.in_range(scenario.zone_skew);
        let proxies = fleet::sample_proxies(scenario, &mut random);
        let zone_fractions = fleet::sample_zone_fractions(scenario.zones.len(), skew, &mut random);
        let duration = scenario.duration_s * MS_PER_S;
        let mut fault_random = RandomStream::new(seed, "faults");
        let sample_fault = |spec| Fault::sample(spec, duration, &mut fault_random);
        let faults = scenario.faults.iter().map(sample_fault).collect();
        let network = &scenario.network;
        let capacity = machines.iter().map(|machine| machine.cores * machine.speed).sum();
        let mut workload = Workload {
            scenario: scenario.clone(),
            seed,
            duration,
            machines,
            proxies,
            requests: IndexedVec::default(),
            faults,
            tenant_quotas: IndexedVec::default(),
            latencies: MeanLatencies {
                same_zone: random.in_range(network.same_zone_ms),
                cross_zone: random.in_range(network.cross_zone_ms),
                client: random.in_range(network.client_ms),
                gossip: random.in_range(network.gossip_ms),
            },
            handshake_work: random.in_range(network.handshake.work_ms),
            discovery: DiscoverySpeed {
                propagation_delay: random.in_range(scenario.discovery.propagation_delay_s) * MS_PER_S,
                calls_per_s: random.in_range(scenario.discovery.calls_per_s).max(0.1),
            },
            front_detection: random.in_range(scenario.clients.front_detection_s) * MS_PER_S,
            retry_backoff: random.in_range(scenario.clients.backoff_ms),
            capacity,
            mean_work_by_class: IndexedVec::default(),
        };
        workload.sample_requests(&zone_fractions);
        workload
    }

    /// Mean work of a request.
    pub fn mean_work(&self) -> Millis {
        let shares: f64 = self.scenario.classes.iter().map(|class| class.share).sum();
        let classes = self.scenario.classes.iter().zip(self.mean_work_by_class.iter());
        classes.map(|(class, work)| class.share * work).sum::<f64>() / shares
    }

    /// Whether requests of a class may be executed more than once.
    pub fn idempotency(&self, class: ClassIndex) -> RequestIdempotency {
        self.scenario.classes[class.0].idempotency
    }

    /// A request's class's latency objective.
    pub fn latency_objective(&self, class: ClassIndex) -> Millis {
        self.scenario.classes[class.0].latency_objective_ms
    }

    /// How long clients wait for a request of a class over all their attempts.
    pub fn deadline(&self, class: ClassIndex) -> Millis {
        self.scenario.classes[class.0].deadline_ms
    }
}
