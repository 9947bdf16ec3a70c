//! Checks a configuration file against the JSON schema and reports each mismatch as a readable message.
//!
//! `schemars` generates the schema from the types in `file::schema`, so only the JSON Schema keywords that they produce
//! are implemented here. A test fails if the schema contains any other keyword.

use serde_json::{Map, Value};

use super::fault::{Fault, SourceText};
use super::values::TextFormat;

/// Minimum Jaro-Winkler similarity (0 to 1) at which a known key is suggested in place of an unknown one.
const MIN_SIMILARITY: f64 = 0.75;

/// Validates a value against the schema and returns all faults, each with its position in the text.
pub(super) fn against_schema(
    schema: &Value, formats: &[TextFormat], text: &SourceText, value: &Value,
) -> Vec<Fault> {
    let mut check = SchemaCheck { schema, formats, text, faults: Vec::new() };
    check.value(schema, value, "");
    check.faults
}

/// A validation in progress.
struct SchemaCheck<'a> {
    schema: &'a Value,
    formats: &'a [TextFormat],
    text: &'a SourceText<'a>,
    faults: Vec<Fault>,
}

impl<'a> SchemaCheck<'a> {
    fn fault(&mut self, pointer: &str, message: impl Into<String>) {
        self.faults.push(self.text.at(pointer, message));
    }

    /// Checks the value at a JSON pointer against its part of the schema.
    fn value(&mut self, part: &'a Value, value: &Value, pointer: &str) {
        let part = resolved(self.schema, part);
        let name = name_at(pointer);
        let types = types(part);
        if !types.is_empty() && !types.iter().any(|name| has_type(name, value)) {
            let expected = types.iter().map(|name| describe_type(name)).collect::<Vec<_>>().join(" or ");
            return self.fault(pointer, format!("{name} has to be {expected}, not {}", describe(value)));
        }
        let choices = choices(part);
        if !choices.is_empty() && !choices.contains(&value) {
            let expected = choices.iter().map(ToString::to_string).collect::<Vec<_>>().join(" or ");
            return self.fault(pointer, format!("{name} is {value}, and has to be {expected}"));
        }
        match value {
            Value::String(text) => self.string(part, text, pointer, &name),
            Value::Number(_) => self.number(part, value, pointer, &name),
            Value::Array(items) => self.array(part, items, pointer, &name),
            Value::Object(entries) => self.object(part, entries, pointer),
            Value::Null | Value::Bool(_) => {}
        }
    }

    fn string(&mut self, part: &Value, text: &str, pointer: &str, name: &str) {
        let length = text.chars().count() as u64;
        if part["minLength"].as_u64().is_some_and(|min| length < min) {
            self.fault(pointer, format!("{name} is empty"));
        }
        let format = part["format"].as_str();
        let format = format.and_then(|name| self.formats.iter().find(|format| format.name == name));
        if let Some(TextFormat { name: format, example, is_valid }) = format
            && !is_valid(text)
        {
            self.fault(pointer, format!("'{text}' is not a valid {format}; example: \"{example}\""));
        }
    }

    fn number(&mut self, part: &Value, value: &Value, pointer: &str, name: &str) {
        let number = |value: &Value| value.as_f64().unwrap_or(f64::NAN);
        let min = &part["minimum"];
        let max = &part["maximum"];
        if number(value) < number(min) {
            self.fault(pointer, format!("{name} is {value}, and has to be {min} or more"));
        } else if number(value) > number(max) {
            self.fault(pointer, format!("{name} is {value}, and has to be {max} or less"));
        } else if !number(value).is_finite() {
            self.fault(pointer, format!("{name} is not a finite number"));
        }
    }

    fn array(&mut self, part: &'a Value, items: &[Value], pointer: &str, name: &str) {
        let length = items.len();
        if part["minItems"].as_u64().is_some_and(|min| length < min as usize) {
            self.fault(pointer, format!("{name} is empty"));
        }
        let max = &part["maxItems"];
        if max.as_u64().is_some_and(|max| length > max as usize) {
            self.fault(pointer, format!("{name} has {length} items, and has to have {max} or fewer"));
        }
        for (index, item) in items.iter().enumerate() {
            self.value(&part["items"], item, &format!("{pointer}/{index}"));
        }
    }

    fn object(&mut self, part: &'a Value, entries: &Map<String, Value>, pointer: &str) {
        let required = part["required"].as_array().into_iter().flatten().filter_map(Value::as_str);
        for key in required.filter(|key| !entries.contains_key(*key)) {
            self.fault(pointer, format!("'{key}' is missing"));
        }
        for (key, value) in entries {
            let pointer = format!("{pointer}/{key}");
            match part["properties"].get(key) {
                Some(property) => self.value(property, value, &pointer),
                None => {
                    let known = part["properties"].as_object().into_iter().flatten();
                    let known: Vec<&str> = known.map(|(key, _)| key.as_str()).collect();
                    self.faults.push(self.text.at_key(&pointer, unknown_key(key, &known)));
                }
            }
        }
    }
}

/// The name that messages use for the value at a JSON pointer: its key in quotes, or the key of the list that holds it.
fn name_at(pointer: &str) -> String {
    let key = pointer.rsplit('/').find(|part| part.parse::<usize>().is_err());
    match key {
        Some(key) if !key.is_empty() => format!("'{key}'"),
        _ => "the file".to_owned(),
    }
}

/// The types that the schema allows for a value, apart from null; empty if it allows any.
fn types(part: &Value) -> Vec<&str> {
    match &part["type"] {
        Value::Array(types) => {
            types.iter().filter_map(Value::as_str).filter(|name| *name != "null").collect()
        }
        single => single.as_str().into_iter().collect(),
    }
}

/// The values that the schema enumerates for a key; empty if it enumerates none.
pub(super) fn choices(part: &Value) -> Vec<&Value> {
    let listed = part["enum"].as_array().into_iter().flatten();
    let described = part["oneOf"].as_array().into_iter().flatten();
    listed.chain(described.filter_map(|choice| choice.get("const"))).collect()
}

/// The message for an unknown key: it suggests the most similar known key, or lists all of them.
fn unknown_key(key: &str, known: &[&str]) -> String {
    let similarity = |name: &&&str| strsim::jaro_winkler(key, name);
    match known.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b))) {
        Some(name) if similarity(&name) >= MIN_SIMILARITY => {
            format!("unknown key '{key}', did you mean '{name}'?")
        }
        _ => format!("unknown key '{key}'; known are {}", known.join(", ")),
    }
}

/// Follows references (`$ref`) and optional values (`anyOf` of the value's schema and null) to the schema of the value.
pub(super) fn resolved<'a>(schema: &'a Value, mut part: &'a Value) -> &'a Value {
    loop {
        if let Some(name) = part["$ref"].as_str() {
            part = schema.pointer(name.trim_start_matches('#')).unwrap_or(&Value::Null);
        } else if let Some(choice) = part["anyOf"].as_array() {
            part = choice.first().unwrap_or(&Value::Null);
        } else {
            return part;
        }
    }
}

fn has_type(name: &str, value: &Value) -> bool {
    match name {
        "array" => value.is_array(),
        "boolean" => value.is_boolean(),
        "integer" => value.is_i64() || value.is_u64(),
        "number" => value.is_number(),
        "object" => value.is_object(),
        _ => value.is_string(),
    }
}

/// Describes a type of the schema in words.
fn describe_type(name: &str) -> &'static str {
    match name {
        "array" => "a list",
        "boolean" => "true or false",
        "integer" => "a whole number",
        "number" => "a number",
        "object" => "a table",
        _ => "text",
    }
}

/// Describes the type of a value in words. Null stands for a number that the parser could not represent.
fn describe(value: &Value) -> &'static str {
    match value {
        Value::Null => "a number out of range",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "a table",
    }
}

#[cfg(test)]
mod tests;
