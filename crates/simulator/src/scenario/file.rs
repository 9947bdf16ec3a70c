//! Reads scenario files and merges them with their base.

use std::path::Path;

use super::{Scenario, ScenarioError};

impl Scenario {
    /// Reads and validates a scenario. Keys that the file does not set come from the base that it names.
    ///
    /// # Errors
    /// Returns an error if a file can't be read or parsed, or if a value is out of range.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let scenario = parse(path)?;
        let invalid = |source| ScenarioError::Invalid { path: path.to_owned(), source };
        scenario.validate().map_err(invalid)?;
        Ok(scenario)
    }
}

fn parse(path: &Path) -> Result<Scenario, ScenarioError> {
    let text = read_text(path)?;
    let overrides = parse_table(path, &text)?;
    let Some(base) = overrides.get("base").and_then(toml::Value::as_str) else {
        return toml::from_str(&text).map_err(|error| ScenarioError::malformed(path, &text, &error));
    };
    let base_path = path.with_file_name(base);
    let mut merged = parse_table(&base_path, &read_text(&base_path)?)?;
    merge(&mut merged, overrides);
    merged.try_into().map_err(|error| ScenarioError::malformed_merge(path, &error))
}

fn read_text(path: &Path) -> Result<String, ScenarioError> {
    let unreadable = |source| ScenarioError::Unreadable { path: path.to_owned(), source };
    std::fs::read_to_string(path).map_err(unreadable)
}

fn parse_table(path: &Path, text: &str) -> Result<toml::Table, ScenarioError> {
    text.parse::<toml::Table>().map_err(|error| ScenarioError::malformed(path, text, &error))
}

/// Replaces values of `base` by those of `overrides`: tables key by key, all other values as a whole.
fn merge(base: &mut toml::Table, overrides: toml::Table) {
    for (key, value) in overrides {
        match (base.get_mut(&key), value) {
            (Some(toml::Value::Table(base)), toml::Value::Table(overrides)) => merge(base, overrides),
            (_, value) => {
                base.insert(key, value);
            }
        }
    }
}
