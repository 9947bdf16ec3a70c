//! The subscription to the endpoint list: its calls to discovery, and until when requests may be sent by the current
//! list.
mod common;

use common::{endpoint, request, settings};
use leadrelay_core::*;

/// Time for which sends to an endpoint are still allowed after its drain or removal was notified, in ms.
const GRACE: f64 = 2000.0;
/// A grace hardly longer than `MARGIN`, in ms.
const SHORT_GRACE: f64 = 500.0;
/// Time after which a missed change counts as notified, in ms.
const AFTER_CHANGE: f64 = 6000.0;
/// Time after which changes count as notified once discovery has moved, in ms.
const AFTER_MOVE: f64 = 4000.0;
/// Longest time before the end of the grace at which sends may already stop, in ms.
const MARGIN: f64 = 450.0;
/// Time between two ticks of the balancer, in ms.
const TICK: f64 = 20.0;

/// A proxy, its calls to discovery, and its sends and rejections.
struct Proxy {
    balancer: Balancer,
    now: f64,
    next_tick: f64,
    opened: Vec<(CallId, Option<u64>)>,
    cancelled: Vec<(CallId, CancelReason)>,
    sent: Vec<EndpointId>,
    rejected: Vec<Option<f64>>,
}

impl Proxy {
    fn new(discovery: DiscoveryMode) -> Self {
        Proxy::with_grace(discovery, GRACE)
    }

    fn with_grace(discovery: DiscoveryMode, drain_grace: f64) -> Self {
        let notification_bounds = Some(NotificationBounds::default());
        let mut settings = Settings { discovery, notification_bounds, ..settings(1) };
        settings.limits.drain_grace = drain_grace;
        settings.limits.notified_without_watch = 10_000.0;
        let mut proxy = Proxy {
            balancer: Balancer::new(settings, 7),
            now: 0.0,
            next_tick: 0.0,
            opened: Vec::new(),
            cancelled: Vec::new(),
            sent: Vec::new(),
            rejected: Vec::new(),
        };
        proxy.handle(Event::List { scope: ListScope::Cached, entries: vec![endpoint(1), endpoint(2)] });
        proxy.run_until(TICK);
        assert_eq!(proxy.opened.len(), 1, "the first call is made at once");
        proxy
    }

    /// Returns a proxy that has version 5 of the list and an open watch.
    fn synchronized(discovery: DiscoveryMode) -> Self {
        let mut proxy = Proxy::new(discovery);
        proxy.send_list(5, true, vec![endpoint(1), endpoint(2)]);
        proxy
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { token: 0, at } => self.next_tick = at,
                Action::Subscribe { call, after } => self.opened.push((call, after)),
                Action::Unsubscribe { call, reason } => self.cancelled.push((call, reason)),
                Action::Send { endpoint, .. } => self.sent.push(endpoint),
                Action::Reject { retry_after, .. } => self.rejected.push(retry_after),
                _ => {}
            }
        }
    }

    fn handle_discovery(&mut self, event: DiscoveryEvent) {
        self.handle(Event::Discovery(event));
    }

    fn run_until(&mut self, end: f64) {
        while self.next_tick <= end {
            self.now = self.next_tick;
            self.handle(Event::Timer(0));
        }
        self.now = end;
    }

    fn call(&self) -> CallId {
        self.opened.last().expect("a call").0
    }

    fn send_list_on(&mut self, call: CallId, version: u64, complete: bool, entries: Vec<Endpoint>) {
        let read_at = self.now;
        self.handle_discovery(DiscoveryEvent::Update { call, read_at, version, complete, entries });
    }

    fn send_list(&mut self, version: u64, complete: bool, entries: Vec<Endpoint>) {
        self.send_list_on(self.call(), version, complete, entries);
    }

    fn heartbeat(&mut self) {
        let (call, read_at) = (self.call(), self.now);
        self.handle_discovery(DiscoveryEvent::Heartbeat { call, read_at });
    }

    fn end_call(&mut self, end: CallEnd) {
        let (call, at) = (self.call(), self.now);
        self.handle_discovery(DiscoveryEvent::Ended { call, at, end });
    }

    /// Advances to `end`, and ends every call that is opened meanwhile with `call_end`.
    fn fail_until(&mut self, end: f64, call_end: CallEnd) {
        let mut handled_calls = self.opened.len();
        while self.now < end {
            self.run_until(self.now + TICK);
            if self.opened.len() > handled_calls {
                handled_calls = self.opened.len();
                self.end_call(call_end);
            }
        }
    }

    /// Returns whether a request that arrives now is sent; it has to be sent or rejected at once.
    fn is_request_sent(&mut self, id: u64) -> bool {
        let before = (self.sent.len(), self.rejected.len());
        self.handle(request(id, 0, 2000.0));
        let (sent, rejected) = (self.sent.len() > before.0, self.rejected.len() > before.1);
        assert!(sent != rejected, "the request is either sent or rejected, at once");
        if sent {
            self.handle(common::ended(id, 0, 10.0, Outcome::Served));
        }
        sent
    }

    /// Advances until another call is made.
    fn await_call(&mut self) {
        let calls = self.opened.len();
        while self.opened.len() == calls {
            self.run_until(self.now + TICK);
        }
    }

    /// Asserts that the list is valid until the grace after `notified_at`, less `MARGIN` at most.
    fn assert_valid_until_grace_after(&self, notified_at: f64) {
        let valid_until = self.balancer.list_valid_until();
        let end_of_grace = notified_at + GRACE;
        assert!(
            valid_until <= end_of_grace && valid_until > end_of_grace - MARGIN,
            "{valid_until} for {end_of_grace}"
        );
    }
}

#[test]
fn list_is_valid_while_watch_sends_heartbeats_and_for_a_grace_after() {
    for discovery in [DiscoveryMode::Pushed, DiscoveryMode::OnRequest] {
        let mut proxy = Proxy::synchronized(discovery);
        for second in 1..30u32 {
            proxy.run_until(1000.0 * f64::from(second));
            proxy.heartbeat();
            assert!(proxy.is_request_sent(second.into()));
        }
        assert_eq!((proxy.opened.len(), proxy.cancelled.len()), (1, 0));
        proxy.assert_valid_until_grace_after(29_000.0 + AFTER_CHANGE);
    }
}

#[test]
fn silent_watch_is_cancelled_and_missed_changes_count_as_notified_later() {
    let mut proxy = Proxy::synchronized(DiscoveryMode::OnRequest);
    let (received_at, silent) = (proxy.now, proxy.call());
    proxy.run_until(received_at + 3100.0);
    assert_eq!(proxy.cancelled, [(silent, CancelReason::Silent)]);
    proxy.fail_until(received_at + AFTER_CHANGE + GRACE - MARGIN, CallEnd::Closed);
    proxy.assert_valid_until_grace_after(received_at + AFTER_CHANGE);
    assert!(proxy.is_request_sent(1));
    proxy.fail_until(received_at + AFTER_CHANGE + GRACE, CallEnd::Closed);
    assert!(!proxy.is_request_sent(2));
    assert!(proxy.rejected.last().expect("a rejection").is_some(), "the rejection says when to retry");
    proxy.await_call();
    proxy.send_list(6, true, vec![endpoint(1)]);
    assert!(proxy.is_request_sent(3));
}

#[test]
fn waiting_requests_are_rejected_once_list_is_stale() {
    let mut proxy = Proxy::synchronized(DiscoveryMode::OnRequest);
    let received_at = proxy.now;
    proxy.fail_until(received_at + AFTER_CHANGE + GRACE - MARGIN - 300.0, CallEnd::Closed);
    for id in 0..200 {
        proxy.handle(request(id, 1, 5000.0));
    }
    let waiting = 200 - proxy.sent.len() - proxy.rejected.len();
    assert!(waiting > 0, "there are more requests than slots");
    let sent = proxy.sent.len();
    proxy.fail_until(received_at + AFTER_CHANGE + GRACE, CallEnd::Closed);
    for id in 0..sent as u64 {
        proxy.handle(common::ended(id, 0, 50.0, Outcome::Served));
    }
    assert_eq!(proxy.sent.len(), sent, "slots that become free are not used");
    assert_eq!(proxy.rejected.len(), 200 - sent);
}

#[test]
fn grace_of_pushed_list_starts_when_watch_ends() {
    let mut proxy = Proxy::synchronized(DiscoveryMode::Pushed);
    proxy.run_until(1500.0);
    proxy.end_call(CallEnd::Closed);
    proxy.assert_valid_until_grace_after(1500.0);
    let mut silent = Proxy::synchronized(DiscoveryMode::Pushed);
    let received_at = silent.now;
    silent.run_until(received_at + 3100.0);
    silent.assert_valid_until_grace_after(silent.cancelled.first().map_or(0.0, |_| received_at + 3000.0));
    Proxy::new(DiscoveryMode::Pushed).assert_valid_until_grace_after(0.0);
}

#[test]
fn unreachable_discovery_extends_validity() {
    for discovery in [DiscoveryMode::Pushed, DiscoveryMode::OnRequest] {
        let mut proxy = Proxy::synchronized(discovery);
        proxy.end_call(CallEnd::Closed);
        proxy.fail_until(60_000.0, CallEnd::Unreachable);
        assert!(proxy.is_request_sent(1), "{discovery:?}");
        let calls = proxy.opened.len();
        assert!((60..400).contains(&calls), "{calls} calls in a minute");
    }
}

/// Guards against requests that are rejected between two calls to a discovery agent that is down.
#[test]
fn list_stays_valid_between_refused_calls_to_agent() {
    let mut proxy = Proxy::with_grace(DiscoveryMode::Pushed, SHORT_GRACE);
    proxy.end_call(CallEnd::Unreachable);
    let mut id = 0;
    while proxy.now < 20_000.0 {
        proxy.fail_until(proxy.now + TICK, CallEnd::Unreachable);
        id += 1;
        assert!(proxy.is_request_sent(id), "at {} ms", proxy.now);
    }
    let calls = proxy.opened.len();
    assert!(calls < 20 * 25, "{calls} calls in 20 s");
}

/// Guards against requests that are rejected because the process was paused between two refused calls.
#[test]
fn request_after_pause_waits_for_the_next_call_to_agent() {
    let mut proxy = Proxy::with_grace(DiscoveryMode::Pushed, SHORT_GRACE);
    proxy.end_call(CallEnd::Unreachable);
    proxy.fail_until(1000.0, CallEnd::Unreachable);
    for id in 0..5 {
        proxy.now += 300.0; // without a tick
        let calls = proxy.opened.len();
        proxy.handle(request(id, 0, 2000.0));
        assert_eq!((proxy.sent.len(), proxy.rejected.len()), (id as usize, 0), "the request waits");
        assert_eq!(proxy.opened.len(), calls + 1, "the call is made at once");
        proxy.now += 5.0;
        let (call, at) = (proxy.call(), proxy.now - 5.0);
        proxy.handle_discovery(DiscoveryEvent::Ended { call, at, end: CallEnd::Unreachable });
        assert_eq!(proxy.sent.len(), id as usize + 1, "the refusal shows that the list is valid");
        proxy.handle(common::ended(id, 0, 10.0, Outcome::Served));
    }
}

#[test]
fn request_is_rejected_if_call_to_agent_hangs() {
    let mut proxy = Proxy::with_grace(DiscoveryMode::Pushed, SHORT_GRACE);
    proxy.end_call(CallEnd::Unreachable);
    proxy.run_until(1000.0);
    let started_at = proxy.now;
    proxy.handle(request(1, 0, 2000.0));
    proxy.run_until(started_at + 300.0);
    assert_eq!((proxy.sent.len(), proxy.rejected.len()), (0, 1));
    assert!(!proxy.is_request_sent(2), "later requests are rejected at once");
}

#[test]
fn requests_are_rejected_at_once_if_grace_is_shorter_than_margin() {
    let mut proxy = Proxy::with_grace(DiscoveryMode::Pushed, 100.0);
    proxy.end_call(CallEnd::Unreachable);
    proxy.fail_until(10_000.0, CallEnd::Unreachable);
    assert!(!proxy.is_request_sent(1));
    assert!(proxy.opened.len() < 200, "{} calls in 10 s", proxy.opened.len());
}

#[test]
fn failures_during_outage_do_not_delay_calls_after_it() {
    let mut waits = Vec::new();
    for _ in 0..20 {
        let mut proxy = Proxy::synchronized(DiscoveryMode::OnRequest);
        proxy.end_call(CallEnd::Closed);
        proxy.fail_until(20_000.0, CallEnd::Unreachable);
        let started_at = proxy.now;
        proxy.await_call();
        assert!(proxy.now - started_at <= 1000.0 + TICK);
        proxy.end_call(CallEnd::Closed);
        let started_at = proxy.now;
        proxy.await_call();
        waits.push(proxy.now - started_at);
    }
    assert!(waits.iter().all(|wait| *wait <= 500.0 + TICK), "{waits:?}");
}

#[test]
fn malformed_update_counts_as_notified_at_once() {
    let mut proxy = Proxy::synchronized(DiscoveryMode::OnRequest);
    proxy.run_until(1000.0);
    proxy.end_call(CallEnd::Malformed);
    proxy.assert_valid_until_grace_after(1000.0);
    proxy.run_until(1600.0);
    assert_eq!(proxy.opened.last().expect("a call").1, Some(5), "the watch resumes");
    proxy.end_call(CallEnd::Malformed);
    proxy.run_until(2800.0);
    assert_eq!(proxy.opened.last().expect("a call").1, None, "then the complete list is requested");
    proxy.send_list(7, true, vec![endpoint(1)]);
    proxy.assert_valid_until_grace_after(proxy.now + AFTER_CHANGE);
}

#[test]
fn one_timeout_covers_a_whole_call() {
    let mut proxy = Proxy::new(DiscoveryMode::OnRequest);
    let (started_at, first) = (proxy.now, proxy.call());
    proxy.run_until(started_at + 1100.0);
    assert_eq!(proxy.cancelled, [(first, CancelReason::ConnectTimeout)]);
    proxy.run_until(started_at + 1700.0);
    let (started_at, second) = (proxy.now, proxy.call());
    assert_ne!(first, second);
    proxy.handle_discovery(DiscoveryEvent::Connected(first)); // belongs to a cancelled call
    proxy.handle_discovery(DiscoveryEvent::Connected(second));
    proxy.run_until(started_at + 2300.0);
    assert_eq!(proxy.cancelled.len(), 1, "the call may still wait for its list");
    proxy.run_until(started_at + 3100.0);
    assert_eq!(proxy.cancelled[1], (second, CancelReason::AnswerTimeout));
}

#[test]
fn heartbeat_before_list_confirms_nothing() {
    let mut proxy = Proxy::synchronized(DiscoveryMode::OnRequest);
    proxy.end_call(CallEnd::Closed);
    let ended_at = proxy.now;
    proxy.await_call();
    let (started_at, call) = (proxy.now, proxy.call());
    proxy.handle_discovery(DiscoveryEvent::Connected(call));
    for _ in 0..2 {
        proxy.run_until(proxy.now + 1000.0);
        proxy.heartbeat();
        proxy.assert_valid_until_grace_after(ended_at + AFTER_CHANGE);
    }
    proxy.run_until(started_at + 3100.0);
    assert_eq!(proxy.cancelled, [(call, CancelReason::AnswerTimeout)]);
    proxy.run_until(started_at + 4200.0);
    assert_eq!(proxy.opened.last().expect("a call").1, None, "the complete list is requested");
    // The first message of a call may be an update without changes, which confirms the list.
    let mut proxy = Proxy::synchronized(DiscoveryMode::OnRequest);
    proxy.end_call(CallEnd::Closed);
    proxy.await_call();
    proxy.send_list(5, false, Vec::new());
    proxy.assert_valid_until_grace_after(proxy.now + AFTER_CHANGE);
}

#[test]
fn watch_at_former_address_counts_until_new_address_sends_its_list() {
    let mut proxy = Proxy::synchronized(DiscoveryMode::OnRequest);
    let former = proxy.call();
    proxy.run_until(1000.0);
    proxy.handle_discovery(DiscoveryEvent::Moved);
    let new = proxy.call();
    assert_eq!(proxy.opened.last(), Some(&(new, None)), "a call for the complete list is made at once");
    assert!(former != new && proxy.cancelled.is_empty());
    proxy.assert_valid_until_grace_after(1000.0 + AFTER_MOVE);
    let draining = |id| Endpoint { state: EndpointState::Draining, ..endpoint(id) };
    proxy.send_list_on(former, 6, false, vec![draining(1)]);
    for id in 0..4 {
        assert!(proxy.is_request_sent(id));
    }
    assert!(proxy.sent.iter().all(|endpoint| endpoint.0 == 2), "{:?}", proxy.sent);
    proxy.assert_valid_until_grace_after(1000.0 + AFTER_MOVE);
    proxy.send_list_on(new, 3, true, vec![endpoint(1), draining(2)]);
    assert_eq!(proxy.cancelled, [(former, CancelReason::Moved)]);
    proxy.assert_valid_until_grace_after(proxy.now + AFTER_CHANGE);
    // Late updates from the former address are ignored.
    proxy.send_list_on(former, 7, true, vec![endpoint(1), endpoint(2)]);
    proxy.sent.clear();
    for id in 10..14 {
        assert!(proxy.is_request_sent(id));
    }
    assert!(proxy.sent.iter().all(|endpoint| endpoint.0 == 1), "{:?}", proxy.sent);
}

#[test]
fn list_becomes_stale_if_new_address_sends_no_list() {
    let mut proxy = Proxy::synchronized(DiscoveryMode::OnRequest);
    let former = proxy.call();
    proxy.handle_discovery(DiscoveryEvent::Moved);
    let moved_at = proxy.now;
    while proxy.now < moved_at + AFTER_MOVE + GRACE {
        proxy.run_until(proxy.now + 500.0);
        let read_at = proxy.now;
        proxy.handle_discovery(DiscoveryEvent::Heartbeat { call: former, read_at });
    }
    assert!(!proxy.is_request_sent(1));
}

#[test]
fn updates_are_admitted_by_their_version() {
    let mut proxy = Proxy::synchronized(DiscoveryMode::OnRequest);
    let draining = Endpoint { state: EndpointState::Draining, ..endpoint(1) };
    assert!(proxy.balancer.admits_update(proxy.call(), 6, false));
    assert!(
        !proxy.balancer.admits_update(proxy.call(), 4, true),
        "the update is older than the current list"
    );
    assert!(!proxy.balancer.admits_update(CallId(99), 6, true), "the update belongs to no open call");
    proxy.send_list(4, true, vec![draining]);
    assert_eq!(proxy.balancer.list_version(), Some(5));
    proxy.end_call(CallEnd::Closed);
    proxy.run_until(proxy.now + 600.0);
    // Changes up to a lower version do not follow the current list. A complete list of a lower version means that
    // discovery has started its versions again.
    let call = proxy.call();
    proxy.send_list(2, false, vec![endpoint(3)]);
    assert_eq!(proxy.cancelled, [(call, CancelReason::VersionGap)]);
    proxy.run_until(proxy.now + 1100.0);
    assert_eq!(proxy.opened.last().expect("a call").1, None);
    proxy.send_list(2, true, vec![endpoint(3)]);
    assert_eq!(proxy.balancer.list_version(), Some(2));
}

#[test]
fn takeover_shortens_validity() {
    let mut proxy = Proxy::new(DiscoveryMode::OnRequest);
    let started_at = proxy.now;
    proxy.handle_discovery(DiscoveryEvent::TakeoverStarted);
    proxy.assert_valid_until_grace_after(started_at + 2000.0);
    proxy.send_list(5, true, vec![endpoint(1)]);
    proxy.assert_valid_until_grace_after(proxy.now + AFTER_CHANGE);
}

#[test]
fn list_is_confirmed_by_its_watch_only() {
    let mut proxy = Proxy::new(DiscoveryMode::OnRequest);
    proxy.heartbeat();
    assert_eq!(proxy.balancer.list_confirmed_at(), None, "discovery has sent no list");
    proxy.send_list(5, true, vec![endpoint(1)]);
    proxy.run_until(proxy.now + 500.0);
    proxy.heartbeat();
    let confirmed_at = proxy.now;
    proxy.run_until(confirmed_at + 500.0);
    proxy.send_list(4, true, vec![endpoint(2)]);
    assert_eq!(
        proxy.balancer.list_confirmed_at(),
        Some(confirmed_at),
        "an older list does not confirm the current one"
    );
    proxy.end_call(CallEnd::Unreachable);
    proxy.await_call();
    proxy.heartbeat();
    assert_eq!(
        proxy.balancer.list_confirmed_at(),
        Some(confirmed_at),
        "a call that has sent no list does not confirm it either"
    );
    proxy.send_list(5, false, vec![]);
    assert_eq!(
        proxy.balancer.list_confirmed_at(),
        Some(proxy.now),
        "an update without changes confirms the list"
    );
}
