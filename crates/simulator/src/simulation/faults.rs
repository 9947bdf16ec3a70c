//! Injects the faults of the workload.

use leadrelay_core::Millis;

use super::Simulation;
use super::event::Event;
use super::front::TrafficSkew;
use crate::index::{BackendIndex, FaultIndex, Index, ProxyIndex, ZoneIndex};
use crate::random::RandomStream;
use crate::scenario::FaultKind;
use crate::time::MS_PER_S;
use crate::workload::Fault;

/// Time between the start of the graceful shutdown of a proxy and the stop of its process.
const PROXY_DRAIN_PERIOD: Millis = 1500.0;
/// Maximum fraction by which the downtime of a killed proxy exceeds the magnitude of the fault.
const RECOVERY_SPREAD: f64 = 0.2;
/// Maximum fraction of the total traffic that the proxies of a traffic skew receive.
const MAX_SKEW: f64 = 0.95;
/// The zone that a zone outage affects.
const FAILED_ZONE: ZoneIndex = ZoneIndex(0);

impl Simulation<'_> {
    pub(super) fn fault_starts(&mut self, index: FaultIndex) {
        let workload = self.workload;
        let fault = &workload.faults[index];
        match fault.kind {
            FaultKind::KillProxies => self.kill_proxies(index, fault),
            FaultKind::RollProxies => self.roll_proxies(fault),
            FaultKind::ReplaceBackends => self.replace_backends(index, fault),
            FaultKind::LoseZone => self.lose_zone(fault),
            FaultKind::CutZone => {
                let last_zone = ZoneIndex(workload.scenario.zones.len() - 1);
                self.network.partition(last_zone);
            }
            FaultKind::SilentBackends | FaultKind::FailingBackends | FaultKind::SlowBackends => {
                self.set_backend_fault(index, fault, true);
            }
            FaultKind::HotProxies => self.skew_traffic(index, fault),
            FaultKind::DiscoveryDown => {
                self.with_discovery(|service, now, effects| service.start_outage(now, effects));
            }
            FaultKind::MoveDiscovery => self.move_discovery(),
            FaultKind::SilentWatches => {
                let proxies = self.affected_proxies(index, fault);
                self.stall_watches(&proxies);
            }
            FaultKind::BreakWatches => {
                let proxies = self.affected_proxies(index, fault);
                self.reset_watches(&proxies);
            }
            FaultKind::DrainBackends => self.drain_backends(index, fault),
            // Bursts take effect when the requests of the workload are sampled.
            FaultKind::Burst | FaultKind::TenantBurst => {}
        }
    }

    pub(super) fn fault_ends(&mut self, index: FaultIndex) {
        let fault = &self.workload.faults[index];
        match fault.kind {
            FaultKind::CutZone => self.network.end_partition(),
            FaultKind::SilentBackends | FaultKind::FailingBackends | FaultKind::SlowBackends => {
                self.set_backend_fault(index, fault, false);
            }
            FaultKind::HotProxies => self.front.set_skew(None),
            FaultKind::DiscoveryDown => {
                self.with_discovery(|service, now, effects| service.end_outage(now, effects));
            }
            _ => {}
        }
    }

    /// Creates the random stream of a fault.
    fn fault_random(&self, index: FaultIndex) -> RandomStream {
        RandomStream::new(self.workload.seed, &format!("fault {index}"))
    }

    /// Samples the targets of a fault among `count` possible ones, with a random stream that only this fault uses.
    fn affected<I: Index>(&self, index: FaultIndex, fault: &Fault, count: usize) -> Vec<I> {
        let mut random = self.fault_random(index);
        let affected = fault.affected(count);
        let mut targets: Vec<usize> = (0..count).collect();
        for position in 0..affected.min(count) {
            let other = position + random.uniform_below(count - position);
            targets.swap(position, other);
        }
        targets.truncate(affected);
        targets.into_iter().map(I::new).collect()
    }

    fn affected_proxies(&self, index: FaultIndex, fault: &Fault) -> Vec<ProxyIndex> {
        self.affected(index, fault, self.proxies.len())
    }

    /// Samples the backends that a fault affects. Backends that replaced others during the run are excluded.
    fn affected_backends(&self, index: FaultIndex, fault: &Fault) -> Vec<BackendIndex> {
        self.affected(index, fault, self.workload.machines.len())
    }

    fn kill_proxies(&mut self, index: FaultIndex, fault: &Fault) {
        for proxy in self.affected_proxies(index, fault) {
            self.proxy_stops(proxy);
            let spread = 1.0 + RECOVERY_SPREAD * self.random.uniform();
            let downtime = fault.magnitude * MS_PER_S * spread;
            self.events.schedule_after(downtime, Event::ProxyRecovers(proxy));
        }
    }

    fn roll_proxies(&mut self, fault: &Fault) {
        let count = self.proxies.len() as f64;
        let downtime = fault.magnitude * MS_PER_S;
        for proxy in self.proxies.indices() {
            let at = evenly_spaced(fault, proxy.0, count);
            let stops_at = at + PROXY_DRAIN_PERIOD;
            self.events.schedule_at(at, Event::ProxyDrains(proxy));
            self.events.schedule_at(stops_at, Event::ProxyStops(proxy));
            self.events.schedule_at(stops_at + downtime, Event::ProxyRecovers(proxy));
        }
    }

    /// Returns the backends that a fault affects one after another, each with its time.
    fn affected_backends_in_turn(&self, index: FaultIndex, fault: &Fault) -> Vec<(Millis, BackendIndex)> {
        let backends = self.affected_backends(index, fault);
        let count = backends.len().max(1) as f64;
        let at = |position| evenly_spaced(fault, position, count);
        backends.into_iter().enumerate().map(|(position, backend)| (at(position), backend)).collect()
    }

    fn replace_backends(&mut self, index: FaultIndex, fault: &Fault) {
        for (at, backend) in self.affected_backends_in_turn(index, fault) {
            self.events.schedule_at(at, Event::BackendReplaced(backend));
        }
    }

    fn lose_zone(&mut self, fault: &Fault) {
        let workload = self.workload;
        for (backend, machine) in workload.machines.enumerate() {
            if machine.zone == FAILED_ZONE {
                self.backend_stops(backend);
                self.events.schedule_at(fault.end, Event::BackendRestarts(backend));
            }
        }
    }

    fn drain_backends(&mut self, index: FaultIndex, fault: &Fault) {
        for (at, backend) in self.affected_backends_in_turn(index, fault) {
            self.events.schedule_at(at, Event::BackendDrains(backend));
            if fault.magnitude > 0.0 {
                let stops_at = at + fault.magnitude * MS_PER_S;
                self.events.schedule_at(stops_at, Event::BackendRemoved(backend));
            }
        }
    }

    /// Starts or ends a fault of backends.
    fn set_backend_fault(&mut self, index: FaultIndex, fault: &Fault, active: bool) {
        for affected in self.affected_backends(index, fault) {
            let backend = &mut self.backends[affected];
            match fault.kind {
                FaultKind::SilentBackends => backend.unresponsive = active,
                FaultKind::FailingBackends => {
                    backend.failure_rate = if active { fault.magnitude.min(1.0) } else { 0.0 };
                }
                _ => backend.slowdown = if active { fault.magnitude.max(1.0) } else { 1.0 },
            }
            backend.generation += 1;
            self.backend_changed(affected);
        }
    }

    fn skew_traffic(&mut self, index: FaultIndex, fault: &Fault) {
        let proxies = self.proxies.len();
        let first = ProxyIndex(self.fault_random(index).uniform_below(proxies));
        let count = fault.affected(proxies).clamp(1, proxies);
        let fraction = fault.magnitude.min(MAX_SKEW);
        self.front.set_skew(Some(TrafficSkew { first, count, fraction }));
    }
}

/// Returns the time for the target at a position when `count` targets are spread evenly over the duration of a fault.
fn evenly_spaced(fault: &Fault, position: usize, count: f64) -> Millis {
    fault.start + (fault.end - fault.start) * position as f64 / count
}
