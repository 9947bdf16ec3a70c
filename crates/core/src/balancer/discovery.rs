//! Handles discovery events: endpoint lists, and the calls to discovery that deliver them.

use super::Balancer;
use crate::actions::{Action, CancelReason};
use crate::discovery::{
    Phase, UpdateDisposition, cancel_reason, is_revalidating, refusal_extends_validity, retry_at,
};
use crate::endpoint::{Endpoint, ListScope};
use crate::events::{CallEnd, DiscoveryEvent};
use crate::ids::{CallId, Millis};
use crate::settings::{DiscoveryMode, NotificationBounds};

impl Balancer {
    /// Handles an event of a discovery transport that may lose updates.
    pub(super) fn handle_discovery(&mut self, now: Millis, event: DiscoveryEvent, out: &mut Vec<Action>) {
        match event {
            DiscoveryEvent::Moved => {
                let notified_by = now + self.notification_bounds().after_move;
                if let Some(call) = self.subscription.moved(now, notified_by) {
                    out.push(Action::Unsubscribe { call, reason: CancelReason::Moved });
                }
            }
            DiscoveryEvent::TakeoverStarted => {
                let notified_by = now + self.notification_bounds().after_takeover;
                self.subscription.add_notification_bound(notified_by);
            }
            DiscoveryEvent::Connected(call) => self.subscription.connected(call),
            DiscoveryEvent::Update { call, read_at, version, complete, entries } => {
                match self.subscription.classify_update(call, version, complete) {
                    UpdateDisposition::Apply => {
                        self.record_received(call, read_at, Some(version), out);
                        self.apply_list(now, complete, entries);
                    }
                    UpdateDisposition::Unchanged => self.record_received(call, read_at, None, out),
                    UpdateDisposition::Ignore => {}
                    UpdateDisposition::Reject => self.cancel_call(now, CancelReason::VersionGap, out),
                }
            }
            DiscoveryEvent::Heartbeat { call, read_at } => {
                if self.subscription.handle_heartbeat(call) {
                    self.record_received(call, read_at, None, out);
                }
            }
            DiscoveryEvent::Ended { call, at, end } => {
                if self.subscription.ended(call, at, end) {
                    self.schedule_call(now);
                }
            }
        }
        self.update_discovery_call(now, out);
    }

    /// Handles a list that comes from a cache or from a transport that loses no updates, or the failure to get one.
    pub(super) fn handle_list(&mut self, now: Millis, scope: ListScope, entries: Vec<Endpoint>) {
        if let Some(call) = self.subscription.call() {
            match scope {
                ListScope::Failed => {
                    self.subscription.ended(call, now, CallEnd::Closed);
                    self.schedule_call(now);
                }
                ListScope::Full | ListScope::Delta => {
                    self.subscription.received(call, now, None);
                }
                ListScope::Cached => {}
            }
        }
        if scope != ListScope::Failed {
            self.apply_list(now, scope == ListScope::Full, entries);
        }
    }

    /// Cancels a call to discovery that takes too long, and makes the next call when it is due.
    pub(super) fn update_discovery_call(&mut self, now: Millis, out: &mut Vec<Action>) {
        let may_lose_updates = self.settings.notification_bounds.is_some();
        if may_lose_updates && let Some(reason) = cancel_reason(self.subscription.phase(), now) {
            self.cancel_call(now, reason, out);
        }
        let makes_calls = may_lose_updates || self.settings.discovery == DiscoveryMode::OnRequest;
        if let Phase::Disconnected { retry_at } = self.subscription.phase()
            && makes_calls
            && now >= retry_at
        {
            self.open_call(now, out);
        }
    }

    /// Whether waiting requests are held although the list is stale, because a call to discovery may show that the list
    /// is still valid. Makes that call if none is open.
    pub(super) fn revalidate_list(&mut self, now: Millis, out: &mut Vec<Action>) -> bool {
        if self.queues.waiting() == 0 || !refusal_extends_validity(&self.subscription, &self.settings) {
            return false;
        }
        if matches!(self.subscription.phase(), Phase::Disconnected { .. }) {
            self.open_call(now, out);
        }
        is_revalidating(self.subscription.phase(), now)
    }

    fn open_call(&mut self, now: Millis, out: &mut Vec<Action>) {
        let (call, after) = self.subscription.open(now);
        out.push(Action::Subscribe { call, after });
    }

    fn cancel_call(&mut self, now: Millis, reason: CancelReason, out: &mut Vec<Action>) {
        if let Some(call) = self.subscription.cancel(now, reason) {
            out.push(Action::Unsubscribe { call, reason });
            self.schedule_call(now);
        }
    }

    /// Records that a call has confirmed the list, or sent it up to `version`. Cancels the watch at discovery's former
    /// address once it is no longer needed.
    fn record_received(
        &mut self, call: CallId, read_at: Millis, version: Option<u64>, out: &mut Vec<Action>,
    ) {
        if let Some(superseded) = self.subscription.received(call, read_at, version) {
            out.push(Action::Unsubscribe { call: superseded, reason: CancelReason::Moved });
        }
    }

    /// Schedules the next call to discovery after the previous one has ended.
    fn schedule_call(&mut self, now: Millis) {
        let uniform = self.rng.f64();
        let at = retry_at(now, &self.subscription, &self.settings, uniform);
        self.subscription.schedule_retry(at);
    }

    fn notification_bounds(&self) -> NotificationBounds {
        self.settings.notification_bounds.unwrap_or_default()
    }

    /// The version of the current endpoint list; `None` if discovery has not sent one.
    pub fn list_version(&self) -> Option<u64> {
        self.subscription.version()
    }

    /// When discovery last sent or confirmed the current endpoint list; `None` if discovery has not sent one.
    pub fn list_confirmed_at(&self) -> Option<Millis> {
        self.subscription.confirmed_at()
    }

    /// Whether an update with that call and version would be applied to the endpoint list.
    pub fn admits_update(&self, call: CallId, version: u64, complete: bool) -> bool {
        self.subscription.classify_update(call, version, complete) == UpdateDisposition::Apply
    }
}
