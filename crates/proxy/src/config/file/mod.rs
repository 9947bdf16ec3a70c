//! The TOML configuration file, leadrelay's own format for use outside of the operators' platform.
//!
//! `schema` defines the keys and `defaults` their default values, `checks` finds the faults that the schema can't
//! express, and `convert` turns the file into a [`Config`].

mod checks;
mod convert;
mod defaults;
mod schema;

use super::Config;
use super::check;
use super::fault::{Fault, SourceText};
use super::values::FORMATS;
use schema::File;
pub(super) use schema::SCHEMA;

/// Parses a file. Each stage (syntax, schema, further checks) reports all its faults at once; the first stage with
/// faults is the last one that runs.
pub(super) fn parse(text: &str) -> Result<Config, Vec<Fault>> {
    let (text, value, syntax_faults) = SourceText::parse(text);
    fail_if_any(syntax_faults)?;
    fail_if_any(check::against_schema(&SCHEMA, &FORMATS, &text, &value))?;
    let file: File = serde_json::from_value(value).map_err(|error| vec![text.at("", error.to_string())])?;
    fail_if_any(checks::faults(&file, &text))?;
    Ok(file.into())
}

/// Returns the faults as an error, sorted by position and without duplicates, or `Ok` if there are none.
fn fail_if_any(mut faults: Vec<Fault>) -> Result<(), Vec<Fault>> {
    if faults.is_empty() {
        return Ok(());
    }
    faults.sort();
    faults.dedup();
    Err(faults)
}
