//! Tests of the request counts, and of their two formats: OpenMetrics and `/stats`.

use std::sync::Arc;

use leadrelay_core::EndpointStatus;

use super::*;

/// A ticket that ends or is dropped must lower the pending gauge and count exactly one cause.
#[test]
fn request_is_pending_until_it_ends_for_one_cause() {
    let metrics = Arc::new(Metrics::default());
    metrics.register_class("idle");
    let start = || metrics.start_request("page", Instant::now());
    let (served, disconnected) = (start(), start());
    assert_eq!(metrics.stats()["pending"], 2);
    served.end(Cause::Served);
    drop(disconnected);
    let stats = metrics.stats();
    assert_eq!(stats["pending"], 0);
    assert_eq!(stats["completed"], json!({"idle": 0, "page": 1}));
    assert_eq!((&stats["rejected"]["page"], &stats["failed"]["page"]), (&json!(0), &json!(0)));
    assert_eq!(
        (metrics.requests_ended(Cause::Served), metrics.requests_ended(Cause::ClientDisconnected)),
        (1, 1)
    );
}

/// Counts each cause once and checks both formats, to find a cause or an endpoint status under a wrong name or key.
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

/// The lines of a text in sorted order. The order of metric families and of the samples in a family has no meaning.
fn sorted_lines(text: &str) -> Vec<&str> {
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    lines
}

/// Operators use these names outside of the proxy, so each change to them must show as a difference from the record.
#[test]
fn names_types_help_texts_and_labels_are_as_recorded() {
    let metrics = Arc::new(Metrics::default());
    metrics.register_class("page");
    let text = metrics.openmetrics();
    assert!(text.ends_with("# EOF\n"));
    assert_eq!(sorted_lines(&text), include_str!("tests/openmetrics.txt").lines().collect::<Vec<_>>());
}
