//! The subcommands, one a file.

pub mod baselines;
pub mod compare;
pub mod reconnect;
pub mod run;
mod simulations;
pub mod slow_start;

use leadrelay_simulator::ScenarioError;
use leadrelay_simulator::adapter::AdapterError;

/// What a command found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing to object to.
    Passed,
    /// A rule was violated.
    Violated,
}

impl Verdict {
    /// The verdict of a check.
    pub fn from_check(passed: bool) -> Self {
        if passed { Verdict::Passed } else { Verdict::Violated }
    }
}

/// Why a command can't be executed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The scenario can't be used.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// The adapter of a version can't be used.
    #[error("{version}: {source}")]
    Adapter {
        /// Its name.
        version: String,
        /// Why.
        source: AdapterError,
    },
    /// A result can't be written.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
