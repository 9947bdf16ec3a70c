//! Command-line arguments that several subcommands share, and the parsers of their values.

use std::path::PathBuf;

use clap::{Args, ValueEnum as _};
use leadrelay_simulator::{BaselineKind, Version};

/// The reason why the value of an argument is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentError {
    /// The value is not a fraction from 0 to 1.
    #[error("not a fraction from 0 to 1")]
    Fraction,
    /// The value is not a finite number above 0.
    #[error("not a number above 0")]
    Positive,
    /// The value names no version whose decisions can be run.
    #[error("neither 'core', nor {baselines}, nor the path of an adapter")]
    Version {
        /// The names of all baselines, separated by commas.
        baselines: String,
    },
}

/// The arguments that select the workloads to run.
#[derive(Debug, Args)]
pub struct WorkloadArguments {
    /// The scenario, a TOML file
    pub scenario: PathBuf,
    #[command(flatten)]
    pub seeds: SeedArguments,
    /// Limit the run to this many seconds
    #[arg(long, value_parser = positive)]
    pub seconds: Option<f64>,
    /// Number of proxies, in place of the scenario's
    #[arg(long, value_parser = fleet_size())]
    pub proxies: Option<u32>,
    /// Number of backends, in place of the scenario's
    #[arg(long, value_parser = fleet_size())]
    pub backends: Option<u32>,
}

/// The arguments that select the seeds to run, one run for each seed.
#[derive(Clone, Copy, Debug, Args)]
pub struct SeedArguments {
    /// The first seed
    #[arg(long = "seed", value_name = "SEED", default_value_t = 1)]
    pub first_seed: u64,
    /// Number of runs, each with the next seed
    #[arg(long = "seeds", value_name = "SEEDS", default_value_t = 1, value_parser = seed_count())]
    pub count: u64,
}

impl SeedArguments {
    /// All seeds, in ascending order.
    pub fn all(self) -> Vec<u64> {
        (self.first_seed..self.first_seed + self.count).collect()
    }
}

/// Parses a number of proxies or backends.
pub fn fleet_size() -> clap::builder::RangedI64ValueParser<u32> {
    clap::value_parser!(u32).range(1..=2000)
}

/// Parses a number of seeds.
pub fn seed_count() -> clap::builder::RangedU64ValueParser<u64> {
    clap::value_parser!(u64).range(1..=1000)
}

/// Parses a fraction from 0 to 1.
pub fn fraction(text: &str) -> Result<f64, ArgumentError> {
    let number = text.parse::<f64>().ok().filter(|number| (0.0..=1.0).contains(number));
    number.ok_or(ArgumentError::Fraction)
}

/// Parses a finite number above 0.
pub fn positive(text: &str) -> Result<f64, ArgumentError> {
    let number = text.parse::<f64>().ok().filter(|number| number.is_finite() && *number > 0.0);
    number.ok_or(ArgumentError::Positive)
}

/// Parses a version: `core`, a baseline's name, or the path of an adapter.
pub fn version(text: &str) -> Result<Version, ArgumentError> {
    if text == "core" {
        return Ok(Version::Core);
    }
    if let Ok(kind) = BaselineKind::from_str(text, true) {
        return Ok(Version::Baseline(kind));
    }
    let path = PathBuf::from(text);
    if path.is_file() {
        return Ok(Version::Adapter(path));
    }
    Err(ArgumentError::Version { baselines: baseline_names().join(", ") })
}

fn baseline_names() -> Vec<String> {
    let values = BaselineKind::value_variants().iter().filter_map(BaselineKind::to_possible_value);
    values.map(|value| value.get_name().to_owned()).collect()
}
