//! `leadrelay-simulator baselines`: compares the core with all baselines on the same workloads.

use clap::Args;
use leadrelay_simulator::{BaselineKind, Version};

use super::simulations::{mean, read_scenario, simulate_seeds};
use super::{CommandError, Verdict};
use crate::arguments::WorkloadArguments;
use crate::table::table;

/// The core and the baselines, in the order of the printed rows.
const VERSIONS: [Version; 8] = [
    Version::Core,
    Version::Baseline(BaselineKind::Random),
    Version::Baseline(BaselineKind::RoundRobin),
    Version::Baseline(BaselineKind::LeastOutstanding),
    Version::Baseline(BaselineKind::TwoChoices),
    Version::Baseline(BaselineKind::PeakEwma),
    Version::Baseline(BaselineKind::DelayedTrueState),
    Version::Baseline(BaselineKind::CurrentTrueState),
];

#[derive(Debug, Args)]
pub struct Arguments {
    #[command(flatten)]
    workloads: WorkloadArguments,
    /// Has no effect
    #[arg(long, value_enum, hide = true)]
    baseline: Option<BaselineKind>,
    /// Has no effect
    #[arg(long, hide = true)]
    json: bool,
}

/// Runs the workloads with each version and prints the means over all seeds.
pub fn execute(arguments: &Arguments) -> Result<Verdict, CommandError> {
    let scenario = read_scenario(&arguments.workloads)?;
    let seeds = arguments.workloads.seeds;
    let mut shown = table(["by", "G", "served", "worst 10 s", "worst class", "rules broken"]);
    for version in &VERSIONS {
        let results = simulate_seeds(seeds, &scenario, version)?;
        let violations: usize = results.iter().map(|result| result.violation_count).sum();
        shown.add_row([
            version.name(),
            format!("{:.3}", mean(&results, |result| result.score)),
            format!("{:.3}", mean(&results, |result| result.served)),
            format!("{:.3}", mean(&results, |result| result.worst_window.served)),
            format!("{:.3}", mean(&results, |result| result.worst_class)),
            violations.to_string(),
        ]);
    }
    println!("{} over {} runs from seed {}\n{shown}", scenario.name, seeds.count, seeds.first_seed);
    Ok(Verdict::Passed)
}
