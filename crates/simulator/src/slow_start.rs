//! Measures how close all proxies together come to overloading a backend in slow start.
//!
//! The operators' rule: a backend in slow start crashes when it gets more than N + 2√N + 2 requests of mean work
//! within the overload window of the settings. N is the load that the settings allow: the overload multiple, times the
//! backend's present capacity, times the window. The proxies are at fault if more than two thirds of these requests
//! came from proxies that had been notified of the backend's start.

use std::collections::VecDeque;

use leadrelay_core::Millis;
use serde::Serialize;

use crate::backend::Backend;
use crate::index::{BackendIndex, ClassIndex, IndexedVec};
use crate::scenario::SlowStartRule;
use crate::workload::Workload;

/// Fraction of the requests of an overload; if notified proxies sent more than this, the proxies are at fault.
const FAULT_FRACTION: f64 = 2.0 / 3.0;

/// Summary over all windows of the ratio of received to allowed requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct MaxRatio {
    /// Highest ratio of the requests in a window to the requests allowed in it.
    pub ratio: f64,
    /// Number of windows with more than the allowed requests.
    pub over: usize,
}

impl MaxRatio {
    /// Adds a window; returns whether it has more than the allowed requests.
    fn record(&mut self, ratio: f64) -> bool {
        let is_over = ratio > 1.0;
        self.ratio = self.ratio.max(ratio);
        self.over += usize::from(is_over);
        is_over
    }
}

/// Ratios of received to allowed requests, by the capacity of the settings and by the true capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LoadRatios {
    /// Ratio by the lowest capacity that the settings assume.
    #[serde(rename = "settings")]
    pub by_settings: MaxRatio,
    /// Ratio by the true capacity.
    #[serde(rename = "truth")]
    pub by_true_capacity: MaxRatio,
}

/// Measurements of a run. A window ends at each request that reaches a backend in slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SlowStartReport {
    /// Number of starts of backends that got a request during slow start.
    pub starts: usize,
    /// Number of windows.
    pub windows: usize,
    /// Ratios for the requests from all proxies.
    #[serde(rename = "all")]
    pub from_all: LoadRatios,
    /// Ratios for the requests from proxies that had been notified of the start.
    #[serde(rename = "told")]
    pub from_notified: LoadRatios,
    /// Number of overloads, by the capacity of the settings, for which the notified proxies were at fault; at most one
    /// for each start of a backend.
    #[serde(rename = "blamed")]
    pub proxies_at_fault: usize,
}

/// A request that reached a backend in slow start.
struct CountedRequest {
    at: Millis,
    /// Work of the request, in requests of mean work.
    requests: f64,
    /// Whether the sending proxy had been notified of the backend's start.
    sender_was_notified: bool,
}

/// The requests that reached one backend within the last window.
#[derive(Default)]
struct RecentRequests {
    started_at: Millis,
    proxies_at_fault: bool,
    sent: VecDeque<CountedRequest>,
}

impl RecentRequests {
    fn record(&mut self, sent: CountedRequest, window: Millis) {
        let now = sent.at;
        self.sent.push_back(sent);
        while self.sent.front().is_some_and(|sent| sent.at <= now - window) {
            self.sent.pop_front();
        }
    }

    fn total(&self) -> f64 {
        self.sent.iter().map(|sent| sent.requests).sum()
    }

    fn total_from_notified(&self) -> f64 {
        self.sent.iter().filter(|sent| sent.sender_was_notified).map(|sent| sent.requests).sum()
    }
}

/// Measures the load of all backends in slow start during a run.
#[derive(Default)]
pub struct SlowStartMonitor {
    backends: IndexedVec<BackendIndex, RecentRequests>,
    report: SlowStartReport,
}

/// A request that reaches a backend.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedRequest {
    /// Time at which the request reaches the backend.
    pub at: Millis,
    /// The backend.
    pub backend: BackendIndex,
    /// Class of the request.
    pub class: ClassIndex,
    /// Whether the sending proxy had been notified of the backend's start.
    pub sender_was_notified: bool,
}

impl SlowStartMonitor {
    /// Records a request that reaches a backend that is up; ignores it if the backend's slow start is over.
    pub fn record(&mut self, workload: &Workload, backend: &Backend, request: ReceivedRequest) {
        let rule = &workload.scenario.slow_start;
        let age = request.at - backend.started_at;
        let duration = rule.duration();
        if age >= duration {
            return;
        }
        let mean_work = workload.mean_work();
        let window = rule.overload_window();
        let requests = workload.mean_work_by_class[request.class] / mean_work;
        let sent =
            CountedRequest { at: request.at, requests, sender_was_notified: request.sender_was_notified };
        let recent = Self::recent(&mut self.backends, &mut self.report, request.backend, backend);
        recent.record(sent, window);
        let all = recent.total();
        let notified = recent.total_from_notified();

        let machine = &backend.machine;
        let configured_factor = rule.initial_capacity + (1.0 - rule.initial_capacity) * age / duration;
        let configured_capacity = machine.cores * machine.speed * configured_factor;
        let allowed_by_settings = allowed_requests(rule, configured_capacity, mean_work);
        let report = &mut self.report;
        report.windows += 1;
        report.from_notified.by_settings.record(notified / allowed_by_settings);
        let is_overloaded = report.from_all.by_settings.record(all / allowed_by_settings);
        if is_overloaded && notified > FAULT_FRACTION * all && !recent.proxies_at_fault {
            recent.proxies_at_fault = true;
            report.proxies_at_fault += 1;
        }
        if backend.is_warming_up(request.at) {
            let allowed_by_true_capacity = allowed_requests(rule, backend.capacity(request.at), mean_work);
            report.from_all.by_true_capacity.record(all / allowed_by_true_capacity);
            report.from_notified.by_true_capacity.record(notified / allowed_by_true_capacity);
        }
    }

    /// The recent requests of a backend; they are cleared, and a start is counted, after the backend has started again.
    fn recent<'a>(
        backends: &'a mut IndexedVec<BackendIndex, RecentRequests>, report: &mut SlowStartReport,
        index: BackendIndex, backend: &Backend,
    ) -> &'a mut RecentRequests {
        while backends.len() <= index.0 {
            backends.push(RecentRequests::default());
        }
        let recent = &mut backends[index];
        if recent.sent.is_empty() || recent.started_at != backend.started_at {
            *recent = RecentRequests { started_at: backend.started_at, ..RecentRequests::default() };
            report.starts += 1;
        }
        recent
    }

    /// The measurements so far.
    pub fn report(&self) -> SlowStartReport {
        self.report
    }
}

/// Requests of mean work that a backend of this capacity may get within the overload window.
fn allowed_requests(rule: &SlowStartRule, capacity: f64, mean_work: Millis) -> f64 {
    let window = rule.overload_window();
    let mean = rule.overload_multiple * capacity * window / mean_work;
    mean + 2.0 * mean.sqrt() + 2.0
}
