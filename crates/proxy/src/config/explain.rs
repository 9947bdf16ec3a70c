//! The meaning of the configuration's keys, from the schema: for `config explain` and for the reference page.

use std::fmt::Write as _;

use serde_json::Value;

use super::check::{choices, resolved};
use super::file::SCHEMA;
use super::values::FORMATS;

/// A key.
struct Key<'a> {
    /// Its full path: `classes[].deadline`.
    path: String,
    /// Its part of the schema.
    part: &'a Value,
    is_required: bool,
    /// How many tables it is in.
    depth: usize,
}

/// All keys in alphabetic order, those of a table itself before the tables in it.
fn keys() -> Vec<Key<'static>> {
    let mut keys = Vec::new();
    collect_keys(&SCHEMA, "", 0, &mut keys);
    keys
}

fn collect_keys(table: &'static Value, prefix: &str, depth: usize, keys: &mut Vec<Key<'static>>) {
    let required = table["required"].as_array().into_iter().flatten();
    let required: Vec<&str> = required.filter_map(Value::as_str).collect();
    let properties = table["properties"].as_object().into_iter().flatten();
    let (tables, plain): (Vec<_>, Vec<_>) = properties.partition(|(_, part)| inner_table(part).is_some());
    for (name, part) in plain.into_iter().chain(tables) {
        let inner = inner_table(part);
        let is_list = inner.is_some() && resolved(&SCHEMA, part)["items"].is_object();
        let suffix = if is_list { "[]" } else { "" };
        let path = format!("{prefix}{name}{suffix}");
        let is_required = required.contains(&name.as_str());
        keys.push(Key { path: path.clone(), part, is_required, depth });
        if let Some(inner) = inner {
            collect_keys(inner, &format!("{path}."), depth + 1, keys);
        }
    }
}

/// The table that is a key's value, or an item of its list.
fn inner_table(part: &'static Value) -> Option<&'static Value> {
    let part = resolved(&SCHEMA, part);
    let part = if part["items"].is_null() { part } else { resolved(&SCHEMA, &part["items"]) };
    part["properties"].is_object().then_some(part)
}

/// The type of a key's value, in words.
fn type_of(part: &'static Value) -> String {
    let part = resolved(&SCHEMA, part);
    let format = part["format"].as_str();
    if let Some(format) = format.filter(|name| FORMATS.iter().any(|known| known.name == *name)) {
        return format.to_owned();
    }
    let choices = choices(part);
    if !choices.is_empty() {
        return choices.iter().map(|choice| format!("`{choice}`")).collect::<Vec<_>>().join(" or ");
    }
    let name = match &part["type"] {
        Value::Array(types) => types.iter().filter_map(Value::as_str).find(|name| *name != "null"),
        one => one.as_str(),
    };
    match name.unwrap_or_default() {
        "array" => match inner_table(part) {
            Some(_) => "list of tables".into(),
            None => format!("list of {}", type_of(&part["items"])),
        },
        "object" => "table".into(),
        "string" => "text".into(),
        "integer" => "whole number".into(),
        "boolean" => "true or false".into(),
        other => other.to_owned(),
    }
}

/// The bounds of a number, in words.
fn range(part: &Value) -> String {
    match (&part["minimum"], &part["maximum"]) {
        (Value::Null, Value::Null) => String::new(),
        (low, Value::Null) => format!(", {low} or more"),
        (Value::Null, high) => format!(", {high} or less"),
        (low, high) => format!(", {low} to {high}"),
    }
}

/// The value of a key that is left out, in words.
fn default(key: &Key) -> String {
    match &key.part["default"] {
        _ if key.is_required => "required".into(),
        Value::Null => "optional".into(),
        Value::Array(none) if none.is_empty() => "none by default".into(),
        Value::Object(_) => "optional".into(),
        value => format!("default `{value}`"),
    }
}

/// The description of a key.
fn description(key: &Key) -> String {
    let text = key.part["description"].as_str();
    let text = text.or_else(|| resolved(&SCHEMA, key.part)["description"].as_str());
    text.unwrap_or_default().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// The meaning of a key and of those in its table; `None` if there is no such key.
pub fn explain(path: &str) -> Option<String> {
    let without_brackets = |path: &str| path.replace("[]", "");
    let wanted = without_brackets(path.trim_matches('.'));
    let mut out = String::new();
    for key in keys() {
        let name = without_brackets(&key.path);
        if wanted.is_empty() || name == wanted || name.starts_with(&format!("{wanted}.")) {
            let about =
                format!("{}{}, {}", type_of(key.part), range(key.part), default(&key)).replace('`', "");
            let _ = writeln!(out, "{}  ({about})\n    {}", key.path, description(&key));
        }
    }
    (!out.is_empty()).then_some(out)
}

/// The start of the reference page.
const MARKDOWN_HEAD: &str = "# Configuration\n\nMade by `leadrelay config markdown` from the schema; a test holds it against \
     the program. `leadrelay check FILE` tells all faults of a file at once, `leadrelay config example` prints a file \
     that shows every key.\n\nA *duration* is written as `250ms`, `1s 500ms` or `2m`, an *address* as \
     `127.0.0.1:8080`, a *size* as `64MiB`. Unknown keys are faults.\n";

/// The reference page of the configuration.
pub fn markdown() -> String {
    let mut page = String::from(MARKDOWN_HEAD);
    let mut needs_header = true;
    for key in keys() {
        if inner_table(key.part).is_some() {
            write_section(&mut page, &key);
            needs_header = true;
            continue;
        }
        if needs_header {
            page.push_str("\n| key | value | meaning |\n| --- | --- | --- |\n");
            needs_header = false;
        }
        write_row(&mut page, &key);
    }
    page
}

/// The heading and the description of a table.
fn write_section(page: &mut String, key: &Key) {
    let (open, close) = if key.path.ends_with("[]") { ("[[", "]]") } else { ("[", "]") };
    let name = key.path.replace("[]", "");
    let hashes = "#".repeat(2 + key.depth);
    let _ = write!(page, "\n{hashes} `{open}{name}{close}`\n\n{}\n", description(key));
}

fn write_row(page: &mut String, key: &Key<'static>) {
    let name = key.path.rsplit('.').next().unwrap_or(&key.path);
    let value = format!("{}{}; {}", type_of(key.part), range(key.part), default(key));
    let value = value.replace('|', "\\|");
    let _ = writeln!(page, "| `{name}` | {value} | {} |", description(key));
}
