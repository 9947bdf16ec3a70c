//! Holds a file against the schema, and puts what does not fit into words.
//!
//! `schemars` makes the schema from our own types, so it uses only the part of JSON Schema that is read here; a test
//! fails on a keyword that is not.

use serde_json::Value;

use super::fault::{Fault, Text};
use super::values::Format;

/// How alike a name must be to be offered in place of an unknown one (Jaro and Winkler's measure, 0 to 1).
const ALIKE: f64 = 0.75;

/// All faults of a value by the schema, each at its place in the text.
pub(super) fn against_schema(schema: &Value, formats: &[Format], places: &Text, value: &Value) -> Vec<Fault> {
    let mut check = Check { schema, formats, places, faults: Vec::new() };
    check.value(schema, value, "");
    check.faults
}

struct Check<'a> {
    schema: &'a Value,
    formats: &'a [Format],
    places: &'a Text<'a>,
    faults: Vec<Fault>,
}

impl<'a> Check<'a> {
    fn fault(&mut self, pointer: &str, message: impl Into<String>) {
        self.faults.push(self.places.at(pointer, message));
    }

    fn value(&mut self, part: &'a Value, value: &Value, pointer: &str) {
        let part = resolved(self.schema, part);
        let name = match pointer.rsplit('/').find(|part| part.parse::<usize>().is_err()) {
            Some(name) if !name.is_empty() => format!("'{name}'"),
            _ => "the file".to_owned(),
        };
        let kinds: Vec<&str> = match &part["type"] {
            Value::Array(kinds) => kinds.iter().filter_map(Value::as_str).filter(|k| *k != "null").collect(),
            kind => kind.as_str().into_iter().collect(),
        };
        if !kinds.is_empty() && !kinds.iter().any(|kind| is(kind, value)) {
            let wanted = kinds.iter().map(|kind| words(kind)).collect::<Vec<_>>().join(" or ");
            return self.fault(pointer, format!("{name} has to be {wanted}, not {}", kind_of(value)));
        }
        let choices = choices(part);
        if !choices.is_empty() && !choices.contains(&value) {
            let all = choices.iter().map(ToString::to_string).collect::<Vec<_>>().join(" or ");
            return self.fault(pointer, format!("{name} is {value}, and has to be {all}"));
        }
        match value {
            Value::String(text) => self.text(part, text, pointer, &name),
            Value::Number(_) => self.number(part, value, pointer, &name),
            Value::Array(all) => {
                let length = |key: &str| part[key].as_u64().map(|n| n as usize);
                if length("minItems").is_some_and(|least| all.len() < least) {
                    self.fault(pointer, format!("{name} is empty"));
                }
                if length("maxItems").is_some_and(|most| all.len() > most) {
                    self.fault(
                        pointer,
                        format!("{name} holds {}, and may hold {}", all.len(), part["maxItems"]),
                    );
                }
                for (n, value) in all.iter().enumerate() {
                    self.value(&part["items"], value, &format!("{pointer}/{n}"));
                }
            }
            Value::Object(all) => {
                for key in part["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
                    if !all.contains_key(key) {
                        self.fault(pointer, format!("'{key}' is missing"));
                    }
                }
                for (key, value) in all {
                    let below = format!("{pointer}/{key}");
                    match part["properties"].get(key) {
                        Some(part) => self.value(part, value, &below),
                        None => {
                            let known = part["properties"].as_object();
                            let known: Vec<&str> =
                                known.into_iter().flatten().map(|(k, _)| k.as_str()).collect();
                            self.faults.push(self.places.at_key(&below, unknown(key, &known)));
                        }
                    }
                }
            }
            Value::Null | Value::Bool(_) => {}
        }
    }

    fn text(&mut self, part: &Value, text: &str, pointer: &str, name: &str) {
        if part["minLength"].as_u64().is_some_and(|least| (text.chars().count() as u64) < least) {
            self.fault(pointer, format!("{name} is empty"));
        }
        let format = part["format"].as_str().and_then(|name| self.formats.iter().find(|f| f.0 == name));
        if let Some((format, example, fits)) = format
            && !fits(text)
        {
            self.fault(pointer, format!("'{text}' is no {format}; one is \"{example}\""));
        }
    }

    fn number(&mut self, part: &Value, value: &Value, pointer: &str, name: &str) {
        let of = |value: &Value| value.as_f64().unwrap_or(f64::NAN);
        let (least, most) = (&part["minimum"], &part["maximum"]);
        if of(value) < of(least) {
            self.fault(pointer, format!("{name} is {value}, and has to be {least} or more"));
        } else if of(value) > of(most) {
            self.fault(pointer, format!("{name} is {value}, and has to be {most} or less"));
        } else if !of(value).is_finite() {
            self.fault(pointer, format!("{name} is no finite number"));
        }
    }
}

/// The values among which a key may choose; none if it is free.
pub(super) fn choices(part: &Value) -> Vec<&Value> {
    let listed = part["enum"].as_array().into_iter().flatten();
    let described = part["oneOf"].as_array().into_iter().flatten();
    listed.chain(described.filter_map(|one| one.get("const"))).collect()
}

fn unknown(key: &str, known: &[&str]) -> String {
    let alike = |name: &&&str| strsim::jaro_winkler(key, name);
    match known.iter().max_by(|a, b| alike(a).total_cmp(&alike(b))) {
        Some(name) if alike(&name) >= ALIKE => format!("unknown key '{key}', did you mean '{name}'?"),
        _ => format!("unknown key '{key}'; known are {}", known.join(", ")),
    }
}

/// A schema without the references and choices around it. What may be left out is a choice of the thing or nothing.
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

fn is(kind: &str, value: &Value) -> bool {
    match kind {
        "array" => value.is_array(),
        "boolean" => value.is_boolean(),
        "integer" => value.is_i64() || value.is_u64(),
        "number" => value.is_number(),
        "object" => value.is_object(),
        _ => value.is_string(),
    }
}

/// What is wanted of a value, in words.
fn words(kind: &str) -> &'static str {
    match kind {
        "array" => "a list",
        "boolean" => "true or false",
        "integer" => "a whole number",
        "number" => "a number",
        "object" => "a table",
        _ => "text",
    }
}

fn kind_of(value: &Value) -> &'static str {
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
mod tests {
    use super::super::file::SCHEMA;
    use super::*;

    #[test]
    fn the_schema_uses_only_what_is_read_here() {
        const READ: [&str; 17] = [
            "$ref",
            "anyOf",
            "const",
            "enum",
            "format",
            "items",
            "maxItems",
            "maximum",
            "minItems",
            "minLength",
            "minimum",
            "oneOf",
            "properties",
            "required",
            "type",
            "additionalProperties",
            "default",
        ];
        const WORDS: [&str; 4] = ["$schema", "description", "title", "$defs"];
        fn walk(part: &Value, named: bool) {
            match part {
                Value::Object(all) => {
                    for (key, below) in all {
                        let known = READ.contains(&key.as_str()) || WORDS.contains(&key.as_str());
                        assert!(named || known, "{key} is not read");
                        if key != "default" || named {
                            walk(below, !named && (key == "properties" || key == "$defs"));
                        }
                    }
                }
                Value::Array(all) => all.iter().for_each(|below| walk(below, false)),
                _ => {}
            }
        }
        walk(&SCHEMA, false);
    }
}
