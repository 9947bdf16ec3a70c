//! The counts of requests, and their two forms.

use std::sync::Arc;

use leadrelay_core::EndpointStatus;

use super::*;

#[test]
fn request_is_pending_until_it_ends_for_one_cause() {
    let metrics = Arc::new(Metrics::default());
    metrics.show_class("idle");
    let take = || metrics.start_request("page", Instant::now());
    let (served, left) = (take(), take());
    assert_eq!(metrics.stats()["pending"], 2);
    served.end(Cause::Served);
    drop(left);
    let stats = metrics.stats();
    assert_eq!(stats["pending"], 0);
    assert_eq!(stats["completed"], json!({"idle": 0, "page": 1}));
    assert_eq!((&stats["rejected"]["page"], &stats["failed"]["page"]), (&json!(0), &json!(0)));
    assert_eq!((metrics.ended(Cause::Served), metrics.ended(Cause::ClientDisconnected)), (1, 1));
}

#[test]
fn openmetrics_and_stats_show_the_same_counts() {
    let metrics = Arc::new(Metrics::default());
    for cause in Cause::ALL {
        metrics.start_request("page", Instant::now()).end(cause);
    }
    metrics.attempt_ended(Outcome::Served, 20.0);
    let mut gauges = Gauges::default();
    gauges.endpoints_by_status[EndpointStatus::Ejected as usize] = 2;
    gauges.endpoints_by_status[EndpointStatus::InUse as usize] = 5;
    metrics.set_gauges(&gauges);
    let text = metrics.openmetrics();
    for cause in Cause::ALL {
        let line = format!("leadrelay_requests_total{{class=\"page\",cause=\"{}\"}} 1\n", cause.name());
        assert!(text.contains(&line), "{line} in {text}");
    }
    for line in [
        "leadrelay_members{standing=\"ill\"} 2",
        "leadrelay_attempts_total{outcome=\"served\"} 1",
        "leadrelay_attempt_seconds_bucket{le=\"0.025\"} 1",
        "leadrelay_request_seconds_count{class=\"page\"} 8",
        "# EOF",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
    let stats = metrics.stats();
    assert_eq!((&stats["members"], &stats["members_unavailable"]), (&json!(7), &json!(2)));
    assert_eq!((&stats["rejected"]["page"], &stats["failed"]["page"]), (&json!(3), &json!(3)));
}

/// All lines of a text, sorted: the order of families, and of the samples of one, carries no meaning.
fn sorted_lines(text: &str) -> Vec<&str> {
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    lines
}

#[test]
fn names_types_help_texts_and_labels_are_as_recorded() {
    let metrics = Arc::new(Metrics::default());
    metrics.show_class("page");
    let text = metrics.openmetrics();
    assert!(text.ends_with("# EOF\n"));
    assert_eq!(sorted_lines(&text), include_str!("tests/openmetrics.txt").lines().collect::<Vec<_>>());
}
