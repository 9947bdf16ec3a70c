//! Checks a file against the schema, and reports in words what does not fit.
//!
//! `schemars` makes the schema from our own types, so it uses only the part of JSON Schema that is read here; a test
//! fails on a keyword that is not.

use serde_json::{Map, Value};

use super::fault::{Fault, Text};
use super::values::TextFormat;

/// How similar a key must be to be suggested in place of an unknown one (Jaro-Winkler similarity, 0 to 1).
const MIN_SIMILARITY: f64 = 0.75;

/// All faults of a value by the schema, each at its place in the text.
pub(super) fn against_schema(
    schema: &Value, formats: &[TextFormat], text: &Text, value: &Value,
) -> Vec<Fault> {
    let mut check = Check { schema, formats, text, faults: Vec::new() };
    check.value(schema, value, "");
    check.faults
}

struct Check<'a> {
    schema: &'a Value,
    formats: &'a [TextFormat],
    text: &'a Text<'a>,
    faults: Vec<Fault>,
}

impl<'a> Check<'a> {
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
            self.fault(pointer, format!("'{text}' is no {format}; one is \"{example}\""));
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
            self.fault(pointer, format!("{name} is no finite number"));
        }
    }

    fn array(&mut self, part: &'a Value, items: &[Value], pointer: &str, name: &str) {
        let length = items.len();
        if part["minItems"].as_u64().is_some_and(|min| length < min as usize) {
            self.fault(pointer, format!("{name} is empty"));
        }
        let max = &part["maxItems"];
        if max.as_u64().is_some_and(|max| length > max as usize) {
            self.fault(pointer, format!("{name} holds {length}, and may hold {max}"));
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

/// What messages call the value at a JSON pointer: its key, or that of the list in which it is.
fn name_at(pointer: &str) -> String {
    let key = pointer.rsplit('/').find(|part| part.parse::<usize>().is_err());
    match key {
        Some(key) if !key.is_empty() => format!("'{key}'"),
        _ => "the file".to_owned(),
    }
}

/// The types that a value may have, apart from null; none if it is free.
fn types(part: &Value) -> Vec<&str> {
    match &part["type"] {
        Value::Array(types) => {
            types.iter().filter_map(Value::as_str).filter(|name| *name != "null").collect()
        }
        one => one.as_str().into_iter().collect(),
    }
}

/// The values that a key may have; none if it is free.
pub(super) fn choices(part: &Value) -> Vec<&Value> {
    let listed = part["enum"].as_array().into_iter().flatten();
    let described = part["oneOf"].as_array().into_iter().flatten();
    listed.chain(described.filter_map(|choice| choice.get("const"))).collect()
}

fn unknown_key(key: &str, known: &[&str]) -> String {
    let similarity = |name: &&&str| strsim::jaro_winkler(key, name);
    match known.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b))) {
        Some(name) if similarity(&name) >= MIN_SIMILARITY => {
            format!("unknown key '{key}', did you mean '{name}'?")
        }
        _ => format!("unknown key '{key}'; known are {}", known.join(", ")),
    }
}

/// A part of the schema without the references and choices around it. What is optional is a choice of itself or null.
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

/// A type of the schema, in words.
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

/// A value's type, in words.
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
