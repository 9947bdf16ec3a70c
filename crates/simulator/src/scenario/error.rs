//! What can be wrong with a scenario file.

use std::path::{Path, PathBuf};

use super::fault::FaultKind;

/// What is wrong with a scenario file: one line with file and place.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// It can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It is not TOML, or a key is wrong.
    #[error("{}:{line}:{column}: {message}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// From 1.
        line: usize,
        /// From 1.
        column: usize,
        /// What is wrong there.
        message: String,
    },
    /// Merged with its base, a key is wrong.
    #[error("{}: {message}", path.display())]
    MalformedMerge {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        message: String,
    },
    /// Its values are out of range.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is out of range.
        source: InvalidScenario,
    },
}

impl ScenarioError {
    /// An error of the TOML parser in a text, with the place that it names.
    pub(super) fn malformed(path: &Path, text: &str, error: &toml::de::Error) -> Self {
        let offset = error.span().map_or(0, |span| span.start.min(text.len()));
        let before = &text[..offset];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        let message = one_line(error.message());
        ScenarioError::Malformed { path: path.to_owned(), line, column, message }
    }

    /// An error in the table that a file makes with its base, where no place is known.
    pub(super) fn malformed_merge(path: &Path, error: &toml::de::Error) -> Self {
        ScenarioError::MalformedMerge { path: path.to_owned(), message: one_line(error.message()) }
    }
}

fn one_line(message: &str) -> String {
    message.lines().map(str::trim).collect::<Vec<_>>().join(", ")
}

/// A value of a scenario that is out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidScenario {
    /// The length of the run.
    #[error("seconds = {0}: a run lasts up to 86400")]
    Duration(f64),
    /// Too many or too few of something.
    #[error("{key} = {value}: from 1 to {max}")]
    Count {
        /// The key.
        key: &'static str,
        /// Its value.
        value: usize,
        /// The largest value allowed.
        max: usize,
    },
    /// A list is empty.
    #[error("no {0}")]
    Empty(&'static str),
    /// Not a fraction.
    #[error("{key} = {value}: a fraction from 0 to 1")]
    Fraction {
        /// The key.
        key: &'static str,
        /// Its value.
        value: f64,
    },
    /// A range whose bounds are negative, infinite or in the wrong order.
    #[error("[{low}, {high}] is an empty range, or below 0")]
    Range {
        /// Lower bound.
        low: f64,
        /// Upper bound.
        high: f64,
    },
    /// A fault that affects more than all of its targets.
    #[error("a fault affects {0} times its targets")]
    FaultFraction(f64),
    /// A fault that starts after the end.
    #[error("{0:?} starts after the end of the run")]
    FaultStart(FaultKind),
}
