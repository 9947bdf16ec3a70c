//! Tests that run small workloads from start to end.

use std::path::{Path, PathBuf};

use leadrelay_core::{Action, EndpointId, Event, Outcome, RejectionReason};
use leadrelay_simulator::random::Range;
use leadrelay_simulator::scenario::FaultKind;
use leadrelay_simulator::{
    Baseline, BaselineKind, FleetView, Policy, RequestOutcome, Rule, RunResult, Scenario, Version, Workload,
    simulate, simulate_with,
};

fn scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn scenario(name: &str) -> Scenario {
    Scenario::read(&scenarios().join(name)).expect("a valid scenario")
}

fn run(workload: &Workload, version: Version) -> RunResult {
    simulate(workload, &version).expect("no adapter to start")
}

/// A workload with the faults of a scenario, but few proxies and backends and a short duration.
fn small_workload(name: &str, seed: u64) -> Workload {
    let mut scenario = scenario(name);
    scenario.proxies = scenario.proxies.min(8);
    scenario.backends = scenario.backends.min(20);
    scenario.duration_s = scenario.duration_s.min(25.0);
    Workload::sample(&scenario, seed)
}

fn all_scenarios() -> Vec<String> {
    let files = std::fs::read_dir(scenarios()).expect("the folder exists");
    let mut names: Vec<String> =
        files.map(|file| file.expect("a file").file_name().into_string().expect("text")).collect();
    names.sort();
    assert!(names.len() >= 4);
    names
}

/// The fraction of all weight that ended with an outcome.
fn weight(result: &RunResult, outcome: RequestOutcome) -> f64 {
    result.outcomes.get(&outcome).copied().unwrap_or(0.0)
}

#[test]
fn same_seed_gives_same_result() {
    let json = |seed| {
        let result = run(&small_workload("herd-mass.toml", seed), Version::Core);
        serde_json::to_string(&result).expect("JSON")
    };
    assert_eq!(json(3), json(3));
    assert_ne!(json(3), json(4));
}

#[test]
fn outcomes_sum_to_all_weight_in_each_dimension() {
    for name in all_scenarios() {
        let workload = small_workload(&name, 2);
        let result = run(&workload, Version::Core);
        let sum: f64 = result.outcomes.values().sum();
        assert!((sum - 1.0).abs() < 1e-9, "{name}: {sum}");
        let served = weight(&result, RequestOutcome::Served);
        assert!((served - result.served).abs() < 1e-9, "{name}");
        assert_eq!(result.requests, workload.requests.len());
        for (dimension, groups) in &result.outcomes_by {
            for (outcome, fraction) in &result.outcomes {
                let sum: f64 = groups.values().filter_map(|outcomes| outcomes.get(outcome)).sum();
                let is_equal = (sum - fraction).abs() < 1e-9;
                assert!(is_equal, "{name}, {dimension:?}, {outcome:?}: {sum} of {fraction}");
            }
        }
        assert_eq!(result.outcomes_by.len(), 5);
    }
}

#[test]
fn core_violates_no_rule_in_any_scenario() {
    for name in all_scenarios() {
        for seed in 1..4 {
            let result = run(&small_workload(&name, seed), Version::Core);
            assert!(result.violations.is_empty(), "{name}, seed {seed}: {:?}", result.violations);
        }
    }
}

/// Changes the actions that a baseline takes on an event.
type ActionEdit = fn(&Event, &mut Vec<Action>);

/// Selects backends at random and violates a rule by changing the actions.
struct ViolatingPolicy {
    baseline: Baseline,
    edit_actions: ActionEdit,
}

impl Policy for ViolatingPolicy {
    fn handle(&mut self, now: f64, event: Event, fleet: FleetView<'_>, actions: &mut Vec<Action>) {
        let before = actions.len();
        self.baseline.handle(now, event.clone(), fleet, actions);
        let mut new_actions = actions.split_off(before);
        (self.edit_actions)(&event, &mut new_actions);
        actions.extend(new_actions);
    }
}

fn is_send(action: &Action) -> bool {
    matches!(action, Action::Send { .. })
}

fn send_twice(_: &Event, actions: &mut Vec<Action>) {
    let sends: Vec<Action> = actions.iter().filter(|action| is_send(action)).cloned().collect();
    actions.extend(sends);
}

fn answer_twice(event: &Event, actions: &mut Vec<Action>) {
    if let Event::Request { id, .. } = event {
        actions.extend([Action::Fail(*id), Action::Fail(*id)]);
    }
}

fn never_send(_: &Event, actions: &mut Vec<Action>) {
    actions.retain(|action| !is_send(action));
}

fn reject_after_failure(event: &Event, actions: &mut Vec<Action>) {
    let Event::Ended { request, outcome, .. } = event else { return };
    if matches!(outcome, Outcome::Error | Outcome::TimedOut | Outcome::Reset) {
        actions.retain(|action| !matches!(action, Action::Fail(_)));
        let reason = RejectionReason::TooLate;
        actions.push(Action::Reject { request: *request, retry_after: None, reason });
    }
}

fn repeat_what_may_have_run(event: &Event, actions: &mut Vec<Action>) {
    if let Event::Ended { request, outcome, .. } = event
        && outcome.may_have_run()
        && let Some(Action::Fail(_)) = actions.pop()
    {
        let endpoint = EndpointId(0);
        actions.push(Action::Send { request: *request, endpoint, timeout: None, start_by: None });
    }
}

fn send_large_gossip(event: &Event, actions: &mut Vec<Action>) {
    if matches!(event, Event::Request { .. }) {
        actions.push(Action::Broadcast(vec![0; 257]));
    }
}

/// Sends everything to two of the first backends and to all that are started later.
fn flood_few_backends(_: &Event, actions: &mut Vec<Action>) {
    *actions = actions.drain(..).map(redirect).collect();
}

fn redirect(mut action: Action) -> Action {
    const FIRST_BACKENDS: u64 = 20;
    if let Action::Send { endpoint, .. } = &mut action
        && endpoint.0 < FIRST_BACKENDS
    {
        endpoint.0 %= 2;
    }
    action
}

#[test]
fn each_violation_is_reported() {
    let cases: [(Rule, ActionEdit, &str); 8] = [
        (Rule::OneAttemptInFlight, send_twice, "headend.toml"),
        (Rule::OneFinalAnswer, answer_twice, "headend.toml"),
        (Rule::AnswerBeforeTimeout, never_send, "headend.toml"),
        (Rule::RejectOnlyUnexecuted, reject_after_failure, "herd-mass.toml"),
        (Rule::IdempotentRetries, repeat_what_may_have_run, "herd-mass.toml"),
        (Rule::GossipSize, send_large_gossip, "headend.toml"),
        (Rule::NoSendAfterDrain, flood_few_backends, "join-mass.toml"),
        (Rule::NoSlowStartOverload, flood_few_backends, "join-mass.toml"),
    ];
    for (rule, edit_actions, scenario) in cases {
        let policy = move |_, seed| -> Box<dyn Policy> {
            Box::new(ViolatingPolicy { baseline: Baseline::new(BaselineKind::Random, seed), edit_actions })
        };
        let result = simulate_with(&small_workload(scenario, 1), rule.name(), &policy);
        let violated: Vec<Rule> = result.violations.iter().map(|violation| violation.rule).collect();
        assert!(violated.contains(&rule), "{rule:?}: {violated:?}");
    }
}

#[test]
fn policies_that_see_more_serve_more() {
    let mean_served = |kind| {
        let served = |seed| run(&small_workload("headend.toml", seed), Version::Baseline(kind)).served;
        (1..5).map(served).sum::<f64>() / 4.0
    };
    let random = mean_served(BaselineKind::Random);
    let two_choices = mean_served(BaselineKind::TwoChoices);
    let true_state = mean_served(BaselineKind::CurrentTrueState);
    assert!(random < two_choices && two_choices < true_state, "{random} {two_choices} {true_state}");
}

#[test]
fn faults_cause_their_outcomes() {
    let result =
        |name: &str| run(&small_workload(name, 5), Version::Baseline(BaselineKind::CurrentTrueState));
    let fault_free = result("calm-mass.toml");
    let herd = result("herd-mass.toml");
    let split = result("split-mass.toml");
    assert_eq!(weight(&fault_free, RequestOutcome::ProxyDown), 0.0);
    assert_eq!(weight(&fault_free, RequestOutcome::NetworkPartition), 0.0);
    assert!(weight(&herd, RequestOutcome::ProxyDown) > 0.0, "{:?}", herd.outcomes);
    assert!(weight(&split, RequestOutcome::NetworkPartition) > 0.0, "{:?}", split.outcomes);
}

#[test]
fn graceful_restart_causes_fewer_retries_than_crash() {
    // With every backend healthy a client retries only where its proxy was down.
    let retries_per_request = |graceful: bool| {
        let mut scenario = scenario("roll-mass.toml");
        scenario.proxies = 8;
        scenario.backends = 20;
        scenario.duration_s = 25.0;
        scenario.load = Range::Fixed(0.2);
        scenario.faults.retain(|fault| fault.kind == FaultKind::RollProxies);
        if !graceful {
            scenario.faults[0].kind = FaultKind::KillProxies;
            scenario.faults[0].fraction = Range::Fixed(1.0);
        }
        let workload = Workload::sample(&scenario, 5);
        let result = run(&workload, Version::Baseline(BaselineKind::CurrentTrueState));
        result.counters.client_attempts as f64 / result.requests as f64 - 1.0
    };
    let graceful = retries_per_request(true);
    let crashed = retries_per_request(false);
    assert!(graceful < 0.01 && crashed > 0.05, "{graceful} {crashed}");
}

#[test]
fn invalid_scenario_is_reported_in_one_line() {
    let folder = std::env::temp_dir().join(format!("scenarios-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::copy(scenarios().join("headend.toml"), folder.join("headend.toml")).expect("a file");
    let base = "name = \"x\"\nbase = \"headend.toml\"\n";
    for (text, expected) in [
        ("name = ", "x.toml:1:8: "),
        ("name = \"x\"\n", "missing field"),
        (&format!("{base}lod = 1\n"), "unknown field `lod`"),
        (&format!("{base}load = [0.9, 0.5]\n"), "[0.9, 0.5] is an empty range"),
        (&format!("{base}proxies = 0\n"), "proxies = 0"),
        (&format!("{base}base = \"x\"\n"), "x.toml:3:1: "),
        (&format!("{base}[[faults]]\nkind = \"rain\"\nat = 0.1\n"), "unknown variant `rain`"),
        (&format!("{base}[[faults]]\nkind = \"burst\"\nat = 1.5\n"), "Burst starts after the end of the run"),
        (
            &format!("{base}[[faults]]\nkind = \"kill_proxies\"\nat = 0.5\npart = 1.5\n"),
            "a fault affects 1.5 times its targets",
        ),
        ("name = \"x\"\nbase = \"nowhere.toml\"\n", "nowhere.toml: "),
    ] {
        let file = folder.join("x.toml");
        std::fs::write(&file, text).expect("a file");
        let error = Scenario::read(&file).expect_err(text).to_string();
        assert!(error.contains(expected) && error.lines().count() == 1, "{text}: {error}");
    }
    std::fs::remove_dir_all(folder).expect("the folder exists");
}
