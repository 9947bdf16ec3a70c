//! The state of the subscription to the endpoint list.
//!
//! This is the only owner of what is known of discovery: which call is open, which version of the list is held, and how
//! complete that is. The transport opens and gives up calls as it is told and reports what it sees; it keeps nothing of
//! its own. Nothing is decided here: `calls.rs` decides when a call is made or given up, and for how long the list may
//! be used.

use super::phase::Phase;
use crate::actions::CancelReason;
use crate::events::CallEnd;
use crate::ids::{CallId, Millis};
use crate::settings::{DiscoveryMode, NotificationBounds};

/// A watch at an address that discovery has left. It counts until the new address has sent its list.
#[derive(Clone, Copy, Debug)]
struct FormerWatch {
    call: CallId,
    version: Option<u64>,
}

/// What becomes of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It is new.
    Apply,
    /// What is held is still the latest.
    Unchanged,
    /// It answers a call that has been given up, or is older than what is held.
    Ignore,
    /// It does not follow what is held: the call is of no more use.
    Reject,
}

/// The state of the subscription.
#[derive(Debug)]
pub(crate) struct Subscription {
    phase: Phase,
    /// Calls that failed in a row.
    failures: u32,
    /// Whether the last of them was not even accepted.
    unreachable: bool,
    /// Whether a call has sent something that can't be read since the list was last received.
    malformed: bool,
    /// Whether the open call has sent heartbeats but no list.
    empty_answer: bool,
    former: Option<FormerWatch>,
    calls: u64,
    version: Option<u64>,
    /// When discovery last sent the list that is held, or said that it is still the latest.
    confirmed_at: Option<Millis>,
    /// Every change that discovery could have sent before is known.
    complete_to: Millis,
    /// Since when no watch has been open, as far as discovery could be reached.
    unwatched_since: Millis,
    /// An earlier time at which changes count as notified that may be unknown here, until the list is received anew.
    notified_by: Option<Millis>,
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
            confirmed_at: None,
            complete_to: 0.0,
            unwatched_since: 0.0,
            notified_by: None,
        }
    }

    /// The process has started: the list that it remembers is taken for true as of now.
    pub fn start(&mut self, now: Millis) {
        self.complete_to = now;
        self.unwatched_since = now;
    }

    /// Where the subscription stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Calls that failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the last call was not even accepted.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// The call that is open at the present address.
    pub fn call(&self) -> Option<CallId> {
        self.phase.call()
    }

    /// The version of the current list.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// When discovery last sent the list that is held, or said that it is still the latest; `None` if it has sent none.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Whether a watch is open that has sent its list.
    pub fn is_synchronized(&self) -> bool {
        matches!(self.phase, Phase::Synchronized { .. })
    }

    /// Starts a call; returns its number and the version after which changes are wanted.
    pub fn open(&mut self, now: Millis) -> (CallId, Option<u64>) {
        self.calls += 1;
        let call = CallId(self.calls);
        self.phase = Phase::Connecting { call, since: now };
        self.empty_answer = false;
        (call, self.version)
    }

    /// The next call is made then.
    pub fn schedule_retry(&mut self, retry_at: Millis) {
        self.phase = Phase::Disconnected { retry_at };
    }

    /// The connection of a call is established.
    pub fn connected(&mut self, connected: CallId) {
        if let Phase::Connecting { call, since } = self.phase
            && call == connected
        {
            self.phase = Phase::Waiting { call, since };
        }
    }

    /// What becomes of an update; changes nothing.
    pub fn admission(&self, call: CallId, version: u64, complete: bool) -> Admission {
        if let Some(former) = self.former.filter(|former| former.call == call) {
            let is_newer = former.version.is_none_or(|current| version > current);
            return if is_newer { Admission::Apply } else { Admission::Ignore };
        }
        if self.call() != Some(call) {
            return Admission::Ignore;
        }
        let Some(current) = self.version else {
            return if complete { Admission::Apply } else { Admission::Reject };
        };
        if version == current && !complete {
            return Admission::Unchanged;
        }
        if version >= current {
            return Admission::Apply;
        }
        // A lower version: on an open watch it is outdated. At the start of one it means that discovery has started its
        // versions anew; only a complete list means anything then.
        match (self.is_synchronized(), complete) {
            (true, _) => Admission::Ignore,
            (false, true) => Admission::Apply,
            (false, false) => Admission::Reject,
        }
    }

    /// Whether a heartbeat of a call says that the current list is still the latest. As the first line of an answer it
    /// says nothing of what has changed before; if no more comes of the call, the complete list is to be asked for.
    pub fn confirms(&mut self, call: CallId) -> bool {
        if self.former.is_some_and(|former| former.call == call) {
            return true;
        }
        if self.call() != Some(call) {
            return false;
        }
        let synchronized = self.is_synchronized();
        self.empty_answer = !synchronized;
        synchronized
    }

    /// A call has sent the list up to a version; `None` if nothing has changed. Returns the watch at the former address
    /// if it is not needed any longer.
    pub fn received(&mut self, call: CallId, read_at: Millis, version: Option<u64>) -> Option<CallId> {
        self.complete_to = self.complete_to.max(read_at);
        self.confirmed_at = Some(read_at);
        if let Some(former) = self.former.as_mut().filter(|former| former.call == call) {
            former.version = version.or(former.version);
            return None;
        }
        self.version = version.or(self.version);
        self.phase = Phase::Synchronized { call, last_read_at: read_at };
        self.failures = 0;
        self.unreachable = false;
        self.malformed = false;
        self.notified_by = None;
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
                // Nobody was there to have a change: what is held was complete until then.
                self.watch_ended(at);
                self.notified_by = self.notified_by.map(|by| by.max(at));
            }
            CallEnd::Malformed => {
                // The update that can't be read counts as notified from now on. A watch that resumes makes up for it,
                // and if that can't be read either, the complete list.
                if std::mem::replace(&mut self.malformed, true) {
                    self.version = None;
                }
                self.notified_by(at);
            }
            CallEnd::Closed if self.is_synchronized() => self.watch_ended(at),
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

    /// Discovery has another address, and what it sends counts as notified from `notified_by` on. Returns the call that
    /// is of no more use.
    pub fn moved(&mut self, now: Millis, notified_by: Millis) -> Option<CallId> {
        let call = self.call();
        let watch = call.filter(|_| self.is_synchronized());
        let abandoned = match watch {
            Some(call) => {
                let former = FormerWatch { call, version: self.version };
                self.former.replace(former).map(|former| former.call)
            }
            None => call,
        };
        self.version = None;
        self.failures = 0;
        self.unreachable = false;
        self.phase = Phase::Disconnected { retry_at: now };
        self.notified_by(notified_by);
        abandoned
    }

    /// From then on changes count as notified that may be unknown here, until the list is received anew.
    pub fn notified_by(&mut self, at: Millis) {
        self.notified_by = Some(self.notified_by.map_or(at, |by| by.min(at)));
    }

    /// When a change that is unknown here may first count as notified.
    pub fn notified_at(
        &self, discovery: DiscoveryMode, bounds: &NotificationBounds, without_watch: Millis,
    ) -> Millis {
        let is_watched = self.is_synchronized() || self.former.is_some();
        let missed = self.complete_to + bounds.after_change;
        let notified = match (is_watched, discovery) {
            (true, _) => missed,
            (false, DiscoveryMode::OnRequest) => missed.min(self.complete_to + without_watch),
            (false, DiscoveryMode::Pushed) => missed.min(self.unwatched_since),
        };
        self.notified_by.map_or(notified, |by| by.min(notified))
    }

    fn watch_ended(&mut self, at: Millis) {
        self.complete_to = self.complete_to.max(at);
        self.unwatched_since = self.unwatched_since.max(at);
    }

    fn failed(&mut self, unreachable: bool) {
        // Failures while discovery was down say nothing of how busy it is once it is back.
        let was_down = self.unreachable && !unreachable;
        self.failures = if was_down { 1 } else { self.failures + 1 };
        self.unreachable = unreachable;
    }
}
