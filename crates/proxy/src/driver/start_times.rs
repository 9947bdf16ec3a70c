//! When the processes of the endpoints started: by the Unix times of discovery, and by what this process has seen.

use std::collections::VecDeque;

use leadrelay_core::{EndpointId, Millis};
use rustc_hash::{FxHashMap, FxHashSet};

use super::clock::{Clock, MAX_CLOCK_SKEW};

/// Discovery may list the former process of an endpoint for this long after the present one has started.
const MAX_DISCOVERY_DELAY: Millis = 600_000.0;
/// Endpoints whose start is remembered after they have left the list.
const MAX_UNLISTED: usize = 10_000;

/// When a list is applied.
#[derive(Clone, Copy)]
pub struct ListTime<'a> {
    /// The balancer's clock.
    pub clock: &'a Clock,
    /// When discovery last confirmed the list that was held before; `None` if that was not discovery's.
    pub former_confirmed_at: Option<Millis>,
}

/// When the processes of the endpoints started. Each Unix time is converted when it is listed first. If the wall clock is
/// stepped afterwards, the start counts as later where that may be so; no process started after it was listed.
#[derive(Default)]
pub struct StartTimes {
    by_endpoint: FxHashMap<EndpointId, StartTime>,
    /// Endpoints in the order in which they left the list; some may be listed again.
    unlisted: VecDeque<EndpointId>,
    /// Steps of the wall clock that have been allowed for.
    steps: u64,
}

/// The start of the process of an endpoint that was listed last.
#[derive(Clone, Copy)]
struct StartTime {
    unix_ms: f64,
    at: Option<Millis>,
    /// When it was listed first.
    listed_at: Millis,
    listing: Listing,
}

/// Whether a process is listed.
#[derive(Clone, Copy)]
enum Listing {
    Present,
    /// It was listed until then, if that is known.
    Until(Option<Millis>),
}

impl StartTimes {
    /// When a listed process started, by the balancer's clock; `None` for long ago.
    pub fn record(&mut self, id: EndpointId, unix_ms: f64, time: ListTime) -> Option<Millis> {
        let now = time.clock.now();
        let listing = Listing::Present;
        let start = match self.by_endpoint.get(&id) {
            Some(known) if known.unix_ms == unix_ms => StartTime { listing, ..*known },
            former => {
                let at = time.clock.at_unix(unix_ms, now);
                let at = at.map(|at| former.map_or(at, |former| former.start_of_successor(at, now, time)));
                StartTime { unix_ms, at, listed_at: now, listing }
            }
        };
        self.by_endpoint.insert(id, start);
        start.at
    }

    /// The same for a process that is not listed any more.
    pub fn find(&self, id: EndpointId, unix_ms: f64, clock: &Clock) -> Option<Millis> {
        let known = self.by_endpoint.get(&id).filter(|start| start.unix_ms == unix_ms);
        known.map_or_else(|| clock.at_unix(unix_ms, clock.now()), |start| start.at)
    }

    /// Allows for steps of the wall clock. Returns listed endpoints that may have started later than was known.
    pub fn correct(&mut self, clock: &Clock) -> Vec<(EndpointId, Millis)> {
        if std::mem::replace(&mut self.steps, clock.steps()) == clock.steps() {
            return Vec::new();
        }
        let mut later = Vec::new();
        for (id, start) in &mut self.by_endpoint {
            if let Some(at) = start.correct(clock)
                && start.is_listed()
            {
                later.push((*id, at));
            }
        }
        later
    }

    /// An endpoint has left the list.
    pub fn unlist(&mut self, id: EndpointId, time: ListTime) {
        let Some(start) = self.by_endpoint.get_mut(&id) else { return };
        if !start.is_listed() {
            return;
        }
        start.listing = Listing::Until(time.former_confirmed_at);
        self.unlisted.push_back(id);
        if self.unlisted.len() > MAX_UNLISTED
            && let Some(oldest) = self.unlisted.pop_front()
            && self.by_endpoint.get(&oldest).is_some_and(|start| !start.is_listed())
        {
            self.by_endpoint.remove(&oldest);
        }
    }

    /// All endpoints but these have left the list.
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

    /// Allows for steps of the wall clock. Returns the start if it may be later than was known.
    fn correct(&mut self, clock: &Clock) -> Option<Millis> {
        let known = self.at?;
        let at = clock.at_unix(self.unix_ms, self.listed_at)?;
        if at <= known + MAX_CLOCK_SKEW {
            return None;
        }
        self.at = Some(at);
        self.at
    }

    /// When the next process of this endpoint started, which the wall clock says was at `at`. By a right clock that is
    /// at most a while before this one was last listed. By one that is ahead it may be long before; then only the time
    /// when the next one was listed is certain.
    fn start_of_successor(&self, at: Millis, now: Millis, time: ListTime) -> Millis {
        let listed_until = match self.listing {
            Listing::Present => time.former_confirmed_at,
            Listing::Until(until) => until,
        };
        let is_possible = listed_until.is_none_or(|until| at >= until - MAX_DISCOVERY_DELAY);
        if is_possible { at } else { now }
    }
}
