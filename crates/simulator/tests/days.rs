//! Small days, played whole.
use std::path::{Path, PathBuf};

use leadrelay_core::{Action, Event, Outcome, RejectionReason};
use leadrelay_simulator::policy::Baseline;
use leadrelay_simulator::random::Range;
use leadrelay_simulator::scenario::FaultKind;
use leadrelay_simulator::{BaselineKind, End, Policy, Scenario, TrueState, Version, Workload, play_by};

fn scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn scenario(name: &str) -> Scenario {
    Scenario::read(&scenarios().join(name)).expect("good")
}

fn play(day: &Workload, version: Version) -> leadrelay_simulator::Result {
    leadrelay_simulator::play(day, &version).expect("no adapter to start")
}

/// A day small enough for a test, with this scenario's faults.
fn small(name: &str, seed: u64) -> Workload {
    let mut s = scenario(name);
    (s.proxies, s.backends, s.seconds) = (s.proxies.min(8), s.backends.min(20), s.seconds.min(25.0));
    Workload::sample(&s, seed)
}

fn all() -> Vec<String> {
    let files = std::fs::read_dir(scenarios()).expect("it is there");
    let mut names: Vec<String> =
        files.map(|f| f.expect("a file").file_name().into_string().expect("text")).collect();
    names.sort();
    assert!(names.len() >= 4);
    names
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    let bytes =
        |seed| serde_json::to_string(&play(&small("herd-mass.toml", seed), Version::Core)).expect("JSON");
    assert_eq!(bytes(3), bytes(3));
    assert_ne!(bytes(3), bytes(4));
}

#[test]
fn every_request_has_one_end_and_the_ends_sum_to_the_worth_asked_for() {
    for name in all() {
        let day = small(&name, 2);
        let result = play(&day, Version::Core);
        let sum: f64 = result.ends.values().sum();
        assert!((sum - 1.0).abs() < 1e-9, "{name}: {sum}");
        let served = result.ends.get(&End::Served).copied().unwrap_or(0.0);
        assert!((served - result.served).abs() < 1e-9, "{name}");
        assert_eq!(result.requests, day.requests.len());
        for (dimension, places) in &result.by {
            for (end, part) in &result.ends {
                let sum: f64 = places.values().filter_map(|ends| ends.get(end)).sum();
                assert!((sum - part).abs() < 1e-9, "{name}, {dimension}, {end:?}: {sum} of {part}");
            }
        }
        assert_eq!(result.by.len(), 5);
    }
}

#[test]
fn the_core_keeps_the_rules_on_every_kind_of_day() {
    for name in all() {
        for seed in 1..4 {
            let result = play(&small(&name, seed), Version::Core);
            assert!(result.broken.is_empty(), "{name}, seed {seed}: {:?}", result.broken);
        }
    }
}

/// Decides by chance, and lets one rule be broken.
struct Breaks(Baseline, fn(&Event, &mut Vec<Action>));

impl Policy for Breaks {
    fn handle(&mut self, now: f64, event: Event, truth: (&TrueState, &TrueState), out: &mut Vec<Action>) {
        let before = out.len();
        self.0.handle(now, event.clone(), truth, out);
        let mut own = out.split_off(before);
        (self.1)(&event, &mut own);
        out.extend(own);
    }
}

#[test]
fn each_broken_rule_is_seen() {
    let twice: fn(&Event, &mut Vec<Action>) = |_, out| {
        let sends: Vec<Action> = out.iter().filter(|a| matches!(a, Action::Send { .. })).cloned().collect();
        out.extend(sends);
    };
    let answers: fn(&Event, &mut Vec<Action>) = |event, out| {
        if let Event::Request { id, .. } = event {
            out.extend([Action::Fail(*id), Action::Fail(*id)]);
        }
    };
    let silent: fn(&Event, &mut Vec<Action>) = |_, out| out.retain(|a| !matches!(a, Action::Send { .. }));
    let harmful: fn(&Event, &mut Vec<Action>) = |event, out| {
        if let Event::Ended {
            request, outcome: Outcome::Error | Outcome::TimedOut | Outcome::Reset, ..
        } = event
        {
            out.retain(|a| !matches!(a, Action::Fail(_)));
            out.push(Action::Reject {
                request: *request,
                retry_after: None,
                reason: RejectionReason::TooLate,
            });
        }
    };
    let repeats: fn(&Event, &mut Vec<Action>) = |event, out| {
        if let Event::Ended { request, outcome, .. } = event
            && outcome.may_have_run()
            && let Some(Action::Fail(_)) = out.pop()
        {
            out.push(Action::Send {
                request: *request,
                endpoint: leadrelay_core::EndpointId(0),
                timeout: None,
                start_by: None,
            });
        }
    };
    let long: fn(&Event, &mut Vec<Action>) = |event, out| {
        if matches!(event, Event::Request { .. }) {
            out.push(Action::Broadcast(vec![0; 257]));
        }
    };
    let floods: fn(&Event, &mut Vec<Action>) = |_, out| {
        for action in out.iter_mut() {
            if let Action::Send { endpoint, .. } = action {
                endpoint.0 = if endpoint.0 >= 20 { endpoint.0 } else { endpoint.0 % 2 }; // two old ones, and all new ones
            }
        }
    };
    for (rule, breaks, day) in [
        ("never two attempts out", twice, "headend.toml"),
        ("one final answer", answers, "headend.toml"),
        ("an answer before the client gives up", silent, "headend.toml"),
        ("refusals only when harmless", harmful, "herd-mass.toml"),
        ("no unsafe repeat", repeats, "herd-mass.toml"),
        ("256 bytes a message", long, "headend.toml"),
        ("drains are kept", floods, "join-mass.toml"),
        ("no cold backend is pushed over", floods, "join-mass.toml"),
    ] {
        let brains = move |_, seed| -> Box<dyn Policy> {
            Box::new(Breaks(Baseline::new(BaselineKind::Random, seed), breaks))
        };
        let result = play_by(&small(day, 1), rule, &brains);
        let rules: Vec<&str> = result.broken.iter().map(|b| b.rule).collect();
        assert!(rules.contains(&rule), "{rule}: {rules:?}");
    }
}

#[test]
fn who_sees_the_true_state_serves_more_than_who_sees_nothing() {
    let served = |pick| {
        let of = |seed| play(&small("headend.toml", seed), Version::Baseline(pick)).served;
        (1..5).map(of).sum::<f64>() / 4.0
    };
    let (random, two, sees) =
        (served(BaselineKind::Random), served(BaselineKind::TwoChoices), served(BaselineKind::SeesAll));
    assert!(random < two && two < sees, "{random} {two} {sees}");
}

#[test]
fn a_fault_costs_what_it_strikes() {
    let day = |name: &str| play(&small(name, 5), Version::Baseline(BaselineKind::SeesAll));
    let of = |result: &leadrelay_simulator::Result, end| result.ends.get(&end).copied().unwrap_or(0.0);
    let (calm, herd, split) = (day("calm-mass.toml"), day("herd-mass.toml"), day("split-mass.toml"));
    assert_eq!((of(&calm, End::ProxyDead), of(&calm, End::LostWay)), (0.0, 0.0));
    assert!(of(&herd, End::ProxyDead) > 0.0, "{:?}", herd.ends);
    assert!(of(&split, End::LostWay) > 0.0, "{:?}", split.ends);
}

#[test]
fn a_planned_restart_costs_little_as_clients_are_sent_elsewhere_first() {
    // With every backend sound a client tries again only where its proxy was dead.
    let again = |planned: bool| {
        let mut s = scenario("roll-mass.toml");
        (s.proxies, s.backends, s.seconds, s.load) = (8, 20, 25.0, Range::One(0.2));
        s.faults.retain(|f| f.kind == FaultKind::RollProxies);
        if !planned {
            s.faults[0].kind = FaultKind::KillProxies;
            s.faults[0].part = Range::One(1.0);
        }
        let result = play(&Workload::sample(&s, 5), Version::Baseline(BaselineKind::SeesAll));
        result.sums.tries as f64 / result.requests as f64 - 1.0
    };
    let (planned, killed) = (again(true), again(false));
    assert!(planned < 0.01 && killed > 0.05, "{planned} {killed}");
}

#[test]
fn a_scenario_that_is_wrong_is_told_in_one_line() {
    let folder = std::env::temp_dir().join(format!("scenarios-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::copy(scenarios().join("headend.toml"), folder.join("headend.toml")).expect("a file");
    let base = "name = \"x\"\nbase = \"headend.toml\"\n";
    for (text, word) in [
        ("name = ", "x.toml:1:8: "),
        ("name = \"x\"\n", "missing field"),
        (&format!("{base}lod = 1\n"), "unknown field `lod`"),
        (&format!("{base}load = [0.9, 0.5]\n"), "[0.9, 0.5] is an empty range"),
        (&format!("{base}proxies = 0\n"), "proxies = 0"),
        (&format!("{base}base = \"x\"\n"), "x.toml:3:1: "),
        (&format!("{base}[[faults]]\nkind = \"rain\"\nat = 0.1\n"), "unknown variant `rain`"),
        (&format!("{base}[[faults]]\nkind = \"burst\"\nat = 1.5\n"), "begins after the day's end"),
        (
            &format!("{base}[[faults]]\nkind = \"kill_proxies\"\nat = 0.5\npart = 1.5\n"),
            "strikes 1.5 of a whole",
        ),
        ("name = \"x\"\nbase = \"nowhere.toml\"\n", "nowhere.toml: "),
    ] {
        let file = folder.join("x.toml");
        std::fs::write(&file, text).expect("a file");
        let error = Scenario::read(&file).expect_err(text).to_string();
        assert!(error.contains(word) && error.lines().count() == 1, "{text}: {error}");
    }
    std::fs::remove_dir_all(folder).expect("it is there");
}
