//! Tables for people.

use comfy_table::Table;

/// An empty table with these columns, as Markdown.
pub fn table<'a>(header: impl IntoIterator<Item = &'a str>) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(header);
    table
}
