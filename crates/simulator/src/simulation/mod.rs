//! The fleet in simulated time: a heap of events by time and number, one thread, all chance from the seed.
//!
//! Left out, beside what the models say: processor time of a proxy, sizes of bodies, idle connections that are closed,
//! slow or malformed clients.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::path::PathBuf;
use std::rc::Rc;

use leadrelay_core::{
    Action, AffinityKey, Balancer, CellId, ClassId, DiscoveryEvent, Endpoint, EndpointId, EndpointState,
    Event as ProxyEvent, MachineClassId, Outcome, RequestId, TenantId, ZoneId,
};
use rustc_hash::FxHashMap;

use crate::adapter::{Adapter, AdapterPolicy};
use crate::backend::{At, AttemptIndex, Backend, Taken};
use crate::discovery::{ConnectionId, Service, Step};
use crate::drain_invariant::DrainInvariant;
use crate::policy::{Baseline, BaselineKind, Policy, TrueState};
use crate::random::RandomStream;
use crate::recorder::{Broken, End, Entry, Recorder, Result};
use crate::scenario::{FaultKind, RequestIdempotency};
use crate::settings::{KEYED_WINDOW, MAX_ATTEMPTS, settings};
use crate::slow_start::Watch;
use crate::workload::{Fault, Workload};

mod endpoint_lists;

use endpoint_lists::character;

/// Who decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Version {
    /// The core of this build.
    Core,
    /// A baseline.
    Baseline(BaselineKind),
    /// Another build, by its adapter for the operators' simulator.
    Adapter(PathBuf),
}

impl Version {
    /// Its name in results.
    pub fn name(&self) -> String {
        match self {
            Version::Core => "core".into(),
            Version::Baseline(pick) => format!("{pick:?}"),
            Version::Adapter(path) => path.display().to_string(),
        }
    }
}

/// The age of the state that late-seeing baselines see, in ms.
const LATE: f64 = 500.0;
/// A proxy that restarts by plan takes requests for so long after clients are sent elsewhere, in ms.
const FAREWELL: f64 = 1500.0;
/// A backend that is replaced finishes what it has for so long, in ms.
const DRAIN: f64 = 3000.0;
/// A failing backend answers after this span, in ms.
const QUICK: f64 = 1.0;
/// After the last arrival the day runs on for so long, in ms.
const TAIL: f64 = 8000.0;

/// What a client gets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Served,
    Refused(f64),
    Failed,
    /// Its proxy is dead.
    Broken,
}

enum Event {
    Arrive(usize),
    Retry(usize),
    AtProxy(usize),
    GiveUp(usize),
    AtClient(usize, Answer),
    Timer { proxy: usize, life: u32, token: u64 },
    AtBackend(AttemptIndex),
    Work { backend: usize, generation: u64 },
    Ended(AttemptIndex, Outcome),
    TimedOut(AttemptIndex),
    Gossip { from: usize, bytes: Rc<[u8]> },
    Discovery(Step),
    Read { connection: ConnectionId, event: DiscoveryEvent },
    Notice(Endpoint),
    Look,
    Begin(usize),
    End(usize),
    Leave(usize),
    Die(usize),
    Rise(usize),
    Retire(usize),
    Drain(usize),
    Stop(usize),
    Return(usize),
}

struct Try {
    request: usize,
    proxy: usize,
    life: u32,
    sent: f64,
    due: f64,
    /// The client still waits.
    open: bool,
    /// The proxy has given its answer, or owes none any more.
    answered: bool,
    attempts: Vec<AttemptIndex>,
}

struct Attempt {
    of: usize,
    number: u32,
    backend: usize,
    life: u32,
    sent: f64,
    work: f64,
    over: bool,
    may_have_run: bool,
    /// Its proxy had been told of the backend's start.
    told: bool,
    /// What it met, once that is known.
    met: Option<End>,
}

struct Proxy {
    zone: usize,
    weight: f64,
    alive: bool,
    life: u32,
    died: f64,
    /// Clients are sent elsewhere by plan.
    leaving: bool,
    brain: Box<dyn Policy>,
    idle: FxHashMap<usize, u32>,
    /// The list as last seen.
    list: Vec<Endpoint>,
    /// The last start of each backend that it has been told of.
    starts: FxHashMap<usize, f64>,
}

/// Where a request is.
#[derive(Clone, Copy, Default)]
struct Progress {
    tries: u32,
    over: bool,
    in_share: bool,
}

struct Simulation<'a> {
    day: &'a Workload,
    brains: &'a PolicyFactory<'a>,
    now: f64,
    number: u64,
    heap: BinaryHeap<Reverse<(At, u64, usize)>>,
    slots: Vec<Option<Event>>,
    free: Vec<usize>,
    ways: RandomStream,
    chance: RandomStream,
    seeds: RandomStream,
    backends: Vec<Backend>,
    proxies: Vec<Proxy>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    progress: Vec<Progress>,
    allowance: Vec<(f64, f64)>,
    discovery: Service,
    drains: DrainInvariant,
    cut: Option<usize>,
    /// The first of the proxies that get more, how many they are, and their part of all traffic.
    hot: Option<(usize, usize, f64)>,
    truth: TrueState,
    late: TrueState,
    ledger: Recorder,
    cold: Watch,
    actions: Vec<Action>,
}

/// Plays a day. The same day and version give the same result.
///
/// # Errors
/// If an adapter can't be started.
pub fn play(day: &Workload, version: &Version) -> std::io::Result<Result> {
    let adapter = match version {
        Version::Adapter(path) => Some(Adapter::start(path)?),
        _ => None,
    };
    let brains = |p, seed| -> Box<dyn Policy> {
        match (version, &adapter) {
            (Version::Baseline(pick), _) => Box::new(Baseline::new(*pick, seed)),
            (_, Some(adapter)) => Box::new(AdapterPolicy::new(adapter.clone(), day, p, seed)),
            (_, None) => Box::new(Balancer::new(settings(day, p), seed)),
        }
    };
    Ok(play_by(day, &version.name(), &brains))
}

/// Who decides for a proxy of this number, from this seed.
pub type PolicyFactory<'a> = dyn Fn(usize, u64) -> Box<dyn Policy> + 'a;

/// Plays a day by other decisions.
pub fn play_by(day: &Workload, name: &str, brains: &PolicyFactory) -> Result {
    let mut world = Simulation::new(day, brains);
    world.run();
    world.ledger.result(day, name)
}

impl<'a> Simulation<'a> {
    fn new(day: &'a Workload, brains: &'a PolicyFactory<'a>) -> Self {
        let mut seeds = RandomStream::new(day.seed, "proxies");
        let backends: Vec<Backend> = day.machines.iter().cloned().map(Backend::new).collect();
        let list: Vec<Endpoint> =
            backends.iter().enumerate().map(|(i, b)| line(i, b, EndpointState::Up)).collect();
        let proxy = |(p, &(zone, weight)): (usize, &(usize, f64))| Proxy {
            zone,
            weight,
            alive: true,
            life: 0,
            died: f64::NEG_INFINITY,
            leaving: false,
            brain: brains(p, seeds.seed()),
            idle: FxHashMap::default(),
            list: list.clone(),
            starts: FxHashMap::default(),
        };
        let proxies = day.proxies.iter().enumerate().map(proxy).collect();
        let mut world = Simulation {
            day,
            brains,
            now: 0.0,
            number: 0,
            heap: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            ways: RandomStream::new(day.seed, "ways"),
            chance: RandomStream::new(day.seed, "chance"),
            seeds,
            backends,
            proxies,
            tries: Vec::new(),
            attempts: Vec::new(),
            progress: vec![Progress::default(); day.requests.len()],
            allowance: day.allowances.iter().map(|a| (*a, 0.0)).collect(),
            discovery: Service::new(character(day), list, day.seed),
            drains: DrainInvariant::new(day.proxies.len(), day.scenario.discovery.pushed),
            cut: None,
            hot: None,
            truth: TrueState::default(),
            late: TrueState::default(),
            ledger: Recorder::default(),
            cold: Watch::default(),
            actions: Vec::new(),
        };
        world.look();
        world.late = world.truth.clone();
        world
    }

    fn run(&mut self) {
        for p in 0..self.proxies.len() {
            self.greet(p);
        }
        if !self.day.requests.is_empty() {
            self.at(self.day.requests[0].at, Event::Arrive(0));
        }
        for (i, fault) in self.day.faults.iter().enumerate() {
            self.at(fault.from, Event::Begin(i));
            if fault.until > fault.from {
                self.at(fault.until, Event::End(i));
            }
        }
        self.at(self.day.scenario.discovery.push_ms, Event::Discovery(Step::Push));
        self.at(LATE, Event::Look);
        let end = self.day.length + TAIL;
        while let Some(Reverse((At(at), _, slot))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.free.push(slot);
            if let Some(event) = self.slots[slot].take() {
                self.handle(event);
            }
        }
        let cores: f64 = self.day.machines.iter().map(|m| m.cores).sum();
        self.ledger.sums.busy = self.backends.iter().map(|b| b.busy).sum::<f64>() / (cores * self.day.length);
        self.ledger.cold = self.cold.measure();
        let calls = self.discovery.counts();
        (self.ledger.sums.calls, self.ledger.sums.calls_failed) = (calls.calls, calls.failed);
        // Whoever has no end yet waits for an answer that did not come in all this time.
        for request in 0..self.progress.len() {
            if !self.progress[request].over {
                self.finish(request, End::HeldAllBusy, 0, None);
            }
        }
    }

    fn at(&mut self, at: f64, event: Event) {
        self.number += 1;
        let slot = self.free.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[slot] = Some(event);
        self.heap.push(Reverse((At(at.max(self.now)), self.number, slot)));
    }

    fn after(&mut self, span: f64, event: Event) {
        self.at(self.now + span, event);
    }

    /// One way of this mean length.
    fn way(&mut self, mean: f64) -> f64 {
        mean * self.ways.lognormal(self.day.scenario.network.jitter)
    }

    fn way_to(&mut self, proxy: usize, backend: usize) -> f64 {
        let cross = self.proxies[proxy].zone != self.backends[backend].machine.zone;
        self.way(self.day.ways[usize::from(cross)])
    }

    /// Whether the way between two zones is cut.
    fn is_cut(&self, one: usize, other: usize) -> bool {
        one != other && self.cut.is_some_and(|cut| cut == one || cut == other)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => {
                if request + 1 < self.day.requests.len() {
                    self.at(self.day.requests[request + 1].at, Event::Arrive(request + 1));
                }
                self.progress[request].in_share = self.within_share(request);
                self.begin(request);
            }
            Event::Retry(request) => self.begin(request),
            Event::AtProxy(t) => self.at_proxy(t),
            Event::GiveUp(t) => self.give_up(t),
            Event::AtClient(t, answer) => self.at_client(t, answer),
            Event::Timer { proxy, life, token } => {
                if self.lives(proxy, life) {
                    self.tell(proxy, ProxyEvent::Timer(token));
                }
            }
            Event::AtBackend(attempt) => self.at_backend(attempt),
            Event::Work { backend, generation } => self.work(backend, generation),
            Event::Ended(attempt, outcome) => self.ended(attempt, outcome),
            Event::TimedOut(attempt) => self.ended(attempt, Outcome::TimedOut),
            Event::Gossip { from, bytes } => self.gossip(from, &bytes),
            Event::Discovery(step) => self.step_discovery(step),
            Event::Read { connection, event } => self.read(connection, event),
            Event::Notice(line) => self.at_discovery(|service, _, out| service.change(line, out)),
            Event::Look => {
                self.late = std::mem::take(&mut self.truth);
                self.look();
                self.after(LATE, Event::Look);
            }
            Event::Begin(i) => self.begin_fault(i),
            Event::End(i) => self.end_fault(i),
            Event::Leave(p) => {
                self.proxies[p].leaving = true;
                if self.proxies[p].alive {
                    self.tell(p, ProxyEvent::Draining(true));
                }
            }
            Event::Die(p) => self.die(p),
            Event::Rise(p) => self.rise(p),
            Event::Retire(b) => self.retire(b),
            Event::Drain(b) => self.tell_discovery(b, EndpointState::Draining),
            Event::Stop(b) => {
                self.stop(b);
                self.tell_discovery(b, EndpointState::Removed);
            }
            Event::Return(b) => {
                self.backends[b].start(self.now);
                self.seen_truth(b);
                self.tell_discovery(b, EndpointState::Up);
            }
        }
    }

    // ---- clients and the front ----

    /// Takes a request off its tenant's allowance, if there is any left: a second's worth at most is saved up.
    fn within_share(&mut self, request: usize) -> bool {
        let tenant = self.day.requests[request].tenant;
        let Some(rate) = self.day.allowances.get(tenant) else { return true };
        let (left, at) = &mut self.allowance[tenant];
        *left = (*left + rate * (self.now - *at) / 1000.0).min(rate.max(1.0));
        *at = self.now;
        let within = *left >= 1.0;
        *left -= f64::from(u8::from(within));
        within
    }

    /// The proxy to which the front sends: it leaves out those known to be dead or to leave.
    fn front(&self, zone: usize, place: f64) -> Option<usize> {
        let notice = self.day.front_notice;
        let sends = |p: &Proxy| !p.leaving && (p.alive || self.now - p.died < notice);
        let near = self.proxies.iter().any(|p| p.zone == zone && sends(p));
        let fits = |p: &&(usize, &Proxy)| sends(p.1) && (p.1.zone == zone || !near);
        let mut place = place;
        if let Some((first, n, part)) = self.hot {
            if place < part {
                return Some((first + (place / part * n as f64) as usize) % self.proxies.len());
            }
            place = (place - part) / (1.0 - part).max(1e-9);
        }
        let all = || self.proxies.iter().enumerate();
        let total: f64 = all().filter(|p| fits(&p)).map(|p| p.1.weight).sum();
        let mut left = place * total;
        let found = all().filter(|p| fits(&p)).find(|p| {
            left -= p.1.weight;
            left < 0.0
        });
        found.map(|p| p.0)
    }

    /// A client's try begins.
    fn begin(&mut self, request: usize) {
        let r = &self.day.requests[request];
        self.progress[request].tries += 1;
        self.ledger.sums.tries += 1;
        // Each try meets another proxy.
        let place = (r.place + 0.618 * f64::from(self.progress[request].tries - 1)).fract();
        let deadline = self.day.scenario.classes[r.class].deadline_ms;
        let last = r.at + deadline;
        let due = (self.now + deadline * r.try_share).min(last);
        let due = r.leaves.map_or(due, |part| due.min(r.at + part * deadline));
        let Some(proxy) = self.front(r.zone, place) else {
            return self.finish(request, End::ProxyDead, 0, None);
        };
        let life = self.proxies[proxy].life;
        let t = self.tries.len();
        let (open, answered, attempts) = (true, false, Vec::new());
        self.tries.push(Try { request, proxy, life, sent: self.now, due, open, answered, attempts });
        let way = self.way(self.day.ways[2]);
        self.after(way, Event::AtProxy(t));
        self.at(due, Event::GiveUp(t));
    }

    fn at_proxy(&mut self, t: usize) {
        if !self.tries[t].open {
            return; // its client left on the way
        }
        let (proxy, due) = (self.tries[t].proxy, self.tries[t].due);
        if !self.proxies[proxy].alive {
            self.tries[t].answered = true;
            let way = self.way(self.day.ways[2]);
            return self.after(way, Event::AtClient(t, Answer::Broken));
        }
        self.tries[t].life = self.proxies[proxy].life;
        let r = &self.day.requests[self.tries[t].request];
        let event = ProxyEvent::Request {
            id: RequestId(t as u64),
            class: ClassId(r.class),
            tenant: (!self.day.allowances.is_empty()).then_some(TenantId(r.tenant)),
            key: Some(AffinityKey(r.key)),
            timeout: due - self.now - self.day.ways[2],
            expected_cost: None,
        };
        self.tell(proxy, event);
    }

    fn give_up(&mut self, t: usize) {
        if !self.tries[t].open {
            return;
        }
        self.tries[t].open = false;
        let (request, proxy, life) = (self.tries[t].request, self.tries[t].proxy, self.tries[t].life);
        let early = self.day.requests[request].leaves.is_some();
        let end = if early { End::ClientLeft } else { self.met(t) };
        if !self.tries[t].answered {
            self.tries[t].answered = true;
            if self.lives(proxy, life) {
                if !early {
                    self.broken(
                        "an answer before the client gives up",
                        format!("request {request}, try {t}"),
                    );
                }
                self.tell(proxy, ProxyEvent::ClientClosed(RequestId(t as u64)));
            }
        }
        if early { self.finish(request, end, proxy, None) } else { self.again(t, end, 0.0) }
    }

    fn at_client(&mut self, t: usize, answer: Answer) {
        if !std::mem::replace(&mut self.tries[t].open, false) {
            return;
        }
        let (request, proxy) = (self.tries[t].request, self.tries[t].proxy);
        let r = &self.day.requests[request];
        let aim = self.day.scenario.classes[r.class].aim_ms;
        match answer {
            Answer::Served => {
                let end = if self.now - r.at <= aim { End::Served } else { End::Late };
                let backend = self.tries[t].attempts.last().map(|a| self.attempts[*a].backend);
                self.finish(request, end, proxy, backend);
            }
            Answer::Broken => self.again(t, End::ProxyDead, 0.0),
            Answer::Refused(after) => {
                let end = self.met(t);
                self.again(t, end, after);
            }
            Answer::Failed => {
                let end = self.met(t);
                self.again(t, end, 0.0);
            }
        }
    }

    /// What the last attempt of a try met; without one, whether it was held or refused.
    fn met(&self, t: usize) -> End {
        let tried = &self.tries[t];
        if let Some(&last) = tried.attempts.last() {
            let a = &self.attempts[last];
            return a.met.unwrap_or_else(|| self.why_silent(a));
        }
        let r = &self.day.requests[tried.request];
        let aim = self.day.scenario.classes[r.class].aim_ms;
        let patience = aim.min(tried.due - tried.sent);
        let idle = self.backends.iter().any(|b| b.is_idle(self.now));
        match (self.now - tried.sent > 0.5 * patience, idle) {
            (true, true) => End::HeldBesideIdle,
            (true, false) => End::HeldAllBusy,
            (false, true) => End::RefusedBesideIdle,
            (false, false) => End::RefusedAllBusy,
        }
    }

    /// Why an attempt has no answer yet.
    fn why_silent(&self, a: &Attempt) -> End {
        let b = &self.backends[a.backend];
        let zone = self.proxies[self.tries[a.of].proxy].zone;
        if self.is_cut(zone, b.machine.zone) {
            End::LostWay
        } else if !b.up {
            End::SentToGone
        } else if b.silent {
            End::SentToIll
        } else if b.is_cold(self.now) {
            End::SentToCold
        } else {
            End::SentToBusy
        }
    }

    /// The client tries once more, if it has tries and time left.
    fn again(&mut self, t: usize, end: End, after: f64) {
        let request = self.tries[t].request;
        let r = &self.day.requests[request];
        let tries = self.progress[request].tries;
        let backoff = self.day.backoff * f64::from(1u32 << (tries - 1).min(10)) * (0.5 + self.chance.unit());
        let wait = backoff.max(after.min(2000.0));
        let last = r.at + self.day.scenario.classes[r.class].deadline_ms;
        if tries <= self.day.scenario.clients.retries && self.now + wait < last - 50.0 {
            return self.after(wait, Event::Retry(request));
        }
        let backend = self.tries[t].attempts.last().map(|a| self.attempts[*a].backend);
        self.finish(request, end, self.tries[t].proxy, backend);
    }

    fn finish(&mut self, request: usize, end: End, proxy: usize, backend: Option<usize>) {
        if std::mem::replace(&mut self.progress[request].over, true) {
            return;
        }
        let in_share = self.progress[request].in_share;
        self.ledger.entries.push(Entry { request, end, proxy, backend, in_share });
    }

    // ---- proxies ----

    fn lives(&self, proxy: usize, life: u32) -> bool {
        self.proxies[proxy].alive && self.proxies[proxy].life == life
    }

    fn broken(&mut self, rule: &'static str, what: String) {
        self.ledger.broken.push(Broken { rule, at: self.now, what });
    }

    /// Gives a proxy an event and carries out what it decides.
    fn tell(&mut self, p: usize, event: ProxyEvent) {
        self.ledger.sums.events += 1;
        let mut actions = std::mem::take(&mut self.actions);
        let brain = &mut self.proxies[p].brain;
        let violations = brain.violations();
        brain.handle(self.now, event, (&self.truth, &self.late), &mut actions);
        if brain.violations() > violations {
            self.broken("no invariant is violated", format!("proxy {p}"));
        }
        // What follows at once from an action is an event of its own, so this is never entered twice.
        for action in actions.drain(..) {
            self.perform(p, action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, p: usize, action: Action) {
        let life = self.proxies[p].life;
        match action {
            Action::Send { request, endpoint, timeout, .. } => {
                self.send(p, request.0 as usize, endpoint.0 as usize, timeout);
            }
            Action::Reject { request, retry_after, .. } => {
                let without_list = self.now >= self.proxies[p].brain.list_valid_until();
                self.ledger.sums.refused_without_list += u64::from(without_list);
                self.answer(request.0 as usize, Answer::Refused(retry_after.unwrap_or(0.0)));
            }
            Action::Fail(request) => self.answer(request.0 as usize, Answer::Failed),
            Action::Timer { token, at } => self.at(at, Event::Timer { proxy: p, life, token }),
            Action::Broadcast(bytes) => {
                if bytes.len() > 256 {
                    self.broken("256 bytes a message", format!("proxy {p}: {}", bytes.len()));
                }
                let receivers = self.proxies.len() as u64 - 1;
                self.ledger.sums.messages += 1;
                self.ledger.sums.peer_bytes += bytes.len() as u64 * receivers;
                let way = self.way(self.day.ways[3]);
                self.after(way, Event::Gossip { from: p, bytes: bytes.into() });
            }
            Action::Subscribe { call, after } => self.subscribe(p, call, after),
            Action::Unsubscribe { call, .. } => self.unsubscribe(p, call),
        }
    }

    /// The proxy's final answer goes out.
    fn answer(&mut self, t: usize, answer: Answer) {
        if std::mem::replace(&mut self.tries[t].answered, true) {
            return self.broken("one final answer", format!("try {t}"));
        }
        let class = self.day.requests[self.tries[t].request].class;
        let ran = self.tries[t].attempts.iter().any(|a| self.attempts[*a].may_have_run);
        if matches!(answer, Answer::Refused(_)) && ran && self.day.effect(class) != RequestIdempotency::Safe {
            self.broken("refusals only when harmless", format!("try {t}"));
        }
        let way = self.way(self.day.ways[2]);
        self.after(way, Event::AtClient(t, answer));
    }

    fn send(&mut self, p: usize, t: usize, b: usize, timeout: Option<f64>) {
        self.check_send(t, b);
        self.ledger.sums.attempts += 1;
        let (request, due) = (self.tries[t].request, self.tries[t].due - self.day.ways[2]);
        let attempt = self.attempts.len();
        let number = self.tries[t].attempts.len() as u32;
        let (life, work) = (self.proxies[p].life, self.day.requests[request].work);
        let (over, may_have_run, met) = (false, true, None);
        let told = self.proxies[p].starts.get(&b) == Some(&self.backends[b].born);
        self.attempts.push(Attempt {
            of: t,
            number,
            backend: b,
            life,
            sent: self.now,
            work,
            over,
            may_have_run,
            told,
            met,
        });
        self.tries[t].attempts.push(attempt);
        let until = timeout.map_or(due, |ms| due.min(self.now + ms));
        self.at(until, Event::TimedOut(attempt));
        let crosses = self.proxies[p].zone != self.backends[b].machine.zone;
        self.ledger.sums.crossings += u64::from(crosses);
        let way = self.way_to(p, b);
        let idle = self.proxies[p].idle.get_mut(&b).filter(|n| **n > 0);
        let kept = idle.map(|n| *n -= 1).is_some();
        let cut = self.is_cut(self.proxies[p].zone, self.backends[b].machine.zone);
        let backend = &self.backends[b];
        let accepted = !cut && backend.up && backend.connections < backend.machine.connections;
        let handshake = 2.0 * self.day.scenario.network.handshake.1 * way;
        // One that never gets a connection is held against the rule by the time of the decision.
        let first_byte = if accepted && !kept { self.now + handshake } else { self.now };
        self.check_drain(p, b, first_byte);
        if cut {
            // A new connection never comes up; on an old one the request is gone for good.
            if !kept {
                let wait = self.day.scenario.network.connect_timeout_ms;
                self.attempts[attempt].met = Some(End::LostWay);
                self.after(wait, Event::Ended(attempt, Outcome::ConnectFailed));
            }
            return;
        }
        if kept {
            return self.after(way, Event::AtBackend(attempt));
        }
        let backend = &mut self.backends[b];
        if !accepted {
            self.attempts[attempt].met = Some(if backend.up { End::SentToFull } else { End::SentToGone });
            return self.after(2.0 * way, Event::Ended(attempt, Outcome::ConnectFailed));
        }
        backend.connections += 1;
        self.ledger.sums.handshakes += 1;
        backend.burden(self.now, self.day.handshake);
        self.reckon(b);
        self.after(way + handshake, Event::AtBackend(attempt));
    }

    /// The rules on a send.
    fn check_send(&mut self, t: usize, b: usize) {
        let tried = &self.tries[t];
        let what = format!("try {t}, backend {b}");
        let class = self.day.requests[tried.request].class;
        if tried.attempts.iter().any(|a| !self.attempts[*a].over) {
            self.broken("never two attempts out", what.clone());
        }
        if self.tries[t].attempts.len() >= MAX_ATTEMPTS {
            self.broken("attempts are bounded", what.clone());
        }
        let first = self.tries[t].attempts.iter().find(|a| self.attempts[**a].may_have_run);
        if let Some(first) = first.map(|a| &self.attempts[*a]) {
            let cells = (self.backends[first.backend].machine.cell, self.backends[b].machine.cell);
            let fits = match self.day.effect(class) {
                RequestIdempotency::Safe => true,
                RequestIdempotency::Unsafe => false,
                RequestIdempotency::Keyed => cells.0 == cells.1 && self.now - first.sent <= KEYED_WINDOW,
            };
            if !fits {
                self.broken("no unsafe repeat", what);
            }
        }
    }

    /// Holds a send against the rule on drains by the time of its first byte.
    fn check_drain(&mut self, p: usize, b: usize, first_byte: f64) {
        if let Err(forbidden) = self.drains.check(p, b, first_byte) {
            self.broken("drains are kept", forbidden.to_string());
        }
    }

    /// An attempt's end reaches its proxy.
    fn ended(&mut self, attempt: AttemptIndex, outcome: Outcome) {
        let a = &self.attempts[attempt];
        let (t, b, number, life, sent) = (a.of, a.backend, a.number, a.life, a.sent);
        let p = self.tries[t].proxy;
        if a.over || !self.lives(p, life) {
            return;
        }
        let way_cut = self.is_cut(self.proxies[p].zone, self.backends[b].machine.zone);
        if way_cut && !matches!(outcome, Outcome::TimedOut | Outcome::ConnectFailed) {
            return; // lost on its way back: the time-out comes
        }
        if self.attempts[attempt].met.is_none() && outcome == Outcome::TimedOut {
            self.attempts[attempt].met = Some(self.why_silent(&self.attempts[attempt]));
        }
        let a = &mut self.attempts[attempt];
        (a.over, a.may_have_run) = (true, outcome.may_have_run());
        match outcome {
            Outcome::Served | Outcome::Error | Outcome::Rejected => {
                *self.proxies[p].idle.entry(b).or_default() += 1
            }
            Outcome::TimedOut => {
                let backend = &mut self.backends[b];
                backend.connections = backend.connections.saturating_sub(1);
            }
            _ => {}
        }
        let mut closed = self.tries[t].answered;
        if outcome == Outcome::Served && !closed {
            (self.tries[t].answered, closed) = (true, true);
            let way = self.way(self.day.ways[2]);
            self.after(way, Event::AtClient(t, Answer::Served));
        }
        let event = ProxyEvent::Ended {
            request: RequestId(t as u64),
            attempt: number,
            latency: self.now - sent,
            outcome,
            finished: closed,
        };
        self.tell(p, event);
    }

    fn gossip(&mut self, from: usize, bytes: &[u8]) {
        let zone = self.proxies[from].zone;
        for p in 0..self.proxies.len() {
            let near = !self.is_cut(zone, self.proxies[p].zone);
            if p != from
                && self.proxies[p].alive
                && near
                && !self.ways.chance(self.day.scenario.network.peer_loss)
            {
                self.tell(p, ProxyEvent::Gossip { from: from as u32, bytes: bytes.to_vec() });
            }
        }
    }

    fn die(&mut self, p: usize) {
        let proxy = &mut self.proxies[p];
        if !std::mem::replace(&mut proxy.alive, false) {
            return;
        }
        proxy.died = self.now;
        for (b, n) in proxy.idle.drain() {
            self.backends[b].connections = self.backends[b].connections.saturating_sub(n as usize);
        }
        self.discovery.hang_up(p);
        // Who waits there sees the connection break.
        let life = proxy.life;
        for t in 0..self.tries.len() {
            let tried = &mut self.tries[t];
            if tried.proxy == p && tried.life == life && tried.open && !tried.answered {
                tried.answered = true;
                let way = self.way(self.day.ways[2]);
                self.after(way, Event::AtClient(t, Answer::Broken));
            }
        }
    }

    fn rise(&mut self, p: usize) {
        let seed = self.seeds.seed();
        let proxy = &mut self.proxies[p];
        (proxy.alive, proxy.leaving, proxy.life) = (true, false, proxy.life + 1);
        proxy.brain = (self.brains)(p, seed);
        self.greet(p);
    }

    // ---- backends ----

    fn look(&mut self) {
        self.truth.holds.clear();
        self.truth.capacity.clear();
        for b in 0..self.backends.len() {
            self.truth.holds.push(0.0);
            self.truth.capacity.push(0.0);
            self.seen_truth(b);
        }
    }

    /// Notes the true state of a backend for those that see it.
    fn seen_truth(&mut self, b: usize) {
        let backend = &self.backends[b];
        let serves = backend.up && !backend.draining && !backend.silent && backend.failing < 0.05;
        self.truth.holds[b] = backend.holds() as f64;
        self.truth.capacity[b] = if serves { backend.capacity(self.now) } else { 0.0 };
    }

    /// Plans a backend's next end anew after a change.
    fn reckon(&mut self, b: usize) {
        self.seen_truth(b);
        let generation = self.backends[b].generation;
        if let Some(at) = self.backends[b].next_end(self.now) {
            self.at(at, Event::Work { backend: b, generation });
        }
    }

    fn at_backend(&mut self, attempt: AttemptIndex) {
        let a = &self.attempts[attempt];
        let (t, b, work, told) = (a.of, a.backend, a.work, a.told);
        let p = self.tries[t].proxy;
        let way = self.way_to(p, b);
        if self.is_cut(self.proxies[p].zone, self.backends[b].machine.zone) {
            return; // lost on its way
        }
        // By the mean work of its class: what one request draws no proxy can know, and the rule leaves slack for it.
        let class = self.day.requests[self.tries[t].request].class;
        let (cold, mean) = (&self.day.scenario.cold, self.day.works[class]);
        if self.backends[b].up {
            self.cold.note(self.now, self.day, b, &self.backends[b], class, told);
        }
        if self.backends[b].up
            && self.backends[b].strains(self.now, mean, cold.multiple, cold.fall_s * 1000.0)
        {
            let told = self.backends[b].strain();
            self.broken("no cold backend is pushed over", format!("backend {b}: {told}"));
            self.stop(b);
        }
        let fails = self.backends[b].failing;
        if self.backends[b].up && fails > 0.0 && self.chance.chance(fails) {
            self.attempts[attempt].met = Some(End::SentToIll);
            return self.after(QUICK + way, Event::Ended(attempt, Outcome::Error));
        }
        let key = self.day.requests[self.tries[t].request].key;
        match self.backends[b].arrive(self.now, attempt, work, key) {
            Taken::In => self.reckon(b),
            Taken::Full => {
                self.attempts[attempt].met = Some(End::SentToFull);
                self.after(way, Event::Ended(attempt, Outcome::Rejected));
            }
            Taken::Silent => {}
            Taken::Down => {
                self.attempts[attempt].met = Some(End::SentToGone);
                self.after(way, Event::Ended(attempt, Outcome::ConnectFailed));
            }
        }
    }

    fn work(&mut self, b: usize, generation: u64) {
        if self.backends[b].generation != generation {
            return; // something has changed since
        }
        let Some(attempt) = self.backends[b].finish(self.now) else { return };
        self.reckon(b);
        let a = &self.attempts[attempt];
        let (t, life) = (a.of, a.life);
        let p = self.tries[t].proxy;
        if a.over || self.tries[t].answered || !self.lives(p, life) {
            self.ledger.sums.wasted += a.work;
        }
        let rate = self.backends[b].machine.error_rate;
        let error = self.chance.chance(rate);
        if error {
            self.attempts[attempt].met = Some(End::Error);
        }
        let way = self.way_to(p, b);
        self.after(way, Event::Ended(attempt, if error { Outcome::Error } else { Outcome::Served }));
    }

    /// A backend's process ends: its connections break.
    fn stop(&mut self, b: usize) {
        let lost = self.backends[b].die(self.now);
        for attempt in lost {
            self.attempts[attempt].met = Some(End::SentToGone);
            let way = self.way_to(self.tries[self.attempts[attempt].of].proxy, b);
            self.after(way, Event::Ended(attempt, Outcome::Reset));
        }
        for proxy in &mut self.proxies {
            proxy.idle.remove(&b);
        }
        self.seen_truth(b);
    }

    /// A backend is replaced by a new one: it drains, and the other starts cold.
    fn retire(&mut self, b: usize) {
        self.backends[b].draining = true;
        self.seen_truth(b);
        self.tell_discovery(b, EndpointState::Draining);
        self.after(DRAIN, Event::Stop(b));
        let mut fresh = Backend::new(self.backends[b].machine.clone());
        fresh.start(self.now);
        let number = self.backends.len();
        self.backends.push(fresh);
        self.truth.holds.push(0.0);
        self.truth.capacity.push(0.0);
        self.late.holds.push(0.0);
        self.late.capacity.push(0.0);
        self.seen_truth(number);
        self.tell_discovery(number, EndpointState::Up);
    }

    // ---- faults ----

    /// The members of a part of `n`, drawn for this fault alone.
    fn struck(&self, i: usize, n: usize) -> Vec<usize> {
        let mut draw = RandomStream::new(self.day.seed, &format!("fault {i}"));
        let mut all: Vec<usize> = (0..n).collect();
        let count = (self.day.faults[i].part * n as f64).round() as usize;
        for k in 0..count.min(n) {
            let other = k + draw.below(n - k);
            all.swap(k, other);
        }
        all.truncate(count);
        all
    }

    fn begin_fault(&mut self, i: usize) {
        let Fault { kind, from, until, size, .. } = self.day.faults[i];
        let initial = self.day.machines.len();
        match kind {
            FaultKind::KillProxies => {
                for p in self.struck(i, self.proxies.len()) {
                    self.die(p);
                    let spread = 1.0 + 0.2 * self.chance.unit();
                    self.after(size * 1000.0 * spread, Event::Rise(p));
                }
            }
            FaultKind::RollProxies => {
                let n = self.proxies.len();
                for p in 0..n {
                    let at = from + (until - from) * p as f64 / n as f64;
                    self.at(at, Event::Leave(p));
                    self.at(at + FAREWELL, Event::Die(p));
                    self.at(at + FAREWELL + size * 1000.0, Event::Rise(p));
                }
            }
            FaultKind::ReplaceBackends => {
                let all = self.struck(i, initial);
                let n = all.len().max(1) as f64;
                for (k, b) in all.into_iter().enumerate() {
                    self.at(from + (until - from) * k as f64 / n, Event::Retire(b));
                }
            }
            FaultKind::LoseZone => {
                for b in (0..initial).filter(|b| self.day.machines[*b].zone == 0) {
                    self.stop(b);
                    self.at(until, Event::Return(b));
                }
            }
            FaultKind::CutZone => self.cut = Some(self.day.scenario.zones.len() - 1),
            FaultKind::SilentBackends | FaultKind::FailingBackends | FaultKind::SlowBackends => {
                self.ail(i, true)
            }
            FaultKind::HotProxies => {
                let mut draw = RandomStream::new(self.day.seed, &format!("fault {i}"));
                let n = self.proxies.len();
                let count = ((self.day.faults[i].part * n as f64).round() as usize).clamp(1, n);
                self.hot = Some((draw.below(n), count, size.min(0.95)));
            }
            FaultKind::DiscoveryDown => {
                self.at_discovery(|service, now, out| service.go_down(now, out));
            }
            FaultKind::MoveDiscovery => self.move_discovery(),
            FaultKind::SilentWatches => self.strike_watches(i, true),
            FaultKind::BreakWatches => self.strike_watches(i, false),
            FaultKind::DrainBackends => {
                let all = self.struck(i, initial);
                let n = all.len().max(1) as f64;
                for (k, b) in all.into_iter().enumerate() {
                    let at = from + (until - from) * k as f64 / n;
                    self.at(at, Event::Drain(b));
                    if size > 0.0 {
                        self.at(at + size * 1000.0, Event::Stop(b));
                    }
                }
            }
            FaultKind::Burst | FaultKind::TenantBurst => {} // drawn with the requests
        }
    }

    fn end_fault(&mut self, i: usize) {
        match self.day.faults[i].kind {
            FaultKind::CutZone => self.cut = None,
            FaultKind::SilentBackends | FaultKind::FailingBackends | FaultKind::SlowBackends => {
                self.ail(i, false)
            }
            FaultKind::HotProxies => self.hot = None,
            FaultKind::DiscoveryDown => {
                self.at_discovery(|service, now, out| service.come_back(now, out));
            }
            _ => {}
        }
    }

    /// Backends fall ill or recover.
    fn ail(&mut self, i: usize, ill: bool) {
        let Fault { kind, size, .. } = self.day.faults[i];
        for b in self.struck(i, self.day.machines.len()) {
            let backend = &mut self.backends[b];
            match kind {
                FaultKind::SilentBackends => backend.silent = ill,
                FaultKind::FailingBackends => backend.failing = if ill { size.min(1.0) } else { 0.0 },
                _ => backend.slower = if ill { size.max(1.0) } else { 1.0 },
            }
            backend.generation += 1;
            self.reckon(b);
        }
    }
}

/// What the list says of a backend.
fn line(number: usize, backend: &Backend, state: EndpointState) -> Endpoint {
    let m = &backend.machine;
    Endpoint {
        id: EndpointId(number as u64),
        zone: Some(ZoneId(m.zone as u32)),
        machine_class: Some(MachineClassId(m.kind as u32)),
        cell: Some(CellId(m.cell)),
        state,
        weight: m.rating,
        started_at: backend.born.is_finite().then_some(backend.born),
    }
}
