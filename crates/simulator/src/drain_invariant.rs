//! The operators' rule on drains, reckoned from what discovery did alone and not from what proxies believe.
//!
//! A change (a drain or an end) counts as known to a proxy from the earliest of these moments on:
//!
//! - when discovery has written it to the proxy, on a watch or in an answer; a whole list that leaves a backend out
//!   tells its end;
//! - 6 s after discovery had it and could be reached, whatever calls failed;
//! - 6 s after the proxy's watch fell silent, as long as the proxy has not been told its list anew;
//! - 4 s after discovery moved, for what it has at the new address, likewise;
//! - where lists are pushed, at once, and from the first moment of a new process. While a watch is open but silent the
//!   clock for silence holds instead, and after a move the one for moves.
//!
//! A send whose first byte goes out later than the grace after that breaks the rule. Where the operators' sentences
//! leave a choice the earlier moment is taken.

use std::fmt;

use leadrelay_core::{Endpoint, EndpointState};
use rustc_hash::FxHashMap;

/// Sends may go on for so long after a change counts as known, in ms: the settings' 2 s, and the slack of the rules.
const GRACE: f64 = 2000.0 + 50.0;
/// Span after which a change counts as known although it was not written, in ms.
const ASSUMED: f64 = 6000.0;
/// The same after a move, in ms.
const MOVED: f64 = 4000.0;

/// Why a change counts as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotificationBasis {
    /// It was written to the proxy.
    Written,
    /// Discovery had it for long enough.
    Assumed,
    /// The watch was silent for long enough.
    Silent,
    /// Discovery moved long enough ago.
    Moved,
    /// The agent had it.
    Pushed,
}

/// Since when a change counts as known to a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotifiedSince {
    /// When, in ms.
    pub at: f64,
    /// Why then.
    pub ground: NotificationBasis,
}

/// A send that the rule forbids. Times are in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendAfterDrain {
    /// Who sent.
    pub proxy: usize,
    /// Where to.
    pub backend: usize,
    /// Since when the backend's drain or end counted as known.
    pub known: NotifiedSince,
    /// When the first byte went out.
    pub first_byte: f64,
}

impl fmt::Display for SendAfterDrain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SendAfterDrain { proxy, backend, known, first_byte } = self;
        let NotifiedSince { at, ground } = known;
        write!(f, "proxy {proxy}, backend {backend}: known since {at:.0} ({ground:?}), ")?;
        write!(f, "first byte at {first_byte:.0}, {:.0} ms too late", first_byte - at - GRACE)
    }
}

/// The watch of a proxy.
#[derive(Clone, Copy, Debug)]
enum Watch {
    /// None is open.
    Closed { since: f64 },
    /// All that is written to it arrives.
    Live,
    /// Nothing arrives.
    Silent,
}

/// What a proxy has been told.
#[derive(Clone, Debug)]
struct Told {
    started: f64,
    /// Backends whose drain or end was written to it, and when.
    written: FxHashMap<usize, f64>,
    watch: Watch,
    /// When a watch fell silent, or discovery moved, if the list has not been told anew since.
    silent_since: Option<f64>,
    moved_at: Option<f64>,
}

impl Told {
    fn new(started: f64) -> Self {
        Told {
            started,
            written: FxHashMap::default(),
            watch: Watch::Closed { since: started },
            silent_since: None,
            moved_at: None,
        }
    }
}

/// The rule over a whole fleet.
#[derive(Clone, Debug)]
pub struct DrainInvariant {
    pushed: bool,
    /// Backends that drain or have left, and since when discovery has had that and could be reached.
    leaving: FxHashMap<usize, f64>,
    proxies: Vec<Told>,
}

impl DrainInvariant {
    /// For so many proxies that have just started; `pushed`: lists come unasked, by an agent beside each proxy.
    pub fn new(proxies: usize, pushed: bool) -> Self {
        DrainInvariant { pushed, leaving: FxHashMap::default(), proxies: vec![Told::new(0.0); proxies] }
    }

    /// A proxy has started, and knows nothing that was told before.
    pub fn started(&mut self, now: f64, proxy: usize) {
        self.proxies[proxy] = Told::new(now);
    }

    /// Discovery has a change and can be reached.
    pub fn learned(&mut self, now: f64, line: &Endpoint) {
        let backend = line.id.0 as usize;
        match line.state {
            EndpointState::Up => drop(self.leaving.remove(&backend)),
            EndpointState::Draining | EndpointState::Removed => {
                self.leaving.entry(backend).or_insert(now);
            }
        }
    }

    /// Discovery has written lines to a proxy, at its present or its former address.
    pub fn written(&mut self, now: f64, proxy: usize, former: bool, whole: bool, lines: &[Endpoint]) {
        let told = &mut self.proxies[proxy];
        if whole {
            let named = |backend: &usize| lines.iter().any(|line| line.id.0 as usize == *backend);
            for &backend in self.leaving.keys().filter(|backend| !named(backend)) {
                told.written.entry(backend).or_insert(now);
            }
        }
        for line in lines {
            let backend = line.id.0 as usize;
            match line.state {
                EndpointState::Up => drop(told.written.remove(&backend)),
                EndpointState::Draining | EndpointState::Removed => {
                    told.written.entry(backend).or_insert(now);
                }
            }
        }
        if !former {
            (told.watch, told.silent_since, told.moved_at) = (Watch::Live, None, None);
        }
    }

    /// A proxy's watch has fallen silent.
    pub fn fell_silent(&mut self, now: f64, proxy: usize) {
        let told = &mut self.proxies[proxy];
        told.watch = Watch::Silent;
        told.silent_since = told.silent_since.or(Some(now));
    }

    /// A proxy's watch has ended or was given up.
    pub fn watch_closed(&mut self, now: f64, proxy: usize) {
        self.proxies[proxy].watch = Watch::Closed { since: now };
    }

    /// Discovery has another address, and a proxy has been told so.
    pub fn moved(&mut self, now: f64, proxy: usize) {
        self.proxies[proxy].moved_at = Some(now);
    }

    /// Since when a backend's drain or end counts as known to a proxy; `None` if it takes work.
    pub fn known_since(&self, proxy: usize, backend: usize) -> Option<NotifiedSince> {
        let told = &self.proxies[proxy];
        let written =
            told.written.get(&backend).map(|&at| NotifiedSince { at, ground: NotificationBasis::Written });
        let unwritten = self.leaving.get(&backend).map(|&had_at| self.unwritten(told, had_at));
        let moments = written.into_iter().chain(unwritten.into_iter().flatten());
        moments.min_by(|one, other| one.at.total_cmp(&other.at))
    }

    /// When a change counts as known for other reasons than that it was written.
    fn unwritten(&self, told: &Told, had_at: f64) -> Vec<NotifiedSince> {
        let mut moments = vec![(had_at + ASSUMED, NotificationBasis::Assumed)];
        moments.extend(told.silent_since.map(|at| (had_at.max(at + ASSUMED), NotificationBasis::Silent)));
        moments.extend(told.moved_at.map(|at| (had_at.max(at + MOVED), NotificationBasis::Moved)));
        let moved_before = told.moved_at.is_some_and(|at| at <= had_at);
        if self.pushed && !moved_before {
            let missed = told.silent_since.is_some_and(|at| at <= had_at);
            match told.watch {
                Watch::Silent if missed => {}
                Watch::Closed { since } if missed => {
                    moments.push((had_at.max(since), NotificationBasis::Pushed))
                }
                _ => moments.push((had_at, NotificationBasis::Pushed)),
            }
        }
        let moment =
            |(at, ground): (f64, NotificationBasis)| NotifiedSince { at: at.max(told.started), ground };
        moments.into_iter().map(moment).collect()
    }

    /// Holds a send against the rule.
    ///
    /// # Errors
    /// If it is forbidden.
    pub fn check(&self, proxy: usize, backend: usize, first_byte: f64) -> Result<(), SendAfterDrain> {
        match self.known_since(proxy, backend) {
            Some(known) if first_byte > known.at + GRACE => {
                Err(SendAfterDrain { proxy, backend, known, first_byte })
            }
            _ => Ok(()),
        }
    }
}
