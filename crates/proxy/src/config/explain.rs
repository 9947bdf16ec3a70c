//! What the keys of the configuration mean, as the schema tells.

use std::fmt::Write as _;

use serde_json::Value;

use super::check::{choices, resolved};
use super::file::SCHEMA;

/// One key.
struct Key<'a> {
    /// Its name from the top on: `classes[].deadline`.
    path: String,
    part: &'a Value,
    required: bool,
    /// Levels above it.
    depth: usize,
}

/// All keys in the order of their names, tables before their own.
fn keys() -> Vec<Key<'static>> {
    fn below(part: &'static Value, prefix: &str, depth: usize, all: &mut Vec<Key<'static>>) {
        let required: Vec<&str> =
            part["required"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        let properties = part["properties"].as_object().into_iter().flatten();
        let (tables, plain): (Vec<_>, Vec<_>) = properties.partition(|(_, p)| inner(p).is_some());
        for (name, part) in plain.into_iter().chain(tables) {
            let list =
                if resolved(&SCHEMA, part)["items"].is_object() && inner(part).is_some() { "[]" } else { "" };
            let path = format!("{prefix}{name}{list}");
            let required = required.contains(&name.as_str());
            all.push(Key { path: path.clone(), part, required, depth });
            if let Some(table) = inner(part) {
                below(table, &format!("{path}."), depth + 1, all);
            }
        }
    }
    let mut all = Vec::new();
    below(&SCHEMA, "", 0, &mut all);
    all
}

/// The table that a key holds, itself or in a list.
fn inner(part: &'static Value) -> Option<&'static Value> {
    let part = resolved(&SCHEMA, part);
    let part = if part["items"].is_null() { part } else { resolved(&SCHEMA, &part["items"]) };
    part["properties"].is_object().then_some(part)
}

fn kind(part: &'static Value) -> String {
    let part = resolved(&SCHEMA, part);
    if let Some(format) = part["format"].as_str().filter(|f| super::values::FORMATS.iter().any(|k| k.0 == *f))
    {
        return format.to_owned();
    }
    let choices = choices(part);
    if !choices.is_empty() {
        return choices.iter().map(|c| format!("`{c}`")).collect::<Vec<_>>().join(" or ");
    }
    let kinds = match &part["type"] {
        Value::Array(kinds) => kinds.iter().filter_map(Value::as_str).find(|k| *k != "null"),
        one => one.as_str(),
    };
    match kinds.unwrap_or_default() {
        "array" => match inner(part) {
            Some(_) => "list of tables".into(),
            None => format!("list of {}", kind(&part["items"])),
        },
        "object" => "table".into(),
        "string" => "text".into(),
        "integer" => "whole number".into(),
        "boolean" => "true or false".into(),
        other => other.to_owned(),
    }
}

fn range(part: &Value) -> String {
    match (&part["minimum"], &part["maximum"]) {
        (Value::Null, Value::Null) => String::new(),
        (low, Value::Null) => format!(", {low} or more"),
        (Value::Null, high) => format!(", {high} or less"),
        (low, high) => format!(", {low} to {high}"),
    }
}

fn default(key: &Key) -> String {
    match &key.part["default"] {
        _ if key.required => "required".into(),
        Value::Null => "optional".into(),
        Value::Array(none) if none.is_empty() => "none by default".into(),
        Value::Object(_) => "optional".into(),
        value => format!("default `{value}`"),
    }
}

fn text(key: &Key) -> String {
    let own = key.part["description"].as_str();
    let own = own.or_else(|| resolved(&SCHEMA, key.part)["description"].as_str());
    own.unwrap_or_default().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// What one key means, or all keys that begin with its name; `None` if there is no such key.
pub fn explain(path: &str) -> Option<String> {
    let plain = |path: &str| path.replace("[]", "");
    let wanted = plain(path.trim_matches('.'));
    let mut out = String::new();
    for key in keys() {
        let name = plain(&key.path);
        if wanted.is_empty() || name == wanted || name.starts_with(&format!("{wanted}.")) {
            let about = format!("{}{}, {}", kind(key.part), range(key.part), default(&key)).replace('`', "");
            let _ = writeln!(out, "{}  ({about})\n    {}", key.path, text(&key));
        }
    }
    (!out.is_empty()).then_some(out)
}

/// The reference page of the configuration.
pub fn markdown() -> String {
    let mut out = String::from(
        "# Configuration\n\nMade by `leadrelay config markdown` from the schema; a test holds it against the \
         program. `leadrelay check FILE` tells all faults of a file at once, `leadrelay config example` prints a \
         file that shows every key.\n\nA *duration* is written as `250ms`, `1s 500ms` or `2m`, an *address* as \
         `127.0.0.1:8080`, a *size* as `64MiB`. Unknown keys are faults.\n",
    );
    let mut plain = true;
    for key in keys() {
        if inner(key.part).is_some() {
            let (open, close) = if key.path.ends_with("[]") { ("[[", "]]") } else { ("[", "]") };
            let name = key.path.replace("[]", "");
            let hashes = "#".repeat(2 + key.depth);
            let _ = write!(out, "\n{hashes} `{open}{name}{close}`\n\n{}\n", text(&key));
            plain = true;
            continue;
        }
        if plain {
            out.push_str("\n| key | value | meaning |\n| --- | --- | --- |\n");
            plain = false;
        }
        let name = key.path.rsplit('.').next().unwrap_or(&key.path);
        let value = format!("{}{}; {}", kind(key.part), range(key.part), default(&key));
        let _ = writeln!(out, "| `{name}` | {} | {} |", value.replace('|', "\\|"), text(&key));
    }
    out
}
