//! An upgrade of this proxy: what this process takes over from a predecessor, follows of an overlapping process, and
//! writes for a successor. [`SharedState`] is what is written.

use std::sync::atomic::Ordering::Relaxed;

use leadrelay_core::{DiscoveryEvent, EndpointId, Event, ListScope};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::{info, warn};

use super::Driver;
use super::clock::Clock;
use crate::classes::Classes;
use crate::handover::{ConversionContext, LearnedRecord, SharedState};

impl Driver {
    /// Starts with what a predecessor has left.
    pub fn take_over(&mut self, shared: SharedState) {
        self.follow_operators(&shared);
        self.handle(Event::Discovery(DiscoveryEvent::TakeoverStarted));
        let SharedState { endpoints, learned, .. } = shared;
        if !endpoints.is_empty() {
            self.apply_list(ListScope::Cached, endpoints);
        }
        let classes = self.parts.classes.borrow();
        let context = conversion_context(&classes, &self.names.machine_classes, &self.clock);
        self.balancer.restore(learned.to_learned(&context));
    }

    /// Checks whether the other process of this proxy still runs, and saves what a successor needs.
    pub(super) fn check_handover(&mut self) {
        let Some(handover) = self.parts.handover.clone() else { return };
        handover.check_processes();
        self.follow_handover();
        if handover.is_owner() {
            self.save();
        }
    }

    /// Follows what the other process of this proxy writes.
    pub(super) fn follow_handover(&mut self) {
        let Some(handover) = self.parts.handover.clone() else { return };
        handover.write_pending();
        if let Some(shared) = handover.read_if_replaced() {
            self.follow_operators(&shared);
        }
        let overlapping = handover.has_overlap();
        if self.overlapping_process != overlapping {
            self.overlapping_process = overlapping;
            info!(overlapping, "overlapping process of this proxy started or ended");
            self.handle(Event::OverlappingProcess(overlapping));
        }
    }

    /// Records an operator's change for the other process, if there may be one, and replies then.
    pub(super) fn record_for_successor(
        &self, reply: oneshot::Sender<bool>, change: impl Fn(&mut SharedState) + 'static,
    ) {
        match &self.parts.handover {
            Some(handover) => handover.record(change, reply),
            None => drop(reply.send(true)), // the caller may have disconnected
        }
    }

    /// Writes what a successor needs; what can't be written now is part of the next save.
    fn save(&self) {
        let Some(handover) = &self.parts.handover else { return };
        let ever_listed = self.endpoints.ever_listed().map(|id| id.0).collect();
        let endpoints = self.endpoints.listed().cloned().collect();
        let learned = self.learned_record();
        let written = handover.update(|shared| {
            shared.ever_listed = ever_listed;
            shared.endpoints = endpoints;
            shared.learned = learned;
        });
        if let Err(error) = written {
            warn!(%error, "handover file not written");
        }
    }

    fn learned_record(&self) -> LearnedRecord {
        let learned = self.balancer.learned_state();
        let classes = self.parts.classes.borrow();
        let context = conversion_context(&classes, &self.names.machine_classes, &self.clock);
        LearnedRecord::from_learned(learned, &context)
    }

    /// From here on the process is ready to serve. That is written before it is said, unless the file is locked.
    pub(super) fn become_ready(&mut self) {
        if self.parts.handover.as_ref().is_some_and(|handover| handover.set_serving()) {
            self.save();
        }
        self.parts.metrics.ready.store(true, Relaxed);
    }

    /// Applies the operators' commands that the other process has recorded.
    fn follow_operators(&mut self, shared: &SharedState) {
        self.set_drained(shared.drained);
        for id in &shared.ever_listed {
            self.endpoints.remember(EndpointId(*id));
        }
        let before = self.balancer.endpoints_in_maintenance();
        for id in before.iter().filter(|id| !shared.in_maintenance.contains(&id.0)) {
            self.set_maintenance(*id, false);
        }
        let recorded = shared.in_maintenance.iter().map(|id| EndpointId(*id));
        for id in recorded.filter(|id| !before.contains(id)) {
            self.set_maintenance(id, true);
        }
    }
}

fn conversion_context<'a>(
    classes: &'a Classes, machine_classes: &'a [String], clock: &Clock,
) -> ConversionContext<'a> {
    ConversionContext {
        classes: classes.offered().collect(),
        machine_classes,
        now: clock.at(Instant::now()),
        wall_clock_offset: clock.offset(),
    }
}
