//! Small workloads on which discovery fails while backends drain. The core must send nothing that the rule on drains
//! forbids, and the checker must report policies that violate the rule on the same workload.

use std::collections::BTreeMap;
use std::path::Path;

use leadrelay_core::{
    Action, Balancer, DiscoveryEvent, Endpoint, EndpointId, EndpointState, Event, Settings,
};
use leadrelay_simulator::discovery::OutageMode;
use leadrelay_simulator::random::Range;
use leadrelay_simulator::scenario::{FaultKind, FaultSpec};
use leadrelay_simulator::settings::settings;
use leadrelay_simulator::{FleetView, Policy, Rule, RunResult, Scenario, Workload, simulate_with};

/// Numbers of proxies, each with the number of workloads to run.
const FLEETS: [(usize, u64); 3] = [(5, 4), (31, 3), (300, 1)];
const SECONDS: f64 = 20.0;
/// Calls a second that an overloaded discovery answers for each proxy of the fleet.
const OVERLOADED_CALLS_PER_S: f64 = 0.25;
/// Calls a second that a discovery that answers in time can answer for each proxy of the fleet.
const QUICK_CALLS_PER_S: f64 = 20.0;

/// The way in which lists reach the proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ListDelivery {
    OnRequest,
    Pushed,
}

/// A fault that starts at a second of the run, without a magnitude.
fn fault(kind: FaultKind, second: f64, duration_s: f64, fraction: f64) -> FaultSpec {
    FaultSpec {
        kind,
        start: Range::Fixed(second / SECONDS),
        duration_s: Range::Fixed(duration_s),
        fraction: Range::Fixed(fraction),
        magnitude: Range::Fixed(0.0),
    }
}

/// A quarter of the backends drains over the duration; they stay up and go on answering.
fn drain(second: f64, duration_s: f64) -> FaultSpec {
    fault(FaultKind::DrainBackends, second, duration_s, 0.25)
}

/// All proxies crash and recover after `downtime_s`.
fn restart_proxies(second: f64, downtime_s: f64) -> FaultSpec {
    FaultSpec { magnitude: Range::Fixed(downtime_s), ..fault(FaultKind::KillProxies, second, 0.0, 1.0) }
}

/// Twelve backends and few requests for each proxy, whose clients do not retry.
fn scenario(proxies: usize, lists: ListDelivery, calls_per_s: f64, faults: Vec<FaultSpec>) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/headend.toml");
    let mut scenario = Scenario::read(&file).expect("a valid scenario");
    scenario.proxies = proxies;
    scenario.backends = 12;
    scenario.duration_s = SECONDS;
    scenario.load = Range::Fixed(0.4);
    scenario.proxy_spread = Range::Fixed(0.1);
    scenario.zone_skew = Range::Fixed(0.0);
    for class in &mut scenario.classes {
        class.work_ms = Range::Fixed(20.0);
    }
    scenario.clients.max_retries = 0;
    // The rule on drains does not depend on gossip, which takes most of the time of a run at full size.
    scenario.network.gossip_loss = 1.0;
    scenario.discovery.propagation_delay_s = Range::Fixed(0.1);
    scenario.discovery.calls_per_s = Range::Fixed(calls_per_s * proxies as f64);
    scenario.discovery.pushed = lists == ListDelivery::Pushed;
    scenario.faults = faults;
    scenario
}

/// A core that treats every backend that was ever on its list as one that accepts requests.
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
    fn handle(&mut self, now: f64, mut event: Event, _: FleetView<'_>, actions: &mut Vec<Action>) {
        if let Event::List { entries, .. } | Event::Discovery(DiscoveryEvent::Update { entries, .. }) =
            &mut event
        {
            for entry in entries.drain(..).filter(|entry| entry.state != EndpointState::Removed) {
                self.known.insert(entry.id, Endpoint { state: EndpointState::Up, ..entry });
            }
            entries.extend(self.known.values().cloned());
        }
        self.core.handle(now, event, actions);
    }

    fn handles_discovery_events(&self) -> bool {
        true
    }
}

fn run_core(workload: &Workload) -> RunResult {
    simulate_with(workload, "core", &|proxy, seed| Box::new(Balancer::new(settings(workload, proxy), seed)))
}

/// Runs the core without a bound on the age of its list.
fn run_unbounded(workload: &Workload) -> RunResult {
    let settings = |proxy| Settings { notification_bounds: None, ..settings(workload, proxy) };
    simulate_with(workload, "unbounded", &|proxy, seed| Box::new(Balancer::new(settings(proxy), seed)))
}

fn run_ignoring_drains(workload: &Workload) -> RunResult {
    simulate_with(workload, "ignores drains", &|proxy, seed| {
        Box::new(IgnoresDrains::new(settings(workload, proxy), seed))
    })
}

fn sends_after_drain(result: &RunResult) -> usize {
    result.violations.iter().filter(|violation| violation.rule == Rule::NoSendAfterDrain).count()
}

/// The fraction of all attempts of clients that was rejected because the proxy might have had no current list.
fn rejected_without_list(result: &RunResult) -> f64 {
    result.counters.rejected_without_list as f64 / result.counters.client_attempts as f64
}

/// Expectations of a workload, beside that the core keeps the rules.
#[derive(Clone, Copy)]
struct Expected {
    /// Largest fraction of all attempts of clients that may be rejected without a current list.
    max_rejected: f64,
    /// Whether a core with no bound on the age of its list violates the rule.
    unbounded_violates: bool,
}

/// Expects only a bound on rejections.
fn max_rejected(max_rejected: f64) -> Expected {
    Expected { max_rejected, unbounded_violates: false }
}

/// Runs the workloads of a scenario. On each of them the checker has to report the policy that ignores drains.
fn check_scenario(name: &str, proxies: usize, runs: u64, expected: Expected, scenario: &Scenario) {
    let mut ignoring_violates = 0u64;
    let mut unbounded_violates = 0u64;
    for seed in 1..=runs {
        let workload = Workload::sample(scenario, seed);
        let core = run_core(&workload);
        let case = format!("{name}, {proxies} proxies, seed {seed}");
        assert_eq!(core.violation_count, 0, "{case}: {:#?}", core.violations);
        assert!(core.counters.attempts > 200 && core.served > 0.2, "{case}: {} served", core.served);
        let rejected = rejected_without_list(&core);
        println!("{case}: served {:.3}, rejected without a list {rejected:.4}", core.served);
        assert!(rejected <= expected.max_rejected, "{case}: {rejected} rejected without a list");
        let ignoring = run_ignoring_drains(&workload);
        ignoring_violates += u64::from(sends_after_drain(&ignoring) > 0);
        if expected.unbounded_violates {
            unbounded_violates += u64::from(sends_after_drain(&run_unbounded(&workload)) > 0);
        }
    }
    assert_eq!(
        ignoring_violates, runs,
        "{name}, {proxies} proxies: the checker reports the policy that ignores drains"
    );
    if expected.unbounded_violates {
        assert_eq!(
            unbounded_violates, runs,
            "{name}, {proxies} proxies: the checker reports the core without a bound on the age of its list"
        );
    }
}

fn check_all_fleets(name: &str, expected: Expected, scenario: impl Fn(usize) -> Scenario) {
    for (proxies, runs) in FLEETS {
        check_scenario(name, proxies, runs, expected, &scenario(proxies));
    }
}

#[test]
fn nothing_is_rejected_without_list_when_discovery_has_no_fault() {
    for lists in [ListDelivery::OnRequest, ListDelivery::Pushed] {
        check_all_fleets(&format!("no fault, {lists:?}"), max_rejected(0.0), |proxies| {
            scenario(proxies, lists, QUICK_CALLS_PER_S, vec![drain(6.0, 3.0)])
        });
    }
}

#[test]
fn no_send_after_drain_when_all_watches_are_reset_and_discovery_is_overloaded() {
    check_all_fleets("overloaded", max_rejected(0.05), |proxies| {
        let faults = vec![fault(FaultKind::BreakWatches, 8.0, 0.0, 1.0), drain(8.1, 1.0)];
        scenario(proxies, ListDelivery::OnRequest, OVERLOADED_CALLS_PER_S, faults)
    });
}

/// The way in which lists reach the proxies, the calls a second that discovery answers for each proxy, and the largest
/// fraction of attempts that may be rejected without a current list.
const LIST_DELIVERIES: [(ListDelivery, f64, f64); 3] = [
    (ListDelivery::OnRequest, QUICK_CALLS_PER_S, 0.0),
    (ListDelivery::OnRequest, OVERLOADED_CALLS_PER_S, 0.05),
    (ListDelivery::Pushed, QUICK_CALLS_PER_S, 0.0),
];

#[test]
fn no_send_after_drain_when_watches_stall_just_before() {
    for (lists, calls_per_s, max_rejected) in LIST_DELIVERIES {
        let expected = Expected { max_rejected, unbounded_violates: true };
        check_all_fleets(&format!("stalled, {lists:?}, {calls_per_s}"), expected, |proxies| {
            let faults = vec![fault(FaultKind::SilentWatches, 8.0, 0.0, 1.0), drain(8.2, 1.0)];
            scenario(proxies, lists, calls_per_s, faults)
        });
    }
}

#[test]
fn no_send_after_drain_while_discovery_moves() {
    for (lists, calls_per_s, rejected) in LIST_DELIVERIES {
        check_all_fleets(&format!("move, {lists:?}, {calls_per_s}"), max_rejected(rejected), |proxies| {
            let faults = vec![fault(FaultKind::MoveDiscovery, 8.0, 0.0, 0.0), drain(7.5, 5.0)];
            scenario(proxies, lists, calls_per_s, faults)
        });
    }
}

#[test]
fn no_send_after_drain_when_complete_lists_omit_draining_backends() {
    for (lists, calls_per_s, _) in LIST_DELIVERIES {
        check_all_fleets(&format!("complete, {lists:?}, {calls_per_s}"), max_rejected(0.05), |proxies| {
            let faults = vec![
                fault(FaultKind::BreakWatches, 8.0, 0.0, 1.0),
                drain(6.0, 4.0),
                fault(FaultKind::BreakWatches, 15.0, 0.0, 0.5),
            ];
            let mut scenario = scenario(proxies, lists, calls_per_s, faults);
            scenario.discovery.full_list_fraction = 1.0;
            scenario.discovery.omits_draining = true;
            scenario
        });
    }
}

#[test]
fn no_send_after_drain_during_and_after_a_discovery_outage() {
    for lists in [ListDelivery::OnRequest, ListDelivery::Pushed] {
        for outage in [OutageMode::Fails, OutageMode::Refuses] {
            let calls_per_s =
                if lists == ListDelivery::OnRequest { OVERLOADED_CALLS_PER_S } else { QUICK_CALLS_PER_S };
            check_all_fleets(&format!("down, {lists:?}, {outage:?}"), max_rejected(0.6), |proxies| {
                let faults = vec![fault(FaultKind::DiscoveryDown, 6.0, 8.0, 1.0), drain(5.0, 11.0)];
                let mut scenario = scenario(proxies, lists, calls_per_s, faults);
                scenario.discovery.outage = outage;
                scenario
            });
        }
    }
}

#[test]
fn no_send_after_drain_when_all_proxies_restart_at_once() {
    for (lists, calls_per_s, rejected) in LIST_DELIVERIES {
        check_all_fleets(&format!("restart, {lists:?}, {calls_per_s}"), max_rejected(rejected), |proxies| {
            let faults = vec![restart_proxies(8.0, 1.5), drain(7.5, 3.0)];
            scenario(proxies, lists, calls_per_s, faults)
        });
    }
}
