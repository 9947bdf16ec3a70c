//! Checks the operators' rule on drains. The check depends only on the actions of discovery, not on the state of the
//! proxies.
//!
//! A change (a drain or a removal) counts as notified to a proxy from the earliest of these times on:
//!
//! - the time at which discovery wrote the change to the proxy, on a watch or in a response; a complete list without a
//!   backend notifies the backend's removal;
//! - 6 s after discovery had the change and was reachable, even if calls failed;
//! - 6 s after the proxy's watch stalled, until the list is written to the proxy again;
//! - 4 s after discovery moved, for changes at the new address, until the list is written to the proxy again;
//! - where lists are pushed: the time of the change, or the start of a proxy that started later. While a watch is open
//!   but stalled, the limit for stalled watches applies instead; after a move, the limit for moves applies.
//!
//! An attempt violates the rule if its first byte is sent later than the grace period (and its tolerance) after the
//! change counts as notified. Where the operators' text is ambiguous, the earlier time applies.

use std::fmt;

use leadrelay_core::{Endpoint, EndpointState, Millis};
use rustc_hash::FxHashMap;

use crate::index::{BackendIndex, IndexedVec, ProxyIndex};

/// Grace period after a change counts as notified, during which requests may still be sent, by the operators' settings.
const GRACE: Millis = 2000.0;
/// Tolerance of the rule beyond [`GRACE`].
const TOLERANCE: Millis = 50.0;
/// Longest time between the moment from which a change counts as notified and the first byte of an attempt.
const MAX_SEND_DELAY: Millis = GRACE + TOLERANCE;
/// Time after a change, or after a stall of the proxy's watch, after which a change counts as notified although
/// discovery has not written it to the proxy.
const NOTIFIED_AFTER_CHANGE: Millis = 6000.0;
/// Time after a move of discovery after which a change counts as notified although discovery has not written it to the
/// proxy.
const NOTIFIED_AFTER_MOVE: Millis = 4000.0;

/// The reason why a change counts as notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotificationBasis {
    /// Discovery wrote the change to the proxy.
    Written,
    /// Discovery had the change for 6 s.
    Assumed,
    /// The proxy's watch was stalled for 6 s.
    Stalled,
    /// Discovery moved 4 s ago.
    Moved,
    /// The agent that pushes lists had the change.
    Pushed,
}

/// The time from which a change counts as notified to a proxy, and the reason.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotifiedSince {
    /// Time from which the change counts as notified.
    pub at: Millis,
    /// Reason why this time applies.
    pub basis: NotificationBasis,
}

/// An attempt that violates the rule.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub struct SendAfterDrain {
    /// The proxy that sent the attempt.
    pub proxy: ProxyIndex,
    /// The backend that the attempt was sent to.
    pub backend: BackendIndex,
    /// The time from which the backend's drain or removal counted as notified, and the reason.
    pub notified: NotifiedSince,
    /// Time of the first byte.
    pub first_byte: Millis,
}

impl fmt::Display for SendAfterDrain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SendAfterDrain { proxy, backend, notified, first_byte } = self;
        let NotifiedSince { at, basis } = notified;
        let late_by = first_byte - at - MAX_SEND_DELAY;
        write!(f, "proxy {proxy}, backend {backend}: notified since {at:.0} ({basis:?}), ")?;
        write!(f, "first byte at {first_byte:.0}, {late_by:.0} ms too late")
    }
}

/// State of a proxy's watch.
#[derive(Clone, Copy, Debug)]
enum Watch {
    /// No watch is open.
    Closed { since: Millis },
    /// The watch is open, and everything written to it arrives.
    Live,
    /// The watch is open, but nothing written to it arrives.
    Stalled,
}

/// The state that the rule keeps for one proxy.
#[derive(Clone, Debug)]
struct ProxyState {
    started_at: Millis,
    /// Backends whose drain or removal was written to the proxy, and the time of that.
    written: FxHashMap<BackendIndex, Millis>,
    watch: Watch,
    /// Time at which a watch stalled; `None` if the list has been written since.
    stalled_at: Option<Millis>,
    /// Time at which discovery moved; `None` if the list has been written since.
    moved_at: Option<Millis>,
}

impl ProxyState {
    fn new(started_at: Millis) -> Self {
        ProxyState {
            started_at,
            written: FxHashMap::default(),
            watch: Watch::Closed { since: started_at },
            stalled_at: None,
            moved_at: None,
        }
    }
}

/// A list, or changes to it, that discovery has written to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct WrittenList<'a> {
    /// Whether it came from the address that discovery had before a move.
    pub former_address: bool,
    /// Whether it is the complete list.
    pub complete: bool,
    /// The entries that were written.
    pub entries: &'a [Endpoint],
}

/// The rule on drains, for all proxies of a fleet.
#[derive(Clone, Debug)]
pub struct DrainRule {
    /// Whether an agent beside each proxy pushes lists.
    pushed: bool,
    /// Backends that drain or are removed, and the time from which discovery had the change and was reachable.
    draining_since: FxHashMap<BackendIndex, Millis>,
    proxies: IndexedVec<ProxyIndex, ProxyState>,
}

impl DrainRule {
    /// Creates the rule for a fleet that has just started; `pushed` says whether an agent beside each proxy pushes
    /// lists.
    pub fn new(proxies: usize, pushed: bool) -> Self {
        DrainRule {
            pushed,
            draining_since: FxHashMap::default(),
            proxies: vec![ProxyState::new(0.0); proxies].into(),
        }
    }

    /// Records that a proxy has started, and forgets everything that was written to it before.
    pub fn proxy_started(&mut self, now: Millis, proxy: ProxyIndex) {
        self.proxies[proxy] = ProxyState::new(now);
    }

    /// Records that discovery has a change and is reachable.
    pub fn discovery_updated(&mut self, now: Millis, entry: &Endpoint) {
        record_drain(&mut self.draining_since, now, entry);
    }

    /// Records that discovery has written a list or changes to a proxy.
    pub fn list_written(&mut self, now: Millis, proxy: ProxyIndex, list: WrittenList<'_>) {
        let state = &mut self.proxies[proxy];
        if list.complete {
            let is_listed =
                |backend: &BackendIndex| list.entries.iter().any(|entry| backend_of(entry) == *backend);
            let missing = self.draining_since.keys().filter(|backend| !is_listed(backend));
            for backend in missing {
                state.written.entry(*backend).or_insert(now);
            }
        }
        for entry in list.entries {
            record_drain(&mut state.written, now, entry);
        }
        if !list.former_address {
            state.watch = Watch::Live;
            state.stalled_at = None;
            state.moved_at = None;
        }
    }

    /// Records that a proxy's watch has stalled.
    pub fn watch_stalled(&mut self, now: Millis, proxy: ProxyIndex) {
        let state = &mut self.proxies[proxy];
        state.watch = Watch::Stalled;
        state.stalled_at = state.stalled_at.or(Some(now));
    }

    /// Records that a proxy's watch has ended or was given up.
    pub fn watch_closed(&mut self, now: Millis, proxy: ProxyIndex) {
        self.proxies[proxy].watch = Watch::Closed { since: now };
    }

    /// Records that discovery has moved to another address and that a proxy has been notified of the move.
    pub fn discovery_moved(&mut self, now: Millis, proxy: ProxyIndex) {
        self.proxies[proxy].moved_at = Some(now);
    }

    /// The time from which a backend's drain or removal counts as notified to a proxy; `None` if the backend accepts
    /// requests.
    pub fn notified_since(&self, proxy: ProxyIndex, backend: BackendIndex) -> Option<NotifiedSince> {
        let state = &self.proxies[proxy];
        let written = state.written.get(&backend);
        let written = written.map(|&at| NotifiedSince { at, basis: NotificationBasis::Written });
        let unwritten =
            self.draining_since.get(&backend).map(|&since| self.unwritten_notifications(state, since));
        let moments = written.into_iter().chain(unwritten.into_iter().flatten());
        moments.min_by(|one, other| one.at.total_cmp(&other.at))
    }

    /// The times from which a change counts as notified, for every reason except that it was written to the proxy.
    /// `changed_at` is the time from which discovery had the change.
    fn unwritten_notifications(&self, state: &ProxyState, changed_at: Millis) -> Vec<NotifiedSince> {
        let mut moments = vec![(changed_at + NOTIFIED_AFTER_CHANGE, NotificationBasis::Assumed)];
        if let Some(stalled_at) = state.stalled_at {
            moments.push((changed_at.max(stalled_at + NOTIFIED_AFTER_CHANGE), NotificationBasis::Stalled));
        }
        if let Some(moved_at) = state.moved_at {
            moments.push((changed_at.max(moved_at + NOTIFIED_AFTER_MOVE), NotificationBasis::Moved));
        }
        if let Some(pushed_at) = self.pushed_at(state, changed_at) {
            moments.push((pushed_at, NotificationBasis::Pushed));
        }
        let not_before_start =
            |(at, basis): (Millis, NotificationBasis)| NotifiedSince { at: at.max(state.started_at), basis };
        moments.into_iter().map(not_before_start).collect()
    }

    /// Time at which a change was pushed; `None` if lists are not pushed, or if the limit for stalled watches or for
    /// moves applies instead.
    fn pushed_at(&self, state: &ProxyState, changed_at: Millis) -> Option<Millis> {
        let moved_before = state.moved_at.is_some_and(|at| at <= changed_at);
        if !self.pushed || moved_before {
            return None;
        }
        let stalled_before = state.stalled_at.is_some_and(|at| at <= changed_at);
        match state.watch {
            Watch::Stalled if stalled_before => None,
            Watch::Closed { since } if stalled_before => Some(changed_at.max(since)),
            Watch::Stalled | Watch::Closed { .. } | Watch::Live => Some(changed_at),
        }
    }

    /// Checks an attempt against the rule.
    ///
    /// # Errors
    /// Returns an error if the attempt violates the rule.
    pub fn check(
        &self, proxy: ProxyIndex, backend: BackendIndex, first_byte: Millis,
    ) -> Result<(), SendAfterDrain> {
        match self.notified_since(proxy, backend) {
            Some(notified) if first_byte > notified.at + MAX_SEND_DELAY => {
                Err(SendAfterDrain { proxy, backend, notified, first_byte })
            }
            _ => Ok(()),
        }
    }
}

/// Records the time from which an entry's backend drains or is removed; removes a backend that is up again from
/// `since`.
fn record_drain(since: &mut FxHashMap<BackendIndex, Millis>, now: Millis, entry: &Endpoint) {
    let backend = backend_of(entry);
    match entry.state {
        EndpointState::Up => {
            since.remove(&backend);
        }
        EndpointState::Draining | EndpointState::Removed => {
            since.entry(backend).or_insert(now);
        }
    }
}

fn backend_of(entry: &Endpoint) -> BackendIndex {
    BackendIndex(entry.id.0 as usize)
}
