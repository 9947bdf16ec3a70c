//! The live view of a running demo: progress bars in a terminal, otherwise lines of text.

use std::fmt::Write as _;
use std::time::Duration;

use indicatif::{MultiProgress, ProgressBar, ProgressStyle};
use leadrelay_proxy::RunningProxy;

use super::TERMINAL_UPDATE_PERIOD;
use super::backend::{Backend, BackendCounts};
use super::load::{LoadGenerator, RequestCounts};

/// All counts and latencies at one moment.
pub struct Snapshot {
    requests: RequestCounts,
    backends: Vec<BackendCounts>,
    decisions: [(&'static str, u64); 4],
    waiting: i64,
    p50_ms: f64,
    p99_ms: f64,
}

impl Snapshot {
    pub fn take(proxy: &RunningProxy, backends: &[Backend], load: &LoadGenerator) -> Self {
        Snapshot {
            requests: load.counts(),
            backends: backends.iter().map(Backend::counts).collect(),
            decisions: proxy.metrics.decisions(),
            waiting: proxy.metrics.requests_waiting(),
            p50_ms: load.latency_quantile_ms(0.5),
            p99_ms: load.latency_quantile_ms(0.99),
        }
    }
}

/// The activity of a backend between two snapshots; `in_flight` is the count at the later one.
struct BackendActivity {
    served: u64,
    failed: u64,
    in_flight: u64,
    busy_time: Duration,
}

/// The form in which the demo's progress is shown.
pub enum View {
    /// Progress bars in a terminal.
    Bars(Bars),
    /// A line of text for each update. Contains the names of the backends.
    Lines(Vec<&'static str>),
    /// No output.
    Silent,
}

/// The terminal view: a line each for requests and decisions, and a bar for each backend that shows how busy it is.
pub struct Bars {
    all: MultiProgress,
    requests: ProgressBar,
    decisions: ProgressBar,
    backends: Vec<ProgressBar>,
}

impl View {
    pub fn new(is_terminal: bool, is_silent: bool, backends: &[Backend]) -> Self {
        if is_silent {
            View::Silent
        } else if is_terminal {
            View::Bars(Bars::new(backends))
        } else {
            View::Lines(backends.iter().map(|backend| backend.machine.name).collect())
        }
    }

    /// Shows the activity between two snapshots, and the time since the start of the demo.
    pub fn update(&mut self, elapsed: Duration, before: &Snapshot, now: &Snapshot) {
        let requests = requests_line(elapsed, before, now);
        let decisions = decisions_line(before, now);
        let activities = backend_activities(before, now);
        match self {
            View::Bars(bars) => bars.update(elapsed, requests, decisions, &activities),
            View::Lines(names) => {
                let served: Vec<String> = names
                    .iter()
                    .zip(activities)
                    .map(|(name, activity)| format!("{name} {}", activity.served))
                    .collect();
                println!("{requests}  {decisions}  served by: {}", served.join(", "));
            }
            View::Silent => {}
        }
    }

    /// Removes the bars from the terminal.
    pub fn close(&self) {
        if let View::Bars(bars) = self {
            let _ = bars.all.clear(); // a failure only leaves the bars on the terminal
        }
    }
}

impl Bars {
    fn new(backends: &[Backend]) -> Self {
        let all = MultiProgress::new();
        let requests = all.add(ProgressBar::new(1).with_style(style("{msg}")));
        let decisions = all.add(ProgressBar::new(1).with_style(style("{msg}")));
        let mut bars = Vec::new();
        for backend in backends {
            let bar = all.add(ProgressBar::new(100));
            bar.set_style(style("{prefix:>8} {bar:30} {pos:>3}% busy  {msg}"));
            bar.set_prefix(backend.machine.name);
            bars.push(bar);
        }
        Bars { all, requests, decisions, backends: bars }
    }

    fn update(&self, elapsed: Duration, requests: String, decisions: String, activities: &[BackendActivity]) {
        let elapsed = elapsed.max(Duration::from_millis(1));
        let period = TERMINAL_UPDATE_PERIOD.as_secs_f64().min(elapsed.as_secs_f64());
        self.requests.set_message(requests);
        self.decisions.set_message(decisions);
        for (bar, activity) in self.backends.iter().zip(activities) {
            let percent = 100.0 * activity.busy_time.as_secs_f64() / period;
            bar.set_position(percent.min(100.0) as u64);
            let BackendActivity { served, failed, in_flight, .. } = activity;
            bar.set_message(format!("served {served:<4} failed {failed:<3} in flight {in_flight}"));
        }
    }
}

fn style(template: &str) -> ProgressStyle {
    ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar())
}

fn requests_line(elapsed: Duration, before: &Snapshot, now: &Snapshot) -> String {
    let RequestCounts { in_time, late, rejected, failed, .. } = now.requests.since(&before.requests);
    format!(
        "{:>4.0} s  in time {in_time}  late {late}  rejected {rejected}  failed {failed}  waiting {}  p50 {:.1} ms  \
         p99 {:.1} ms",
        elapsed.as_secs_f64(),
        now.waiting,
        now.p50_ms,
        now.p99_ms
    )
}

fn decisions_line(before: &Snapshot, now: &Snapshot) -> String {
    let mut line = String::from("threshold:");
    for ((name, count), (_, count_before)) in now.decisions.iter().zip(before.decisions) {
        let _ = write!(line, "  {} {}", name.replace('_', " "), count - count_before);
    }
    line
}

fn backend_activities(before: &Snapshot, now: &Snapshot) -> Vec<BackendActivity> {
    let pairs = now.backends.iter().zip(&before.backends);
    let activity = |(now, before): (&BackendCounts, &BackendCounts)| BackendActivity {
        served: now.served - before.served,
        failed: now.failed - before.failed,
        in_flight: now.in_flight,
        busy_time: now.busy_time.saturating_sub(before.busy_time),
    };
    pairs.map(activity).collect()
}
