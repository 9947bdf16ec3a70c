//! What a person sees of the demo: bars in a terminal, lines elsewhere.

use std::fmt::Write as _;
use std::time::Duration;

use comfy_table::Table;
use indicatif::{MultiProgress, ProgressBar, ProgressStyle};
use leadrelay_proxy::Running;
use serde_json::Value;

use super::backends::{Seen, StandIn};
use super::clients::{Counts, Load};

/// What holds at one moment.
pub struct Shown {
    clients: Counts,
    backends: Vec<Seen>,
    choices: [(&'static str, u64); 4],
    waiting: i64,
    p50: f64,
    p99: f64,
}

impl Shown {
    pub fn look(proxy: &Running, backends: &[StandIn], load: &Load) -> Self {
        Shown {
            clients: load.counts(),
            backends: backends.iter().map(StandIn::seen).collect(),
            choices: proxy.metrics.decisions(),
            waiting: proxy.metrics.waiting(),
            p50: load.quantile(0.5),
            p99: load.quantile(0.99),
        }
    }
}

/// Bars, lines or nothing.
pub enum View {
    Bars { all: MultiProgress, head: ProgressBar, choices: ProgressBar, backends: Vec<ProgressBar> },
    Lines(Vec<&'static str>),
    Silent,
}

fn style(template: &str) -> ProgressStyle {
    ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar())
}

impl View {
    pub fn new(terminal: bool, silent: bool, backends: &[StandIn]) -> Self {
        if silent {
            return View::Silent;
        }
        if !terminal {
            return View::Lines(backends.iter().map(|b| b.kind.name).collect());
        }
        let all = MultiProgress::new();
        let line = || all.add(ProgressBar::new(1).with_style(style("{msg}")));
        let (head, choices) = (line(), line());
        let bar = |b: &StandIn| {
            let bar = all.add(ProgressBar::new(100));
            bar.set_style(style("{prefix:>8} {bar:30} {pos:>3}% busy  {msg}"));
            bar.set_prefix(b.kind.name);
            bar
        };
        let backends = backends.iter().map(bar).collect();
        View::Bars { all, head, choices, backends }
    }

    /// Shows what has happened since the look before.
    pub fn show(&mut self, elapsed: Duration, before: &Shown, now: &Shown) {
        let of = |f: fn(&Counts) -> u64| f(&now.clients) - f(&before.clients);
        let head = format!(
            "{:>4.0} s  in time {}  late {}  refused {}  failed {}  waiting {}  p50 {:.1} ms  p99 {:.1} ms",
            elapsed.as_secs_f64(),
            of(|c| c.in_time),
            of(|c| c.late),
            of(|c| c.refused),
            of(|c| c.failed),
            now.waiting,
            now.p50,
            now.p99
        );
        let mut choices = String::from("threshold:");
        for ((name, count), (_, old)) in now.choices.iter().zip(before.choices) {
            let _ = write!(choices, "  {} {}", name.replace('_', " "), count - old);
        }
        let span = elapsed.max(Duration::from_millis(1));
        let loads = now.backends.iter().zip(&before.backends).map(|(now, old)| {
            let busy = now.busy.saturating_sub(old.busy);
            (busy, now.served - old.served, now.failed - old.failed, now.holds)
        });
        match self {
            View::Bars { head: line, choices: second, backends, .. } => {
                let step = super::STEP.0.as_secs_f64().min(span.as_secs_f64());
                line.set_message(head);
                second.set_message(choices);
                for (bar, (busy, served, failed, holds)) in backends.iter().zip(loads) {
                    bar.set_position((100.0 * busy.as_secs_f64() / step).min(100.0) as u64);
                    bar.set_message(format!("served {served:<4} failed {failed:<3} holds {holds}"));
                }
            }
            View::Lines(names) => {
                let loads = names.iter().zip(loads).map(|(name, (_, served, ..))| format!("{name} {served}"));
                println!("{head}  {choices}  served by: {}", loads.collect::<Vec<_>>().join(", "));
            }
            View::Silent => {}
        }
    }

    /// Leaves the terminal as it was.
    pub fn end(&self) {
        if let View::Bars { all, .. } = self {
            let _ = all.clear(); // what can't be cleared stays
        }
    }
}

/// The end of the demo for people.
pub fn summary(all: &Value) -> String {
    let count = |key: &str| all[key].as_u64().unwrap_or(0);
    let sent = count("sent").max(1) as f64;
    let part = |key: &str| format!("{} ({:.1}%)", count(key), 100.0 * count(key) as f64 / sent);
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(["backend", "speed", "served", "failed", "seconds at work"]);
    for backend in all["backends"].as_array().into_iter().flatten() {
        let cell = |key: &str| backend[key].as_str().map_or_else(|| backend[key].to_string(), str::to_owned);
        table.add_row([cell("name"), cell("speed"), cell("served"), cell("failed"), cell("busy_s")]);
    }
    let choice = |key: &str| all["choices"][key].as_u64().unwrap_or(0);
    format!(
        "{} requests: in time {}, late {}, refused {}, failed {}; half within {} ms, 99 of 100 within {} ms\n\n{table}\n\n\
         The threshold sent {} at once, {} as the queue had outgrown it, {} near their aim, and held {} looks for a \
         faster backend.",
        count("sent"),
        part("in_time"),
        part("late"),
        part("refused"),
        part("failed"),
        all["p50_ms"],
        all["p99_ms"],
        choice("at_once"),
        choice("past_threshold"),
        choice("urgent"),
        choice("held"),
    )
}
