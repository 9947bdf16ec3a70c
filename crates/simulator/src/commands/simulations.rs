//! Reads scenarios and runs workloads as the command-line arguments say.

use indicatif::{ProgressBar, ProgressStyle};
use leadrelay_simulator::{RunResult, Scenario, Version, Workload, simulate};
use rayon::prelude::*;

use super::CommandError;
use crate::arguments::{SeedArguments, WorkloadArguments};

/// Reads the scenario and applies the values that the arguments override.
pub fn read_scenario(arguments: &WorkloadArguments) -> Result<Scenario, CommandError> {
    let mut scenario = Scenario::read(&arguments.scenario)?;
    limit_duration(&mut scenario, arguments.seconds);
    if let Some(proxies) = arguments.proxies {
        scenario.proxies = proxies as usize;
    }
    replace_backends(&mut scenario, arguments.backends);
    Ok(scenario)
}

/// Limits the duration of the run; `None` leaves it as it is.
pub fn limit_duration(scenario: &mut Scenario, seconds: Option<f64>) {
    if let Some(seconds) = seconds {
        scenario.duration_s = scenario.duration_s.min(seconds);
    }
}

/// Replaces the number of backends; `None` leaves it as it is.
pub fn replace_backends(scenario: &mut Scenario, backends: Option<u32>) {
    if let Some(backends) = backends {
        scenario.backends = backends as usize;
    }
}

/// Runs a scenario's workloads in parallel; the results are in the order of the seeds.
pub fn simulate_seeds(
    seeds: SeedArguments, scenario: &Scenario, version: &Version,
) -> Result<Vec<RunResult>, CommandError> {
    let progress = ProgressBar::new(seeds.count).with_message(version.name());
    if let Ok(style) = ProgressStyle::with_template("{msg} {bar:30} {pos}/{len} runs") {
        progress.set_style(style);
    }
    let simulate_seed = |seed: &u64| {
        let result = simulate(&Workload::sample(scenario, *seed), version);
        progress.inc(1);
        result.map_err(|source| CommandError::Adapter { version: version.name(), source })
    };
    let results = seeds.all().par_iter().map(simulate_seed).collect();
    progress.finish_and_clear();
    results
}

/// The mean of a figure over all results.
pub fn mean(results: &[RunResult], figure: impl Fn(&RunResult) -> f64) -> f64 {
    results.iter().map(figure).sum::<f64>() / results.len() as f64
}
