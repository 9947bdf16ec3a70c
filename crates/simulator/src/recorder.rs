//! Where the worth went: every request's end with exactly one cause, prices, broken rules, and the day's figure.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::slow_start::SlowStartReport;
use crate::workload::Workload;

/// Why a request earned nothing, or that it earned its worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// In time.
    Served,
    /// Answered after its aim.
    Late,
    /// Refused without an attempt while a healthy backend had an idle core.
    RefusedBesideIdle,
    /// Refused without an attempt while none had.
    RefusedAllBusy,
    /// Held without an attempt until it was of no more use, and then a healthy backend had an idle core.
    HeldBesideIdle,
    /// The same, and none had.
    HeldAllBusy,
    /// Its last attempt was turned away by a full or draining backend.
    SentToFull,
    /// Its last attempt met a backend that was down.
    SentToGone,
    /// Its last attempt met an ill backend: silent, or failing more than its kind does.
    SentToIll,
    /// Its last attempt met a cold backend that did not answer in time.
    SentToCold,
    /// Its last attempt waited or was worked on for too long.
    SentToBusy,
    /// Its last attempt failed by chance, as some do everywhere.
    Error,
    /// The way was cut.
    LostWay,
    /// Its proxy died or was dead.
    ProxyDead,
    /// The client left early by itself.
    ClientLeft,
}

/// A broken rule, with where to look.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    /// Which rule.
    pub rule: &'static str,
    /// When, in ms.
    pub at: f64,
    /// The request or backend.
    pub what: String,
}

/// What one request came to.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its place among the day's requests.
    pub request: usize,
    /// Its end.
    pub end: End,
    /// The proxy of its last try.
    pub proxy: usize,
    /// The backend of its last attempt.
    pub backend: Option<usize>,
    /// Within its tenant's share.
    pub in_share: bool,
}

/// Counts that cost something or tell something.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counters {
    /// Tries of clients, and attempts at backends.
    pub tries: u64,
    /// See there.
    pub attempts: u64,
    /// Attempts that crossed zones.
    pub crossings: u64,
    /// Connections opened to backends.
    pub handshakes: u64,
    /// Bytes of messages, each receiver counted.
    pub peer_bytes: u64,
    /// Messages sent.
    pub messages: u64,
    /// Calls to discovery, and those that failed.
    pub calls: u64,
    /// See there.
    pub calls_failed: u64,
    /// Refusals of proxies whose list might have been stale.
    pub refused_without_list: u64,
    /// Work done for attempts whose answer nobody got, in ms on the yardstick.
    pub wasted: f64,
    /// Events that proxies handled.
    pub events: u64,
    /// The part of the day for which a mean core was at work.
    pub busy: f64,
}

/// All that is kept of a day.
#[derive(Default)]
pub struct Recorder {
    /// One entry a request.
    pub entries: Vec<Entry>,
    /// Counters.
    pub sums: Counters,
    /// How near cold backends came to being pushed over.
    pub cold: SlowStartReport,
    /// Broken rules.
    pub broken: Vec<Broken>,
}

/// A day's result.
#[derive(Clone, Debug, Serialize)]
pub struct Result {
    /// Scenario.
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// Who decided.
    pub version: String,
    /// The figure of the day: service by the operators' weights, less prices.
    pub g: f64,
    /// Worth served in time over worth asked for.
    pub served: f64,
    /// The same in the worst 10 s, and when they begin.
    pub worst_window: (f64, f64),
    /// The same for the worst class and the worst tenant within its share.
    pub worst_class: f64,
    /// See there.
    pub worst_tenant: f64,
    /// What was charged, by name.
    pub prices: BTreeMap<&'static str, f64>,
    /// Worth by the cause of its end, as a part of all that was asked for.
    pub ends: BTreeMap<End, f64>,
    /// The same by class, zone, proxy and backend of the last try, and second of the first; each sums to `ends`.
    pub by: BTreeMap<&'static str, BTreeMap<String, BTreeMap<End, f64>>>,
    /// Requests.
    pub requests: usize,
    /// Counters.
    pub sums: Counters,
    /// How near cold backends came to being pushed over.
    pub cold: SlowStartReport,
    /// How many rules were broken, and the first few.
    pub broken_rules: usize,
    /// See there.
    pub broken: Vec<Broken>,
}

const WINDOW: f64 = 10_000.0;
/// Weights of the whole day, the worst window, the worst class and the worst tenant, by the operators' brief.
const WEIGHTS: [f64; 4] = [0.25, 0.45, 0.2, 0.1];

/// Worth served in time over worth asked for.
#[derive(Clone, Copy, Default)]
struct Part {
    asked: f64,
    served: f64,
}

impl Part {
    fn add(&mut self, worth: f64, served: bool) {
        self.asked += worth;
        self.served += if served { worth } else { 0.0 };
    }

    fn value(self) -> f64 {
        if self.asked > 0.0 { self.served / self.asked } else { 1.0 }
    }
}

impl Recorder {
    /// Counters the day up.
    pub fn result(&self, day: &Workload, version: &str) -> Result {
        let s = &day.scenario;
        let worth =
            |e: &Entry| day.requests[e.request].worth * if e.in_share { 1.0 } else { s.over_share_worth };
        let (mut whole, mut ends) = (Part::default(), BTreeMap::<End, f64>::new());
        let mut by = BTreeMap::<&str, BTreeMap<String, BTreeMap<End, f64>>>::new();
        let mut classes = vec![Part::default(); s.classes.len()];
        let mut tenants = vec![Part::default(); s.tenants.len().max(1)];
        let seconds = (day.length / 1000.0).ceil() as usize;
        let mut by_second = vec![Part::default(); seconds.max(1)];
        for e in &self.entries {
            let (r, worth, served) = (&day.requests[e.request], worth(e), e.end == End::Served);
            whole.add(worth, served);
            classes[r.class].add(worth, served);
            if e.in_share {
                tenants[r.tenant].add(worth, served);
            }
            by_second[((r.at / 1000.0) as usize).min(seconds.max(1) - 1)].add(worth, served);
            *ends.entry(e.end).or_default() += worth;
            let backend = e.backend.map_or_else(|| "none".to_owned(), |b| b.to_string());
            for (dimension, place) in [
                ("class", s.classes[r.class].name.clone()),
                ("zone", s.zones[r.zone].clone()),
                ("proxy", e.proxy.to_string()),
                ("backend", backend),
                ("second", format!("{:.0}", (r.at / 1000.0).floor())),
            ] {
                *by.entry(dimension).or_default().entry(place).or_default().entry(e.end).or_default() +=
                    worth;
            }
        }
        let total = whole.asked.max(1e-9);
        ends.values_mut().for_each(|w| *w /= total);
        by.values_mut()
            .flat_map(BTreeMap::values_mut)
            .flat_map(BTreeMap::values_mut)
            .for_each(|w| *w /= total);
        let span = ((WINDOW / 1000.0) as usize).min(by_second.len());
        let windows = by_second.windows(span).enumerate().map(|(at, window)| {
            let mut sum = Part::default();
            window
                .iter()
                .for_each(|p| (sum.asked, sum.served) = (sum.asked + p.asked, sum.served + p.served));
            (sum.value(), at as f64)
        });
        let worst_window = windows.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((1.0, 0.0));
        let worst = |parts: &[Part]| parts.iter().map(|p| p.value()).fold(1.0, f64::min);
        let (worst_class, worst_tenant) = (worst(&classes), worst(&tenants));
        let n = day.requests.len().max(1) as f64;
        let work: f64 = day.requests.iter().map(|r| r.work).sum::<f64>().max(1e-9);
        let prices = BTreeMap::from([
            ("cross_zone", s.prices.cross_zone * self.sums.crossings as f64 / n),
            ("handshake", s.prices.handshake * self.sums.handshakes as f64 / n),
            ("peer", s.prices.peer * self.sums.peer_bytes as f64 / 256.0 / n),
            ("waste", s.prices.waste * self.sums.wasted / work),
        ]);
        let service = WEIGHTS[0] * whole.value()
            + WEIGHTS[1] * worst_window.0
            + WEIGHTS[2] * worst_class
            + WEIGHTS[3] * worst_tenant;
        Result {
            scenario: s.name.clone(),
            seed: day.seed,
            version: version.to_owned(),
            g: service - prices.values().sum::<f64>(),
            served: whole.value(),
            worst_window,
            worst_class,
            worst_tenant,
            prices,
            ends,
            by,
            requests: day.requests.len(),
            sums: self.sums.clone(),
            cold: self.cold,
            broken_rules: self.broken.len(),
            broken: self.broken.iter().take(20).cloned().collect(),
        }
    }
}
