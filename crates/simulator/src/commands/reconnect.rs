//! `leadrelay-simulator reconnect`: storms of calls to discovery, for fleets of several sizes.

use clap::Args;
use leadrelay_simulator::reconnect::{Outcome, ReconnectStorm, play};
use rayon::prelude::*;

use crate::{positive, table};

/// The storms.
#[derive(Debug, Args)]
pub struct Reconnect {
    /// Fleets, by their proxies
    #[arg(long, value_delimiter = ',', default_values_t = [30, 300, 1000],
        value_parser = clap::value_parser!(u32).range(1..=10_000))]
    proxies: Vec<u32>,
    /// Calls a second that discovery answers for each proxy of the fleet
    #[arg(long, default_value_t = 0.25, value_parser = positive)]
    calls_per_s: f64,
    /// A call that would wait longer is refused, in ms
    #[arg(long, default_value_t = 2000.0, value_parser = positive)]
    limit_ms: f64,
    /// Refusals come when that wait is over, not at once
    #[arg(long)]
    late_refusals: bool,
    /// A proxy gives a call up after this span, in ms
    #[arg(long, default_value_t = 3000.0, value_parser = positive)]
    patience_ms: f64,
    /// For how long the storm is looked at, in ms
    #[arg(long, default_value_t = 30_000.0, value_parser = positive)]
    length_ms: f64,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many storms, each by the next seed
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Results as JSON, one line a storm
    #[arg(long)]
    json: bool,
}

/// Plays them and shows the table.
pub fn run(options: &Reconnect) -> std::result::Result<bool, String> {
    let mut shown = table(&[
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
    for &proxies in &options.proxies {
        let storm = ReconnectStorm {
            proxies,
            calls_per_s: options.calls_per_s,
            limit_ms: options.limit_ms,
            late_refusals: options.late_refusals,
            patience_ms: options.patience_ms,
            length_ms: options.length_ms,
        };
        let seeds: Vec<u64> = (options.seed..options.seed + options.seeds).collect();
        let outcomes: Vec<_> = seeds.par_iter().map(|seed| play(&storm, *seed)).collect();
        if options.json {
            for outcome in &outcomes {
                println!("{}", serde_json::to_string(outcome).map_err(|e| e.to_string())?);
            }
            continue;
        }
        let count = outcomes.len() as f64;
        // A storm that does not end within the span looked at has no last one.
        let seconds = |ms: Option<f64>| ms.map_or("never".into(), |ms| format!("{:.1}", ms / 1000.0));
        let mean = |f: &dyn Fn(&Outcome) -> Option<f64>| {
            let all: Option<Vec<f64>> = outcomes.iter().map(f).collect();
            seconds(all.map(|all| all.iter().sum::<f64>() / count))
        };
        let worst: Option<Vec<f64>> = outcomes.iter().map(|o| o.last_ms).collect();
        let of = |f: &dyn Fn(&Outcome) -> usize| {
            format!("{:.1}", outcomes.iter().map(f).sum::<usize>() as f64 / count)
        };
        shown.add_row([
            proxies.to_string(),
            mean(&|o| o.half_ms),
            mean(&|o| o.last_ms),
            seconds(worst.map(|all| all.into_iter().fold(0.0, f64::max))),
            of(&|o| o.ignorant),
            of(&|o| o.calls),
            of(&|o| o.refused),
            of(&|o| o.given_up),
            of(&|o| o.most_calls_per_s),
        ]);
    }
    if !options.json {
        println!("{} storms from seed {}, means\n{shown}", options.seeds, options.seed);
    }
    Ok(true)
}
