//! The `name=value` fields of a line.

use crate::error::LineError;

/// Fields whose value is free text, which may hold tabs: they take the rest of the line.
const FREE_TEXT_FIELDS: [&str; 2] = ["params", "message"];

/// The fields of one line, in their order.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Splits what follows the name of a message.
    pub fn parse(text: &'a str) -> Result<Self, LineError> {
        let mut fields = Vec::new();
        let mut rest = text.trim_end_matches(['\r', '\n']);
        while !rest.is_empty() {
            let (part, after) = rest.split_once('\t').unwrap_or((rest, ""));
            if part.is_empty() {
                rest = after;
                continue;
            }
            let (name, value) =
                part.split_once('=').ok_or_else(|| LineError::FieldWithoutValue(part.to_owned()))?;
            if FREE_TEXT_FIELDS.contains(&name) {
                fields.push((name, &rest[name.len() + 1..]));
                break;
            }
            fields.push((name, value));
            rest = after;
        }
        Ok(Fields(fields))
    }

    /// The text of a field that may be absent.
    pub fn optional_text(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(field, _)| *field == name).map(|(_, value)| *value)
    }

    /// The text of a field that has to be there.
    pub fn text(&self, name: &'static str) -> Result<&'a str, LineError> {
        self.optional_text(name).ok_or(LineError::MissingField(name))
    }

    /// A finite number that may be absent.
    pub fn optional_number(&self, name: &'static str) -> Result<Option<f64>, LineError> {
        let Some(value) = self.optional_text(name) else { return Ok(None) };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(LineError::InvalidNumber { name, value: value.to_owned() }),
        }
    }

    /// A finite number that has to be there.
    pub fn number(&self, name: &'static str) -> Result<f64, LineError> {
        self.optional_number(name)?.ok_or(LineError::MissingField(name))
    }

    /// A whole number that may be absent.
    pub fn optional_integer(&self, name: &'static str) -> Result<Option<u64>, LineError> {
        let Some(value) = self.optional_text(name) else { return Ok(None) };
        match value.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(LineError::InvalidInteger { name, value: value.to_owned() }),
        }
    }

    /// A whole number that has to be there.
    pub fn integer(&self, name: &'static str) -> Result<u64, LineError> {
        self.optional_integer(name)?.ok_or(LineError::MissingField(name))
    }
}
