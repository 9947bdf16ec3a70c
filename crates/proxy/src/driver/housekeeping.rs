//! Periodic work of the driver: updates gauges, closes idle connections, sets readiness, maintains the handover file
//! and logs statistics.

use std::time::Duration;

use leadrelay_core::Event;
use tokio::time::Instant;
use tracing::info;

use super::Driver;

/// Interval between updates of the gauges, and between checks of the handover file.
const GAUGE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between sweeps of idle connections, and between saves of the handover file.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between log events with the statistics.
const STATS_INTERVAL: Duration = Duration::from_secs(5);
/// With a cached endpoint list, the proxy is ready this long after its start even if discovery has not responded.
const CACHED_LIST_READY_DELAY: Duration = Duration::from_millis(500);
/// Without a cached endpoint list, the proxy is ready this long after its start and rejects requests until discovery
/// responds. A proxy that never became ready would look like one that fails to start.
const NO_LIST_READY_DELAY: Duration = Duration::from_secs(5);

/// When each kind of periodic work is due next.
pub struct Schedule {
    started_at: Instant,
    gauges_due_at: Instant,
    sweep_due_at: Instant,
    stats_due_at: Instant,
}

impl Schedule {
    /// Creates the schedule of a driver that starts now.
    pub fn new() -> Self {
        let started_at = Instant::now();
        Schedule {
            started_at,
            gauges_due_at: started_at,
            sweep_due_at: started_at + SWEEP_INTERVAL,
            stats_due_at: started_at + STATS_INTERVAL,
        }
    }

    /// When the next periodic work is due. Statistics are logged only during a sweep, so their due time does not count.
    pub fn next_due_at(&self) -> Instant {
        self.sweep_due_at.min(self.gauges_due_at)
    }
}

impl Driver {
    /// Performs the periodic work that is due.
    pub(super) fn housekeeping(&mut self, schedule: &mut Schedule, now: Instant) {
        if now >= schedule.gauges_due_at {
            self.clock.check_wall_clock();
            self.correct_start_times();
            self.update_gauges();
            self.parts.upstreams.close_expired();
            self.become_ready_without_discovery(schedule.started_at);
            self.sync_with_handover_file();
            schedule.gauges_due_at = now + GAUGE_INTERVAL;
        }
        if now >= schedule.sweep_due_at {
            self.parts.upstreams.sweep();
            self.maintain_handover_file();
            schedule.sweep_due_at = now + SWEEP_INTERVAL;
            if now >= schedule.stats_due_at {
                self.stats.log_and_reset(&self.parts.metrics, self.list_status.age());
                schedule.stats_due_at = now + STATS_INTERVAL;
            }
        }
    }

    /// Becomes ready although discovery has not sent a list, if the process has waited long enough for it.
    fn become_ready_without_discovery(&mut self, started_at: Instant) {
        let delay = match self.list_status.has_cached_list {
            true => CACHED_LIST_READY_DELAY,
            false => NO_LIST_READY_DELAY,
        };
        if started_at.elapsed() >= delay {
            self.become_ready();
        }
    }

    /// Corrects start times after a step of the wall clock. Endpoints listed while the wall clock was wrong may have
    /// started later than their entries suggested.
    fn correct_start_times(&mut self) {
        let corrected = self.endpoints.correct_start_times(&self.clock);
        if !corrected.is_empty() {
            info!(endpoints = corrected.len(), "start times corrected after a step of the wall clock");
            self.handle(Event::StartTimes(corrected));
        }
    }

    fn update_gauges(&self) {
        let now = self.clock.to_millis(Instant::now());
        self.parts.metrics.set_gauges(&self.balancer.gauges(now));
    }
}
