//! What this process and the one before or after it need of each other, during an upgrade.

use std::sync::atomic::Ordering::Relaxed;

use leadrelay_core::{
    DiscoveryEvent, EndpointId, Event, LearnedState, ListScope, MachineClassState, MaintenanceReturn, Millis,
    WeightedMean,
};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::{info, warn};

use super::Driver;
use crate::handover::{MeanRecord, SharedState, Speeds};

impl Driver {
    /// Begins with what a predecessor has left.
    pub fn resume(&mut self, shared: SharedState) {
        self.follow(&shared);
        self.handle(Event::Discovery(DiscoveryEvent::TakeoverStarted));
        let SharedState { hosts, speeds, .. } = shared;
        if !hosts.is_empty() {
            self.apply_list(ListScope::Cached, hosts);
        }
        let own = |id: &u64| EndpointId(*id);
        let back = self.back_from_maintenance(&speeds);
        let classes = self.parts.classes.borrow();
        let class = |(name, _)| mean(speeds.classes.get(name).copied().unwrap_or_default());
        let kind = |name: &str| machine_class(speeds.kinds.get(name).copied().unwrap_or_default());
        let kinds = std::iter::once("").chain(self.names.machine_classes.iter().map(String::as_str));
        self.balancer.restore(LearnedState {
            endpoints: speeds.servers.iter().map(|(id, slow)| (own(id), mean(*slow))).collect(),
            classes: classes.offered().map(class).collect(),
            machine_classes: kinds.map(kind).collect(),
            maintenance_returns: back,
        });
    }

    /// Servers that a predecessor took back from maintenance. What has passed since it wrote that is not known for sure:
    /// taken for none, they count as a little colder than they are.
    fn back_from_maintenance(&self, speeds: &Speeds) -> Vec<MaintenanceReturn> {
        let (now, offset) = (self.clock.at(Instant::now()), self.clock.offset());
        if speeds.back_ages.is_empty() {
            return speeds
                .back
                .iter()
                .map(|(id, away, back)| returned(*id, away - offset, back - offset))
                .collect();
        }
        speeds.back_ages.iter().map(|(id, away, back)| returned(*id, now - away, now - back)).collect()
    }

    /// Looks whether the other process of this proxy still runs, and keeps what it needs written down.
    pub(super) fn look_at_handover(&mut self) {
        let Some(handover) = self.parts.handover.clone() else { return };
        handover.look();
        self.follow_handover();
        if handover.owner() {
            self.save();
        }
    }

    /// Keeps up with the other process of this proxy.
    pub(super) fn follow_handover(&mut self) {
        let Some(handover) = self.parts.handover.clone() else { return };
        handover.settle();
        if let Some(shared) = handover.news() {
            self.follow(&shared);
        }
        if self.twin != handover.twin() {
            self.twin = handover.twin();
            info!(twin = self.twin, "another process of this proxy has come or gone");
            self.handle(Event::OverlappingProcess(self.twin));
        }
    }

    /// Writes down for the other process, if there may be one, what an order has changed, and answers then.
    pub(super) fn hand_on(&self, done: oneshot::Sender<bool>, change: impl Fn(&mut SharedState) + 'static) {
        match &self.parts.handover {
            Some(handover) => handover.order(change, done),
            None => drop(done.send(true)), // a caller that has left needs no answer
        }
    }

    /// Writes down what a successor needs; what can't be now will be the next time.
    fn save(&self) {
        let Some(handover) = &self.parts.handover else { return };
        let listed = self.backends.ever_listed().map(|id| id.0).collect();
        let (hosts, speeds) = (self.backends.hosts().cloned().collect(), self.speeds());
        let done =
            handover.update(|shared| (shared.listed, shared.hosts, shared.speeds) = (listed, hosts, speeds));
        if let Err(e) = done {
            warn!(error = %e, "the handover could not be written");
        }
    }

    /// From here on the process can serve. That is written down before it is said, unless the handover is locked.
    pub(super) fn serve(&mut self) {
        if self.parts.handover.as_ref().is_some_and(|h| h.serves()) {
            self.save();
        }
        self.parts.metrics.ready.store(true, Relaxed);
    }

    /// What the other process was ordered holds here too.
    fn follow(&mut self, shared: &SharedState) {
        self.drain(shared.drained);
        shared.listed.iter().for_each(|id| self.backends.note_listed(EndpointId(*id)));
        let held = self.balancer.endpoints_in_maintenance();
        let lifted = held.iter().filter(|id| !shared.bans.contains(&id.0));
        lifted.for_each(|id| self.ban(*id, false));
        let new = shared.bans.iter().map(|id| EndpointId(*id)).filter(|id| !held.contains(id));
        new.for_each(|id| self.ban(id, true));
    }

    /// What the balancer has learnt, as the file holds it.
    fn speeds(&self) -> Speeds {
        let learnt = self.balancer.learned_state();
        let classes = self.parts.classes.borrow();
        let class = |(name, id): (&str, usize)| Some((name.to_owned(), record(*learnt.classes.get(id)?)));
        let (now, offset) = (self.clock.at(Instant::now()), self.clock.offset());
        let back_ages = learnt
            .maintenance_returns
            .iter()
            .map(|r| (r.endpoint.0, now - r.out_at, now - r.back_at))
            .collect();
        let kinds = std::iter::once("").chain(self.names.machine_classes.iter().map(String::as_str));
        let kinds = kinds.map(str::to_owned).zip(learnt.machine_classes);
        Speeds {
            servers: learnt.endpoints.into_iter().map(|(id, slow)| (id.0, record(slow))).collect(),
            classes: classes.offered().filter_map(class).collect(),
            // What has not been measured is infinite, which the file's form can't say.
            kinds: kinds
                .filter(|(_, class)| class.baseline.is_finite())
                .map(|(name, class)| {
                    (name, (record(class.relative_latency), class.baseline, class.concurrency_factor))
                })
                .collect(),
            back: learnt
                .maintenance_returns
                .into_iter()
                .map(|r| (r.endpoint.0, r.out_at + offset, r.back_at + offset))
                .collect(),
            back_ages,
        }
    }
}

fn mean((value, weight): MeanRecord) -> WeightedMean {
    WeightedMean { value, weight }
}

fn record(mean: WeightedMean) -> MeanRecord {
    (mean.value, mean.weight)
}

fn machine_class(
    (relative_latency, baseline, concurrency_factor): (MeanRecord, f64, f64),
) -> MachineClassState {
    MachineClassState { relative_latency: mean(relative_latency), baseline, concurrency_factor }
}

fn returned(id: u64, out_at: Millis, back_at: Millis) -> MaintenanceReturn {
    MaintenanceReturn { endpoint: EndpointId(id), out_at, back_at }
}
