//! `leadrelay-soak`: plays small fleets of real proxies, many seeds side by side, and tells what they broke.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context as _;
use clap::Parser;
use leadrelay_soak::deployment::{Plan, run};
use leadrelay_soak::judge::Report;
use tokio::task::JoinSet;

/// A promise was broken.
const BROKEN: u8 = 1;
/// The command line has to change, or a fleet could not be played.
const USAGE: u8 = 2;

/// Real proxies on loopback under overlapping troubles.
#[derive(Parser)]
#[command(after_help = "Exit codes: 0 nothing was broken, 1 a promise was broken, 2 it could not be played.")]
struct Arguments {
    /// The proxy.
    #[arg(long, default_value = "target/release/leadrelay")]
    program: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, each with a fleet of its own.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=1000))]
    fleets: u64,
    /// How many fleets run at once, of two or three proxies each.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=40))]
    at_once: u64,
    /// For how many seconds troubles begin.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// What proxies log.
    #[arg(long, default_value = "info")]
    log: String,
    /// Where files go, those of fleets that broke nothing only with this.
    #[arg(long)]
    keep: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match play(&arguments).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("leadrelay-soak: {error:#}");
            ExitCode::from(USAGE)
        }
    }
}

/// Plays all seeds; whether nothing was broken.
async fn play(arguments: &Arguments) -> anyhow::Result<bool> {
    let program = std::path::absolute(&arguments.program)?;
    anyhow::ensure!(program.is_file(), "there is no proxy at {}", program.display());
    let folder = match &arguments.keep {
        Some(folder) => std::path::absolute(folder)?,
        None => std::env::temp_dir().join(format!("leadrelay-soak-{}", std::process::id())),
    };
    let plan = |seed| Plan {
        seed,
        span: Duration::from_secs(arguments.seconds),
        program: program.clone(),
        folder: folder.join(format!("seed-{seed}")),
        log_filter: arguments.log.clone(),
    };
    let mut seeds = arguments.seed..arguments.seed.saturating_add(arguments.fleets);
    let mut running = JoinSet::new();
    let (mut played, mut broken) = (0, 0);
    loop {
        while (running.len() as u64) < arguments.at_once
            && let Some(seed) = seeds.next()
        {
            let plan = plan(seed);
            running.spawn(async move { (run(&plan).await, plan) });
        }
        let Some(end) = running.join_next().await else { break };
        let (report, plan) = end?;
        let report = report.with_context(|| format!("seed {} could not be played", plan.seed))?;
        show(&plan, &report);
        (played, broken) = (played + 1, broken + usize::from(!report.violations.is_empty()));
        if report.violations.is_empty() && arguments.keep.is_none() {
            std::fs::remove_dir_all(&plan.folder)
                .with_context(|| format!("can't remove {}", plan.folder.display()))?;
        }
    }
    println!("{played} fleets played, {broken} with broken promises");
    Ok(broken == 0)
}

fn show(plan: &Plan, report: &Report) {
    let counts: Vec<String> = report.counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
    println!("seed {}: {} violations; {}", plan.seed, report.violations.len(), counts.join(", "));
    if report.violations.is_empty() {
        return;
    }
    for (at, what) in &report.troubles {
        println!("  {:6.2} s  {what}", at.as_secs_f64());
    }
    for violation in report.violations.iter().take(40) {
        let at = report.seconds(violation).map_or_else(String::new, |at| format!("{at:.3} s "));
        println!("  BROKEN {:?} {at}{}", violation.promise, violation.what);
    }
    println!("  files in {}", plan.folder.display());
}
