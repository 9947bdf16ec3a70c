//! Baselines: well-known load balancing policies against which the core is compared.

use leadrelay_core::{
    Action, CallId, Endpoint, EndpointId, EndpointState, Event, ListScope, Millis, Outcome, RejectionReason,
    RequestId,
};
use rustc_hash::FxHashMap;

use crate::index::BackendIndex;
use crate::policy::{FleetView, Policy, TrueState};
use crate::random::RandomStream;

/// How a baseline selects a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum BaselineKind {
    /// Uniformly at random.
    Random,
    /// Each backend in turn.
    RoundRobin,
    /// The backend with the fewest requests in flight from this proxy.
    #[value(name = "least")]
    LeastOutstanding,
    /// Of two backends chosen at random, the one with fewer requests in flight from this proxy.
    TwoChoices,
    /// The backend with the least product of requests in flight and a peak-sensitive mean latency, as in Finagle's peak
    /// EWMA.
    PeakEwma,
    /// The backend that would serve the request first, by the true state at present.
    #[value(name = "sees-all")]
    CurrentTrueState,
    /// The backend that would serve the request first, by the true state half a second ago.
    #[value(name = "sees-late")]
    DelayedTrueState,
}

impl BaselineKind {
    /// The name of the baseline in results.
    pub fn name(self) -> &'static str {
        match self {
            BaselineKind::Random => "Random",
            BaselineKind::RoundRobin => "RoundRobin",
            BaselineKind::LeastOutstanding => "Least",
            BaselineKind::TwoChoices => "TwoChoices",
            BaselineKind::PeakEwma => "PeakEwma",
            BaselineKind::CurrentTrueState => "SeesAll",
            BaselineKind::DelayedTrueState => "SeesLate",
        }
    }
}

/// Time constant of the decay of the peak EWMA.
const EWMA_DECAY: Millis = 10_000.0;
/// Weight of a new sample in the peak EWMA if the sample is below the mean.
const EWMA_SAMPLE_WEIGHT: f64 = 0.1;
/// Mean latency assumed for a backend without a sample.
const INITIAL_LATENCY: Millis = 1.0;
/// The most attempts that a baseline makes for one request.
const MAX_ATTEMPTS: u32 = 3;
/// Shortest delay between a failed call to discovery and the next subscription.
const RESUBSCRIBE_DELAY: Millis = 500.0;
/// Longest random delay added to [`RESUBSCRIBE_DELAY`].
const RESUBSCRIBE_JITTER: Millis = 1000.0;
/// Subscription to the complete list. A baseline never requests only the changes since a version, and its calls need
/// no distinct ids.
const SUBSCRIBE: Action = Action::Subscribe { call: CallId(0), after: None };

/// The state that a proxy keeps for one backend.
struct KnownBackend {
    id: EndpointId,
    in_flight: u32,
    /// Peak EWMA of the latency, as of `updated_at`.
    latency: Millis,
    /// Time of the last update of `latency`.
    updated_at: Millis,
}

impl KnownBackend {
    fn decayed_latency(&self, now: Millis) -> Millis {
        self.latency * (-(now - self.updated_at) / EWMA_DECAY).exp()
    }

    fn record_latency(&mut self, now: Millis, latency: Millis) {
        let mean = self.decayed_latency(now);
        let is_peak = latency > mean;
        self.latency = if is_peak { latency } else { mean + EWMA_SAMPLE_WEIGHT * (latency - mean) };
        self.updated_at = now;
    }

    /// Relative time that the backend would take for a further request, by the true state; infinite without capacity.
    fn true_cost(&self, state: &TrueState) -> f64 {
        let backend = BackendIndex(self.id.0 as usize);
        let capacity = state.capacity.get(backend).copied().unwrap_or(0.0);
        if capacity > 0.0 { (state.in_flight[backend] + 1.0) / capacity } else { f64::INFINITY }
    }
}

/// A request without a final answer yet.
struct OpenRequest {
    attempts: u32,
    /// The endpoint of the last attempt.
    endpoint: EndpointId,
}

/// A proxy with a baseline policy. It sends each request at once, retries only attempts that were certainly not
/// executed, and has no queue.
pub struct Baseline {
    kind: BaselineKind,
    random: RandomStream,
    backends: Vec<KnownBackend>,
    round_robin: usize,
    open_requests: FxHashMap<RequestId, OpenRequest>,
    subscribed: bool,
}

impl Baseline {
    /// Creates a proxy that selects backends by a baseline's policy.
    pub fn new(kind: BaselineKind, seed: u64) -> Self {
        Baseline {
            kind,
            random: RandomStream::new(seed, "baseline"),
            backends: Vec::new(),
            round_robin: 0,
            open_requests: FxHashMap::default(),
            subscribed: false,
        }
    }

    /// Selects a backend and returns its position in `backends`; `None` if no backend is known.
    fn select(&mut self, now: Millis, fleet: FleetView<'_>) -> Option<usize> {
        let count = self.backends.len();
        if count == 0 {
            return None;
        }
        let start = self.random.uniform_below(count);
        match self.kind {
            BaselineKind::Random => Some(start),
            BaselineKind::RoundRobin => {
                self.round_robin = (self.round_robin + 1) % count;
                Some(self.round_robin)
            }
            BaselineKind::LeastOutstanding => self.cheapest(start, |known| f64::from(known.in_flight)),
            BaselineKind::TwoChoices => {
                let other = self.random.uniform_below(count);
                let other_is_better = self.backends[other].in_flight < self.backends[start].in_flight;
                Some(if other_is_better { other } else { start })
            }
            BaselineKind::PeakEwma => {
                let cost = |known: &KnownBackend| known.decayed_latency(now) * f64::from(known.in_flight + 1);
                self.cheapest(start, cost)
            }
            BaselineKind::CurrentTrueState => self.cheapest(start, |known| known.true_cost(fleet.current)),
            BaselineKind::DelayedTrueState => {
                let cost = |known: &KnownBackend| {
                    known.true_cost(fleet.delayed) * (1.0 + f64::from(known.in_flight))
                };
                self.cheapest(start, cost)
            }
        }
    }

    /// Position of the backend with the least cost; among equal costs the first at or after `start`.
    fn cheapest(&self, start: usize, cost: impl Fn(&KnownBackend) -> f64) -> Option<usize> {
        let count = self.backends.len();
        let positions = (0..count).map(|offset| (start + offset) % count);
        positions.min_by(|one, other| cost(&self.backends[*one]).total_cmp(&cost(&self.backends[*other])))
    }

    fn send(&mut self, now: Millis, request: RequestId, fleet: FleetView<'_>, actions: &mut Vec<Action>) {
        let Some(position) = self.select(now, fleet) else {
            return self.reject(request, actions);
        };
        let backend = &mut self.backends[position];
        backend.in_flight += 1;
        let endpoint = backend.id;
        let open = self.open_requests.entry(request).or_insert(OpenRequest { attempts: 0, endpoint });
        open.attempts += 1;
        open.endpoint = endpoint;
        actions.push(Action::Send { request, endpoint, timeout: None, start_by: None });
    }

    fn reject(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        self.open_requests.remove(&request);
        actions.push(Action::Reject { request, retry_after: None, reason: RejectionReason::TooLate });
    }

    fn subscribe(&mut self, actions: &mut Vec<Action>) {
        self.subscribed = true;
        actions.push(SUBSCRIBE);
    }

    fn update_list(
        &mut self, now: Millis, scope: ListScope, entries: &[Endpoint], actions: &mut Vec<Action>,
    ) {
        if scope == ListScope::Failed {
            self.subscribed = false;
            let at = now + RESUBSCRIBE_DELAY + RESUBSCRIBE_JITTER * self.random.uniform();
            actions.push(Action::Timer { token: 0, at });
            return;
        }
        if scope == ListScope::Full || scope == ListScope::Cached {
            self.backends.retain(|known| entries.iter().any(|entry| entry.id == known.id));
        }
        for entry in entries {
            self.update_entry(now, entry);
        }
        if !self.subscribed {
            self.subscribe(actions);
        }
    }

    fn update_entry(&mut self, now: Millis, entry: &Endpoint) {
        let position = self.backends.iter().position(|known| known.id == entry.id);
        match (entry.state == EndpointState::Up, position) {
            (true, None) => self.backends.push(KnownBackend {
                id: entry.id,
                in_flight: 0,
                latency: INITIAL_LATENCY,
                updated_at: now,
            }),
            (false, Some(position)) => {
                self.backends.swap_remove(position);
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Records the end of an attempt. Returns the number of attempts of the request so far, or `None` if the request
    /// is no longer open.
    fn record_attempt(&mut self, now: Millis, request: RequestId, latency: Millis) -> Option<u32> {
        let open = self.open_requests.get(&request)?;
        if let Some(backend) = self.backends.iter_mut().find(|known| known.id == open.endpoint) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
            backend.record_latency(now, latency);
        }
        Some(open.attempts)
    }

    /// Handles a failed attempt: fails the request if it may have been executed, retries it while attempts are left,
    /// and rejects it otherwise.
    fn retry_or_give_up(
        &mut self, now: Millis, request: RequestId, outcome: Outcome, attempts: u32, fleet: FleetView<'_>,
        actions: &mut Vec<Action>,
    ) {
        if outcome.may_have_run() {
            self.open_requests.remove(&request);
            actions.push(Action::Fail(request));
        } else if attempts < MAX_ATTEMPTS {
            self.send(now, request, fleet, actions);
        } else {
            self.reject(request, actions);
        }
    }
}

impl Policy for Baseline {
    fn handle(&mut self, now: Millis, event: Event, fleet: FleetView<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::List { scope, entries } => self.update_list(now, scope, &entries, actions),
            Event::Request { id, .. } => self.send(now, id, fleet, actions),
            Event::Ended { request, latency, outcome, finished, .. } => {
                let Some(attempts) = self.record_attempt(now, request, latency) else { return };
                if finished {
                    self.open_requests.remove(&request);
                } else {
                    self.retry_or_give_up(now, request, outcome, attempts, fleet, actions);
                }
            }
            Event::ClientClosed(request) => {
                self.open_requests.remove(&request);
            }
            Event::Timer(_) if !self.subscribed => self.subscribe(actions),
            _ => {}
        }
    }
}
