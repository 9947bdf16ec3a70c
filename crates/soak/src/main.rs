//! `leadrelay-soak`: runs small fleets of real proxies, many seeds side by side, and reports violated invariants.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context as _;
use clap::Parser;
use leadrelay_soak::proxy::LaunchOptions;
use leadrelay_soak::report::Report;
use leadrelay_soak::run::{Plan, run};
use tokio::task::JoinSet;

/// Exit code: an invariant was violated.
const VIOLATED: u8 = 1;
/// Exit code: the command line is invalid, or a fleet could not be run.
const NOT_RUN: u8 = 2;
/// Maximum number of violations that are printed for a fleet.
const MAX_SHOWN_VIOLATIONS: usize = 40;

/// Runs real proxies on loopback under overlapping faults and checks their invariants.
#[derive(Parser)]
#[command(
    after_help = "Exit codes: 0 no invariant was violated, 1 an invariant was violated, 2 a fleet could not be run."
)]
struct Arguments {
    /// Path of the proxy's executable.
    #[arg(long, default_value = "target/release/leadrelay")]
    program: PathBuf,
    /// The first seed; each further fleet uses the next one.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of fleets to run, each with its own seed.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=1000))]
    fleets: u64,
    /// Number of fleets that run at the same time, each with two or three proxies.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=40))]
    at_once: u64,
    /// Time during which new faults are injected, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Log filter of the proxies.
    #[arg(long, default_value = "info")]
    log: String,
    /// Folder for logs and other files, which are all kept; by default, only files of fleets with violations are kept.
    #[arg(long)]
    keep: Option<PathBuf>,
}

impl Arguments {
    fn plan(&self, seed: u64, program: &Path, folder: &Path) -> Plan {
        Plan {
            seed,
            duration: Duration::from_secs(self.seconds),
            launch: LaunchOptions {
                program: program.to_owned(),
                folder: folder.join(format!("seed-{seed}")),
                log_filter: self.log.clone(),
            },
        }
    }

    /// Folder for the files of all fleets.
    fn folder(&self) -> std::io::Result<PathBuf> {
        match &self.keep {
            Some(folder) => std::path::absolute(folder),
            None => Ok(std::env::temp_dir().join(format!("leadrelay-soak-{}", std::process::id()))),
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run_all(&arguments).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(VIOLATED),
        Err(error) => {
            eprintln!("leadrelay-soak: {error:#}");
            ExitCode::from(NOT_RUN)
        }
    }
}

/// Runs all seeds; returns whether no invariant was violated.
async fn run_all(arguments: &Arguments) -> anyhow::Result<bool> {
    let program = std::path::absolute(&arguments.program)?;
    anyhow::ensure!(program.is_file(), "the proxy's executable {} does not exist", program.display());
    let folder = arguments.folder()?;
    let mut seeds = arguments.seed..arguments.seed.saturating_add(arguments.fleets);
    let mut running = JoinSet::new();
    let mut finished = 0;
    let mut violating_fleets = 0;
    loop {
        while (running.len() as u64) < arguments.at_once
            && let Some(seed) = seeds.next()
        {
            let plan = arguments.plan(seed, &program, &folder);
            running.spawn(async move { (run(&plan).await, plan) });
        }
        let Some(result) = running.join_next().await else { break };
        let (report, plan) = result?;
        let report = report.with_context(|| format!("the fleet of seed {} could not be run", plan.seed))?;
        show(&plan, &report);
        finished += 1;
        if !report.violations.is_empty() {
            violating_fleets += 1;
        } else if arguments.keep.is_none() {
            remove_files(&plan)?;
        }
    }
    println!("{finished} fleets run, {violating_fleets} with violated invariants");
    Ok(violating_fleets == 0)
}

fn remove_files(plan: &Plan) -> anyhow::Result<()> {
    let folder = &plan.launch.folder;
    std::fs::remove_dir_all(folder).with_context(|| format!("can't remove {}", folder.display()))
}

fn show(plan: &Plan, report: &Report) {
    let counts: Vec<String> = report.counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
    println!("seed {}: {} violations; {}", plan.seed, report.violations.len(), counts.join(", "));
    if report.violations.is_empty() {
        return;
    }
    for fault in &report.faults {
        println!("  {:6.2} s  {}", fault.offset.as_secs_f64(), fault.description);
    }
    for violation in report.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
        let at = report.seconds(violation).map_or_else(String::new, |at| format!("{at:.3} s "));
        println!("  VIOLATED {:?} {at}{}", violation.invariant, violation.description);
    }
    println!("  files in {}", plan.launch.folder.display());
}
