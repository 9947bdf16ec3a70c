//! `leadrelay-simulator run`: runs workloads and reports where priority weight was lost.

use clap::Args;
use comfy_table::Table;
use leadrelay_simulator::report::{Dimension, OutcomeWeights};
use leadrelay_simulator::{BaselineKind, RequestOutcome, RunResult, Version};

use super::simulations::{read_scenario, simulate_seeds};
use super::{CommandError, Verdict};
use crate::arguments::WorkloadArguments;
use crate::table::table;

/// Lower bound of a divisor, which keeps the division defined where no weight was offered.
const MIN_TOTAL: f64 = 1e-9;

#[derive(Debug, Args)]
pub struct Arguments {
    #[command(flatten)]
    workloads: WorkloadArguments,
    /// Baseline that makes the decisions in place of the core
    #[arg(long, value_enum)]
    baseline: Option<BaselineKind>,
    /// Print the results as JSON, one line for each run
    #[arg(long)]
    json: bool,
}

/// Runs the workloads and prints the results.
pub fn execute(arguments: &Arguments) -> Result<Verdict, CommandError> {
    let scenario = read_scenario(&arguments.workloads)?;
    let version = arguments.baseline.map_or(Version::Core, Version::Baseline);
    let results = simulate_seeds(arguments.workloads.seeds, &scenario, &version)?;
    for result in &results {
        if arguments.json {
            println!("{}", serde_json::to_string(result)?);
        } else {
            print_result(result);
        }
    }
    Ok(Verdict::from_check(results.iter().all(|result| result.violations.is_empty())))
}

fn print_result(result: &RunResult) {
    print_service(result);
    print_counters(result);
    let charges = &result.charges;
    println!(
        "prices: cross_zone {:.4}, handshake {:.4}, peer {:.4}, waste {:.4}",
        charges.cross_zone, charges.handshake, charges.gossip, charges.wasted_work
    );
    println!("{}", outcome_table(result));
    for violation in &result.violations {
        println!("VIOLATION at {:.0} ms: {}: {}", violation.at, violation.rule.name(), violation.details);
    }
}

fn print_service(result: &RunResult) {
    println!(
        "{} seed {} by {}: G {:.3}  served {:.3}, worst 10 s {:.3} (from {:.0} s), worst class {:.3}, tenant {:.3}",
        result.scenario,
        result.seed,
        result.version,
        result.score,
        result.served,
        result.worst_window.served,
        result.worst_window.start_s,
        result.worst_class,
        result.worst_tenant
    );
}

fn print_counters(result: &RunResult) {
    let counters = &result.counters;
    println!(
        "{} requests, {} client attempts, {} attempts, {} handshakes, {} gossip messages, {} of {} calls to discovery failed, {} events, core utilisation {:.2}",
        result.requests,
        counters.client_attempts,
        counters.attempts,
        counters.handshakes,
        counters.gossip_messages,
        counters.discovery_calls_failed,
        counters.discovery_calls,
        counters.events,
        counters.utilisation
    );
}

/// Builds the table of weight by outcome: as a fraction of all weight, and of the weight of each class and zone. The
/// outcome with the most weight comes first.
fn outcome_table(result: &RunResult) -> Table {
    let dimensions = [Dimension::Class, Dimension::Zone];
    let groups: Vec<(&String, &OutcomeWeights)> =
        dimensions.iter().filter_map(|dimension| result.outcomes_by.get(dimension)).flatten().collect();
    let names = groups.iter().map(|(name, _)| name.as_str());
    let mut shown = table(["weight by outcome", "of all"].into_iter().chain(names));
    let mut outcomes: Vec<(&RequestOutcome, &f64)> = result.outcomes.iter().collect();
    outcomes.sort_by(|one, other| other.1.total_cmp(one.1));
    for (outcome, weight) in outcomes {
        let mut row = vec![outcome.name().to_owned(), percent(*weight)];
        row.extend(groups.iter().map(|(_, weights)| percent(fraction_of_group(weights, *outcome))));
        shown.add_row(row);
    }
    shown
}

/// The weight of an outcome as a fraction of its group's weight.
fn fraction_of_group(weights: &OutcomeWeights, outcome: RequestOutcome) -> f64 {
    let total: f64 = weights.values().sum();
    weights.get(&outcome).copied().unwrap_or(0.0) / total.max(MIN_TOTAL)
}

fn percent(fraction: f64) -> String {
    format!("{:.2}%", 100.0 * fraction)
}
