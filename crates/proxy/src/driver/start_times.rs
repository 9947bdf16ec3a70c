//! When the processes of the endpoints started: by the Unix times of discovery, and by what this process has seen.

use std::collections::VecDeque;

use leadrelay_core::{EndpointId, Millis};
use rustc_hash::{FxHashMap, FxHashSet};

use super::clock::Clock;

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

/// When the processes of the endpoints started. Each Unix time is converted once, as the wall clock may be stepped
/// afterwards.
#[derive(Default)]
pub struct StartTimes {
    by_endpoint: FxHashMap<EndpointId, StartTime>,
    /// Endpoints in the order in which they left the list; some may be listed again.
    unlisted: VecDeque<EndpointId>,
}

/// The start of the process of an endpoint that was listed last.
#[derive(Clone, Copy)]
struct StartTime {
    unix_ms: f64,
    at: Option<Millis>,
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
        let former = self.by_endpoint.get(&id);
        let at = match former {
            Some(former) if former.unix_ms == unix_ms => former.at,
            Some(former) => former.start_of_successor(unix_ms, time),
            None => time.clock.at_unix(unix_ms),
        };
        self.by_endpoint.insert(id, StartTime { unix_ms, at, listing: Listing::Present });
        at
    }

    /// The same for a process that is not listed any more.
    pub fn find(&self, id: EndpointId, unix_ms: f64, clock: &Clock) -> Option<Millis> {
        let known = self.by_endpoint.get(&id).filter(|start| start.unix_ms == unix_ms);
        known.map_or_else(|| clock.at_unix(unix_ms), |start| start.at)
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

    /// When the next process of this endpoint started. By a right wall clock that was at most a while before this one
    /// was last listed. By one that is ahead it may be long before: then only the time when it was listed is certain.
    fn start_of_successor(&self, unix_ms: f64, time: ListTime) -> Option<Millis> {
        let at = time.clock.at_unix(unix_ms)?;
        let listed_until = match self.listing {
            Listing::Present => time.former_confirmed_at,
            Listing::Until(until) => until,
        };
        let is_possible = listed_until.is_none_or(|until| at >= until - MAX_DISCOVERY_DELAY);
        Some(if is_possible { at } else { time.clock.now() })
    }
}
