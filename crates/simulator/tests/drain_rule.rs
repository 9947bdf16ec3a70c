//! Tests of the rule on drains: the time from which a change counts as notified to a proxy, and the reason.

use leadrelay_core::{Endpoint, EndpointId, EndpointState};
use leadrelay_simulator::drain_rule::{DrainRule, NotificationBasis, WrittenList};
use leadrelay_simulator::index::{BackendIndex, ProxyIndex};

const PROXY: ProxyIndex = ProxyIndex(0);
const BACKEND: BackendIndex = BackendIndex(7);

fn entry(state: EndpointState) -> Endpoint {
    Endpoint { id: EndpointId(BACKEND.0 as u64), state, ..Endpoint::default() }
}

/// Writes entries to the proxy from the present address of discovery.
fn write(rule: &mut DrainRule, at: f64, complete: bool, entries: &[Endpoint]) {
    rule.list_written(at, PROXY, WrittenList { former_address: false, complete, entries });
}

/// Records that discovery has the backend's drain.
fn drain(rule: &mut DrainRule, at: f64) {
    rule.discovery_updated(at, &entry(EndpointState::Draining));
}

/// A rule for one proxy, which has an open watch and the backend on its list.
fn rule_with_open_watch(pushed: bool) -> DrainRule {
    let mut rule = DrainRule::new(1, pushed);
    write(&mut rule, 1000.0, true, &[entry(EndpointState::Up)]);
    rule
}

/// The time from which the backend's drain counts as notified to the proxy, and the reason.
fn notified(rule: &DrainRule) -> Option<(f64, NotificationBasis)> {
    rule.notified_since(PROXY, BACKEND).map(|notified| (notified.at, notified.basis))
}

#[test]
fn drain_counts_as_notified_6_s_after_discovery_had_it() {
    let mut rule = rule_with_open_watch(false);
    assert_eq!(notified(&rule), None);
    drain(&mut rule, 10_000.0);
    assert_eq!(notified(&rule), Some((16_000.0, NotificationBasis::Assumed)), "whatever calls fail");
}

#[test]
fn written_drain_counts_as_notified_at_once_and_sends_have_a_grace() {
    let mut rule = rule_with_open_watch(false);
    drain(&mut rule, 10_000.0);
    write(&mut rule, 10_500.0, false, &[entry(EndpointState::Draining)]);
    assert_eq!(notified(&rule), Some((10_500.0, NotificationBasis::Written)));
    assert!(rule.check(PROXY, BACKEND, 12_550.0).is_ok(), "the grace and its tolerance");
    let violation = rule.check(PROXY, BACKEND, 12_551.0).expect_err("it is too late").to_string();
    assert_eq!(
        violation,
        "proxy 0, backend 7: notified since 10500 (Written), first byte at 12551, 1 ms too late"
    );
}

#[test]
fn complete_list_without_backend_notifies_its_removal() {
    let mut rule = rule_with_open_watch(false);
    drain(&mut rule, 10_000.0);
    write(&mut rule, 11_000.0, true, &[]);
    assert_eq!(notified(&rule), Some((11_000.0, NotificationBasis::Written)));
}

#[test]
fn stalled_watch_counts_until_list_is_written_again() {
    let mut rule = rule_with_open_watch(false);
    rule.watch_stalled(8000.0, PROXY);
    drain(&mut rule, 10_000.0);
    assert_eq!(notified(&rule), Some((14_000.0, NotificationBasis::Stalled)));
    write(&mut rule, 11_000.0, true, &[entry(EndpointState::Up)]);
    assert_eq!(notified(&rule), Some((16_000.0, NotificationBasis::Assumed)));
}

#[test]
fn drain_counts_as_notified_4_s_after_discovery_moved() {
    let mut rule = rule_with_open_watch(false);
    rule.discovery_moved(9000.0, PROXY);
    drain(&mut rule, 10_000.0);
    assert_eq!(notified(&rule), Some((13_000.0, NotificationBasis::Moved)));
}

#[test]
fn pushed_drain_counts_as_notified_from_the_start_of_a_process() {
    let mut rule = rule_with_open_watch(true);
    drain(&mut rule, 10_000.0);
    assert_eq!(notified(&rule), Some((10_000.0, NotificationBasis::Pushed)), "at once");
    rule.proxy_started(12_000.0, PROXY);
    assert_eq!(notified(&rule), Some((12_000.0, NotificationBasis::Pushed)));
}

#[test]
fn pushed_drain_behind_stalled_watch_counts_once_the_watch_is_closed() {
    let mut rule = rule_with_open_watch(true);
    rule.watch_stalled(9000.0, PROXY);
    drain(&mut rule, 10_000.0);
    assert_eq!(notified(&rule), Some((15_000.0, NotificationBasis::Stalled)));
    rule.watch_closed(12_000.0, PROXY);
    assert_eq!(notified(&rule), Some((12_000.0, NotificationBasis::Pushed)));
}

#[test]
fn pushed_drain_after_move_counts_by_the_move_until_backend_is_up_again() {
    let mut rule = rule_with_open_watch(true);
    rule.discovery_moved(9000.0, PROXY);
    drain(&mut rule, 10_000.0);
    assert_eq!(notified(&rule), Some((13_000.0, NotificationBasis::Moved)));
    rule.discovery_updated(11_000.0, &entry(EndpointState::Up));
    assert_eq!(notified(&rule), None, "it accepts requests again");
}
