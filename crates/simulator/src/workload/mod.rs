//! A workload: the fleet, the requests and the faults of one run, sampled from a scenario with a seed. It does not
//! depend on the decisions of the proxies.

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

/// The machine that a backend runs on.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Zone of the machine.
    pub zone: ZoneIndex,
    /// Machine class.
    pub machine_class: MachineClassIndex,
    /// Cell of the machine, within which requests are deduplicated.
    pub cell: CellId,
    /// Number of cores.
    pub cores: f64,
    /// Speed of each core, relative to a standard core.
    pub speed: f64,
    /// Maximum number of requests in process.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot.
    pub queue: usize,
    /// Loss of efficiency with concurrency.
    pub contention: Contention,
    /// Slow start after each start of the process.
    pub slow_start: SlowStart,
    /// The fraction of completed requests that end with an error.
    pub error_rate: f64,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Weight on the endpoint list.
    pub weight: f64,
    /// Parameters of the cache of affinity keys.
    pub key_cache: KeyCacheParameters,
}

/// The loss of efficiency of a machine with concurrency.
#[derive(Clone, Copy, Debug)]
pub struct Contention {
    /// Loss per request in process above the threshold: `n` such requests divide the efficiency by `1 + n * loss`.
    pub loss_per_request: f64,
    /// Number of requests in process up to which efficiency is not reduced.
    pub threshold: f64,
}

/// The slow start of a machine.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The fraction of the full capacity that is available at the start.
    pub initial_capacity: f64,
    /// Time from the start until the full capacity is available.
    pub duration: Millis,
}

/// The parameters of the affinity key cache of a backend.
#[derive(Clone, Copy, Debug)]
pub struct KeyCacheParameters {
    /// The fraction of the work that a cached key saves.
    pub saving: f64,
    /// Time for which a key is cached after its last use.
    pub retention: Millis,
    /// Number of keys above which keys are evicted.
    pub capacity: usize,
}

/// The zone of a proxy and its weight in the distribution of traffic.
#[derive(Clone, Copy, Debug)]
pub struct ProxySite {
    /// Zone of the proxy.
    pub zone: ZoneIndex,
    /// Weight of the proxy in the front-end load balancer of its zone.
    pub front_weight: f64,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time at which the client sends the first attempt.
    pub arrives_at: Millis,
    /// Class of the request.
    pub class: ClassIndex,
    /// Tenant that the request belongs to.
    pub tenant: TenantIndex,
    /// Affinity key of the request.
    pub key: AffinityKey,
    /// Processing time on a standard core.
    pub work: Millis,
    /// Zone whose front-end load balancer receives the request.
    pub zone: ZoneIndex,
    /// Position that selects one of the zone's proxies, as a fraction of their total weight.
    pub proxy_position: f64,
    /// Timeout of each attempt, as a fraction of the deadline.
    pub attempt_timeout: f64,
    /// Fraction of the deadline after which the client disconnects; `None` if it does not disconnect early.
    pub disconnects_after: Option<f64>,
    /// Priority weight, which is the value of a response within the latency objective.
    pub priority_weight: f64,
}

/// A fault of a run.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start time.
    pub start: Millis,
    /// End time.
    pub end: Millis,
    /// Fraction of the possible targets that the fault affects.
    pub fraction: f64,
    /// Magnitude of the fault; its meaning depends on the [`FaultKind`].
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

    /// Returns how many of `targets` possible targets the fault affects.
    pub fn affected(&self, targets: usize) -> usize {
        (self.fraction * targets as f64).round() as usize
    }
}

/// Mean one-way latencies of the network.
#[derive(Clone, Copy, Debug)]
pub struct MeanLatencies {
    /// Latency within a zone.
    pub same_zone: Millis,
    /// Latency between zones.
    pub cross_zone: Millis,
    /// Latency between a client and its proxy.
    pub client: Millis,
    /// Latency of a gossip datagram between proxies.
    pub gossip: Millis,
}

/// The speed of the discovery service.
#[derive(Clone, Copy, Debug)]
pub struct DiscoverySpeed {
    /// Delay after which the service receives a change.
    pub propagation_delay: Millis,
    /// Calls per second that the service can accept.
    pub calls_per_s: f64,
}

/// The workload of one run.
pub struct Workload {
    /// Scenario that the workload was sampled from.
    pub scenario: Scenario,
    /// Seed that the workload was sampled with.
    pub seed: u64,
    /// Time during which requests arrive, from the start of the run.
    pub duration: Millis,
    /// The machines of the backends that run at the start.
    pub machines: IndexedVec<BackendIndex, Machine>,
    /// The proxies.
    pub proxies: IndexedVec<ProxyIndex, ProxySite>,
    /// Requests in the order of arrival.
    pub requests: IndexedVec<RequestIndex, Request>,
    /// Faults.
    pub faults: IndexedVec<FaultIndex, Fault>,
    /// Quotas of the tenants, in requests per second.
    pub tenant_quotas: IndexedVec<TenantIndex, f64>,
    /// Mean latencies of the network.
    pub latencies: MeanLatencies,
    /// Work of a connection handshake for a backend.
    pub handshake_work: Millis,
    /// Speed of the discovery service.
    pub discovery: DiscoverySpeed,
    /// Time for which the front-end load balancer still sends to a proxy that has crashed.
    pub front_detection_delay: Millis,
    /// Mean backoff of a client before its first retry.
    pub retry_backoff: Millis,
    /// Work that all backends together do per millisecond.
    pub capacity: f64,
    /// Mean work of a request of each class.
    pub mean_work_by_class: IndexedVec<ClassIndex, Millis>,
}

impl Workload {
    /// Samples the workload of a scenario with a seed.
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
            front_detection_delay: random.in_range(scenario.clients.front_detection_s) * MS_PER_S,
            retry_backoff: random.in_range(scenario.clients.backoff_ms),
            capacity,
            mean_work_by_class: IndexedVec::default(),
        };
        workload.sample_requests(&zone_fractions);
        workload
    }

    /// Returns the mean work of a request over all classes.
    pub fn mean_work(&self) -> Millis {
        let shares: f64 = self.scenario.classes.iter().map(|class| class.share).sum();
        let classes = self.scenario.classes.iter().zip(self.mean_work_by_class.iter());
        classes.map(|(class, work)| class.share * work).sum::<f64>() / shares
    }

    /// Returns whether and how requests of a class may be executed more than once.
    pub fn idempotency(&self, class: ClassIndex) -> RequestIdempotency {
        self.scenario.classes[class.0].idempotency
    }

    /// Returns the latency objective of a class of requests.
    pub fn latency_objective(&self, class: ClassIndex) -> Millis {
        self.scenario.classes[class.0].latency_objective_ms
    }

    /// Returns the time that clients wait for a request of a class, over all attempts.
    pub fn deadline(&self, class: ClassIndex) -> Millis {
        self.scenario.classes[class.0].deadline_ms
    }
}
