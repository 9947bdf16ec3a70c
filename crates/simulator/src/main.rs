//! The simulator's command line.

mod arguments;
mod commands;
mod table;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::commands::Verdict;

/// Simulates fleets of proxies in simulated time and reports where priority weight was lost
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
    /// Run one workload or several and report where priority weight was lost
    Run(commands::run::Arguments),
    /// Compare the core with the baselines on the same workloads
    Baselines(commands::baselines::Arguments),
    /// Compare two versions on the same workloads
    Compare(commands::compare::Arguments),
    /// Break all watches of a fleet at once and report when every proxy has its list again
    Reconnect(commands::reconnect::Arguments),
    /// Report how close backends in slow start come to an overload, by proxies, lost gossip and restarts
    #[command(name = "cold")]
    SlowStart(commands::slow_start::Arguments),
}

/// Exit code for wrong usage or a scenario that can't be used.
const EXIT_USAGE: u8 = 2;
/// Exit code for a violated rule.
const EXIT_VIOLATION: u8 = 1;

fn main() -> ExitCode {
    let verdict = match Cli::parse().command {
        Command::Run(arguments) => commands::run::execute(&arguments),
        Command::Baselines(arguments) => commands::baselines::execute(&arguments),
        Command::Compare(arguments) => commands::compare::execute(&arguments),
        Command::Reconnect(arguments) => commands::reconnect::execute(&arguments),
        Command::SlowStart(arguments) => commands::slow_start::execute(&arguments),
    };
    match verdict {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Violated) => ExitCode::from(EXIT_VIOLATION),
        Err(error) => {
            eprintln!("leadrelay-simulator: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
