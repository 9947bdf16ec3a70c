//! `leadrelay-simulator cold`: reports how close backends in slow start come to an overload, for combinations of the
//! number of proxies, lost gossip and restarts.

use std::fmt;
use std::path::PathBuf;

use clap::Args;
use leadrelay_simulator::paired_difference::median;
use leadrelay_simulator::random::Range;
use leadrelay_simulator::scenario::FaultKind;
use leadrelay_simulator::slow_start::MaxRatio;
use leadrelay_simulator::{RunResult, Scenario, Version};
use serde::Serialize;

use super::simulations::{limit_duration, mean, replace_backends, simulate_seeds};
use super::{CommandError, Verdict};
use crate::arguments::{SeedArguments, fleet_size, fraction, positive, version};
use crate::table::table;

#[derive(Debug, Args)]
pub struct Arguments {
    /// The scenario, a TOML file
    scenario: PathBuf,
    /// Numbers of proxies
    #[arg(long, value_delimiter = ',', default_values_t = [3, 30, 300], value_parser = fleet_size())]
    proxies: Vec<u32>,
    /// Fractions of the gossip that is lost; 1 means no gossip at all
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.1, 0.5], value_parser = fraction)]
    lost: Vec<f64>,
    /// Fractions of the proxies that `kill_proxies` affects
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.3, 1.0], value_parser = fraction)]
    restarted: Vec<f64>,
    #[command(flatten)]
    seeds: SeedArguments,
    /// Version that makes the decisions: `core`, a baseline's name, or the path of another build's adapter
    #[arg(long, default_value = "core", value_parser = version)]
    by: Version,
    /// Limit the run to this many seconds
    #[arg(long, value_parser = positive)]
    seconds: Option<f64>,
    /// Number of backends, in place of the scenario's
    #[arg(long, value_parser = fleet_size())]
    backends: Option<u32>,
    /// Print the cells as JSON, one line for each cell
    #[arg(long)]
    json: bool,
}

/// The parameters that vary between the cells of the table.
#[derive(Clone, Copy)]
struct CellParameters {
    proxies: u32,
    /// Fraction of the gossip that is lost.
    lost: f64,
    /// Fraction of the proxies that are restarted.
    restarted: f64,
}

impl Arguments {
    /// All combinations of the parameters.
    fn cells(&self) -> Vec<CellParameters> {
        let mut cells = Vec::new();
        for &proxies in &self.proxies {
            for &lost in &self.lost {
                for &restarted in &self.restarted {
                    cells.push(CellParameters { proxies, lost, restarted });
                }
            }
        }
        cells
    }

    fn read_scenario(&self) -> Result<Scenario, CommandError> {
        let mut scenario = Scenario::read(&self.scenario)?;
        limit_duration(&mut scenario, self.seconds);
        replace_backends(&mut scenario, self.backends);
        Ok(scenario)
    }
}

impl CellParameters {
    fn apply(&self, scenario: &mut Scenario) {
        scenario.proxies = self.proxies as usize;
        scenario.network.gossip_loss = self.lost;
        for fault in &mut scenario.faults {
            if fault.kind == FaultKind::KillProxies {
                fault.fraction = Range::Fixed(self.restarted);
            }
        }
    }
}

/// The results of all runs with one combination of parameters.
#[derive(Serialize)]
struct Cell {
    proxies: u32,
    lost: f64,
    restarted: f64,
    #[serde(rename = "days")]
    runs: usize,
    starts: usize,
    windows: usize,
    #[serde(rename = "told_by_settings")]
    notified_by_settings: RatioSummary,
    #[serde(rename = "told_by_truth")]
    notified_by_true_capacity: RatioSummary,
    all_by_settings: RatioSummary,
    #[serde(rename = "all_by_truth")]
    all_by_true_capacity: RatioSummary,
    #[serde(rename = "blamed")]
    proxies_at_fault: usize,
    #[serde(rename = "rules_broken")]
    violations: usize,
    served: f64,
}

/// Summary over several runs of the ratio of the load to the allowed load.
#[derive(Serialize)]
struct RatioSummary {
    /// Highest ratio of all runs.
    worst: f64,
    /// Median of the runs' highest ratios.
    median: f64,
    /// Number of windows with more than the allowed load, in all runs.
    over: usize,
}

impl RatioSummary {
    fn new(results: &[RunResult], ratio: impl Fn(&RunResult) -> MaxRatio) -> Self {
        let ratios: Vec<f64> = results.iter().map(|result| ratio(result).ratio).collect();
        RatioSummary {
            worst: ratios.iter().copied().fold(0.0, f64::max),
            median: median(ratios),
            over: results.iter().map(|result| ratio(result).over).sum(),
        }
    }
}

impl fmt::Display for RatioSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2} {:.2} {}", self.worst, self.median, self.over)
    }
}

impl Cell {
    fn new(parameters: CellParameters, results: &[RunResult]) -> Self {
        let sum = |count: fn(&RunResult) -> usize| results.iter().map(count).sum();
        Cell {
            proxies: parameters.proxies,
            lost: parameters.lost,
            restarted: parameters.restarted,
            runs: results.len(),
            starts: sum(|result| result.slow_start.starts),
            windows: sum(|result| result.slow_start.windows),
            notified_by_settings: RatioSummary::new(results, |result| {
                result.slow_start.from_notified.by_settings
            }),
            notified_by_true_capacity: RatioSummary::new(results, |result| {
                result.slow_start.from_notified.by_true_capacity
            }),
            all_by_settings: RatioSummary::new(results, |result| result.slow_start.from_all.by_settings),
            all_by_true_capacity: RatioSummary::new(results, |result| {
                result.slow_start.from_all.by_true_capacity
            }),
            proxies_at_fault: sum(|result| result.slow_start.proxies_at_fault),
            violations: sum(|result| result.violation_count),
            served: mean(results, |result| result.served),
        }
    }

    fn row(&self) -> [String; 11] {
        [
            self.proxies.to_string(),
            format!("{:.0}%", 100.0 * self.lost),
            format!("{:.0}%", 100.0 * self.restarted),
            self.starts.to_string(),
            self.notified_by_settings.to_string(),
            self.notified_by_true_capacity.to_string(),
            self.all_by_settings.to_string(),
            self.all_by_true_capacity.to_string(),
            self.proxies_at_fault.to_string(),
            self.violations.to_string(),
            format!("{:.4}", self.served),
        ]
    }
}

/// Runs the workloads of all cells and prints the results. The verdict is a violation if the proxies were at fault for
/// any overload.
pub fn execute(arguments: &Arguments) -> Result<Verdict, CommandError> {
    let mut scenario = arguments.read_scenario()?;
    let mut shown = table([
        "proxies",
        "lost",
        "restarted",
        "starts",
        "notified, settings",
        "notified, true",
        "all, settings",
        "all, true",
        "at fault",
        "rules broken",
        "served",
    ]);
    let mut proxies_at_fault = 0;
    for parameters in arguments.cells() {
        parameters.apply(&mut scenario);
        let results = simulate_seeds(arguments.seeds, &scenario, &arguments.by)?;
        let cell = Cell::new(parameters, &results);
        proxies_at_fault += cell.proxies_at_fault;
        if arguments.json {
            println!("{}", serde_json::to_string(&cell)?);
        }
        shown.add_row(cell.row());
    }
    if !arguments.json {
        println!(
            "{} by {}, {} runs a cell from seed {}: requests over N + 2√N + 2, as worst run, median run, windows over\n{shown}",
            scenario.name,
            arguments.by.name(),
            arguments.seeds.count,
            arguments.seeds.first_seed
        );
    }
    Ok(Verdict::from_check(proxies_at_fault == 0))
}
