//! Holds a file against the schema, and puts what the validator says into words.

use jsonschema::error::{TypeKind, ValidationErrorKind as Kind};
use jsonschema::{ValidationError, types::JsonType};
use serde_json::Value;

use super::fault::{Fault, Text};
use super::values::Format;

/// How alike a name must be to be offered in place of an unknown one (Jaro and Winkler's measure, 0 to 1).
const ALIKE: f64 = 0.75;

/// All faults of a value by the schema, each at its place in the text.
pub(super) fn against_schema(schema: &Value, formats: &[Format], places: &Text, value: &Value) -> Vec<Fault> {
    let mut options = jsonschema::options().should_validate_formats(true);
    for (name, _, check) in formats {
        options = options.with_format(*name, *check);
    }
    let validator = match options.build(schema) {
        Ok(validator) => validator,
        Err(e) => return vec![places.at("", format!("the schema itself is broken: {e}"))],
    };
    let mut faults = Vec::new();
    for error in validator.iter_errors(value) {
        put(schema, formats, places, &error, &mut faults);
    }
    faults
}

fn put(schema: &Value, formats: &[Format], places: &Text, error: &ValidationError, faults: &mut Vec<Fault>) {
    let pointer = error.instance_path().to_string();
    let name = match pointer.rsplit('/').find(|part| part.parse::<usize>().is_err()) {
        Some(name) if !name.is_empty() => format!("'{name}'"),
        _ => "the file".to_owned(),
    };
    let message = match error.kind() {
        Kind::AdditionalProperties { unexpected } => {
            for key in unexpected {
                let message = unknown(key, &known(schema, &pointer));
                faults.push(places.at_key(&format!("{pointer}/{key}"), message));
            }
            return;
        }
        // What may be left out is given as one of two: the thing itself or nothing.
        Kind::OneOfNotValid { context } if context.iter().flatten().all(is_word) => {
            let words: Vec<String> = context.iter().flatten().filter_map(word).collect();
            format!("{name} is {}, and has to be {}", error.instance(), words.join(" or "))
        }
        Kind::AnyOf { context } | Kind::OneOfNotValid { context } => {
            let first = context.iter().find(|errors| !errors.is_empty());
            first.into_iter().flatten().for_each(|e| put(schema, formats, places, e, faults));
            return;
        }
        Kind::Required { property } => {
            format!(
                "{} is missing",
                property.as_str().map_or_else(|| property.to_string(), |p| format!("'{p}'"))
            )
        }
        Kind::Format { format } => {
            let example = formats.iter().find(|f| f.0 == format).map_or("", |f| f.1);
            let text = error.instance().as_str().unwrap_or_default();
            format!("'{text}' is no {format}; one is \"{example}\"")
        }
        Kind::Type { kind } => {
            format!("{name} has to be {}, not {}", wanted(kind), kind_of(error.instance()))
        }
        Kind::Enum { options } => {
            let all: Vec<String> = options.as_array().into_iter().flatten().map(Value::to_string).collect();
            format!("{} is none of {}", error.instance(), all.join(", "))
        }
        Kind::Minimum { limit } | Kind::ExclusiveMinimum { limit } => {
            format!("{name} is {}, and has to be {limit} or more", error.instance())
        }
        Kind::Maximum { limit } | Kind::ExclusiveMaximum { limit } => {
            format!("{name} is {}, and has to be {limit} or less", error.instance())
        }
        Kind::MinLength { .. } => format!("{name} is empty"),
        _ => format!("{name}: {error}"),
    };
    faults.push(places.at(&pointer, message));
}

/// The one value that would have been right.
fn word(error: &ValidationError) -> Option<String> {
    match error.kind() {
        Kind::Constant { expected_value } => Some(expected_value.to_string()),
        _ => None,
    }
}

fn is_word(error: &ValidationError) -> bool {
    word(error).is_some()
}

fn unknown(key: &str, known: &[String]) -> String {
    let alike = |name: &String| strsim::jaro_winkler(key, name);
    match known.iter().max_by(|a, b| alike(a).total_cmp(&alike(b))) {
        Some(name) if alike(name) >= ALIKE => format!("unknown key '{key}', did you mean '{name}'?"),
        _ => format!("unknown key '{key}'; known are {}", known.join(", ")),
    }
}

/// The part of the schema that holds for what stands at a JSON pointer.
fn known(schema: &Value, pointer: &str) -> Vec<String> {
    let mut at = resolved(schema, schema);
    for part in pointer.split('/').skip(1) {
        let next = if part.parse::<usize>().is_ok() { &at["items"] } else { &at["properties"][part] };
        at = resolved(schema, next);
    }
    at["properties"].as_object().map(|all| all.keys().cloned().collect()).unwrap_or_default()
}

/// A schema without the references and choices around it.
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

fn wanted(kind: &TypeKind) -> String {
    let word = |kind: JsonType| match kind {
        JsonType::Array => "a list",
        JsonType::Boolean => "true or false",
        JsonType::Integer => "a whole number",
        JsonType::Null => "nothing",
        JsonType::Number => "a number",
        JsonType::Object => "a table",
        JsonType::String => "text",
    };
    match kind {
        TypeKind::Single(kind) => word(*kind).to_owned(),
        TypeKind::Multiple(kinds) => {
            let kinds: Vec<_> = kinds.iter().filter(|k| *k != JsonType::Null).map(word).collect();
            kinds.join(" or ")
        }
    }
}

fn kind_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "a table",
    }
}
