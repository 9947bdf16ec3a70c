//! The lab's command line.

mod commands;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use comfy_table::Table;
use indicatif::{ProgressBar, ProgressStyle};
use leadrelay_simulator::compare::{Difference, median};
use leadrelay_simulator::random::Range;
use leadrelay_simulator::scenario::FaultKind;
use leadrelay_simulator::slow_start::Worst;
use leadrelay_simulator::{BaselineKind, Result, Scenario, Version, Workload, play};
use rayon::prelude::*;

/// Plays emulated fleets in simulated time and tells where the worth went.
#[derive(Debug, Parser)]
#[command(
    name = "leadrelay-simulator",
    version,
    arg_required_else_help = true,
    max_term_width = 100,
    after_help = "Exit codes: 0 done, 1 failed or a rule was broken, 2 wrong usage or scenario."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play one day or several and tell where the worth went
    Run(Run),
    /// Hold the core against the baselines on the same days
    Baselines(Run),
    /// Hold two versions against each other on the same days
    Compare(Compare),
    /// Break all watches of fleets at once, and see when every proxy has its list again
    Reconnect(commands::reconnect::Reconnect),
    /// Tell how near cold backends come to being pushed over, by proxies, lost messages and restarts
    Cold(Cold),
}

#[derive(Debug, Args)]
struct Cold {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// Numbers of proxies
    #[arg(long, value_delimiter = ',', default_values_t = [3, 30, 300], value_parser = clap::value_parser!(u32).range(1..=2000))]
    proxies: Vec<u32>,
    /// Parts of the messages between proxies that are lost; with 1 they may tell nothing
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.1, 0.5], value_parser = part)]
    lost: Vec<f64>,
    /// Parts of the proxies that `kill_proxies` strikes
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.3, 1.0], value_parser = part)]
    restarted: Vec<f64>,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many days a cell, each by the next seed
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Who decides: `core`, a baseline's name, or the path of another build's adapter
    #[arg(long, default_value = "core", value_parser = version)]
    by: Version,
    /// Cut the day to so many seconds
    #[arg(long, value_parser = positive)]
    seconds: Option<f64>,
    /// So many backends in place of the scenario's
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=2000))]
    backends: Option<u32>,
    /// Cells as JSON, one a line
    #[arg(long)]
    json: bool,
}

fn part(text: &str) -> std::result::Result<f64, String> {
    let number = text.parse::<f64>().ok().filter(|x| (0.0..=1.0).contains(x));
    number.ok_or_else(|| "this is no part from 0 to 1".into())
}

#[derive(Debug, Args)]
struct Compare {
    /// The one: `core`, a baseline's name, or the path of another build's adapter
    #[arg(value_parser = version)]
    a: Version,
    /// The other
    #[arg(value_parser = version)]
    b: Version,
    /// The days
    #[command(flatten)]
    days: Run,
}

/// A version by its name or path.
fn version(text: &str) -> std::result::Result<Version, String> {
    use clap::ValueEnum as _;
    if text == "core" {
        return Ok(Version::Core);
    }
    if let Ok(pick) = BaselineKind::from_str(text, true) {
        return Ok(Version::Baseline(pick));
    }
    let path = PathBuf::from(text);
    let names: Vec<_> = BaselineKind::value_variants().iter().filter_map(|p| p.to_possible_value()).collect();
    let names: Vec<&str> = names.iter().map(|n| n.get_name()).collect();
    match path.is_file() {
        true => Ok(Version::Adapter(path)),
        false => Err(format!("neither 'core', nor {}, nor the path of an adapter", names.join(", "))),
    }
}

#[derive(Debug, Args)]
struct Run {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many days, each by the next seed
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Who decides, in place of the core
    #[arg(long, value_enum)]
    baseline: Option<BaselineKind>,
    /// Cut the day to so many seconds
    #[arg(long, value_parser = positive)]
    seconds: Option<f64>,
    /// So many proxies in place of the scenario's
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=2000))]
    proxies: Option<u32>,
    /// So many backends in place of the scenario's
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=2000))]
    backends: Option<u32>,
    /// Results as JSON, one line a day
    #[arg(long)]
    json: bool,
}

fn positive(text: &str) -> std::result::Result<f64, String> {
    let number = text.parse::<f64>().ok().filter(|x| x.is_finite() && *x > 0.0);
    number.ok_or_else(|| "this is no span above 0".into())
}

/// Reads the scenario with what the flags change of it.
fn scenario(run: &Run) -> std::result::Result<Scenario, String> {
    let mut scenario = Scenario::read(&run.scenario).map_err(|e| e.to_string())?;
    if let Some(seconds) = run.seconds {
        scenario.seconds = scenario.seconds.min(seconds);
    }
    scenario.proxies = run.proxies.map_or(scenario.proxies, |n| n as usize);
    scenario.backends = run.backends.map_or(scenario.backends, |n| n as usize);
    Ok(scenario)
}

fn days(run: &Run, scenario: &Scenario, version: &Version) -> std::result::Result<Vec<Result>, String> {
    played(run.seed, run.seeds, scenario, version)
}

fn played(
    seed: u64, seeds: u64, scenario: &Scenario, version: &Version,
) -> std::result::Result<Vec<Result>, String> {
    let bar = ProgressBar::new(seeds).with_message(version.name());
    let seeds: Vec<u64> = (seed..seed + seeds).collect();
    if let Ok(style) = ProgressStyle::with_template("{msg} {bar:30} {pos}/{len} days") {
        bar.set_style(style);
    }
    let day = |seed: &u64| {
        let result = play(&Workload::sample(scenario, *seed), version);
        bar.inc(1);
        result.map_err(|e| format!("{}: {e}", version.name()))
    };
    let results = seeds.par_iter().map(day).collect();
    bar.finish_and_clear();
    results
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(header.iter().copied());
    table
}

fn show(result: &Result) {
    println!(
        "{} seed {} by {}: G {:.3}  served {:.3}, worst 10 s {:.3} (from {:.0} s), worst class {:.3}, tenant {:.3}",
        result.scenario,
        result.seed,
        result.version,
        result.g,
        result.served,
        result.worst_window.0,
        result.worst_window.1,
        result.worst_class,
        result.worst_tenant
    );
    let s = &result.sums;
    println!(
        "{} requests, {} tries, {} attempts, {} handshakes, {} messages, {} of {} calls to discovery failed, {} events, cores busy {:.2}",
        result.requests,
        s.tries,
        s.attempts,
        s.handshakes,
        s.messages,
        s.calls_failed,
        s.calls,
        s.events,
        s.busy
    );
    let prices = result.prices.iter().map(|(name, price)| format!("{name} {price:.4}"));
    println!("prices: {}", prices.collect::<Vec<_>>().join(", "));
    let mut ends: Vec<_> = result.ends.iter().collect();
    ends.sort_by(|a, b| b.1.total_cmp(a.1));
    let places: Vec<_> = ["class", "zone"].iter().filter_map(|d| result.by.get(d)).flatten().collect();
    let names = places.iter().map(|(name, _)| name.as_str());
    let mut shown = table(&["where the worth went", "of all"].into_iter().chain(names).collect::<Vec<_>>());
    for (end, part) in ends {
        let of = |ends: &std::collections::BTreeMap<leadrelay_simulator::End, f64>| {
            let all: f64 = ends.values().sum();
            format!("{:.2}%", 100.0 * ends.get(end).copied().unwrap_or(0.0) / all.max(1e-9))
        };
        let row = [format!("{end:?}"), format!("{:.2}%", 100.0 * part)];
        shown.add_row(row.into_iter().chain(places.iter().map(|(_, ends)| of(ends))));
    }
    println!("{shown}");
    for broken in &result.broken {
        println!("BROKEN at {:.0} ms: {}: {}", broken.at, broken.rule, broken.what);
    }
}

fn run(run: &Run) -> std::result::Result<bool, String> {
    let scenario = scenario(run)?;
    let results = days(run, &scenario, &run.baseline.map_or(Version::Core, Version::Baseline))?;
    for result in &results {
        if run.json {
            println!("{}", serde_json::to_string(result).map_err(|e| e.to_string())?);
        } else {
            show(result);
        }
    }
    Ok(results.iter().all(|r| r.broken.is_empty()))
}

fn baselines(run: &Run) -> std::result::Result<bool, String> {
    let scenario = scenario(run)?;
    let all = [
        Version::Core,
        Version::Baseline(BaselineKind::Random),
        Version::Baseline(BaselineKind::RoundRobin),
        Version::Baseline(BaselineKind::Least),
        Version::Baseline(BaselineKind::TwoChoices),
        Version::Baseline(BaselineKind::PeakEwma),
        Version::Baseline(BaselineKind::SeesLate),
        Version::Baseline(BaselineKind::SeesAll),
    ];
    let mut shown = table(&["by", "G", "served", "worst 10 s", "worst class", "rules broken"]);
    for version in all {
        let results = days(run, &scenario, &version)?;
        let mean = |f: &dyn Fn(&Result) -> f64| {
            format!("{:.3}", results.iter().map(f).sum::<f64>() / results.len() as f64)
        };
        let broken: usize = results.iter().map(|r| r.broken_rules).sum();
        shown.add_row([
            version.name(),
            mean(&|r| r.g),
            mean(&|r| r.served),
            mean(&|r| r.worst_window.0),
            mean(&|r| r.worst_class),
            broken.to_string(),
        ]);
    }
    println!("{} over {} days from seed {}\n{shown}", scenario.name, run.seeds, run.seed);
    Ok(true)
}

fn compare(options: &Compare) -> std::result::Result<bool, String> {
    let scenario = scenario(&options.days)?;
    let (a, b) = (days(&options.days, &scenario, &options.a)?, days(&options.days, &scenario, &options.b)?);
    type Figure = (&'static str, fn(&Result) -> f64);
    let figures: [Figure; 5] = [
        ("G", |r| r.g),
        ("served", |r| r.served),
        ("worst 10 s", |r| r.worst_window.0),
        ("worst class", |r| r.worst_class),
        ("rules broken", |r| r.broken_rules as f64),
    ];
    let mut shown = table(&["figure", "A", "B", "B - A, median", "95%", "B ahead, behind, equal", ""]);
    let mut all = serde_json::Map::new();
    for (name, figure) in figures {
        let pairs: Vec<(f64, f64)> = a.iter().zip(&b).map(|(a, b)| (figure(a), figure(b))).collect();
        let Some(d) = Difference::of(&pairs, options.days.seed) else { continue };
        let mean = |f: &dyn Fn(&(f64, f64)) -> f64| {
            format!("{:.4}", pairs.iter().map(f).sum::<f64>() / pairs.len() as f64)
        };
        let word = if d.shows() { "differs" } else { "no difference shown" };
        let [ahead, behind, equal] = d.wins;
        shown.add_row([
            name.to_owned(),
            mean(&|p| p.0),
            mean(&|p| p.1),
            format!("{:+.4}", d.median),
            format!("{:+.4} to {:+.4}", d.low, d.high),
            format!("{ahead}, {behind}, {equal}"),
            word.to_owned(),
        ]);
        all.insert(name.to_owned(), serde_json::to_value(&d).map_err(|e| e.to_string())?);
    }
    if options.days.json {
        println!("{}", serde_json::Value::Object(all));
    } else {
        let (a, b) = (options.a.name(), options.b.name());
        println!(
            "{}: A {a}, B {b}, {} days from seed {}\n{shown}",
            scenario.name, options.days.seeds, options.days.seed
        );
    }
    Ok(true)
}

/// A cell of the table of cold backends, over its days.
#[derive(serde::Serialize)]
struct Cell {
    proxies: usize,
    lost: f64,
    restarted: f64,
    days: usize,
    starts: usize,
    windows: usize,
    /// The worst day's ratio, the middle one's, and windows over, all days: from proxies told of the start and from all,
    /// by the settings' capacity and by the true one.
    told_by_settings: Ratios,
    told_by_truth: Ratios,
    all_by_settings: Ratios,
    all_by_truth: Ratios,
    blamed: usize,
    rules_broken: usize,
    served: f64,
}

#[derive(serde::Serialize)]
struct Ratios {
    worst: f64,
    median: f64,
    over: usize,
}

impl Ratios {
    fn of(results: &[Result], worst: impl Fn(&Result) -> Worst) -> Self {
        let ratios: Vec<f64> = results.iter().map(|r| worst(r).ratio).collect();
        let over = results.iter().map(|r| worst(r).over).sum();
        Ratios { worst: ratios.iter().copied().fold(0.0, f64::max), median: median(ratios), over }
    }
}

impl std::fmt::Display for Ratios {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.2} {:.2} {}", self.worst, self.median, self.over)
    }
}

impl Cell {
    fn of(scenario: &Scenario, restarted: f64, results: &[Result]) -> Self {
        let sum = |f: &dyn Fn(&Result) -> usize| results.iter().map(f).sum();
        Cell {
            proxies: scenario.proxies,
            lost: scenario.network.peer_loss,
            restarted,
            days: results.len(),
            starts: sum(&|r| r.cold.starts),
            windows: sum(&|r| r.cold.windows),
            told_by_settings: Ratios::of(results, |r| r.cold.told.settings),
            told_by_truth: Ratios::of(results, |r| r.cold.told.truth),
            all_by_settings: Ratios::of(results, |r| r.cold.all.settings),
            all_by_truth: Ratios::of(results, |r| r.cold.all.truth),
            blamed: sum(&|r| r.cold.blamed),
            rules_broken: sum(&|r| r.broken_rules),
            served: results.iter().map(|r| r.served).sum::<f64>() / results.len().max(1) as f64,
        }
    }
}

fn cold(options: &Cold) -> std::result::Result<bool, String> {
    let mut scenario = Scenario::read(&options.scenario).map_err(|e| e.to_string())?;
    scenario.seconds = options.seconds.map_or(scenario.seconds, |s| scenario.seconds.min(s));
    scenario.backends = options.backends.map_or(scenario.backends, |n| n as usize);
    let mut shown = table(&[
        "proxies",
        "lost",
        "restarted",
        "starts",
        "told, settings",
        "told, truth",
        "all, settings",
        "all, truth",
        "to blame",
        "rules broken",
        "served",
    ]);
    let mut blameless = true;
    for &proxies in &options.proxies {
        for &lost in &options.lost {
            for &restarted in &options.restarted {
                (scenario.proxies, scenario.network.peer_loss) = (proxies as usize, lost);
                for fault in scenario.faults.iter_mut().filter(|f| f.kind == FaultKind::KillProxies) {
                    fault.part = Range::One(restarted);
                }
                let cell = Cell::of(
                    &scenario,
                    restarted,
                    &played(options.seed, options.seeds, &scenario, &options.by)?,
                );
                blameless &= cell.blamed == 0;
                if options.json {
                    println!("{}", serde_json::to_string(&cell).map_err(|e| e.to_string())?);
                }
                shown.add_row([
                    proxies.to_string(),
                    format!("{:.0}%", 100.0 * lost),
                    format!("{:.0}%", 100.0 * restarted),
                    cell.starts.to_string(),
                    cell.told_by_settings.to_string(),
                    cell.told_by_truth.to_string(),
                    cell.all_by_settings.to_string(),
                    cell.all_by_truth.to_string(),
                    cell.blamed.to_string(),
                    cell.rules_broken.to_string(),
                    format!("{:.4}", cell.served),
                ]);
            }
        }
    }
    if !options.json {
        println!(
            "{} by {}, {} days a cell from seed {}: requests over N + 2√N + 2, as worst day, median day, windows over\n{shown}",
            scenario.name,
            options.by.name(),
            options.seeds,
            options.seed
        );
    }
    Ok(blameless)
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run(options) => run(&options),
        Command::Baselines(options) => baselines(&options),
        Command::Compare(options) => compare(&options),
        Command::Reconnect(options) => commands::reconnect::run(&options),
        Command::Cold(options) => cold(&options),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(text) => {
            eprintln!("leadrelay-simulator: {text}");
            ExitCode::from(2)
        }
    }
}
