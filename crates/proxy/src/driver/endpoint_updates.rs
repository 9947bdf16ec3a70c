//! Handles endpoint lists from discovery, from the configuration and from a predecessor process. Opens and cancels
//! calls to discovery for the balancer, and tracks whether the endpoint list is valid.

use std::time::Duration;

use leadrelay_core::{
    CallEnd, CallId, CancelReason, DiscoveryEvent, Endpoint, EndpointState, Event, ListScope,
};
use tokio::time::Instant;
use tracing::{info, warn};

use super::Driver;
use super::endpoints::ListContext;
use super::start_times::ListTime;
use crate::discovery::{
    CallError, CallReport, DiscoveryCalls, DiscoveryReceiver, DiscoveryReport, EndpointList,
};
use crate::listed_endpoint::ListedEndpoint;

/// The age and the validity of the endpoint list.
pub struct ListStatus {
    /// When the last message from discovery was read, or the start of the process if there was none.
    pub(super) last_message_at: Instant,
    /// Whether the list is recent enough to send requests by it.
    pub(super) is_valid: bool,
    /// Whether a cached list has been applied that has an endpoint in state `Up`.
    pub(super) has_cached_list: bool,
}

impl ListStatus {
    /// The status at the start of the process.
    pub fn new() -> Self {
        ListStatus { last_message_at: Instant::now(), is_valid: true, has_cached_list: false }
    }

    /// The time since the last message from discovery.
    pub fn age(&self) -> Duration {
        self.last_message_at.elapsed()
    }
}

/// Waits for the next report about discovery. Stays pending forever if the endpoint list is fixed.
pub async fn next_report(
    discovery: &mut Option<(DiscoveryCalls, DiscoveryReceiver)>,
) -> Option<DiscoveryReport> {
    match discovery {
        Some((_, reports)) => reports.recv().await,
        None => std::future::pending().await,
    }
}

impl Driver {
    /// Handles a report about discovery.
    pub(super) fn handle_discovery(&mut self, report: DiscoveryReport) {
        match report {
            DiscoveryReport::Moved => self.handle(Event::Discovery(DiscoveryEvent::Moved)),
            DiscoveryReport::Call(report) => self.handle_call_report(report),
        }
    }

    fn handle_call_report(&mut self, report: CallReport) {
        match report {
            CallReport::Connected(call) => self.handle(Event::Discovery(DiscoveryEvent::Connected(call))),
            CallReport::Heartbeat { call, read_at } => {
                self.list_status.last_message_at = read_at;
                let read_at = self.clock.to_millis(read_at);
                self.handle(Event::Discovery(DiscoveryEvent::Heartbeat { call, read_at }));
            }
            CallReport::Update { call, read_at, list } => self.handle_update(call, read_at, list),
            CallReport::Ended { call, at, error } => self.handle_call_end(call, at, &error),
        }
    }

    /// Handles the end of a call. Ignores calls that were cancelled, as their cancellation has already been logged.
    fn handle_call_end(&mut self, call: CallId, at: Instant, error: &CallError) {
        let called_address = self.calls().and_then(|calls| calls.remove_ended(call));
        let Some(address) = called_address else { return };
        self.stats.discovery_calls_failed += 1;
        let end = error.call_end();
        match end {
            CallEnd::Malformed => {
                let version = self.balancer.list_version();
                warn!(%address, call = call.0, version, %error, "discovery response is malformed");
            }
            CallEnd::Unreachable | CallEnd::Closed => {
                info!(%address, call = call.0, %error, "discovery call ended");
            }
        }
        let at = self.clock.to_millis(at);
        self.handle(Event::Discovery(DiscoveryEvent::Ended { call, at, end }));
    }

    /// Handles a complete list, or changes to it, that a call has delivered.
    fn handle_update(&mut self, call: CallId, read_at: Instant, list: EndpointList) {
        let EndpointList { version, complete, endpoints } = list;
        let admitted = self.balancer.admits_update(call, version, complete);
        match admitted {
            true => {
                let count = endpoints.len();
                info!(call = call.0, version, complete, endpoints = count, "endpoint list updated");
            }
            false => info!(call = call.0, version, complete, "endpoint list update ignored"),
        }
        // Update the upstreams first, because the balancer may send requests by the new list at once. A list that the
        // balancer does not admit must not change them.
        let entries = if admitted { self.apply_to_upstreams(complete, endpoints) } else { Vec::new() };
        self.list_status.last_message_at = read_at;
        let read_at = self.clock.to_millis(read_at);
        self.handle(Event::Discovery(DiscoveryEvent::Update { call, read_at, version, complete, entries }));
        if admitted && complete {
            self.become_ready();
        }
    }

    /// Applies a fixed list, or a cached one.
    pub(super) fn apply_list(&mut self, scope: ListScope, endpoints: Vec<ListedEndpoint>) {
        let entries = self.apply_to_upstreams(true, endpoints);
        let has_usable_endpoint = entries.iter().any(|entry| entry.state == EndpointState::Up);
        self.handle(Event::List { scope, entries });
        match scope {
            ListScope::Full => self.become_ready(),
            ListScope::Cached => self.list_status.has_cached_list |= has_usable_endpoint,
            ListScope::Delta | ListScope::Failed => {}
        }
    }

    /// Updates the upstreams from a list, and returns the list's entries for the balancer.
    fn apply_to_upstreams(&mut self, complete: bool, endpoints: Vec<ListedEndpoint>) -> Vec<Endpoint> {
        self.clock.check_wall_clock();
        let mut context = ListContext {
            balancer: &self.balancer,
            time: ListTime { clock: &self.clock, previous_confirmed_at: self.balancer.list_confirmed_at() },
            names: &mut self.names,
            upstreams: &self.parts.upstreams,
        };
        self.endpoints.apply(complete, endpoints, &mut context)
    }

    /// Opens a call to discovery.
    pub(super) fn subscribe(&mut self, call: CallId, after: Option<u64>) {
        self.stats.discovery_calls += 1;
        if let Some(calls) = self.calls() {
            calls.open(call, after);
        }
    }

    /// Cancels a call to discovery.
    pub(super) fn unsubscribe(&mut self, call: CallId, reason: CancelReason) {
        let called_address = self.calls().and_then(|calls| calls.cancel(call));
        let Some(address) = called_address else { return };
        if reason != CancelReason::Moved {
            self.stats.discovery_calls_failed += 1;
        }
        info!(%address, call = call.0, ?reason, "discovery call cancelled");
    }

    fn calls(&mut self) -> Option<&mut DiscoveryCalls> {
        self.parts.discovery.as_mut().map(|(calls, _)| calls)
    }

    /// Updates the time until which the upstreams may use the endpoint list: they don't write the first byte of a
    /// request after it. Logs when the list becomes stale or valid again.
    pub(super) fn update_list_validity(&mut self) {
        let valid_until = self.balancer.list_valid_until();
        self.parts.upstreams.set_list_valid_until(self.clock.to_instant(valid_until));
        let is_valid = self.clock.to_millis(Instant::now()) < valid_until;
        let was_valid = std::mem::replace(&mut self.list_status.is_valid, is_valid);
        if is_valid == was_valid {
            return;
        }
        let list_age_ms = self.list_status.age().as_millis() as u64;
        match is_valid {
            true => info!(list_age_ms, "endpoint list is valid again"),
            false => {
                warn!(list_age_ms, "endpoint list is stale, requests are rejected until discovery responds")
            }
        }
    }
}
