//! Tests that the validator implements every keyword of the schema.

use super::*;
use crate::config::file::SCHEMA;

/// An upgrade of `schemars` or a new attribute may bring in a keyword that the validator would silently ignore.
#[test]
fn schema_uses_only_supported_keywords() {
    const SUPPORTED: [&str; 17] = [
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
    const ANNOTATIONS: [&str; 4] = ["$schema", "description", "title", "$defs"];
    // `is_name_map`: the object's keys are names of keys or definitions, not keywords.
    fn walk(part: &Value, is_name_map: bool) {
        match part {
            Value::Object(entries) => {
                for (key, child) in entries {
                    let is_known = SUPPORTED.contains(&key.as_str()) || ANNOTATIONS.contains(&key.as_str());
                    assert!(is_name_map || is_known, "the validator does not support the keyword {key}");
                    if key != "default" || is_name_map {
                        walk(child, !is_name_map && (key == "properties" || key == "$defs"));
                    }
                }
            }
            Value::Array(items) => items.iter().for_each(|item| walk(item, false)),
            _ => {}
        }
    }
    walk(&SCHEMA, false);
}
