//! Who decides for a proxy: the core as in service, or a baseline to hold it against.

use leadrelay_core::{
    Action, Balancer, CallId, EndpointId, EndpointState, Event, ListScope, RejectionReason, RequestId,
};
use rustc_hash::FxHashMap;

use crate::random::RandomStream;

/// The true state of all backends, by their numbers. Only baselines that are said to see it look at it.
#[derive(Clone, Debug, Default)]
pub struct TrueState {
    /// Requests that each holds.
    pub holds: Vec<f64>,
    /// Work that each does in a ms; 0 if it can't serve.
    pub capacity: Vec<f64>,
}

/// One proxy's decisions.
pub trait Policy {
    /// Takes in an event, and appends what is to be done. `now` is the truth, `late` what it was a while ago.
    fn handle(&mut self, now: f64, event: Event, truth: (&TrueState, &TrueState), out: &mut Vec<Action>);

    /// Whether it takes in what its calls to discovery meet, as [`Event::Discovery`]; others are told lists alone.
    fn follows_calls(&self) -> bool {
        false
    }

    /// How many of its decisions broke an invariant.
    fn violations(&self) -> u64 {
        0
    }

    /// Until when it may send by the list that it holds, as far as it knows.
    fn list_valid_until(&self) -> f64 {
        f64::INFINITY
    }
}

impl Policy for Balancer {
    fn handle(&mut self, now: f64, event: Event, _: (&TrueState, &TrueState), out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }

    fn follows_calls(&self) -> bool {
        true
    }

    fn violations(&self) -> u64 {
        Balancer::violations(self).total()
    }

    fn list_valid_until(&self) -> f64 {
        Balancer::list_valid_until(self)
    }
}

/// How a baseline picks a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum BaselineKind {
    /// Evenly at random.
    Random,
    /// One after another.
    RoundRobin,
    /// The one with the fewest of this proxy's requests.
    Least,
    /// The better of two at random, by this proxy's requests.
    TwoChoices,
    /// The least product of requests out and a peak-sensitive mean of latency (as Finagle's peak EWMA).
    PeakEwma,
    /// The one that would serve it first, by the true state at once.
    SeesAll,
    /// The one that would serve it first, by the true state half a second ago.
    SeesLate,
}

/// Span over which peak EWMA forgets, in ms.
const DECAY: f64 = 10_000.0;
/// A baseline asks for the whole list each time, and its calls need no numbers.
const SUBSCRIBE: Action = Action::Subscribe { call: CallId(0), after: None };
/// Attempts that a baseline makes.
const ATTEMPTS: u32 = 3;

struct Known {
    id: EndpointId,
    number: usize,
    out: u32,
    latency: f64,
    at: f64,
}

/// A baseline: sends at once, repeats what surely did not run, and holds nothing.
pub struct Baseline {
    pick: BaselineKind,
    draw: RandomStream,
    backends: Vec<Known>,
    next: usize,
    open: FxHashMap<RequestId, (u32, EndpointId)>,
    subscribed: bool,
}

impl Baseline {
    /// A proxy that picks like this.
    pub fn new(pick: BaselineKind, seed: u64) -> Self {
        let (backends, next, open, subscribed) = Default::default();
        Baseline { pick, draw: RandomStream::new(seed, "baseline"), backends, next, open, subscribed }
    }

    fn choose(&mut self, now: f64, (truth, late): (&TrueState, &TrueState)) -> Option<usize> {
        let n = self.backends.len();
        if n == 0 {
            return None;
        }
        let first = self.draw.below(n);
        let least = |cost: &dyn Fn(&Known) -> f64, all: &[Known]| {
            (0..n).map(|i| (first + i) % n).min_by(|a, b| cost(&all[*a]).total_cmp(&cost(&all[*b])))
        };
        let seen = |t: &TrueState, k: &Known| {
            let capacity = t.capacity.get(k.number).copied().unwrap_or(0.0);
            if capacity > 0.0 { (t.holds[k.number] + 1.0) / capacity } else { f64::INFINITY }
        };
        match self.pick {
            BaselineKind::Random => Some(first),
            BaselineKind::RoundRobin => {
                self.next = (self.next + 1) % n;
                Some(self.next)
            }
            BaselineKind::Least => least(&|k| f64::from(k.out), &self.backends),
            BaselineKind::TwoChoices => {
                let second = self.draw.below(n);
                let fewer = self.backends[second].out < self.backends[first].out;
                Some(if fewer { second } else { first })
            }
            BaselineKind::PeakEwma => {
                let cost = |k: &Known| k.latency * (-(now - k.at) / DECAY).exp() * f64::from(k.out + 1);
                least(&cost, &self.backends)
            }
            BaselineKind::SeesAll => least(&|k| seen(truth, k), &self.backends),
            BaselineKind::SeesLate => least(&|k| seen(late, k) * (1.0 + f64::from(k.out)), &self.backends),
        }
    }

    fn send(&mut self, now: f64, id: RequestId, truth: (&TrueState, &TrueState), out: &mut Vec<Action>) {
        match self.choose(now, truth) {
            Some(k) => {
                self.backends[k].out += 1;
                let tries = self.open.get(&id).map_or(0, |o| o.0);
                self.open.insert(id, (tries + 1, self.backends[k].id));
                out.push(Action::Send {
                    request: id,
                    endpoint: self.backends[k].id,
                    timeout: None,
                    start_by: None,
                });
            }
            None => {
                self.open.remove(&id);
                out.push(Action::Reject { request: id, retry_after: None, reason: RejectionReason::TooLate });
            }
        }
    }
}

impl Policy for Baseline {
    fn handle(&mut self, now: f64, event: Event, truth: (&TrueState, &TrueState), out: &mut Vec<Action>) {
        match event {
            Event::List { scope, entries } => {
                if scope == ListScope::Failed {
                    self.subscribed = false;
                    out.push(Action::Timer { token: 0, at: now + 500.0 + 1000.0 * self.draw.unit() });
                    return;
                }
                if scope == ListScope::Full || scope == ListScope::Cached {
                    self.backends.retain(|k| entries.iter().any(|e| e.id == k.id));
                }
                for e in entries {
                    let at = self.backends.iter().position(|k| k.id == e.id);
                    match (e.state == EndpointState::Up, at) {
                        (true, None) => {
                            let number = e.id.0 as usize;
                            self.backends.push(Known { id: e.id, number, out: 0, latency: 1.0, at: now });
                        }
                        (false, Some(at)) => drop(self.backends.swap_remove(at)),
                        _ => {}
                    }
                }
                if !self.subscribed {
                    self.subscribed = true;
                    out.push(SUBSCRIBE);
                }
            }
            Event::Request { id, .. } => self.send(now, id, truth, out),
            Event::Ended { request, latency, outcome, finished, .. } => {
                let Some(&(tries, backend)) = self.open.get(&request) else { return };
                if let Some(k) = self.backends.iter_mut().find(|k| k.id == backend) {
                    k.out = k.out.saturating_sub(1);
                    let old = k.latency * (-(now - k.at) / DECAY).exp();
                    k.latency = if latency > old { latency } else { old + 0.1 * (latency - old) };
                    k.at = now;
                }
                if finished {
                    self.open.remove(&request);
                } else if outcome.may_have_run() {
                    self.open.remove(&request);
                    out.push(Action::Fail(request));
                } else if tries < ATTEMPTS {
                    self.send(now, request, truth, out);
                } else {
                    self.open.remove(&request);
                    out.push(Action::Reject { request, retry_after: None, reason: RejectionReason::TooLate });
                }
            }
            Event::ClientClosed(id) => drop(self.open.remove(&id)),
            Event::Timer(_) if !self.subscribed => {
                self.subscribed = true;
                out.push(SUBSCRIBE);
            }
            _ => {}
        }
    }
}
