//! Tests of the statistics tables.

use serde_json::json;

#[test]
fn stats_have_a_row_for_each_class() {
    let stats =
        json!({"completed": {"page": 7}, "rejected": {"page": 2}, "failed": {"page": 1}, "pending": 3});
    let shown = super::stats(&stats);
    let row = shown.lines().find(|line| line.contains("page")).expect("a row");
    let cells: Vec<&str> = row.split('|').map(str::trim).filter(|cell| !cell.is_empty()).collect();
    assert_eq!(cells, ["page", "7", "2", "1"]);
    assert!(shown.lines().any(|line| line.contains("pending") && line.contains('3')), "{shown}");
}
