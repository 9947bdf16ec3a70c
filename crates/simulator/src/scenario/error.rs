//! Errors in scenario files.

use std::path::{Path, PathBuf};

use super::fault::FaultKind;

/// An error in a scenario file. The message is one line, with the file and, where known, the position.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not TOML, or a key is wrong.
    #[error("{}:{line}:{column}: {message}", path.display())]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error in characters, counted from 1.
        column: usize,
        /// Message of the TOML parser.
        message: String,
    },
    /// A key is wrong after the file has been merged with its base.
    #[error("{}: {message}", path.display())]
    MalformedMerge {
        /// Path of the file.
        path: PathBuf,
        /// Message of the TOML parser.
        message: String,
    },
    /// A value is out of range.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The value that is out of range.
        source: InvalidScenario,
    },
}

impl ScenarioError {
    /// Converts an error of the TOML parser, with the position in the text.
    pub(super) fn malformed(path: &Path, text: &str, error: &toml::de::Error) -> Self {
        let offset = error.span().map_or(0, |span| span.start.min(text.len()));
        let before = &text[..offset];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        let message = one_line(error.message());
        ScenarioError::Malformed { path: path.to_owned(), line, column, message }
    }

    /// Converts an error in the table that results from merging a file with its base, for which no position is known.
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
    /// The duration of the run is out of range.
    #[error("seconds = {0}: must be above 0 and at most 86400")]
    Duration(f64),
    /// A number of proxies or backends is out of range.
    #[error("{key} = {value}: must be from 1 to {max}")]
    Count {
        /// Key in the file.
        key: &'static str,
        /// Value of the key.
        value: usize,
        /// Largest value allowed.
        max: usize,
    },
    /// A list is empty.
    #[error("{0} must not be empty")]
    Empty(&'static str),
    /// A value is not a fraction from 0 to 1.
    #[error("{key} = {value}: must be a fraction from 0 to 1")]
    Fraction {
        /// Key in the file.
        key: &'static str,
        /// Value of the key.
        value: f64,
    },
    /// A range whose bounds are negative, infinite or in the wrong order.
    #[error("[{low}, {high}] is an empty range, negative or not finite")]
    Range {
        /// Lower bound of the range.
        low: f64,
        /// Upper bound of the range.
        high: f64,
    },
    /// The fraction of the targets that a fault affects is above 1.
    #[error("a fault affects {0} times its targets")]
    FaultFraction(f64),
    /// A fault starts after the end of the run.
    #[error("{0:?} starts after the end of the run")]
    FaultStart(FaultKind),
}
