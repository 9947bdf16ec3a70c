//! The keywords of the schema.

use super::*;
use crate::config::file::SCHEMA;

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
