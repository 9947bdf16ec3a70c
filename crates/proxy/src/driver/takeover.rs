//! Upgrades of this proxy: restores state from a predecessor process, applies changes that an overlapping process has
//! recorded, and saves state for a successor. [`SharedState`] is the state that the handover file holds.

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
    /// Restores the state that a predecessor process has saved.
    pub fn take_over(&mut self, shared: SharedState) {
        self.apply_operator_commands(&shared);
        self.handle(Event::Discovery(DiscoveryEvent::TakeoverStarted));
        let SharedState { endpoints, learned, .. } = shared;
        if !endpoints.is_empty() {
            self.apply_list(ListScope::Cached, endpoints);
        }
        let classes = self.parts.classes.borrow();
        let context = conversion_context(&classes, &self.names.machine_classes, &self.clock);
        self.balancer.restore(learned.to_learned(&context));
    }

    /// Checks whether the other process of this proxy still runs. Saves the state for a successor if this process
    /// started last among those that serve.
    pub(super) fn maintain_handover_file(&mut self) {
        let Some(handover) = self.parts.handover.clone() else { return };
        handover.check_processes();
        self.sync_with_handover_file();
        if handover.is_latest_serving() {
            self.save();
        }
    }

    /// Writes pending changes to the handover file and applies changes that the other process of this proxy has
    /// written.
    pub(super) fn sync_with_handover_file(&mut self) {
        let Some(handover) = self.parts.handover.clone() else { return };
        handover.write_pending();
        if let Some(shared) = handover.read_if_replaced() {
            self.apply_operator_commands(&shared);
        }
        let overlapping = handover.has_overlap();
        if self.has_overlapping_process != overlapping {
            self.has_overlapping_process = overlapping;
            info!(overlapping, "overlapping process of this proxy started or ended");
            self.handle(Event::OverlappingProcess(overlapping));
        }
    }

    /// Records a change by an operator in the handover file, if there is one, and replies once that is done.
    pub(super) fn record_for_successor(
        &self, reply: oneshot::Sender<bool>, change: impl Fn(&mut SharedState) + 'static,
    ) {
        match &self.parts.handover {
            Some(handover) => handover.record_change(change, reply),
            None => drop(reply.send(true)), // the caller may have disconnected
        }
    }

    /// Writes the state that a successor needs. If that fails, the next save writes it.
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

    /// Marks the process as ready to serve. The handover file records this before the readiness checks report it,
    /// unless the file is locked.
    pub(super) fn become_ready(&mut self) {
        if self.parts.handover.as_ref().is_some_and(|handover| handover.set_serving()) {
            self.save();
        }
        self.parts.metrics.ready.store(true, Relaxed);
    }

    /// Applies the operators' commands that the other process has recorded.
    fn apply_operator_commands(&mut self, shared: &SharedState) {
        self.set_drained(shared.drained);
        for id in &shared.ever_listed {
            self.endpoints.remember(EndpointId(*id));
        }
        let current = self.balancer.endpoints_in_maintenance();
        for id in current.iter().filter(|id| !shared.in_maintenance.contains(&id.0)) {
            self.set_maintenance(*id, false);
        }
        let recorded = shared.in_maintenance.iter().map(|id| EndpointId(*id));
        for id in recorded.filter(|id| !current.contains(id)) {
            self.set_maintenance(id, true);
        }
    }
}

fn conversion_context<'a>(
    classes: &'a Classes, machine_classes: &'a [String], clock: &Clock,
) -> ConversionContext<'a> {
    ConversionContext {
        classes: classes.configured_classes().collect(),
        machine_classes,
        now: clock.to_millis(Instant::now()),
        wall_clock_offset: clock.wall_clock_offset(),
    }
}
