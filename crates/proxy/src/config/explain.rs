//! Descriptions of the configuration keys, generated from the schema: the text of `leadrelay config explain` and the
//! reference page.

use std::fmt::Write as _;

use serde_json::Value;

use super::check::{choices, resolved};
use super::file::SCHEMA;
use super::values::FORMATS;

/// A key of the configuration file.
struct Key<'a> {
    /// The full path, such as `classes[].deadline`.
    path: String,
    /// The schema of the key's value.
    part: &'a Value,
    is_required: bool,
    /// Number of tables that enclose the key.
    depth: usize,
}

/// All keys in alphabetical order; within a table, plain keys come before nested tables.
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

/// The schema of the table that is the key's value or, for a list of tables, an item of the list.
fn inner_table(part: &'static Value) -> Option<&'static Value> {
    let part = resolved(&SCHEMA, part);
    let part = if part["items"].is_null() { part } else { resolved(&SCHEMA, &part["items"]) };
    part["properties"].is_object().then_some(part)
}

/// Describes the type of a key's value in words.
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
        single => single.as_str(),
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

/// Describes the bounds of a number in words; empty if there are none.
fn range(part: &Value) -> String {
    match (&part["minimum"], &part["maximum"]) {
        (Value::Null, Value::Null) => String::new(),
        (min, Value::Null) => format!(", {min} or more"),
        (Value::Null, max) => format!(", {max} or less"),
        (min, max) => format!(", {min} to {max}"),
    }
}

/// Describes in words whether a key is required, and the default if it is not.
fn default(key: &Key) -> String {
    match &key.part["default"] {
        _ if key.is_required => "required".into(),
        Value::Null => "optional".into(),
        Value::Array(items) if items.is_empty() => "none by default".into(),
        Value::Object(_) => "optional".into(),
        value => format!("default `{value}`"),
    }
}

/// The description of a key on one line: its own, or else that of its type.
fn description(key: &Key) -> String {
    let text = key.part["description"].as_str();
    let text = text.or_else(|| resolved(&SCHEMA, key.part)["description"].as_str());
    text.unwrap_or_default().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Describes a key and, if it is a table, all keys below it. The empty path selects all keys. `None` if there is no
/// such key.
pub fn explain(path: &str) -> Option<String> {
    let without_brackets = |path: &str| path.replace("[]", "");
    let requested = without_brackets(path.trim_matches('.'));
    let mut out = String::new();
    for key in keys() {
        let name = without_brackets(&key.path);
        if requested.is_empty() || name == requested || name.starts_with(&format!("{requested}.")) {
            let summary =
                format!("{}{}, {}", type_of(key.part), range(key.part), default(&key)).replace('`', "");
            let _ = writeln!(out, "{}  ({summary})\n    {}", key.path, description(&key));
        }
    }
    (!out.is_empty()).then_some(out)
}

/// The start of the reference page.
const MARKDOWN_HEAD: &str = "# Configuration\n\nGenerated from the schema by `leadrelay config markdown`; a test \
     checks that it is up to date. `leadrelay check FILE` reports all errors in a file at once, `leadrelay config \
     example` prints a file that shows every key.\n\nA *duration* is written as `250ms`, `1s 500ms` or `2m`, an \
     *address* as `127.0.0.1:8080`, a *size* as `64MiB`. Unknown keys are errors.\n";

/// The reference page of the configuration, in Markdown.
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

/// Writes the heading and the description of a table.
fn write_section(page: &mut String, key: &Key) {
    let (opening, closing) = if key.path.ends_with("[]") { ("[[", "]]") } else { ("[", "]") };
    let name = key.path.replace("[]", "");
    let hashes = "#".repeat(2 + key.depth);
    let _ = write!(page, "\n{hashes} `{opening}{name}{closing}`\n\n{}\n", description(key));
}

/// Writes the line of a key in the Markdown table.
fn write_row(page: &mut String, key: &Key<'static>) {
    let name = key.path.rsplit('.').next().unwrap_or(&key.path);
    let value = format!("{}{}; {}", type_of(key.part), range(key.part), default(key));
    let value = value.replace('|', "\\|");
    let _ = writeln!(page, "| `{name}` | {value} | {} |", description(key));
}
