//! What is known of discovery: which call is open, which version of the list is held, and how complete that is.
//!
//! This is the only owner of that knowledge. The transport opens and gives up calls as it is told and reports what it
//! sees; it keeps nothing of its own. Nothing is decided here: `policy/discovery.rs` decides when a call is made or
//! given up, and for how long the list may be used.
use crate::interface::*;

/// Where the subscription stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// No call is open; the next one is made then.
    Disconnected { retry_at: Millis },
    /// A connection is being opened.
    Connecting { call: CallId, since: Millis },
    /// A call has been made and has told nothing yet.
    Waiting { call: CallId, since: Millis },
    /// A watch is open and the list is held as of its last line.
    Synchronised { call: CallId, heard_at: Millis },
}

/// A watch at an address that discovery has left. It is heeded until the new address has told its list.
#[derive(Clone, Copy, Debug)]
struct Former {
    call: CallId,
    version: Option<u64>,
}

/// What becomes of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It is news.
    Apply,
    /// What is held is still the latest.
    NothingNew,
    /// It answers a call that has been given up, or is older than what is held.
    Ignore,
    /// It does not follow what is held: the call is of no more use.
    Reject,
}

/// The state of the subscription.
#[derive(Debug)]
pub(crate) struct Subscription {
    pub phase: Phase,
    /// Calls that failed in a row.
    pub failures: u32,
    /// Whether the last of them was not even accepted.
    pub unreachable: bool,
    /// Whether a call has told something that can't be read since the list was last told.
    malformed: bool,
    /// Whether the open call has sent heartbeats but no list.
    empty_answer: bool,
    former: Option<Former>,
    calls: u64,
    version: Option<u64>,
    /// Every change that discovery could have told before is known.
    complete_to: Millis,
    /// Since when no watch has been open, as far as discovery could be reached.
    unwatched_since: Millis,
    /// An earlier time at which changes count as known that may be unknown here, until the list is told anew.
    assumed_by: Option<Millis>,
}

impl Subscription {
    pub fn new() -> Self {
        Subscription {
            phase: Phase::Disconnected { retry_at: 0.0 },
            failures: 0,
            unreachable: false,
            malformed: false,
            empty_answer: false,
            former: None,
            calls: 0,
            version: None,
            complete_to: 0.0,
            unwatched_since: 0.0,
            assumed_by: None,
        }
    }

    /// The process has started: what it remembers of the list is taken for true as of now.
    pub fn start(&mut self, now: Millis) {
        (self.complete_to, self.unwatched_since) = (now, now);
    }

    /// The call that is open at the present address.
    pub fn call(&self) -> Option<CallId> {
        match self.phase {
            Phase::Disconnected { .. } => None,
            Phase::Connecting { call, .. }
            | Phase::Waiting { call, .. }
            | Phase::Synchronised { call, .. } => Some(call),
        }
    }

    /// The version of the list that is held.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Whether a watch is open that has told its list.
    pub fn is_synchronised(&self) -> bool {
        matches!(self.phase, Phase::Synchronised { .. })
    }

    /// Begins a call; returns its number and the version after which changes are wanted.
    pub fn open(&mut self, now: Millis) -> (CallId, Option<u64>) {
        self.calls += 1;
        let call = CallId(self.calls);
        self.phase = Phase::Connecting { call, since: now };
        self.empty_answer = false;
        (call, self.version)
    }

    /// The connection of a call is up.
    pub fn connected(&mut self, connected: CallId) {
        if let Phase::Connecting { call, since } = self.phase
            && call == connected
        {
            self.phase = Phase::Waiting { call, since };
        }
    }

    /// What becomes of an update; changes nothing.
    pub fn admission(&self, call: CallId, version: u64, whole: bool) -> Admission {
        if let Some(former) = self.former.filter(|former| former.call == call) {
            let newer = former.version.is_none_or(|held| version > held);
            return if newer { Admission::Apply } else { Admission::Ignore };
        }
        if self.call() != Some(call) {
            return Admission::Ignore;
        }
        let Some(held) = self.version else {
            return if whole { Admission::Apply } else { Admission::Reject };
        };
        if version == held && !whole {
            return Admission::NothingNew;
        }
        if version >= held {
            return Admission::Apply;
        }
        // A lower version: on an open watch it is old news. At the start of one it tells that discovery has begun its
        // versions anew; only a whole list means anything then.
        match (self.is_synchronised(), whole) {
            (true, _) => Admission::Ignore,
            (false, true) => Admission::Apply,
            (false, false) => Admission::Reject,
        }
    }

    /// Whether an empty line of a call tells that what is held is still the latest. In an answer that has told nothing
    /// yet it tells nothing of what has changed before; if no more comes of it, the whole list is to be asked for.
    pub fn confirms(&mut self, call: CallId) -> bool {
        if self.former.is_some_and(|former| former.call == call) {
            return true;
        }
        if self.call() != Some(call) {
            return false;
        }
        let synchronised = self.is_synchronised();
        self.empty_answer = !synchronised;
        synchronised
    }

    /// Takes in that a call has told the list up to a version; `None` if nothing has changed. Returns the watch at the
    /// former address if it is not needed any longer.
    pub fn heard(&mut self, call: CallId, read_at: Millis, version: Option<u64>) -> Option<CallId> {
        self.complete_to = self.complete_to.max(read_at);
        if let Some(former) = self.former.as_mut().filter(|former| former.call == call) {
            former.version = version.or(former.version);
            return None;
        }
        self.version = version.or(self.version);
        self.phase = Phase::Synchronised { call, heard_at: read_at };
        (self.failures, self.unreachable, self.malformed, self.assumed_by) = (0, false, false, None);
        self.former.take().map(|former| former.call)
    }

    /// A call has ended by itself; whether it was the one at the present address.
    pub fn ended(&mut self, call: CallId, at: Millis, end: CallEnd) -> bool {
        if self.former.is_some_and(|former| former.call == call) {
            self.former = None;
            self.watch_ended(at);
            return false;
        }
        if self.call() != Some(call) {
            return false;
        }
        match end {
            CallEnd::Unreachable => {
                // Nobody was there to have any news: what is held was complete until then.
                self.watch_ended(at);
                self.assumed_by = self.assumed_by.map(|by| by.max(at));
            }
            CallEnd::Malformed => {
                // The news that can't be read counts as known from now on. A watch that resumes makes up for it, and
                // if that can't be read either, the whole list.
                if std::mem::replace(&mut self.malformed, true) {
                    self.version = None;
                }
                self.assume_by(at);
            }
            CallEnd::Closed if self.is_synchronised() => self.watch_ended(at),
            CallEnd::Closed => {}
        }
        self.failed(end == CallEnd::Unreachable);
        true
    }

    /// The call at the present address is given up; returns its number.
    pub fn cancel(&mut self, now: Millis, reason: CancelReason) -> Option<CallId> {
        let call = self.call()?;
        match reason {
            CancelReason::VersionGap => self.version = None,
            CancelReason::Silent => self.unwatched_since = now,
            CancelReason::AnswerTimeout if std::mem::take(&mut self.empty_answer) => self.version = None,
            CancelReason::ConnectTimeout | CancelReason::AnswerTimeout | CancelReason::Moved => {}
        }
        self.failed(false);
        Some(call)
    }

    /// Discovery has another address, and what it tells counts as known from `assumed_by` on. Returns the call that is
    /// of no more use.
    pub fn moved(&mut self, now: Millis, assumed_by: Millis) -> Option<CallId> {
        let call = self.call();
        let former = call.filter(|_| self.is_synchronised());
        let abandoned = match former {
            Some(call) => {
                let former = Former { call, version: self.version };
                self.former.replace(former).map(|former| former.call)
            }
            None => call,
        };
        self.version = None;
        (self.failures, self.unreachable) = (0, false);
        self.phase = Phase::Disconnected { retry_at: now };
        self.assume_by(assumed_by);
        abandoned
    }

    /// From then on changes count as known that may be unknown here, until the list is told anew.
    pub fn assume_by(&mut self, at: Millis) {
        self.assumed_by = Some(self.assumed_by.map_or(at, |by| by.min(at)));
    }

    /// When a change that is unknown here may first count as known.
    pub fn assumed_at(
        &self, discovery: DiscoveryMode, notification_bounds: &NotificationBounds,
        notified_without_watch: Millis,
    ) -> Millis {
        let watched = self.is_synchronised() || self.former.is_some();
        let missed = self.complete_to + notification_bounds.after_change;
        let assumed = match (watched, discovery) {
            (true, _) => missed,
            (false, DiscoveryMode::OnRequest) => missed.min(self.complete_to + notified_without_watch),
            (false, DiscoveryMode::Pushed) => missed.min(self.unwatched_since),
        };
        self.assumed_by.map_or(assumed, |by| by.min(assumed))
    }

    fn watch_ended(&mut self, at: Millis) {
        self.complete_to = self.complete_to.max(at);
        self.unwatched_since = self.unwatched_since.max(at);
    }

    fn failed(&mut self, unreachable: bool) {
        // Failures while discovery was down say nothing of how busy it is once it is back.
        self.failures = if self.unreachable && !unreachable { 1 } else { self.failures + 1 };
        self.unreachable = unreachable;
    }
}
