//! `leadrelay-simulator reconnect`: simulates reconnection storms at discovery, for fleets of several sizes.

use clap::Args;
use leadrelay_simulator::reconnect::{ReconnectStorm, StormResult, simulate_storm};
use rayon::prelude::*;

use super::{CommandError, Verdict};
use crate::arguments::{positive, seed_count};
use crate::table::table;
use leadrelay_simulator::time::MS_PER_S;

#[derive(Debug, Args)]
pub struct Arguments {
    /// Numbers of proxies, one fleet for each
    #[arg(long, value_delimiter = ',', default_values_t = [30, 300, 1000],
        value_parser = clap::value_parser!(u32).range(1..=10_000))]
    proxies: Vec<u32>,
    /// Calls a second that discovery answers for each proxy of the fleet
    #[arg(long, default_value_t = 0.25, value_parser = positive)]
    calls_per_s: f64,
    /// Longest wait of a call in ms; a call that would wait longer is refused
    #[arg(long, default_value_t = 2000.0, value_parser = positive)]
    limit_ms: f64,
    /// Refuse calls only when that wait is over, not at once
    #[arg(long)]
    late_refusals: bool,
    /// Time in ms after which a proxy gives a call up
    #[arg(long = "patience-ms", value_name = "PATIENCE_MS", default_value_t = 3000.0, value_parser = positive)]
    call_timeout_ms: f64,
    /// Simulated time in ms
    #[arg(long, default_value_t = 30_000.0, value_parser = positive)]
    length_ms: f64,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of storms, each with the next seed
    #[arg(long, default_value_t = 20, value_parser = seed_count())]
    seeds: u64,
    /// Print the results as JSON, one line for each storm
    #[arg(long)]
    json: bool,
}

impl Arguments {
    fn storm(&self, proxies: u32) -> ReconnectStorm {
        ReconnectStorm {
            proxies,
            calls_per_s: self.calls_per_s,
            max_wait: self.limit_ms,
            late_refusals: self.late_refusals,
            call_timeout: self.call_timeout_ms,
            duration: self.length_ms,
        }
    }

    fn simulate(&self, proxies: u32) -> Vec<StormResult> {
        let storm = self.storm(proxies);
        let seeds: Vec<u64> = (self.seed..self.seed + self.seeds).collect();
        seeds.par_iter().map(|seed| simulate_storm(&storm, *seed)).collect()
    }
}

/// Simulates the storms and prints the results.
pub fn execute(arguments: &Arguments) -> Result<Verdict, CommandError> {
    let mut shown = table([
        "proxies",
        "half listed, s",
        "last listed, s",
        "worst of all, s",
        "without after 6 s",
        "calls",
        "refused",
        "given up",
        "most calls/s",
    ]);
    for &proxies in &arguments.proxies {
        let results = arguments.simulate(proxies);
        if arguments.json {
            for result in &results {
                println!("{}", serde_json::to_string(result)?);
            }
        } else {
            shown.add_row(row(proxies, &results));
        }
    }
    if !arguments.json {
        println!("{} storms from seed {}, means\n{shown}", arguments.seeds, arguments.seed);
    }
    Ok(Verdict::Passed)
}

fn row(proxies: u32, results: &[StormResult]) -> [String; 9] {
    [
        proxies.to_string(),
        mean_time(results, |result| result.half_ms),
        mean_time(results, |result| result.last_ms),
        worst_time(results),
        mean_count(results, |result| result.without_list),
        mean_count(results, |result| result.calls),
        mean_count(results, |result| result.refused),
        mean_count(results, |result| result.given_up),
        mean_count(results, |result| result.max_calls_per_s),
    ]
}

/// The mean of a time over all storms, or "never" if that time is missing for a storm, which was not over within the
/// simulated time.
fn mean_time(results: &[StormResult], time: impl Fn(&StormResult) -> Option<f64>) -> String {
    let times: Option<Vec<f64>> = results.iter().map(time).collect();
    seconds(times.map(|times| times.iter().sum::<f64>() / results.len() as f64))
}

fn worst_time(results: &[StormResult]) -> String {
    let times: Option<Vec<f64>> = results.iter().map(|result| result.last_ms).collect();
    seconds(times.map(|times| times.into_iter().fold(0.0, f64::max)))
}

fn seconds(ms: Option<f64>) -> String {
    ms.map_or("never".into(), |ms| format!("{:.1}", ms / MS_PER_S))
}

fn mean_count(results: &[StormResult], count: impl Fn(&StormResult) -> usize) -> String {
    let total: usize = results.iter().map(count).sum();
    format!("{:.1}", total as f64 / results.len() as f64)
}
