//! The subcommands, each in its own file.

pub mod baselines;
pub mod compare;
pub mod reconnect;
pub mod run;
mod simulations;
pub mod slow_start;

use leadrelay_simulator::ScenarioError;
use leadrelay_simulator::adapter::AdapterError;

/// The verdict of a command, from which the exit code follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No rule was violated.
    Passed,
    /// A rule was violated.
    Violated,
}

impl Verdict {
    /// Converts the result of a check.
    pub fn from_check(passed: bool) -> Self {
        if passed { Verdict::Passed } else { Verdict::Violated }
    }
}

/// The reason why a command can't be executed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The scenario can't be read or is invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// The adapter of a version can't be started.
    #[error("{version}: {source}")]
    Adapter {
        /// Name of the version.
        version: String,
        /// The error of the adapter.
        source: AdapterError,
    },
    /// A result can't be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
