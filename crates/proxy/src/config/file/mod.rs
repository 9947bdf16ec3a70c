//! Our own configuration file: TOML, for those who do not run on the operators' platform.
//!
//! `schema` is its form, `defaults` has the values of keys that are left out, `checks` finds the faults that the schema
//! can't express, `convert` makes a [`Config`] of it.

mod checks;
mod convert;
mod defaults;
mod schema;

use super::Config;
use super::check;
use super::fault::{Fault, Text};
use super::values::FORMATS;
use schema::File;
pub(super) use schema::SCHEMA;

/// Parses a file; all its faults are reported at once.
pub(super) fn parse(text: &str) -> Result<Config, Vec<Fault>> {
    let (text, value, syntax_faults) = Text::read(text);
    none_of(syntax_faults)?;
    none_of(check::against_schema(&SCHEMA, &FORMATS, &text, &value))?;
    let file: File = serde_json::from_value(value).map_err(|error| vec![text.at("", error.to_string())])?;
    none_of(checks::faults(&file, &text))?;
    Ok(file.into())
}

/// An error with these faults in the order of their places, unless there are none.
fn none_of(mut faults: Vec<Fault>) -> Result<(), Vec<Fault>> {
    if faults.is_empty() {
        return Ok(());
    }
    faults.sort();
    faults.dedup();
    Err(faults)
}
