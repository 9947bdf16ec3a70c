//! Tests of the command line: printed output and exit codes.

use std::path::Path;
use std::process::{Command, Output};

fn simulator(arguments: &[&str]) -> Output {
    let scenarios = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadrelay-simulator"));
    command.current_dir(scenarios).args(arguments).output().expect("it starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

#[test]
fn same_seed_prints_same_bytes() {
    let run = |seed| {
        simulator(&["run", "headend.toml", "--seed", seed, "--seconds", "8", "--seeds", "3", "--json"])
    };
    let one = run("1");
    let two = run("1");
    assert_eq!(one.status.code(), Some(0), "{}", text(&one.stderr));
    assert_eq!(one.stdout, two.stdout);
    assert_eq!(text(&one.stdout).lines().count(), 3, "a line a run");
    assert_ne!(one.stdout, run("2").stdout);
}

#[test]
fn run_prints_score_prices_and_outcomes() {
    let printed = text(&simulator(&["run", "headend.toml", "--seconds", "8"]).stdout);
    for expected in
        ["headend seed 1 by core: G 0.", "| weight by outcome |", "| served ", "prices: cross_zone"]
    {
        assert!(printed.contains(expected), "{expected} in {printed}");
    }
}

#[test]
fn compare_shows_difference_only_between_different_versions() {
    let compare = |a: &str, b: &str| {
        let run = simulator(&["compare", a, b, "headend.toml", "--seconds", "15", "--seeds", "8", "--json"]);
        let differences: serde_json::Value = serde_json::from_slice(&run.stdout).expect("JSON");
        differences["served"].clone()
    };
    let equal = compare("core", "core");
    assert_eq!((&equal["median"], &equal["wins"]), (&0.0.into(), &serde_json::json!([0, 0, 8])));
    let other = compare("random", "core");
    assert!(other["low"].as_f64() > Some(0.0), "{other}");
}

#[test]
fn core_does_not_overload_backends_in_slow_start() {
    let run = simulator(&[
        "cold",
        "cold.toml",
        "--proxies",
        "3,20",
        "--lost",
        "0,1",
        "--restarted",
        "0,1",
        "--json",
    ]);
    assert_eq!(run.status.code(), Some(0), "{}", text(&run.stderr));
    let cells: Vec<serde_json::Value> =
        text(&run.stdout).lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    assert_eq!(cells.len(), 8);
    for cell in cells {
        assert!(cell["starts"].as_u64() > Some(20) && cell["windows"].as_u64() > Some(200), "{cell}");
        assert!(cell["told_by_settings"]["worst"].as_f64() < Some(0.9), "{cell}");
        assert_eq!((&cell["blamed"], &cell["told_by_truth"]["over"]), (&0.into(), &0.into()), "{cell}");
    }
}

#[test]
fn random_choice_is_reported_to_overload_backends_in_slow_start() {
    let run = simulator(&[
        "cold",
        "cold.toml",
        "--proxies",
        "20",
        "--lost",
        "0",
        "--restarted",
        "0",
        "--by",
        "random",
    ]);
    assert_eq!(run.status.code(), Some(1), "{}", text(&run.stdout));
}

#[test]
fn wrong_usage_exits_with_2_and_names_the_error() {
    for (arguments, expected) in [
        (&["run", "nowhere.toml"][..], "nowhere.toml: "),
        (&["compare", "core", "no/such/adapter", "headend.toml"], "nor the path of an adapter"),
        (&["run", "headend.toml", "--seeds", "0"], "--seeds"),
        (&["run", "headend.toml", "--seconds=-1"], "--seconds"),
        (&["run", "headend.toml", "--proxies", "9999"], "--proxies"),
        (&["cold", "nowhere.toml"], "nowhere.toml: "),
        (&["cold", "cold.toml", "--lost", "0,1.5"], "--lost"),
        (&["cold", "cold.toml", "--restarted", "all"], "--restarted"),
        (&["cold", "cold.toml", "--proxies", "3,0"], "--proxies"),
        (&["cold", "cold.toml", "--by", "no/such/adapter"], "nor the path of an adapter"),
        (&["play"], "play"),
    ] {
        let run = simulator(arguments);
        assert_eq!(run.status.code(), Some(2), "{arguments:?}: {}", text(&run.stderr));
        assert!(text(&run.stderr).contains(expected), "{arguments:?}: {}", text(&run.stderr));
    }
    let run = simulator(&["compare", "headend.toml", "core", "headend.toml", "--seconds", "2"]);
    assert_eq!(run.status.code(), Some(2), "a file that is no program: {}", text(&run.stderr));
}
