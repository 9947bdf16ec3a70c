//! Errors that end the adapter.

use std::io;

/// An error that ends the adapter, with the line number if a single line caused it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A line could not be read or parsed, or its replies could not be written.
    #[error("line {number}: {error}")]
    Line {
        /// The line number, counted from 1.
        number: usize,
        /// The cause of the error.
        error: LineError,
    },
    /// The input ended before the `GO` message of the last batch.
    #[error("the input ends inside a batch: GO is missing")]
    UnfinishedBatch,
}

/// The cause of an error at one line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("field '{0}' has no '='")]
    FieldWithoutValue(String),
    #[error("field '{0}' is missing")]
    MissingField(&'static str),
    #[error("field '{name}' is not a finite number: '{value}'")]
    InvalidNumber { name: &'static str, value: String },
    #[error("field '{name}' is not an unsigned 64-bit integer: '{value}'")]
    InvalidInteger { name: &'static str, value: String },
    #[error("field 'params' is not valid JSON: {0}")]
    InvalidSettings(#[from] serde_json::Error),
    #[error("request class '{0}' is not in the settings")]
    UnknownClass(String),
    #[error("field 'msg' is not valid Base64: {0}")]
    InvalidGossip(#[from] base64::DecodeError),
    #[error("GO without a preceding FRAME")]
    BatchEndWithoutStart,
    #[error("message {0} outside a batch")]
    OutsideBatch(&'static str),
    #[error("the input ends inside an endpoint list")]
    TruncatedList,
    #[error("expected an ITEM line of the endpoint list")]
    ExpectedListItem,
}

impl LineError {
    /// Adds the line number to the error.
    pub fn at_line(self, number: usize) -> Error {
        Error::Line { number, error: self }
    }
}
