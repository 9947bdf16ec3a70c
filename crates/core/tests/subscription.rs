//! What is known of discovery, and until when requests may be sent by the list that is held.
mod common;

use common::{request, server, settings};
use leadrelay_core::*;

const GRACE: f64 = 2000.0;
const ASSUMED: f64 = 6000.0;
const MOVED: f64 = 4000.0;
/// Sends may end by so much before the last moment.
const MARGIN: f64 = 450.0;
const TICK: f64 = 20.0;

/// A proxy and the calls that it has open.
struct Proxy {
    balancer: Balancer,
    now: f64,
    next_tick: f64,
    opened: Vec<(CallId, Option<u64>)>,
    cancelled: Vec<(CallId, CancelReason)>,
    sent: Vec<EndpointId>,
    refused: Vec<Option<f64>>,
}

impl Proxy {
    fn new(discovery: DiscoveryMode) -> Self {
        let notification_bounds = Some(NotificationBounds::default());
        let mut settings = Settings { discovery, notification_bounds, ..settings(1) };
        settings.limits.drain_grace = GRACE;
        settings.limits.notified_without_watch = 10_000.0;
        let mut proxy = Proxy {
            balancer: Balancer::new(settings, 7),
            now: 0.0,
            next_tick: 0.0,
            opened: Vec::new(),
            cancelled: Vec::new(),
            sent: Vec::new(),
            refused: Vec::new(),
        };
        proxy.give(Event::List { scope: ListScope::Cached, entries: vec![server(1), server(2)] });
        proxy.run_until(TICK);
        assert_eq!(proxy.opened.len(), 1, "the first call is made at once");
        proxy
    }

    /// One that holds version 5 of the list, with a watch open.
    fn synchronised(discovery: DiscoveryMode) -> Self {
        let mut proxy = Proxy::new(discovery);
        proxy.tell(5, true, vec![server(1), server(2)]);
        proxy
    }

    fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { token: 0, at } => self.next_tick = at,
                Action::Subscribe { call, after } => self.opened.push((call, after)),
                Action::Unsubscribe { call, reason } => self.cancelled.push((call, reason)),
                Action::Send { endpoint, .. } => self.sent.push(endpoint),
                Action::Reject { retry_after, .. } => self.refused.push(retry_after),
                _ => {}
            }
        }
    }

    fn discover(&mut self, event: DiscoveryEvent) {
        self.give(Event::Discovery(event));
    }

    fn run_until(&mut self, end: f64) {
        while self.next_tick <= end {
            self.now = self.next_tick;
            self.give(Event::Timer(0));
        }
        self.now = end;
    }

    fn call(&self) -> CallId {
        self.opened.last().expect("a call").0
    }

    fn tell_on(&mut self, call: CallId, version: u64, whole: bool, entries: Vec<Endpoint>) {
        let read_at = self.now;
        self.discover(DiscoveryEvent::Update { call, read_at, version, complete: whole, entries });
    }

    fn tell(&mut self, version: u64, whole: bool, entries: Vec<Endpoint>) {
        self.tell_on(self.call(), version, whole, entries);
    }

    fn heartbeat(&mut self) {
        let (call, read_at) = (self.call(), self.now);
        self.discover(DiscoveryEvent::Heartbeat { call, read_at });
    }

    fn end(&mut self, end: CallEnd) {
        let (call, at) = (self.call(), self.now);
        self.discover(DiscoveryEvent::Ended { call, at, end });
    }

    /// Ends every call that is opened until then in this way.
    fn fail_until(&mut self, end: f64, with: CallEnd) {
        let mut seen = self.opened.len();
        while self.now < end {
            self.run_until(self.now + TICK);
            if self.opened.len() > seen {
                seen = self.opened.len();
                self.end(with);
            }
        }
    }

    /// Whether a request that comes now goes out.
    fn sends(&mut self, id: u64) -> bool {
        let before = (self.sent.len(), self.refused.len());
        self.give(request(id, 0, 2000.0));
        let (sent, refused) = (self.sent.len() > before.0, self.refused.len() > before.1);
        assert!(sent != refused, "one or the other, at once");
        if sent {
            self.give(common::ended(id, 0, 10.0, Outcome::Served));
        }
        sent
    }

    /// Waits until another call is made.
    fn await_call(&mut self) {
        let calls = self.opened.len();
        while self.opened.len() == calls {
            self.run_until(self.now + TICK);
        }
    }

    /// Asserts that the list is valid up to the grace after that moment, and hardly any sooner.
    fn valid_until_grace_after(&self, assumed_at: f64) {
        let valid_until = self.balancer.list_valid_until();
        let last = assumed_at + GRACE;
        assert!(valid_until <= last && valid_until > last - MARGIN, "{valid_until} for {last}");
    }
}

#[test]
fn a_list_stays_valid_while_its_watch_is_heard_and_for_a_while_after() {
    for discovery in [DiscoveryMode::Pushed, DiscoveryMode::OnRequest] {
        let mut proxy = Proxy::synchronised(discovery);
        for second in 1..30u32 {
            proxy.run_until(1000.0 * f64::from(second));
            proxy.heartbeat();
            assert!(proxy.sends(second.into()));
        }
        assert_eq!((proxy.opened.len(), proxy.cancelled.len()), (1, 0));
        proxy.valid_until_grace_after(29_000.0 + ASSUMED);
    }
}

#[test]
fn a_silent_watch_is_given_up_and_what_it_misses_counts_after_a_while() {
    let mut proxy = Proxy::synchronised(DiscoveryMode::OnRequest);
    let (heard_at, silent) = (proxy.now, proxy.call());
    proxy.run_until(heard_at + 3100.0);
    assert_eq!(proxy.cancelled, [(silent, CancelReason::Silent)]);
    proxy.fail_until(heard_at + ASSUMED + GRACE - MARGIN, CallEnd::Closed);
    proxy.valid_until_grace_after(heard_at + ASSUMED);
    assert!(proxy.sends(1));
    proxy.fail_until(heard_at + ASSUMED + GRACE, CallEnd::Closed);
    assert!(!proxy.sends(2));
    assert!(proxy.refused.last().expect("a refusal").is_some(), "told when to come back");
    proxy.await_call();
    proxy.tell(6, true, vec![server(1)]);
    assert!(proxy.sends(3));
}

#[test]
fn requests_that_wait_are_refused_once_the_list_is_no_longer_valid() {
    let mut proxy = Proxy::synchronised(DiscoveryMode::OnRequest);
    let heard_at = proxy.now;
    proxy.fail_until(heard_at + ASSUMED + GRACE - MARGIN - 300.0, CallEnd::Closed);
    for id in 0..200 {
        proxy.give(request(id, 1, 5000.0));
    }
    let waiting = 200 - proxy.sent.len() - proxy.refused.len();
    assert!(waiting > 0, "more than the servers' slots");
    let sent = proxy.sent.len();
    proxy.fail_until(heard_at + ASSUMED + GRACE, CallEnd::Closed);
    for id in 0..sent as u64 {
        proxy.give(common::ended(id, 0, 50.0, Outcome::Served));
    }
    assert_eq!(proxy.sent.len(), sent, "slots that come free are not used");
    assert_eq!(proxy.refused.len(), 200 - sent);
}

#[test]
fn where_lists_are_pushed_what_a_lost_watch_misses_counts_at_once() {
    let mut proxy = Proxy::synchronised(DiscoveryMode::Pushed);
    proxy.run_until(1500.0);
    proxy.end(CallEnd::Closed);
    proxy.valid_until_grace_after(1500.0);
    let mut silent = Proxy::synchronised(DiscoveryMode::Pushed);
    let heard_at = silent.now;
    silent.run_until(heard_at + 3100.0);
    silent.valid_until_grace_after(silent.cancelled.first().map_or(0.0, |_| heard_at + 3000.0));
    Proxy::new(DiscoveryMode::Pushed).valid_until_grace_after(0.0);
}

#[test]
fn a_discovery_that_refuses_connections_can_not_have_told_anything() {
    for discovery in [DiscoveryMode::Pushed, DiscoveryMode::OnRequest] {
        let mut proxy = Proxy::synchronised(discovery);
        proxy.end(CallEnd::Closed);
        proxy.fail_until(60_000.0, CallEnd::Unreachable);
        assert!(proxy.sends(1), "{discovery:?}");
        let calls = proxy.opened.len();
        assert!((60..400).contains(&calls), "{calls} calls in a minute");
    }
}

#[test]
fn failures_while_discovery_was_down_do_not_put_off_calls_once_it_is_back() {
    let mut waits = Vec::new();
    for _ in 0..20 {
        let mut proxy = Proxy::synchronised(DiscoveryMode::OnRequest);
        proxy.end(CallEnd::Closed);
        proxy.fail_until(20_000.0, CallEnd::Unreachable);
        let from = proxy.now;
        proxy.await_call();
        assert!(proxy.now - from <= 1000.0 + TICK);
        proxy.end(CallEnd::Closed);
        let from = proxy.now;
        proxy.await_call();
        waits.push(proxy.now - from);
    }
    assert!(waits.iter().all(|wait| *wait <= 500.0 + TICK), "{waits:?}");
}

#[test]
fn news_that_can_not_be_read_counts_as_known_at_once() {
    let mut proxy = Proxy::synchronised(DiscoveryMode::OnRequest);
    proxy.run_until(1000.0);
    proxy.end(CallEnd::Malformed);
    proxy.valid_until_grace_after(1000.0);
    proxy.run_until(1600.0);
    assert_eq!(proxy.opened.last().expect("a call").1, Some(5), "the watch resumes");
    proxy.end(CallEnd::Malformed);
    proxy.run_until(2800.0);
    assert_eq!(proxy.opened.last().expect("a call").1, None, "then the whole list is wanted");
    proxy.tell(7, true, vec![server(1)]);
    proxy.valid_until_grace_after(proxy.now + ASSUMED);
}

#[test]
fn one_bound_holds_for_a_whole_call() {
    let mut proxy = Proxy::new(DiscoveryMode::OnRequest);
    let (started_at, first) = (proxy.now, proxy.call());
    proxy.run_until(started_at + 1100.0);
    assert_eq!(proxy.cancelled, [(first, CancelReason::ConnectTimeout)]);
    proxy.run_until(started_at + 1700.0);
    let (started_at, second) = (proxy.now, proxy.call());
    assert_ne!(first, second);
    proxy.discover(DiscoveryEvent::Connected(first)); // of a call that has been given up
    proxy.discover(DiscoveryEvent::Connected(second));
    proxy.run_until(started_at + 2300.0);
    assert_eq!(proxy.cancelled.len(), 1, "it may wait its turn");
    proxy.run_until(started_at + 3100.0);
    assert_eq!(proxy.cancelled[1], (second, CancelReason::AnswerTimeout));
}

#[test]
fn a_heartbeat_in_an_answer_that_has_told_nothing_confirms_nothing() {
    let mut proxy = Proxy::synchronised(DiscoveryMode::OnRequest);
    proxy.end(CallEnd::Closed);
    let ended_at = proxy.now;
    proxy.await_call();
    let (started_at, call) = (proxy.now, proxy.call());
    proxy.discover(DiscoveryEvent::Connected(call));
    for _ in 0..2 {
        proxy.run_until(proxy.now + 1000.0);
        proxy.heartbeat();
        proxy.valid_until_grace_after(ended_at + ASSUMED);
    }
    proxy.run_until(started_at + 3100.0);
    assert_eq!(proxy.cancelled, [(call, CancelReason::AnswerTimeout)]);
    proxy.run_until(started_at + 4200.0);
    assert_eq!(proxy.opened.last().expect("a call").1, None, "the whole list is wanted");
    // The first object may say that nothing has changed.
    let mut proxy = Proxy::synchronised(DiscoveryMode::OnRequest);
    proxy.end(CallEnd::Closed);
    proxy.await_call();
    proxy.tell(5, false, Vec::new());
    proxy.valid_until_grace_after(proxy.now + ASSUMED);
}

#[test]
fn after_a_move_the_former_watch_is_heeded_until_the_new_address_has_told_its_list() {
    let mut proxy = Proxy::synchronised(DiscoveryMode::OnRequest);
    let former = proxy.call();
    proxy.run_until(1000.0);
    proxy.discover(DiscoveryEvent::Moved);
    let new = proxy.call();
    assert_eq!(proxy.opened.last(), Some(&(new, None)), "a call is made at once, for the whole list");
    assert!(former != new && proxy.cancelled.is_empty());
    proxy.valid_until_grace_after(1000.0 + MOVED);
    let draining = |id| Endpoint { state: EndpointState::Draining, ..server(id) };
    proxy.tell_on(former, 6, false, vec![draining(1)]);
    for id in 0..4 {
        assert!(proxy.sends(id));
    }
    assert!(proxy.sent.iter().all(|backend| backend.0 == 2), "{:?}", proxy.sent);
    proxy.valid_until_grace_after(1000.0 + MOVED);
    proxy.tell_on(new, 3, true, vec![server(1), draining(2)]);
    assert_eq!(proxy.cancelled, [(former, CancelReason::Moved)]);
    proxy.valid_until_grace_after(proxy.now + ASSUMED);
    // Late lines of the former address undo nothing.
    proxy.tell_on(former, 7, true, vec![server(1), server(2)]);
    proxy.sent.clear();
    for id in 10..14 {
        assert!(proxy.sends(id));
    }
    assert!(proxy.sent.iter().all(|backend| backend.0 == 1), "{:?}", proxy.sent);
}

#[test]
fn a_move_without_an_answer_ends_the_list_s_validity_whatever_the_former_watch_says() {
    let mut proxy = Proxy::synchronised(DiscoveryMode::OnRequest);
    let former = proxy.call();
    proxy.discover(DiscoveryEvent::Moved);
    let moved_at = proxy.now;
    while proxy.now < moved_at + MOVED + GRACE {
        proxy.run_until(proxy.now + 500.0);
        let read_at = proxy.now;
        proxy.discover(DiscoveryEvent::Heartbeat { call: former, read_at });
    }
    assert!(!proxy.sends(1));
}

#[test]
fn versions_decide_what_is_news() {
    let mut proxy = Proxy::synchronised(DiscoveryMode::OnRequest);
    let draining = Endpoint { state: EndpointState::Draining, ..server(1) };
    assert!(proxy.balancer.admits_update(proxy.call(), 6, false));
    assert!(!proxy.balancer.admits_update(proxy.call(), 4, true), "older than what is held");
    assert!(!proxy.balancer.admits_update(CallId(99), 6, true), "of no call that is open");
    proxy.tell(4, true, vec![draining]);
    assert_eq!(proxy.balancer.list_version(), Some(5));
    proxy.end(CallEnd::Closed);
    proxy.run_until(proxy.now + 600.0);
    // Changes up to a lower version follow nothing; a whole list of one is a discovery that has begun anew.
    let call = proxy.call();
    proxy.tell(2, false, vec![server(3)]);
    assert_eq!(proxy.cancelled, [(call, CancelReason::VersionGap)]);
    proxy.run_until(proxy.now + 1100.0);
    assert_eq!(proxy.opened.last().expect("a call").1, None);
    proxy.tell(2, true, vec![server(3)]);
    assert_eq!(proxy.balancer.list_version(), Some(2));
}

#[test]
fn a_successor_has_little_time_until_it_must_know_the_list() {
    let mut proxy = Proxy::new(DiscoveryMode::OnRequest);
    let started_at = proxy.now;
    proxy.discover(DiscoveryEvent::TakeoverStarted);
    proxy.valid_until_grace_after(started_at + 2000.0);
    proxy.tell(5, true, vec![server(1)]);
    proxy.valid_until_grace_after(proxy.now + ASSUMED);
}
