//! A run of a workload in simulated time, on one thread with one event queue. All random numbers derive from the seed.
//!
//! Not modelled, in addition to the limits that each model documents: processor time of a proxy, body sizes, closing of
//! idle connections, slow clients and malformed requests.

mod attempts;
mod backends;
mod clients;
mod endpoint_lists;
mod event;
mod event_queue;
mod faults;
mod front;
mod invariants;
mod network;
mod outcomes;
mod proxies;
mod quotas;

use leadrelay_core::{Action, Endpoint, EndpointState, Event as ProxyEvent, Millis};
use rustc_hash::FxHashMap;

use self::attempts::Attempt;
use self::clients::Clients;
use self::endpoint_lists::{discovery_parameters, endpoint};
use self::event::Event;
use self::event_queue::EventQueue;
use self::front::Front;
use self::network::Network;
use self::proxies::Proxy;
use self::quotas::TenantQuotas;
use crate::backend::Backend;
use crate::discovery::{DiscoveryService, Step};
use crate::drain_rule::DrainRule;
use crate::index::{AttemptIndex, BackendIndex, IndexedVec, ProxyIndex, RequestIndex};
use crate::policy::{Policy, TrueState};
use crate::random::RandomStream;
use crate::report::{Recorder, RunResult};
use crate::slow_start::SlowStartMonitor;
use crate::workload::Workload;

/// Interval between snapshots of the true state, which is the maximum age of the delayed state.
const SNAPSHOT_INTERVAL: Millis = 500.0;
/// Time for which the run continues after the period of arrivals.
const RUN_EXTENSION: Millis = 8000.0;

/// Creates the policy of a proxy from a seed.
pub type PolicyFactory<'a> = dyn Fn(ProxyIndex, u64) -> Box<dyn Policy> + 'a;

/// Runs a workload with the policies that a factory creates; `name` is the version in the result. The same workload and
/// policies yield the same result.
pub fn simulate_with(workload: &Workload, name: &str, policy_factory: &PolicyFactory<'_>) -> RunResult {
    let mut simulation = Simulation::new(workload, policy_factory);
    simulation.run();
    simulation.recorder.result(workload, name)
}

/// The state of a run.
struct Simulation<'a> {
    workload: &'a Workload,
    policy_factory: &'a PolicyFactory<'a>,
    events: EventQueue,
    clients: Clients,
    quotas: TenantQuotas,
    front: Front,
    proxies: IndexedVec<ProxyIndex, Proxy>,
    network: Network,
    attempts: IndexedVec<AttemptIndex, Attempt>,
    backends: IndexedVec<BackendIndex, Backend>,
    discovery: DiscoveryService,
    drain_rule: DrainRule,
    slow_start: SlowStartMonitor,
    /// The true state of the fleet at the current time.
    true_state: TrueState,
    /// The true state as of the last snapshot, for policies that see it with a delay.
    delayed_state: TrueState,
    recorder: Recorder,
    /// Seeds of the policies.
    policy_seeds: RandomStream,
    /// Random numbers of clients, backends and faults.
    random: RandomStream,
    /// Reused for each delivery to a policy.
    actions: Vec<Action>,
}

impl<'a> Simulation<'a> {
    fn new(workload: &'a Workload, policy_factory: &'a PolicyFactory<'a>) -> Self {
        let backends: IndexedVec<BackendIndex, Backend> =
            workload.machines.iter().cloned().map(Backend::new).collect();
        let entry = |(index, backend)| endpoint(index, backend, EndpointState::Up);
        let list: Vec<Endpoint> = backends.enumerate().map(entry).collect();
        let mut policy_seeds = RandomStream::new(workload.seed, "proxies");
        let proxies = workload.proxies.enumerate().map(|(index, site)| Proxy {
            zone: site.zone,
            front_weight: site.front_weight,
            up: true,
            incarnation: 0,
            crashed_at: f64::NEG_INFINITY,
            draining: false,
            policy: policy_factory(index, policy_seeds.seed()),
            idle_connections: FxHashMap::default(),
            cached_list: list.clone(),
            known_starts: FxHashMap::default(),
        });
        let proxies = proxies.collect();
        let mut simulation = Simulation {
            workload,
            policy_factory,
            events: EventQueue::default(),
            clients: Clients::new(workload),
            quotas: TenantQuotas::new(&workload.tenant_quotas),
            front: Front::new(workload.front_detection_delay),
            proxies,
            network: Network::new(workload),
            attempts: IndexedVec::default(),
            backends,
            discovery: DiscoveryService::new(discovery_parameters(workload), list, workload.seed),
            drain_rule: DrainRule::new(workload.proxies.len(), workload.scenario.discovery.pushed),
            slow_start: SlowStartMonitor::default(),
            true_state: TrueState::default(),
            delayed_state: TrueState::default(),
            recorder: Recorder::default(),
            policy_seeds,
            random: RandomStream::new(workload.seed, "chance"),
            actions: Vec::new(),
        };
        simulation.rebuild_true_state();
        simulation.delayed_state = simulation.true_state.clone();
        simulation
    }

    fn now(&self) -> Millis {
        self.events.now()
    }

    fn run(&mut self) {
        for proxy in self.proxies.indices() {
            self.deliver_cached_list(proxy);
        }
        self.schedule_workload();
        let end = self.workload.duration + RUN_EXTENSION;
        while let Some(event) = self.events.next_until(end) {
            self.handle(event);
        }
        self.record_totals();
        self.finish_open_requests();
    }

    fn schedule_workload(&mut self) {
        let first = RequestIndex(0);
        if let Some(request) = self.workload.requests.get(first) {
            self.events.schedule_at(request.arrives_at, Event::RequestArrives(first));
        }
        for (index, fault) in self.workload.faults.enumerate() {
            self.events.schedule_at(fault.start, Event::FaultStarts(index));
            if fault.end > fault.start {
                self.events.schedule_at(fault.end, Event::FaultEnds(index));
            }
        }
        let push_interval = self.workload.scenario.discovery.push_interval_ms;
        self.events.schedule_at(push_interval, Event::DiscoveryStep(Step::Push));
        self.events.schedule_at(SNAPSHOT_INTERVAL, Event::SnapshotDue);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrives(request) => self.request_arrives(request),
            Event::RetryDue(request) => self.start_attempt(request),
            Event::ReachesProxy(attempt) => self.reaches_proxy(attempt),
            Event::ClientGivesUp(attempt) => self.client_gives_up(attempt),
            Event::ReachesClient(attempt, response) => self.reaches_client(attempt, response),
            Event::Timer { proxy, incarnation, token } => {
                if self.is_running(proxy, incarnation) {
                    self.deliver(proxy, ProxyEvent::Timer(token));
                }
            }
            Event::ReachesBackend(attempt) => self.reaches_backend(attempt),
            Event::BackendCompletes { backend, generation } => self.backend_completes(backend, generation),
            Event::AttemptEnded(attempt, outcome) => self.attempt_ended(attempt, outcome),
            Event::Gossip { from, bytes } => self.gossip_arrives(from, &bytes),
            Event::DiscoveryStep(step) => self.discovery_step(step),
            Event::DiscoveryRead { connection, event } => self.discovery_read(connection, event),
            Event::DiscoveryUpdate(entry) => self.discovery_update(entry),
            Event::SnapshotDue => {
                self.take_snapshot();
                self.events.schedule_after(SNAPSHOT_INTERVAL, Event::SnapshotDue);
            }
            Event::FaultStarts(fault) => self.fault_starts(fault),
            Event::FaultEnds(fault) => self.fault_ends(fault),
            Event::ProxyDrains(proxy) => self.proxy_drains(proxy),
            Event::ProxyStops(proxy) => self.proxy_stops(proxy),
            Event::ProxyRecovers(proxy) => self.proxy_recovers(proxy),
            Event::BackendReplaced(backend) => self.backend_replaced(backend),
            Event::BackendDrains(backend) => self.announce(backend, EndpointState::Draining),
            Event::BackendRemoved(backend) => self.backend_removed(backend),
            Event::BackendRestarts(backend) => self.backend_restarts(backend),
        }
    }

    /// Records the totals that are only known at the end of the run.
    fn record_totals(&mut self) {
        let cores: f64 = self.workload.machines.iter().map(|machine| machine.cores).sum();
        let busy_core_time: f64 = self.backends.iter().map(|backend| backend.busy_core_time).sum();
        let calls = self.discovery.counts();
        let counters = &mut self.recorder.counters;
        counters.utilisation = busy_core_time / (cores * self.workload.duration);
        counters.discovery_calls = calls.calls;
        counters.discovery_calls_failed = calls.failed;
        self.recorder.slow_start = self.slow_start.report();
    }
}
