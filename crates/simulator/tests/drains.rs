//! Small days on which discovery fails while backends drain: no send goes out that the rule on drains forbids, and the
//! checker is seen to report who breaks it on the same day.
use std::collections::BTreeMap;
use std::path::Path;

use leadrelay_core::{
    Action, Balancer, DiscoveryEvent, Endpoint, EndpointId, EndpointState, Event, Settings,
};
use leadrelay_simulator::discovery::Outage;
use leadrelay_simulator::drain_invariant::{DrainInvariant, NotificationBasis};
use leadrelay_simulator::random::Range;
use leadrelay_simulator::scenario::{FaultKind, FaultSpec};
use leadrelay_simulator::settings::settings;
use leadrelay_simulator::{Policy, Result, Scenario, TrueState, Workload, play_by};

const RULE: &str = "drains are kept";
/// Proxies, and how many days are played with so many.
const FLEETS: [(usize, u64); 3] = [(5, 4), (31, 3), (300, 1)];
const SECONDS: f64 = 20.0;
/// Calls a second that an overbooked discovery answers for each proxy of the fleet.
const OVERBOOKED: f64 = 0.25;
/// And one that answers in time.
const QUICK: f64 = 20.0;

/// How lists come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Lists {
    Asked,
    Pushed,
}

fn fault(kind: FaultKind, second: f64, seconds: f64, part: f64, size: f64) -> FaultSpec {
    let at = Range::One(second / SECONDS);
    FaultSpec { kind, at, seconds: Range::One(seconds), part: Range::One(part), size: Range::One(size) }
}

/// A quarter of the backends drains over the span; they stay up and go on answering.
fn drain(second: f64, seconds: f64) -> FaultSpec {
    fault(FaultKind::DrainBackends, second, seconds, 0.25, 0.0)
}

/// A day with twelve backends and few requests for each proxy, whose clients try once.
fn scenario(proxies: usize, lists: Lists, calls_per_s: f64, faults: Vec<FaultSpec>) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/headend.toml");
    let mut s = Scenario::read(&file).expect("good");
    (s.proxies, s.backends, s.seconds) = (proxies, 12, SECONDS);
    (s.load, s.proxy_spread, s.zone_skew) = (Range::One(0.4), Range::One(0.1), Range::One(0.0));
    s.classes.iter_mut().for_each(|class| class.work_ms = Range::One(20.0));
    s.clients.retries = 0;
    // Messages between proxies have no part in this, and cost the most time at full size.
    s.network.peer_loss = 1.0;
    s.discovery.notice_s = Range::One(0.1);
    s.discovery.calls_per_s = Range::One(calls_per_s * proxies as f64);
    s.discovery.pushed = lists == Lists::Pushed;
    s.faults = faults;
    s
}

/// Takes every backend that it was ever told of for one that takes work.
struct IgnoresDrains {
    core: Balancer,
    known: BTreeMap<EndpointId, Endpoint>,
}

impl IgnoresDrains {
    fn new(settings: Settings, seed: u64) -> Self {
        IgnoresDrains { core: Balancer::new(settings, seed), known: BTreeMap::new() }
    }
}

impl Policy for IgnoresDrains {
    fn handle(&mut self, now: f64, mut event: Event, _: (&TrueState, &TrueState), out: &mut Vec<Action>) {
        if let Event::List { entries, .. } | Event::Discovery(DiscoveryEvent::Update { entries, .. }) =
            &mut event
        {
            for line in entries.drain(..).filter(|line| line.state != EndpointState::Removed) {
                self.known.insert(line.id, Endpoint { state: EndpointState::Up, ..line });
            }
            entries.extend(self.known.values().cloned());
        }
        self.core.handle(now, event, out);
    }

    fn follows_calls(&self) -> bool {
        true
    }
}

fn play_core(day: &Workload) -> Result {
    play_by(day, "core", &|p, seed| Box::new(Balancer::new(settings(day, p), seed)))
}

/// Plays a day by the core without a bound on the age of its list.
fn play_unbounded(day: &Workload) -> Result {
    let settings = |p| Settings { notification_bounds: None, ..settings(day, p) };
    play_by(day, "unbounded", &|p, seed| Box::new(Balancer::new(settings(p), seed)))
}

fn play_ignorant(day: &Workload) -> Result {
    play_by(day, "ignores drains", &|p, seed| Box::new(IgnoresDrains::new(settings(day, p), seed)))
}

fn drains_broken(result: &Result) -> usize {
    result.broken.iter().filter(|broken| broken.rule == RULE).count()
}

/// The part of all tries that were refused for want of a list.
fn refused_without_list(result: &Result) -> f64 {
    result.sums.refused_without_list as f64 / result.sums.tries as f64
}

/// What a day is to show beside that the core keeps the rules.
#[derive(Clone, Copy)]
struct Expected {
    /// The most that may be refused for want of a list, as a part of all tries.
    refused: f64,
    /// A core with no bound on the age of its list breaks the rule.
    unbounded_breaks: bool,
}

const ANY: Expected = Expected { refused: 1.0, unbounded_breaks: false };

/// Plays the days of a scenario; each has to show the offender as well.
fn hold(name: &str, proxies: usize, days: u64, expected: Expected, scenario: &Scenario) {
    let (mut ignorant, mut unbounded) = (0u64, 0u64);
    for seed in 1..=days {
        let day = Workload::sample(scenario, seed);
        let core = play_core(&day);
        let told = format!("{name}, {proxies} proxies, seed {seed}");
        assert_eq!(core.broken_rules, 0, "{told}: {:#?}", core.broken);
        assert!(core.sums.attempts > 200 && core.served > 0.2, "{told}: {} served", core.served);
        let refused = refused_without_list(&core);
        println!("{told}: served {:.3}, refused without a list {refused:.4}", core.served);
        assert!(refused <= expected.refused, "{told}: {refused} refused without a list");
        ignorant += u64::from(drains_broken(&play_ignorant(&day)) > 0);
        unbounded += u64::from(expected.unbounded_breaks && drains_broken(&play_unbounded(&day)) > 0);
    }
    assert_eq!(ignorant, days, "{name}, {proxies} proxies: the checker reports who ignores drains");
    if expected.unbounded_breaks {
        assert_eq!(unbounded, days, "{name}, {proxies} proxies: the checker reports who trusts an old list");
    }
}

fn all_fleets(name: &str, expected: Expected, of: impl Fn(usize) -> Scenario) {
    for (proxies, days) in FLEETS {
        hold(name, proxies, days, expected, &of(proxies));
    }
}

#[test]
fn a_day_without_a_fault_of_discovery_refuses_nobody_for_want_of_a_list() {
    for lists in [Lists::Asked, Lists::Pushed] {
        let expected = Expected { refused: 0.0, ..ANY };
        all_fleets(&format!("calm, {lists:?}"), expected, |proxies| {
            scenario(proxies, lists, QUICK, vec![drain(6.0, 3.0)])
        });
    }
}

#[test]
fn an_overbooked_discovery_after_a_reset_of_all_watches() {
    let expected = Expected { refused: 0.05, ..ANY };
    all_fleets("overbooked", expected, |proxies| {
        let faults = vec![fault(FaultKind::BreakWatches, 8.0, 0.0, 1.0, 0.0), drain(8.1, 1.0)];
        scenario(proxies, Lists::Asked, OVERBOOKED, faults)
    });
}

#[test]
fn watches_that_fall_silent_just_before_backends_drain() {
    for (lists, calls_per_s, refused) in
        [(Lists::Asked, QUICK, 0.0), (Lists::Asked, OVERBOOKED, 0.05), (Lists::Pushed, QUICK, 0.0)]
    {
        let expected = Expected { refused, unbounded_breaks: true };
        all_fleets(&format!("silent, {lists:?}, {calls_per_s}"), expected, |proxies| {
            let faults = vec![fault(FaultKind::SilentWatches, 8.0, 0.0, 1.0, 0.0), drain(8.2, 1.0)];
            scenario(proxies, lists, calls_per_s, faults)
        });
    }
}

#[test]
fn a_move_while_backends_drain() {
    for (lists, calls_per_s, refused) in
        [(Lists::Asked, QUICK, 0.0), (Lists::Asked, OVERBOOKED, 0.05), (Lists::Pushed, QUICK, 0.0)]
    {
        all_fleets(&format!("move, {lists:?}, {calls_per_s}"), Expected { refused, ..ANY }, |proxies| {
            let faults = vec![fault(FaultKind::MoveDiscovery, 8.0, 0.0, 0.0, 0.0), drain(7.5, 5.0)];
            scenario(proxies, lists, calls_per_s, faults)
        });
    }
}

#[test]
fn whole_lists_that_leave_out_what_drains() {
    for (lists, calls_per_s) in [(Lists::Asked, QUICK), (Lists::Asked, OVERBOOKED), (Lists::Pushed, QUICK)] {
        all_fleets(
            &format!("whole, {lists:?}, {calls_per_s}"),
            Expected { refused: 0.05, ..ANY },
            |proxies| {
                let faults = vec![
                    fault(FaultKind::BreakWatches, 8.0, 0.0, 1.0, 0.0),
                    drain(6.0, 4.0),
                    fault(FaultKind::BreakWatches, 15.0, 0.0, 0.5, 0.0),
                ];
                let mut s = scenario(proxies, lists, calls_per_s, faults);
                (s.discovery.whole_part, s.discovery.hides_draining) = (1.0, true);
                s
            },
        );
    }
}

#[test]
fn discovery_that_is_down_and_comes_back() {
    for lists in [Lists::Asked, Lists::Pushed] {
        for outage in [Outage::Fails, Outage::Refuses] {
            let calls_per_s = if lists == Lists::Asked { OVERBOOKED } else { QUICK };
            all_fleets(
                &format!("down, {lists:?}, {outage:?}"),
                Expected { refused: 0.6, ..ANY },
                |proxies| {
                    let faults = vec![fault(FaultKind::DiscoveryDown, 6.0, 8.0, 1.0, 0.0), drain(5.0, 11.0)];
                    let mut s = scenario(proxies, lists, calls_per_s, faults);
                    s.discovery.outage = outage;
                    s
                },
            );
        }
    }
}

#[test]
fn all_proxies_restarted_at_once() {
    for (lists, calls_per_s, refused) in
        [(Lists::Asked, QUICK, 0.0), (Lists::Asked, OVERBOOKED, 0.05), (Lists::Pushed, QUICK, 0.0)]
    {
        all_fleets(&format!("restart, {lists:?}, {calls_per_s}"), Expected { refused, ..ANY }, |proxies| {
            let faults = vec![fault(FaultKind::KillProxies, 8.0, 0.0, 1.0, 1.5), drain(7.5, 3.0)];
            scenario(proxies, lists, calls_per_s, faults)
        });
    }
}

fn line(state: EndpointState) -> Endpoint {
    Endpoint { id: EndpointId(7), state, ..Endpoint::default() }
}

/// Since when the drain of the backend, had by discovery at a time, counts as known to the first proxy.
fn known(rule: &DrainInvariant) -> Option<(f64, NotificationBasis)> {
    rule.known_since(0, 7).map(|known| (known.at, known.ground))
}

#[test]
fn each_ground_of_the_rule_has_its_moment() {
    let watching = |pushed| {
        let mut rule = DrainInvariant::new(1, pushed);
        rule.written(1000.0, 0, false, true, &[line(EndpointState::Up)]);
        rule
    };
    let mut rule = watching(false);
    assert_eq!(known(&rule), None);
    rule.learned(10_000.0, &line(EndpointState::Draining));
    assert_eq!(known(&rule), Some((16_000.0, NotificationBasis::Assumed)), "whatever calls fail");
    rule.written(10_500.0, 0, false, false, &[line(EndpointState::Draining)]);
    assert_eq!(known(&rule), Some((10_500.0, NotificationBasis::Written)));
    assert!(rule.check(0, 7, 12_550.0).is_ok(), "the grace and its slack");
    let forbidden = rule.check(0, 7, 12_551.0).expect_err("it is too late").to_string();
    assert_eq!(
        forbidden,
        "proxy 0, backend 7: known since 10500 (Written), first byte at 12551, 1 ms too late"
    );

    let mut rule = watching(false);
    rule.learned(10_000.0, &line(EndpointState::Draining));
    rule.written(11_000.0, 0, false, true, &[]);
    assert_eq!(known(&rule), Some((11_000.0, NotificationBasis::Written)), "a whole list that leaves it out");

    let mut rule = watching(false);
    rule.fell_silent(8000.0, 0);
    rule.learned(10_000.0, &line(EndpointState::Draining));
    assert_eq!(known(&rule), Some((14_000.0, NotificationBasis::Silent)));
    rule.written(11_000.0, 0, false, true, &[line(EndpointState::Up)]);
    assert_eq!(known(&rule), Some((16_000.0, NotificationBasis::Assumed)), "the list has been told anew");

    let mut rule = watching(false);
    rule.moved(9000.0, 0);
    rule.learned(10_000.0, &line(EndpointState::Draining));
    assert_eq!(known(&rule), Some((13_000.0, NotificationBasis::Moved)));

    let mut rule = watching(true);
    rule.learned(10_000.0, &line(EndpointState::Draining));
    assert_eq!(known(&rule), Some((10_000.0, NotificationBasis::Pushed)), "at once");
    rule.started(12_000.0, 0);
    assert_eq!(
        known(&rule),
        Some((12_000.0, NotificationBasis::Pushed)),
        "from the first moment of a new process"
    );

    let mut rule = watching(true);
    rule.fell_silent(9000.0, 0);
    rule.learned(10_000.0, &line(EndpointState::Draining));
    assert_eq!(known(&rule), Some((15_000.0, NotificationBasis::Silent)), "one clock for silence");
    rule.watch_closed(12_000.0, 0);
    assert_eq!(
        known(&rule),
        Some((12_000.0, NotificationBasis::Pushed)),
        "given up, the agent's clock holds again"
    );

    let mut rule = watching(true);
    rule.moved(9000.0, 0);
    rule.learned(10_000.0, &line(EndpointState::Draining));
    assert_eq!(known(&rule), Some((13_000.0, NotificationBasis::Moved)));
    rule.learned(11_000.0, &line(EndpointState::Up));
    assert_eq!(known(&rule), None, "it takes work again");
}
