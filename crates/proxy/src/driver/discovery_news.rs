//! What is seen of discovery, and what the core wants of it; backend lists reach the core here.

use leadrelay_core::{
    CallEnd, CallId, CancelReason, DiscoveryEvent, Endpoint, EndpointState, Event, ListScope,
};
use tokio::time::Instant;
use tracing::{info, warn};

use super::Driver;
use super::backends::Context;
use crate::discovery::{CallError, Calls, News, NewsReceiver, Report as CallReport, ServerList};
use crate::host::Host;

/// The next news of discovery; none ever comes where there is no discovery.
pub async fn next_news(discovery: &mut Option<(Calls, NewsReceiver)>) -> Option<News> {
    match discovery {
        Some((_, news)) => news.recv().await,
        None => std::future::pending().await,
    }
}

impl Driver {
    /// Takes in what the transport has to say of discovery.
    pub(super) fn discover(&mut self, news: News) {
        match news {
            News::Moved => self.handle(Event::Discovery(DiscoveryEvent::Moved)),
            News::Call(report) => self.call_report(report),
        }
    }

    fn call_report(&mut self, report: CallReport) {
        match report {
            CallReport::Connected(call) => self.handle(Event::Discovery(DiscoveryEvent::Connected(call))),
            CallReport::Heartbeat { call, read_at } => {
                self.last_news = read_at;
                let read_at = self.clock.at(read_at);
                self.handle(Event::Discovery(DiscoveryEvent::Heartbeat { call, read_at }));
            }
            CallReport::Update { call, read_at, list } => self.update(call, read_at, list),
            CallReport::Ended { call, at, error } => self.call_ended(call, at, &error),
        }
    }

    /// A call has ended; one that was given up before has been reported already.
    fn call_ended(&mut self, call: CallId, at: Instant, error: &CallError) {
        let ended = self.calls().and_then(|calls| calls.ended(call));
        let Some(address) = ended else { return };
        self.tally.calls_failed += 1;
        let end = error.end();
        match end {
            CallEnd::Malformed => {
                let version = self.balancer.list_version();
                warn!(%address, call = call.0, version, %error, "discovery can't be understood");
            }
            _ => info!(%address, call = call.0, %error, "a call to discovery has ended"),
        }
        let at = self.clock.at(at);
        self.handle(Event::Discovery(DiscoveryEvent::Ended { call, at, end }));
    }

    /// A call has delivered a list, or changes of one.
    fn update(&mut self, call: CallId, read_at: Instant, list: ServerList) {
        let ServerList { version, whole, hosts } = list;
        let admitted = self.balancer.admits_update(call, version, whole);
        match admitted {
            true => info!(call = call.0, version, whole, hosts = hosts.len(), "discovery has told its list"),
            false => info!(call = call.0, version, whole, "news of discovery changes nothing or is stale"),
        }
        // Endpoints change first: what the core sends by the new list needs them. A list that the core would not take
        // in changes none.
        let entries = if admitted { self.apply_hosts(whole, hosts) } else { Vec::new() };
        self.last_news = read_at;
        let read_at = self.clock.at(read_at);
        self.handle(Event::Discovery(DiscoveryEvent::Update {
            call,
            read_at,
            version,
            complete: whole,
            entries,
        }));
        if admitted && whole {
            self.serve();
        }
    }

    /// Takes in a list that is fixed or remembered.
    pub(super) fn apply_list(&mut self, scope: ListScope, hosts: Vec<Host>) {
        let entries = self.apply_hosts(true, hosts);
        let in_use = entries.iter().any(|entry| entry.state == EndpointState::Up);
        self.handle(Event::List { scope, entries });
        match scope {
            ListScope::Full => self.serve(),
            ListScope::Cached => self.has_remembered_list |= in_use,
            ListScope::Delta | ListScope::Failed => {}
        }
    }

    fn apply_hosts(&mut self, whole: bool, hosts: Vec<Host>) -> Vec<Endpoint> {
        self.clock.follow_wall_clock();
        let mut context = Context {
            balancer: &self.balancer,
            clock: &self.clock,
            names: &mut self.names,
            upstreams: &self.parts.upstreams,
        };
        self.backends.apply(whole, hosts, &mut context)
    }

    /// Opens a call to discovery.
    pub(super) fn subscribe(&mut self, call: CallId, after: Option<u64>) {
        self.tally.calls_opened += 1;
        if let Some(calls) = self.calls() {
            calls.open(call, after);
        }
    }

    fn calls(&mut self) -> Option<&mut Calls> {
        self.parts.discovery.as_mut().map(|(calls, _)| calls)
    }

    /// Gives a call up.
    pub(super) fn unsubscribe(&mut self, call: CallId, reason: CancelReason) {
        let cancelled = self.calls().and_then(|calls| calls.cancel(call));
        let Some(address) = cancelled else { return };
        if reason != CancelReason::Moved {
            self.tally.calls_failed += 1;
        }
        info!(%address, call = call.0, ?reason, "a call to discovery is given up");
    }
}
