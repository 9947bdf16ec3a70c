//! The state of the subscription to the endpoint list.
//!
//! [`Subscription`] is the only owner of the discovery state: the open call, the version of the current list, and the
//! time up to which that list is complete. The transport is stateless: it opens and cancels calls on request and
//! reports what it receives. The timing rules are in `calls.rs`: when a call is made or cancelled, and how long the
//! list may be used.

use super::phase::Phase;
use crate::actions::CancelReason;
use crate::events::CallEnd;
use crate::ids::{CallId, Millis};
use crate::settings::{DiscoveryMode, NotificationBounds};

/// A watch at the previous address of discovery. It remains in use until the new address has sent its list.
#[derive(Clone, Copy, Debug)]
struct FormerWatch {
    call: CallId,
    version: Option<u64>,
}

/// The treatment of an update received from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateDisposition {
    /// The update has to be applied: it is a change or a complete list that can follow the current list.
    Apply,
    /// The update confirms that the current list is still the latest.
    Unchanged,
    /// The update belongs to a call that is not open, or is older than the current list.
    Ignore,
    /// The update does not follow the version of the current list, so the call has to be cancelled.
    Reject,
}

/// The state of the subscription to the endpoint list.
#[derive(Debug)]
pub(crate) struct Subscription {
    phase: Phase,
    /// Number of consecutive failed calls.
    failures: u32,
    /// Whether the last failed call was not accepted at all.
    unreachable: bool,
    /// Whether malformed data has arrived since the list was last received.
    received_malformed: bool,
    /// Whether the open call has received heartbeats but no list.
    only_heartbeats: bool,
    former_watch: Option<FormerWatch>,
    /// Number of calls opened so far.
    calls_opened: u64,
    /// The version of the current list; `None` if the next call has to request the complete list.
    version: Option<u64>,
    /// When discovery last sent the current list, or confirmed that it is still the latest.
    confirmed_at: Option<Millis>,
    /// The time up to which the current list is complete: it contains every change that could have been sent before.
    complete_until: Millis,
    /// The time from which no watch has been open although discovery could have been reached.
    unwatched_since: Millis,
    /// An upper bound on the time from which changes missing from the current list count as notified. It applies until
    /// the list is next received.
    notification_bound: Option<Millis>,
}

impl Subscription {
    pub fn new() -> Self {
        Subscription {
            phase: Phase::Disconnected { retry_at: 0.0 },
            failures: 0,
            unreachable: false,
            received_malformed: false,
            only_heartbeats: false,
            former_watch: None,
            calls_opened: 0,
            version: None,
            confirmed_at: None,
            complete_until: 0.0,
            unwatched_since: 0.0,
            notification_bound: None,
        }
    }

    /// Handles the start of the process: a list cached by an earlier process counts as complete up to now.
    pub fn start(&mut self, now: Millis) {
        self.complete_until = now;
        self.unwatched_since = now;
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Number of consecutive failed calls.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the last failed call was not accepted at all.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// The open call at the current address of discovery.
    pub fn call(&self) -> Option<CallId> {
        self.phase.call()
    }

    /// The version of the current list; `None` if the complete list has to be received first.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// When discovery last sent or confirmed the current list; `None` before the first list.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Whether a watch is open and has sent its list.
    pub fn is_synchronized(&self) -> bool {
        matches!(self.phase, Phase::Synchronized { .. })
    }

    /// Starts a call. Returns its number and the version after which it requests changes (`None`: the complete list).
    pub fn open(&mut self, now: Millis) -> (CallId, Option<u64>) {
        self.calls_opened += 1;
        let call = CallId(self.calls_opened);
        self.phase = Phase::Connecting { call, since: now };
        self.only_heartbeats = false;
        (call, self.version)
    }

    /// Schedules the next call for `retry_at`.
    pub fn schedule_retry(&mut self, retry_at: Millis) {
        self.phase = Phase::Disconnected { retry_at };
    }

    /// Records that the connection of a call is established.
    pub fn connected(&mut self, connected: CallId) {
        if let Phase::Connecting { call, since } = self.phase
            && call == connected
        {
            self.phase = Phase::Waiting { call, since };
        }
    }

    /// Determines how to treat an update, without changing any state.
    pub fn classify_update(&self, call: CallId, version: u64, complete: bool) -> UpdateDisposition {
        if let Some(former) = self.former_watch.filter(|former| former.call == call) {
            let is_newer = former.version.is_none_or(|current| version > current);
            return if is_newer { UpdateDisposition::Apply } else { UpdateDisposition::Ignore };
        }
        if self.call() != Some(call) {
            return UpdateDisposition::Ignore;
        }
        let Some(current) = self.version else {
            return if complete { UpdateDisposition::Apply } else { UpdateDisposition::Reject };
        };
        if version == current && !complete {
            return UpdateDisposition::Unchanged;
        }
        if version >= current {
            return UpdateDisposition::Apply;
        }
        // A lower version on a synchronized watch is outdated. At the start of a watch it means that discovery has
        // restarted its version numbers; changes then have no base, and only a complete list can be applied.
        match (self.is_synchronized(), complete) {
            (true, _) => UpdateDisposition::Ignore,
            (false, true) => UpdateDisposition::Apply,
            (false, false) => UpdateDisposition::Reject,
        }
    }

    /// Handles a heartbeat of a call; returns whether it confirms that the current list is still the latest. A
    /// heartbeat that is the first line of a response does not rule out earlier changes. If the call then times out
    /// without sending a list, the next call requests the complete list.
    pub fn handle_heartbeat(&mut self, call: CallId) -> bool {
        if self.former_watch.is_some_and(|former| former.call == call) {
            return true;
        }
        if self.call() != Some(call) {
            return false;
        }
        let synchronized = self.is_synchronized();
        self.only_heartbeats = !synchronized;
        synchronized
    }

    /// Records that a call has brought the list up to a version; `None` means that nothing has changed. Returns the
    /// call of the watch at the previous address if that watch is no longer needed.
    pub fn received(&mut self, call: CallId, read_at: Millis, version: Option<u64>) -> Option<CallId> {
        self.complete_until = self.complete_until.max(read_at);
        self.confirmed_at = Some(read_at);
        if let Some(former) = self.former_watch.as_mut().filter(|former| former.call == call) {
            former.version = version.or(former.version);
            return None;
        }
        self.version = version.or(self.version);
        self.phase = Phase::Synchronized { call, last_read_at: read_at };
        self.failures = 0;
        self.unreachable = false;
        self.received_malformed = false;
        self.notification_bound = None;
        self.former_watch.take().map(|former| former.call)
    }

    /// Records that a call has ended without being cancelled. Returns whether it was the call at the current address.
    pub fn ended(&mut self, call: CallId, at: Millis, end: CallEnd) -> bool {
        if self.former_watch.is_some_and(|former| former.call == call) {
            self.former_watch = None;
            self.record_watch_end(at);
            return false;
        }
        if self.call() != Some(call) {
            return false;
        }
        match end {
            CallEnd::Unreachable => {
                // Discovery was down and could not have sent a change, so the current list was complete until then.
                self.record_watch_end(at);
                self.notification_bound = self.notification_bound.map(|bound| bound.max(at));
            }
            CallEnd::Malformed => {
                // A malformed update counts as notified from now on. The next watch resumes after the current version,
                // which repeats the lost update. If malformed data arrives again, the complete list is requested.
                if std::mem::replace(&mut self.received_malformed, true) {
                    self.version = None;
                }
                self.add_notification_bound(at);
            }
            CallEnd::Closed if self.is_synchronized() => self.record_watch_end(at),
            CallEnd::Closed => {}
        }
        self.record_failure(end == CallEnd::Unreachable);
        true
    }

    /// Cancels the open call at the current address; returns its number.
    pub fn cancel(&mut self, now: Millis, reason: CancelReason) -> Option<CallId> {
        let call = self.call()?;
        match reason {
            CancelReason::VersionGap => self.version = None,
            CancelReason::Silent => self.unwatched_since = now,
            CancelReason::AnswerTimeout if std::mem::take(&mut self.only_heartbeats) => self.version = None,
            CancelReason::ConnectTimeout | CancelReason::AnswerTimeout | CancelReason::Moved => {}
        }
        self.record_failure(false);
        Some(call)
    }

    /// Handles a move of discovery to another address, whose changes count as notified from `notified_by` on. Returns
    /// the call that has to be cancelled, if any.
    pub fn moved(&mut self, now: Millis, notified_by: Millis) -> Option<CallId> {
        let call = self.call();
        let watch = call.filter(|_| self.is_synchronized());
        let abandoned = match watch {
            Some(call) => {
                let former = FormerWatch { call, version: self.version };
                self.former_watch.replace(former).map(|former| former.call)
            }
            None => call,
        };
        self.version = None;
        self.failures = 0;
        self.unreachable = false;
        self.phase = Phase::Disconnected { retry_at: now };
        self.add_notification_bound(notified_by);
        abandoned
    }

    /// Bounds the time from which changes missing from the current list count as notified: it is at most `at`, until
    /// the list is next received.
    pub fn add_notification_bound(&mut self, at: Millis) {
        self.notification_bound = Some(self.notification_bound.map_or(at, |bound| bound.min(at)));
    }

    /// The earliest time at which a change missing from the current list may count as notified.
    pub fn notified_at(
        &self, discovery: DiscoveryMode, bounds: &NotificationBounds, without_watch: Millis,
    ) -> Millis {
        let is_watched = self.is_synchronized() || self.former_watch.is_some();
        let after_change = self.complete_until + bounds.after_change;
        let earliest = match (is_watched, discovery) {
            (true, _) => after_change,
            (false, DiscoveryMode::OnRequest) => after_change.min(self.complete_until + without_watch),
            (false, DiscoveryMode::Pushed) => after_change.min(self.unwatched_since),
        };
        self.notification_bound.map_or(earliest, |bound| bound.min(earliest))
    }

    fn record_watch_end(&mut self, at: Millis) {
        self.complete_until = self.complete_until.max(at);
        self.unwatched_since = self.unwatched_since.max(at);
    }

    fn record_failure(&mut self, unreachable: bool) {
        // Failures while discovery was down are no evidence of overload after it has recovered.
        let was_down = self.unreachable && !unreachable;
        self.failures = if was_down { 1 } else { self.failures + 1 };
        self.unreachable = unreachable;
    }
}
