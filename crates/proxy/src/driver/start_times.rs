//! Start times of the endpoints' processes, derived from the Unix times that discovery gives and from the times at
//! which this process has seen the endpoints listed.

use std::collections::VecDeque;

use leadrelay_core::{EndpointId, Millis};
use rustc_hash::{FxHashMap, FxHashSet};

use super::clock::{Clock, MAX_CLOCK_SKEW};

/// Maximum time, in milliseconds, for which discovery may keep listing the previous process of an endpoint after the
/// current one has started.
const MAX_DISCOVERY_DELAY: Millis = 600_000.0;
/// Maximum number of endpoints whose start times are remembered after they have left the list.
const MAX_UNLISTED: usize = 10_000;

/// The time context in which a list is applied.
#[derive(Clone, Copy)]
pub struct ListTime<'a> {
    /// The balancer's clock.
    pub clock: &'a Clock,
    /// When discovery last confirmed the previous list; `None` if that list did not come from discovery.
    pub previous_confirmed_at: Option<Millis>,
}

/// The start times of the endpoints' processes. Each Unix time is converted when it is first listed. If the wall clock
/// is stepped afterwards, the start time is corrected to a later one if the step makes that possible. As no process is
/// listed before it starts, a start time is never later than the first listing of the process, apart from the allowed
/// clock skew.
#[derive(Default)]
pub struct StartTimes {
    by_endpoint: FxHashMap<EndpointId, StartTime>,
    /// Endpoints in the order in which they left the list; some may be listed again.
    unlisted: VecDeque<EndpointId>,
    /// The number of steps of the wall clock for which start times have been corrected.
    steps: u64,
}

/// The start time of the latest listed process of an endpoint.
#[derive(Clone, Copy)]
struct StartTime {
    /// The Unix time of the start in milliseconds, as given by discovery.
    unix_ms: f64,
    /// The start time by the balancer's clock; `None` for long ago.
    at: Option<Millis>,
    /// When the process was first listed.
    listed_at: Millis,
    listing: Listing,
}

/// Whether a process is on the current list.
#[derive(Clone, Copy)]
enum Listing {
    /// The process is listed.
    Present,
    /// The process has left the list. The value is the last time at which it was confirmed to be listed, if known.
    Until(Option<Millis>),
}

impl StartTimes {
    /// Records that a process is listed. Returns its start time by the balancer's clock; `None` for long ago.
    pub fn record(&mut self, id: EndpointId, unix_ms: f64, time: ListTime) -> Option<Millis> {
        let now = time.clock.now();
        let listing = Listing::Present;
        let start = match self.by_endpoint.get(&id) {
            Some(known) if known.unix_ms == unix_ms => StartTime { listing, ..*known },
            previous => {
                let at = time.clock.start_time_from_unix(unix_ms, now);
                let at =
                    at.map(|at| previous.map_or(at, |previous| previous.start_of_replacement(at, now, time)));
                StartTime { unix_ms, at, listed_at: now, listing }
            }
        };
        self.by_endpoint.insert(id, start);
        start.at
    }

    /// Returns the start time of a process that is no longer listed, without recording it.
    pub fn find(&self, id: EndpointId, unix_ms: f64, clock: &Clock) -> Option<Millis> {
        let known = self.by_endpoint.get(&id).filter(|start| start.unix_ms == unix_ms);
        known.map_or_else(|| clock.start_time_from_unix(unix_ms, clock.now()), |start| start.at)
    }

    /// Corrects start times after steps of the wall clock. Returns the listed endpoints that may have started later
    /// than recorded, with their corrected start times.
    pub fn correct(&mut self, clock: &Clock) -> Vec<(EndpointId, Millis)> {
        if std::mem::replace(&mut self.steps, clock.wall_clock_steps()) == clock.wall_clock_steps() {
            return Vec::new();
        }
        let mut corrected = Vec::new();
        for (id, start) in &mut self.by_endpoint {
            if let Some(at) = start.correct(clock)
                && start.is_listed()
            {
                corrected.push((*id, at));
            }
        }
        corrected
    }

    /// Marks an endpoint as having left the list. Forgets the endpoint that left the list first if too many are
    /// remembered.
    pub fn unlist(&mut self, id: EndpointId, time: ListTime) {
        let Some(start) = self.by_endpoint.get_mut(&id) else { return };
        if !start.is_listed() {
            return;
        }
        start.listing = Listing::Until(time.previous_confirmed_at);
        self.unlisted.push_back(id);
        if self.unlisted.len() > MAX_UNLISTED
            && let Some(oldest) = self.unlisted.pop_front()
            && self.by_endpoint.get(&oldest).is_some_and(|start| !start.is_listed())
        {
            self.by_endpoint.remove(&oldest);
        }
    }

    /// Marks all endpoints except those in `listed` as having left the list.
    pub fn retain(&mut self, listed: &FxHashSet<EndpointId>, time: ListTime) {
        let gone: Vec<EndpointId> =
            self.by_endpoint.keys().filter(|id| !listed.contains(id)).copied().collect();
        for id in gone {
            self.unlist(id, time);
        }
    }
}

impl StartTime {
    fn is_listed(&self) -> bool {
        matches!(self.listing, Listing::Present)
    }

    /// Corrects the start time after steps of the wall clock. Returns the corrected one if it is later than recorded by
    /// more than the allowed clock skew.
    fn correct(&mut self, clock: &Clock) -> Option<Millis> {
        let recorded_at = self.at?;
        let at = clock.start_time_from_unix(self.unix_ms, self.listed_at)?;
        if at <= recorded_at + MAX_CLOCK_SKEW {
            return None;
        }
        self.at = Some(at);
        self.at
    }

    /// Returns the start time of the process that replaces this one. By the wall clock, the replacement started at
    /// `at`.
    ///
    /// If the wall clock is right, `at` is at most `MAX_DISCOVERY_DELAY` before this process was last listed. If the
    /// wall clock is ahead, `at` may be far earlier. In that case the start counts as `now`, when the replacement was
    /// listed, which is the only time known for certain.
    fn start_of_replacement(&self, at: Millis, now: Millis, time: ListTime) -> Millis {
        let listed_until = match self.listing {
            Listing::Present => time.previous_confirmed_at,
            Listing::Until(until) => until,
        };
        let is_possible = listed_until.is_none_or(|until| at >= until - MAX_DISCOVERY_DELAY);
        if is_possible { at } else { now }
    }
}
