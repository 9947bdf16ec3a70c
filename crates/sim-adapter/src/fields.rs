//! Parser for the tab-separated `name=value` fields of a line.

use crate::error::LineError;

/// Fields with a free-text value. The value extends to the end of the line, because it may contain tabs.
const FREE_TEXT_FIELDS: [&str; 2] = ["params", "message"];

/// The names and values of the fields of one line, in order of appearance.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Parses the part of a line that follows the message name.
    pub fn parse(text: &'a str) -> Result<Self, LineError> {
        let mut fields = Vec::new();
        let mut rest = text.trim_end_matches(['\r', '\n']);
        while !rest.is_empty() {
            let (field, remainder) = rest.split_once('\t').unwrap_or((rest, ""));
            if field.is_empty() {
                rest = remainder;
                continue;
            }
            let (name, value) =
                field.split_once('=').ok_or_else(|| LineError::FieldWithoutValue(field.to_owned()))?;
            if FREE_TEXT_FIELDS.contains(&name) {
                fields.push((name, &rest[name.len() + 1..]));
                break;
            }
            fields.push((name, value));
            rest = remainder;
        }
        Ok(Fields(fields))
    }

    /// Returns the text of an optional field.
    pub fn optional_text(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(field, _)| *field == name).map(|(_, value)| *value)
    }

    /// Returns the text of a required field.
    pub fn text(&self, name: &'static str) -> Result<&'a str, LineError> {
        self.optional_text(name).ok_or(LineError::MissingField(name))
    }

    /// Returns the value of an optional field that holds a finite number.
    pub fn optional_number(&self, name: &'static str) -> Result<Option<f64>, LineError> {
        let Some(value) = self.optional_text(name) else { return Ok(None) };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(LineError::InvalidNumber { name, value: value.to_owned() }),
        }
    }

    /// Returns the value of a required field that holds a finite number.
    pub fn number(&self, name: &'static str) -> Result<f64, LineError> {
        self.optional_number(name)?.ok_or(LineError::MissingField(name))
    }

    /// Returns the value of an optional field that holds an unsigned integer.
    pub fn optional_integer(&self, name: &'static str) -> Result<Option<u64>, LineError> {
        let Some(value) = self.optional_text(name) else { return Ok(None) };
        match value.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(LineError::InvalidInteger { name, value: value.to_owned() }),
        }
    }

    /// Returns the value of a required field that holds an unsigned integer.
    pub fn integer(&self, name: &'static str) -> Result<u64, LineError> {
        self.optional_integer(name)?.ok_or(LineError::MissingField(name))
    }
}
