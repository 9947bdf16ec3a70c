//! `leadrelay-simulator compare`: compares two versions on the same workloads, paired by seed.

use clap::Args;
use leadrelay_simulator::paired_difference::{Pair, PairedDifference};
use leadrelay_simulator::{BaselineKind, RunResult, Version};

use super::simulations::{read_scenario, simulate_seeds};
use super::{CommandError, Verdict};
use crate::arguments::{WorkloadArguments, version};
use crate::table::table;

#[derive(Debug, Args)]
pub struct Arguments {
    /// Version A: `core`, a baseline's name, or the path of another build's adapter
    #[arg(value_parser = version)]
    a: Version,
    /// Version B, in the same form
    #[arg(value_parser = version)]
    b: Version,
    #[command(flatten)]
    workloads: WorkloadArguments,
    /// Has no effect
    #[arg(long, value_enum, hide = true)]
    baseline: Option<BaselineKind>,
    /// Print the differences as JSON
    #[arg(long)]
    json: bool,
}

/// A figure of a result that is compared between the versions.
struct Figure {
    name: &'static str,
    value: fn(&RunResult) -> f64,
}

const FIGURES: [Figure; 5] = [
    Figure { name: "G", value: |result| result.score },
    Figure { name: "served", value: |result| result.served },
    Figure { name: "worst 10 s", value: |result| result.worst_window.served },
    Figure { name: "worst class", value: |result| result.worst_class },
    Figure { name: "rules broken", value: |result| result.violation_count as f64 },
];

/// Runs the workloads with both versions and prints the differences.
pub fn execute(arguments: &Arguments) -> Result<Verdict, CommandError> {
    let scenario = read_scenario(&arguments.workloads)?;
    let seeds = arguments.workloads.seeds;
    let results_a = simulate_seeds(seeds, &scenario, &arguments.a)?;
    let results_b = simulate_seeds(seeds, &scenario, &arguments.b)?;
    let mut shown = table(["figure", "A", "B", "B - A, median", "95%", "B ahead, behind, equal", ""]);
    let mut differences = serde_json::Map::new();
    for Figure { name, value } in FIGURES {
        let pair = |(a, b)| Pair { a: value(a), b: value(b) };
        let pairs: Vec<Pair> = results_a.iter().zip(&results_b).map(pair).collect();
        let Some(difference) = PairedDifference::new(&pairs, seeds.first_seed) else { continue };
        shown.add_row(row(name, &pairs, &difference));
        differences.insert(name.to_owned(), serde_json::to_value(&difference)?);
    }
    if arguments.json {
        println!("{}", serde_json::Value::Object(differences));
    } else {
        let a = arguments.a.name();
        let b = arguments.b.name();
        let scenario = scenario.name;
        println!("{scenario}: A {a}, B {b}, {} runs from seed {}\n{shown}", seeds.count, seeds.first_seed);
    }
    Ok(Verdict::Passed)
}

fn row(name: &str, pairs: &[Pair], difference: &PairedDifference) -> [String; 7] {
    let count = pairs.len() as f64;
    let mean_a = pairs.iter().map(|pair| pair.a).sum::<f64>() / count;
    let mean_b = pairs.iter().map(|pair| pair.b).sum::<f64>() / count;
    let wins = difference.wins;
    let finding = if difference.is_significant() { "differs" } else { "no difference shown" };
    [
        name.to_owned(),
        format!("{mean_a:.4}"),
        format!("{mean_b:.4}"),
        format!("{:+.4}", difference.median),
        format!("{:+.4} to {:+.4}", difference.low, difference.high),
        format!("{}, {}, {}", wins.ahead, wins.behind, wins.equal),
        finding.to_owned(),
    ]
}
