//! When discovery is called, when a call is given up, what its list changes, and for how long that list may be used.
use crate::interface::*;
use crate::number::draw;
use crate::state::Balancer;
use crate::subscription::{Admission, Phase};

/// Least and greatest bound of the wait after a failed call. The bound doubles with each call that fails in a row;
/// the greatest one leaves room for three calls within the 6 s after which a change counts as known.
const BACKOFF: (Millis, Millis) = (500.0, 2000.0);
/// The same where lists are pushed: by an agent that has no other callers, and with less time.
const BACKOFF_PUSHED: (Millis, Millis) = (50.0, 500.0);
/// Greatest bound while nobody accepts the calls, which costs nobody anything.
const BACKOFF_UNREACHABLE: Millis = 1000.0;
/// A connection that is not up by then never will be: coming up needs no turn.
const CONNECT_TIMEOUT: Millis = 1000.0;
/// Bound of a whole call, up to its first line. A call that waits its turn is silent meanwhile: given up sooner, its
/// place would be served for nothing, and an overbooked service would answer nobody in time.
const CALL_TIMEOUT: Millis = 3000.0;
/// A watch that is silent for longer than its heartbeats, one each 2 s, hangs on a dead machine.
const SILENCE_TIMEOUT: Millis = 3000.0;
/// Sends end by so much before the last moment. Discovery writes a change to one watch after another, so a line on one
/// does not tell that it has none that others have heard; and the line and the request take their way.
const STALE_MARGIN: Millis = 400.0;
/// When a client refused for want of a current list should come back.
const STALE_RETRY: Millis = 1000.0;

impl Balancer {
    /// Takes in what the transport sees of discovery.
    pub(crate) fn discover(&mut self, now: Millis, event: DiscoveryEvent, out: &mut Vec<Action>) {
        match event {
            DiscoveryEvent::Moved => {
                let assumed_by = now + self.cfg.notification_bounds.unwrap_or_default().after_move;
                if let Some(call) = self.subscription.moved(now, assumed_by) {
                    out.push(Action::Unsubscribe { call, reason: CancelReason::Moved });
                }
            }
            DiscoveryEvent::TakeoverStarted => {
                let assumed_by = now + self.cfg.notification_bounds.unwrap_or_default().after_takeover;
                self.subscription.assume_by(assumed_by);
            }
            DiscoveryEvent::Connected(call) => self.subscription.connected(call),
            DiscoveryEvent::Update { call, read_at, version, complete: whole, entries } => {
                match self.subscription.admission(call, version, whole) {
                    Admission::Apply => {
                        self.heard_discovery(call, read_at, Some(version), out);
                        self.apply_list(now, whole, entries);
                    }
                    Admission::NothingNew => self.heard_discovery(call, read_at, None, out),
                    Admission::Ignore => {}
                    Admission::Reject => self.give_up_call(now, CancelReason::VersionGap, out),
                }
            }
            DiscoveryEvent::Heartbeat { call, read_at } => {
                if self.subscription.confirms(call) {
                    self.heard_discovery(call, read_at, None, out);
                }
            }
            DiscoveryEvent::Ended { call, at, end } => {
                if self.subscription.ended(call, at, end) {
                    self.put_off_call(now);
                }
            }
        }
        self.follow_discovery(now, out);
    }

    /// Takes in a list by a transport that loses none, or from memory.
    pub(crate) fn list(&mut self, now: Millis, scope: ListScope, entries: Vec<Endpoint>) {
        let call = self.subscription.call();
        match (scope, call) {
            (ListScope::Failed, Some(call)) => {
                self.subscription.ended(call, now, CallEnd::Closed);
                self.put_off_call(now);
            }
            (ListScope::Full | ListScope::Delta, Some(call)) => {
                self.subscription.heard(call, now, None);
            }
            (_, None) | (ListScope::Cached, _) => {}
        }
        if scope != ListScope::Failed {
            self.apply_list(now, scope == ListScope::Full, entries);
        }
    }

    /// Notes the lines of a list, and what follows from them for each server.
    pub(crate) fn apply_list(&mut self, now: Millis, whole: bool, entries: Vec<Endpoint>) {
        for k in self.record_all(now, whole, entries) {
            let s = &mut self.servers[k];
            if s.restarted {
                // A new process: cold, and nothing known against it. The random start of its budget keeps
                // the proxies from all sending their first request at once.
                (s.restarted, s.fresh, s.tokens, s.tokens_at) = (false, true, self.rng.f64(), now);
                s.forgive(now);
            }
            self.size(k);
            self.rate(k, self.warmth(k, now), now);
        }
    }

    /// Gives up a call that takes too long, and makes the next one when it is due.
    pub(crate) fn follow_discovery(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.cfg.notification_bounds.is_some()
            && let Some(reason) = self.overdue(now)
        {
            self.give_up_call(now, reason, out);
        }
        let calls = self.cfg.notification_bounds.is_some() || self.cfg.discovery == DiscoveryMode::OnRequest;
        if let Phase::Disconnected { retry_at } = self.subscription.phase
            && calls
            && now >= retry_at
        {
            let (call, after) = self.subscription.open(now);
            out.push(Action::Subscribe { call, after });
        }
    }

    /// Why the open call is to be given up, if it is.
    fn overdue(&self, now: Millis) -> Option<CancelReason> {
        let (bound, reason) = match self.subscription.phase {
            Phase::Disconnected { .. } => return None,
            Phase::Connecting { since, .. } => (since + CONNECT_TIMEOUT, CancelReason::ConnectTimeout),
            Phase::Waiting { since, .. } => (since + CALL_TIMEOUT, CancelReason::AnswerTimeout),
            Phase::Synchronised { heard_at, .. } => (heard_at + SILENCE_TIMEOUT, CancelReason::Silent),
        };
        (now >= bound).then_some(reason)
    }

    fn give_up_call(&mut self, now: Millis, reason: CancelReason, out: &mut Vec<Action>) {
        if let Some(call) = self.subscription.cancel(now, reason) {
            out.push(Action::Unsubscribe { call, reason });
            self.put_off_call(now);
        }
    }

    fn heard_discovery(
        &mut self, call: CallId, read_at: Millis, version: Option<u64>, out: &mut Vec<Action>,
    ) {
        if let Some(call) = self.subscription.heard(call, read_at, version) {
            out.push(Action::Unsubscribe { call, reason: CancelReason::Moved });
        }
    }

    /// Exponential back-off with full jitter: a service with more callers than it can answer is called less often the
    /// longer that lasts, and never by all proxies at once. A list about to become stale is asked for sooner.
    fn put_off_call(&mut self, now: Millis) {
        let (least, most) = match self.cfg.discovery {
            DiscoveryMode::Pushed => BACKOFF_PUSHED,
            DiscoveryMode::OnRequest => BACKOFF,
        };
        let most = if self.subscription.unreachable { most.min(BACKOFF_UNREACHABLE) } else { most };
        let doublings = self.subscription.failures.saturating_sub(1).min(16);
        let bound = (least * f64::from(1u32 << doublings)).min(most);
        // Once it is too late for that, more calls would only keep the service busy.
        let in_time = self.list_valid_until() - CALL_TIMEOUT - now;
        let bound = if in_time > least { bound.min(in_time) } else { bound };
        self.subscription.phase = Phase::Disconnected { retry_at: now + bound * self.rng.f64() };
    }

    /// Until when requests may be sent by the list that is held: no change that it lacks can have counted as known for
    /// longer than the grace before that.
    pub fn list_valid_until(&self) -> Millis {
        let Some(notification_bounds) = &self.cfg.notification_bounds else { return Millis::INFINITY };
        let limits = &self.cfg.limits;
        let assumed_at = self.subscription.assumed_at(
            self.cfg.discovery,
            notification_bounds,
            limits.notified_without_watch,
        );
        assumed_at + limits.drain_grace - STALE_MARGIN
    }

    /// The version of the list that is held; `None` if discovery has told none.
    pub fn list_version(&self) -> Option<u64> {
        self.subscription.version()
    }

    /// Whether an update of the list would be taken in.
    pub fn admits_update(&self, call: CallId, version: u64, whole: bool) -> bool {
        self.subscription.admission(call, version, whole) == Admission::Apply
    }

    /// Refuses all that wait: any server may be leaving, and it is not known which.
    pub(crate) fn refuse_waiting(&mut self, out: &mut Vec<Action>) {
        let waiting: Vec<RequestId> = self.queues.iter().flatten().copied().collect();
        for id in waiting {
            if self.requests.get(&id).is_some_and(|r| r.waiting) {
                let after = STALE_RETRY * (0.75 + 0.5 * draw(id.0, 0));
                self.answer_after(id, after, RejectionReason::StaleList, out);
            }
        }
        let requests = &self.requests;
        let waits = |id: &RequestId| requests.get(id).is_some_and(|r| r.waiting);
        self.queues.iter_mut().for_each(|queue| queue.retain(waits));
    }
}
