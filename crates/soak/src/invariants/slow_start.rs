//! Checks that backends in slow start are not overloaded.

use std::time::Instant;

use super::{Invariant, Violation};
use crate::history::{BackendStart, History};
use crate::settings::{OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, SLOW_START, slow_start_factor};

/// From this expected number of requests on, the limit has a smaller margin for random variation.
const MANY_REQUESTS: f64 = 30.0;

/// Checks that a backend received no more requests than its limit in any window that ends during its slow start.
pub(super) fn check(history: &History, start: &BackendStart) -> Option<Violation> {
    let requests = requests_in_slow_start(history, start);
    for (index, at) in requests.iter().enumerate() {
        let in_window = requests[..=index].iter().filter(|other| **other + OVERLOAD_WINDOW > *at).count();
        let age = *at - start.at;
        let capacity = start.capacity * slow_start_factor(age);
        let limit = slow_start_limit(OVERLOAD_MULTIPLE * capacity * OVERLOAD_WINDOW.as_secs_f64());
        if in_window as f64 > limit {
            let description = format!(
                "backend {} received {in_window} requests within {OVERLOAD_WINDOW:?}, {:.1} s after its start; {limit:.0} allowed",
                start.backend,
                age.as_secs_f64()
            );
            return Some(Violation::at(Invariant::SlowStart, *at, description));
        }
    }
    None
}

/// Returns the times at which requests reached a backend process during its slow start, in order.
fn requests_in_slow_start(history: &History, start: &BackendStart) -> Vec<Instant> {
    let attempts = history
        .attempts
        .iter()
        .filter(|attempt| attempt.backend == start.backend && attempt.process == start.process);
    let mut requests: Vec<Instant> = attempts.filter_map(|attempt| attempt.received_at).collect();
    requests.sort();
    requests.retain(|at| *at < start.at + SLOW_START);
    requests
}

/// Returns the limit on the requests in a window, given the number that the settings allow: adds a margin of two or
/// three standard deviations of a Poisson count, plus two or three requests.
pub fn slow_start_limit(requests: f64) -> f64 {
    if requests < MANY_REQUESTS {
        requests + 3.0 * requests.sqrt() + 3.0
    } else {
        requests + 2.0 * requests.sqrt() + 2.0
    }
}
