//! Why the adapter ends before its input does.

use std::io;

/// An error of the whole input, with the line where it was found.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A line can't be read, understood or answered.
    #[error("line {number}: {error}")]
    Line {
        /// The line, counted from 1.
        number: usize,
        /// What is wrong with it.
        error: LineError,
    },
    /// The last batch has no `GO`.
    #[error("the input ends inside a batch")]
    UnfinishedBatch,
}

/// What is wrong with one line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("'{0}' has no '='")]
    FieldWithoutValue(String),
    #[error("'{0}' is missing")]
    MissingField(&'static str),
    #[error("'{name}={value}' is no number")]
    InvalidNumber { name: &'static str, value: String },
    #[error("'{name}={value}' is no whole number")]
    InvalidInteger { name: &'static str, value: String },
    #[error("settings: {0}")]
    InvalidSettings(#[from] serde_json::Error),
    #[error("class '{0}' is not in the settings")]
    UnknownClass(String),
    #[error("'msg': {0}")]
    InvalidGossip(#[from] base64::DecodeError),
    #[error("GO without FRAME")]
    GoWithoutFrame,
    #[error("{0} outside a batch")]
    OutsideBatch(&'static str),
    #[error("the list is cut short")]
    TruncatedList,
    #[error("a list line was expected")]
    ExpectedListItem,
}

impl LineError {
    /// Adds the number of the line.
    pub fn at_line(self, number: usize) -> Error {
        Error::Line { number, error: self }
    }
}
