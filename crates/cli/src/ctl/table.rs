//! Formatting of a proxy's statistics as tables.

#[cfg(test)]
mod tests;

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde_json::{Map, Value};

/// Formats two tables: the counts of each request class, then the statistics of the whole proxy.
pub fn stats(stats: &Value) -> String {
    format!("{}\n\n{}", classes(stats), totals(stats))
}

fn classes(stats: &Value) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header(["class", "completed", "rejected", "failed"]);
    for class in stats["completed"].as_object().unwrap_or(&Map::new()).keys() {
        let count = |outcome: &str| stats[outcome][class].to_string();
        table.add_row([class.clone(), count("completed"), count("rejected"), count("failed")]);
    }
    table
}

fn totals(stats: &Value) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header(["figure", "now"]);
    for (name, value) in stats.as_object().unwrap_or(&Map::new()) {
        if !value.is_object() {
            table.add_row([name.replace('_', " "), value.to_string()]);
        }
    }
    table
}
