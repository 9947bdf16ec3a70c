//! Arguments that several subcommands share, and how their values are read.

use std::path::PathBuf;

use clap::{Args, ValueEnum as _};
use leadrelay_simulator::{BaselineKind, Version};

/// Why the value of an argument is wrong.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentError {
    /// Not a fraction.
    #[error("not a fraction from 0 to 1")]
    Fraction,
    /// Not a positive number.
    #[error("not a number above 0")]
    Positive,
    /// Not a version.
    #[error("neither 'core', nor {baselines}, nor the path of an adapter")]
    Version {
        /// The names of the baselines.
        baselines: String,
    },
}

/// Which workloads are run.
#[derive(Debug, Args)]
pub struct WorkloadArguments {
    /// The scenario, a TOML file
    pub scenario: PathBuf,
    #[command(flatten)]
    pub seeds: SeedArguments,
    /// Limit the run to so many seconds
    #[arg(long, value_parser = positive)]
    pub seconds: Option<f64>,
    /// So many proxies in place of the scenario's
    #[arg(long, value_parser = fleet_size())]
    pub proxies: Option<u32>,
    /// So many backends in place of the scenario's
    #[arg(long, value_parser = fleet_size())]
    pub backends: Option<u32>,
}

/// How often something is run.
#[derive(Clone, Copy, Debug, Args)]
pub struct SeedArguments {
    /// The first seed
    #[arg(long = "seed", value_name = "SEED", default_value_t = 1)]
    pub first: u64,
    /// How many runs, each with the next seed
    #[arg(long = "seeds", value_name = "SEEDS", default_value_t = 1, value_parser = seed_count())]
    pub count: u64,
}

impl SeedArguments {
    /// All seeds.
    pub fn all(self) -> Vec<u64> {
        (self.first..self.first + self.count).collect()
    }
}

/// Numbers of proxies or backends.
pub fn fleet_size() -> clap::builder::RangedI64ValueParser<u32> {
    clap::value_parser!(u32).range(1..=2000)
}

/// Numbers of seeds.
pub fn seed_count() -> clap::builder::RangedU64ValueParser<u64> {
    clap::value_parser!(u64).range(1..=1000)
}

/// Reads a fraction.
pub fn fraction(text: &str) -> Result<f64, ArgumentError> {
    let number = text.parse::<f64>().ok().filter(|number| (0.0..=1.0).contains(number));
    number.ok_or(ArgumentError::Fraction)
}

/// Reads a positive number.
pub fn positive(text: &str) -> Result<f64, ArgumentError> {
    let number = text.parse::<f64>().ok().filter(|number| number.is_finite() && *number > 0.0);
    number.ok_or(ArgumentError::Positive)
}

/// Reads a version: `core`, a baseline's name, or the path of an adapter.
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
