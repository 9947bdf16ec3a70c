//! Periodic work: gauges, idle connections, readiness, the handover file, the statistics in the log.

use std::time::Duration;

use leadrelay_core::Event;
use tokio::time::Instant;
use tracing::info;

use super::Driver;

/// Interval between updates of the gauges and looks at the handover file.
const GAUGE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between sweeps of idle connections and saves of the handover file.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between log events with the statistics.
const STATS_INTERVAL: Duration = Duration::from_secs(5);
/// With a cached endpoint list, the proxy is ready this long after its start even if discovery has not responded.
const CACHED_LIST_READY_DELAY: Duration = Duration::from_millis(500);
/// Without a cached endpoint list, the proxy is ready this long after its start and rejects requests until discovery
/// responds: a proxy that never gets ready would be taken for one that does not start.
const NO_LIST_READY_DELAY: Duration = Duration::from_secs(5);

/// When each kind of periodic work is due next.
pub struct Schedule {
    started_at: Instant,
    gauges_due_at: Instant,
    sweep_due_at: Instant,
    stats_due_at: Instant,
}

impl Schedule {
    /// The schedule of a driver that starts now.
    pub fn new() -> Self {
        let started_at = Instant::now();
        Schedule {
            started_at,
            gauges_due_at: started_at,
            sweep_due_at: started_at + SWEEP_INTERVAL,
            stats_due_at: started_at + STATS_INTERVAL,
        }
    }

    /// When the next work is due. The statistics are logged at a sweep only.
    pub fn next_due_at(&self) -> Instant {
        self.sweep_due_at.min(self.gauges_due_at)
    }
}

impl Driver {
    /// Does the periodic work that is due.
    pub(super) fn housekeeping(&mut self, schedule: &mut Schedule, now: Instant) {
        if now >= schedule.gauges_due_at {
            self.clock.follow_wall_clock();
            self.correct_start_times();
            self.update_gauges();
            self.parts.upstreams.close_expired();
            self.become_ready_without_discovery(schedule.started_at);
            self.follow_handover();
            schedule.gauges_due_at = now + GAUGE_INTERVAL;
        }
        if now >= schedule.sweep_due_at {
            self.parts.upstreams.sweep();
            self.check_handover();
            schedule.sweep_due_at = now + SWEEP_INTERVAL;
            if now >= schedule.stats_due_at {
                self.stats.log_and_reset(&self.parts.metrics, self.list_status.age());
                schedule.stats_due_at = now + STATS_INTERVAL;
            }
        }
    }

    fn become_ready_without_discovery(&mut self, started_at: Instant) {
        let delay = match self.list_status.has_cached {
            true => CACHED_LIST_READY_DELAY,
            false => NO_LIST_READY_DELAY,
        };
        if started_at.elapsed() >= delay {
            self.become_ready();
        }
    }

    /// What was listed while the wall clock was wrong may have started later than it seemed.
    fn correct_start_times(&mut self) {
        let starts = self.endpoints.correct_start_times(&self.clock);
        if !starts.is_empty() {
            info!(endpoints = starts.len(), "start times corrected after a step of the wall clock");
            self.handle(Event::StartTimes(starts));
        }
    }

    fn update_gauges(&self) {
        let now = self.clock.at(Instant::now());
        self.parts.metrics.set_gauges(&self.balancer.gauges(now));
    }
}
