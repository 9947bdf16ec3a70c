//! The history with the lookups that several checks need.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{EXIT_TIMEOUT, NOTIFICATION_TIMEOUT};
use crate::history::{Attempt, History, OutOfService, ProcessEvent, ProcessRecord};
use crate::settings::MAX_DEADLINE;

/// Maximum error of a measured time while this process is not delayed by the scheduler.
const MEASUREMENT_ERROR: Duration = Duration::from_millis(60);
/// A scheduling delay of this process affects times that were measured less than this before or after it.
const DELAY_RANGE: Duration = Duration::from_secs(1);

/// The input of the checks.
pub(super) struct Evidence<'a> {
    pub(super) history: &'a History,
    /// The cell of each backend.
    pub(super) cells: Vec<usize>,
    attempts_by_request: HashMap<&'a str, Vec<&'a Attempt>>,
}

impl<'a> Evidence<'a> {
    pub(super) fn new(history: &'a History, cells: Vec<usize>) -> Self {
        let mut attempts_by_request: HashMap<&str, Vec<&Attempt>> = HashMap::new();
        for attempt in &history.attempts {
            attempts_by_request.entry(&attempt.request_id).or_default().push(attempt);
        }
        Evidence { history, cells, attempts_by_request }
    }

    /// The attempts of a request, in the order in which they reached backends.
    pub(super) fn attempts(&self, request_id: &str) -> &[&'a Attempt] {
        self.attempts_by_request.get(request_id).map_or(&[], Vec::as_slice)
    }

    /// Maximum error of a time that was measured around the given time.
    pub(super) fn tolerance(&self, at: Instant) -> Duration {
        let is_near = |other: Instant| other.max(at) - other.min(at) < DELAY_RANGE;
        let delays = self.history.scheduling_delays.iter().filter(|delay| is_near(delay.at));
        MEASUREMENT_ERROR + delays.map(|delay| delay.delay).max().unwrap_or_default()
    }

    fn process_records(&self, proxy: usize) -> impl Iterator<Item = &ProcessRecord> {
        self.history.processes.iter().filter(move |record| record.proxy == proxy)
    }

    /// Whether a proxy was killed within a period, so that the loss of its requests is allowed.
    pub(super) fn killed_within(&self, proxy: usize, from: Instant, to: Instant) -> bool {
        let mut records = self.process_records(proxy);
        records.any(|record| record.event == ProcessEvent::Killed && record.at >= from && record.at <= to)
    }

    /// Whether a proxy was terminating in a period.
    pub(super) fn terminating_within(&self, proxy: usize, from: Instant, to: Instant) -> bool {
        let exits_by = |at: Instant| at + MAX_DEADLINE + EXIT_TIMEOUT;
        let mut records = self.process_records(proxy);
        records.any(|record| {
            record.event == ProcessEvent::Terminated && record.at <= to && exits_by(record.at) >= from
        })
    }

    /// Times at which a proxy's processes were started, in order.
    fn process_starts(&self, proxy: usize) -> impl Iterator<Item = Instant> {
        let records = self.process_records(proxy);
        records.filter(|record| record.event == ProcessEvent::Started).map(|record| record.at)
    }

    /// Returns the time at which an out-of-service period ends for a proxy.
    pub(super) fn in_service_at(&self, period: &OutOfService, proxy: usize) -> Option<Instant> {
        let mut restarts = self.process_starts(proxy).filter(|at| *at > period.since);
        let restart = restarts.next().filter(|_| period.ends_with_process);
        [period.until, restart].into_iter().flatten().min()
    }

    /// Returns the time from which a proxy has to respect an out-of-service period. If discovery recovered or the proxy
    /// restarted after the change, that is [`NOTIFICATION_TIMEOUT`] after the last recovery or restart, because the
    /// change may not have reached the proxy before.
    pub(super) fn notified_at(&self, period: &OutOfService, proxy: usize) -> Instant {
        if period.proxy.is_some() {
            return period.since;
        }
        let is_later = |at: &Instant| *at >= period.since;
        let recovery = self.history.discovery_recoveries.iter().copied().filter(is_later).max();
        let restart = self.process_starts(proxy).filter(is_later).max();
        let last_disturbance = [recovery, restart].into_iter().flatten().max();
        last_disturbance.map_or(period.since, |at| at + NOTIFICATION_TIMEOUT)
    }
}
