//! Tables in the reports.

use comfy_table::Table;

/// Creates an empty Markdown table with the given column headers.
pub fn table<'a>(header: impl IntoIterator<Item = &'a str>) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(header);
    table
}
