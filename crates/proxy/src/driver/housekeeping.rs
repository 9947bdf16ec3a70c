//! Periodic work: gauges, idle connections, the handover, the summary in the log.

use std::time::Duration;

use tokio::time::Instant;

use super::Driver;

/// Between looks at idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// Between counts of the listed backends.
const GAUGE_PERIOD: Duration = Duration::from_millis(100);
/// Between lines that sum up what was done.
const TALLY_PERIOD: Duration = Duration::from_secs(5);
/// If discovery has said nothing this long after the start, the remembered list is served from.
const REMEMBERED_LIST_WAIT: Duration = Duration::from_millis(500);
/// Without a remembered list that names a backend in use, the proxy serves without one this long after the start. Until
/// discovery is back it refuses what comes; a proxy that does not answer would pass for one that never starts.
const NO_LIST_WAIT: Duration = Duration::from_secs(5);

/// When each periodic work is due next.
pub struct Schedule {
    started: Instant,
    gauge_at: Instant,
    sweep_at: Instant,
    tally_at: Instant,
}

impl Schedule {
    pub fn new() -> Self {
        let started = Instant::now();
        Schedule {
            started,
            gauge_at: started,
            sweep_at: started + SWEEP_PERIOD,
            tally_at: started + TALLY_PERIOD,
        }
    }

    /// When to wake up at the latest; the summary is due at a sweep only.
    pub fn next(&self) -> Instant {
        self.sweep_at.min(self.gauge_at)
    }
}

impl Driver {
    /// Does the periodic work that is due.
    pub(super) fn keep_house(&mut self, schedule: &mut Schedule, now: Instant) {
        if now >= schedule.gauge_at {
            self.clock.follow_wall_clock();
            self.update_gauges();
            self.parts.upstreams.close_expired();
            let wait = if self.has_remembered_list { REMEMBERED_LIST_WAIT } else { NO_LIST_WAIT };
            if schedule.started.elapsed() >= wait {
                self.serve();
            }
            self.follow_handover();
            schedule.gauge_at = now + GAUGE_PERIOD;
        }
        if now >= schedule.sweep_at {
            self.parts.upstreams.sweep();
            self.look_at_handover();
            schedule.sweep_at = now + SWEEP_PERIOD;
            if now >= schedule.tally_at {
                self.tally.log(&self.parts.metrics, self.last_news.elapsed());
                schedule.tally_at = now + TALLY_PERIOD;
            }
        }
    }

    fn update_gauges(&self) {
        self.parts.metrics.gauge(&self.balancer.gauges(self.clock.at(Instant::now())));
    }
}
