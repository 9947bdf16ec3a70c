//! Where a proxy's decisions begin: each event goes to the part that it concerns.
use crate::bands::Bands;
use crate::interface::*;
use crate::overlay::Overlay;
use crate::policy::peers::STALE;
use crate::policy::review::TICK;
use crate::policy::slots::WINDOW_LEAST;
use crate::policy::speeds::{BAND_RATIO, BANDS, SPREAD_SAMPLES};
use crate::records::Kind;
use crate::state::Balancer;
use crate::subscription::Subscription;
use crate::wire_names::WireNames;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

impl Balancer {
    /// Starts a proxy that knows nothing yet; `seed` is the only source of chance.
    pub fn new(cfg: Settings, seed: u64) -> Self {
        let longest_aim = cfg.classes.iter().map(|c| c.latency_objective).fold(0.0, f64::max);
        let first_guess = (longest_aim / 4.0).max(1.0);
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            vacant: Vec::new(),
            index: FxHashMap::default(),
            names: WireNames::default(),
            bands: Bands::new(BANDS, BAND_RATIO),
            requests: FxHashMap::default(),
            queues: vec![VecDeque::new(); cfg.classes.len() * 2],
            waiting: 0,
            running: Vec::new(),
            ghosts: VecDeque::new(),
            class_ms: cfg.classes.iter().map(|c| (c.latency_objective / 4.0, 0.0)).collect(),
            kinds: vec![Kind::default()],
            mean: first_guess,
            slowest: 0.0,
            longest_aim,
            least: [0.0; 2],
            mean_room: 1.0,
            blocked: vec![0.0; cfg.classes.len()],
            spread: (2.0, 0.2 * SPREAD_SAMPLES),
            window: WINDOW_LEAST,
            weight: 0.0,
            gain: if cfg.key_affinity { 2.0 } else { 1.0 },
            temper: [(1.0, 1.0), (1.0, 1.0)],
            arrivals: 0.0,
            rate: 0.0,
            rate_at: 0.0,
            crowd: 0.0,
            allowance: vec![1.0; cfg.tenants.len()],
            retries: 2.0,
            hints: vec![(1.0, 0.0); cfg.classes.len()],
            ambient: vec![0.0; cfg.classes.len() + 1],
            doubt: false,
            success: 1.0,
            ticks: 0,
            peers: (0..cfg.proxies).map(|_| None).collect(),
            zones: vec![None; cfg.proxies as usize],
            credit: 0.0,
            told_at: 0.0,
            tell_from: 0,
            news: STALE,
            subscription: Subscription::new(),
            overlay: Overlay::default(),
            choices: Default::default(),
            violations: Default::default(),
            safe_traffic: cfg.classes.iter().any(|c| c.idempotency == Idempotency::Always),
            cfg,
        }
    }

    /// Takes in one event and appends what is to be done, in order. `now` never runs backwards.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if self.ticks == 0 {
            (self.ticks, self.rate_at, self.told_at) = (1, now, now);
            self.subscription.start(now);
            out.push(Action::Timer { token: 0, at: now + self.rng.f64() * TICK });
        }
        match event {
            Event::Discovery(event) => self.discover(now, event, out),
            Event::List { scope, entries } => self.list(now, scope, entries),
            Event::Request { id, class, tenant, key, timeout, expected_cost } => {
                self.arrive(now, id, class.0, tenant, key, timeout, expected_cost, out);
            }
            // The client owns an answer that has begun.
            Event::Started { request, .. } => {
                self.requests.entry(request).and_modify(|r| r.started = true);
            }
            Event::Ended { request, attempt, latency, outcome, finished: closed, .. } => {
                self.ended(now, request, attempt as usize, latency, outcome, closed, out);
            }
            Event::Upload { request, stage } => self.upload(now, request, stage),
            Event::Reconfigure(to) => self.retune(*to),
            Event::Draining(leaving) => self.overlay.leaving = leaving,
            Event::OverlappingProcess(twin) => self.overlay.twin = twin,
            Event::Maintenance { endpoint, enabled } => self.maintain(now, endpoint, enabled),
            Event::ClientClosed(id) => self.finish(id),
            Event::Timer(0) => self.tick(now, out),
            Event::Timer(token) => self.answer(RequestId(token - 1), RejectionReason::TooLate, out), // its time is up
            Event::Gossip { from, bytes } => return self.hear(now, from as usize, &bytes),
        }
        self.pump(now, out);
        self.shed(out);
    }
}
