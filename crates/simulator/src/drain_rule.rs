//! The operators' rule on drains, derived from what discovery did alone and not from what proxies believe.
//!
//! A change (a drain or a removal) counts as notified to a proxy from the earliest of these moments on:
//!
//! - when discovery has written it to the proxy, on a watch or in a response; a complete list that leaves a backend
//!   out notifies its removal;
//! - 6 s after discovery had it and could be reached, whatever calls failed;
//! - 6 s after the proxy's watch stalled, as long as the proxy has not got its list again;
//! - 4 s after discovery moved, for what it has at the new address, likewise;
//! - where lists are pushed, at once, and from the first moment of a new process. While a watch is open but stalled the
//!   limit for stalled watches applies instead, and after a move the one for moves.
//!
//! A send whose first byte goes out later than the grace after that violates the rule. Where the operators' sentences
//! leave a choice the earlier moment is taken.

use std::fmt;

use leadrelay_core::{Endpoint, EndpointState, Millis};
use rustc_hash::FxHashMap;

use crate::index::{BackendIndex, IndexedVec, ProxyIndex};

/// Sends may go on for this time after a change counts as notified, by the operators' settings.
const GRACE: Millis = 2000.0;
/// The tolerance of the rule beyond that.
const TOLERANCE: Millis = 50.0;
/// The latest time of a first byte after a change counts as notified.
const MAX_SEND_DELAY: Millis = GRACE + TOLERANCE;
/// After this time a change counts as notified although it was not written.
const AFTER_CHANGE: Millis = 6000.0;
/// The same after a move of discovery.
const AFTER_MOVE: Millis = 4000.0;

/// Why a change counts as notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotificationBasis {
    /// It was written to the proxy.
    Written,
    /// Discovery had it for long enough.
    Assumed,
    /// The watch was stalled for long enough.
    Stalled,
    /// Discovery moved long enough ago.
    Moved,
    /// The agent had it.
    Pushed,
}

/// Since when a change counts as notified to a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotifiedSince {
    /// When.
    pub at: Millis,
    /// Why then.
    pub basis: NotificationBasis,
}

/// A send that violates the rule.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub struct SendAfterDrain {
    /// Which proxy sent.
    pub proxy: ProxyIndex,
    /// To which backend.
    pub backend: BackendIndex,
    /// Since when the backend's drain or removal counted as notified.
    pub notified: NotifiedSince,
    /// When the first byte went out.
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

/// The watch of a proxy.
#[derive(Clone, Copy, Debug)]
enum Watch {
    /// None is open.
    Closed { since: Millis },
    /// All that is written to it arrives.
    Live,
    /// Nothing arrives.
    Stalled,
}

/// What a proxy has been notified of.
#[derive(Clone, Debug)]
struct ProxyState {
    started_at: Millis,
    /// Backends whose drain or removal was written to it, and when.
    written: FxHashMap<BackendIndex, Millis>,
    watch: Watch,
    /// When a watch stalled, if the list has not been written again since.
    stalled_at: Option<Millis>,
    /// When discovery moved, if the list has not been written again since.
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

/// Lines that discovery has written to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct WrittenList<'a> {
    /// Whether it was written at the address that discovery has left.
    pub former_address: bool,
    /// Whether it is the complete list.
    pub complete: bool,
    /// Its entries.
    pub entries: &'a [Endpoint],
}

/// The rule over a whole fleet.
#[derive(Clone, Debug)]
pub struct DrainRule {
    pushed: bool,
    /// Backends that drain or are removed, and since when discovery has had that and could be reached.
    draining_since: FxHashMap<BackendIndex, Millis>,
    proxies: IndexedVec<ProxyIndex, ProxyState>,
}

impl DrainRule {
    /// For a fleet that has just started; `pushed`: lists are pushed by an agent beside each proxy.
    pub fn new(proxies: usize, pushed: bool) -> Self {
        DrainRule {
            pushed,
            draining_since: FxHashMap::default(),
            proxies: vec![ProxyState::new(0.0); proxies].into(),
        }
    }

    /// A proxy has started; nothing that was written before counts.
    pub fn proxy_started(&mut self, now: Millis, proxy: ProxyIndex) {
        self.proxies[proxy] = ProxyState::new(now);
    }

    /// Discovery has a change and can be reached.
    pub fn discovery_updated(&mut self, now: Millis, entry: &Endpoint) {
        record_drain(&mut self.draining_since, now, entry);
    }

    /// Discovery has written a list or changes to a proxy.
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

    /// A proxy's watch has stalled.
    pub fn watch_stalled(&mut self, now: Millis, proxy: ProxyIndex) {
        let state = &mut self.proxies[proxy];
        state.watch = Watch::Stalled;
        state.stalled_at = state.stalled_at.or(Some(now));
    }

    /// A proxy's watch has ended or was given up.
    pub fn watch_closed(&mut self, now: Millis, proxy: ProxyIndex) {
        self.proxies[proxy].watch = Watch::Closed { since: now };
    }

    /// Discovery has another address, and a proxy has been notified of that.
    pub fn discovery_moved(&mut self, now: Millis, proxy: ProxyIndex) {
        self.proxies[proxy].moved_at = Some(now);
    }

    /// Since when a backend's drain or removal counts as notified to a proxy; `None` if it accepts requests.
    pub fn notified_since(&self, proxy: ProxyIndex, backend: BackendIndex) -> Option<NotifiedSince> {
        let state = &self.proxies[proxy];
        let written = state.written.get(&backend);
        let written = written.map(|&at| NotifiedSince { at, basis: NotificationBasis::Written });
        let unwritten = self.draining_since.get(&backend).map(|&since| self.unwritten(state, since));
        let moments = written.into_iter().chain(unwritten.into_iter().flatten());
        moments.min_by(|one, other| one.at.total_cmp(&other.at))
    }

    /// When a change counts as notified for other reasons than that it was written; discovery has it since
    /// `changed_at`.
    fn unwritten(&self, state: &ProxyState, changed_at: Millis) -> Vec<NotifiedSince> {
        let mut moments = vec![(changed_at + AFTER_CHANGE, NotificationBasis::Assumed)];
        if let Some(stalled_at) = state.stalled_at {
            moments.push((changed_at.max(stalled_at + AFTER_CHANGE), NotificationBasis::Stalled));
        }
        if let Some(moved_at) = state.moved_at {
            moments.push((changed_at.max(moved_at + AFTER_MOVE), NotificationBasis::Moved));
        }
        if let Some(pushed_at) = self.pushed_at(state, changed_at) {
            moments.push((pushed_at, NotificationBasis::Pushed));
        }
        let not_before_start =
            |(at, basis): (Millis, NotificationBasis)| NotifiedSince { at: at.max(state.started_at), basis };
        moments.into_iter().map(not_before_start).collect()
    }

    /// When a change was pushed, if that is the limit that applies.
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

    /// Checks a send against the rule.
    ///
    /// # Errors
    /// If it violates the rule.
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

/// Records since when an entry's backend drains or is removed; one that is up again is dropped.
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
