//! Property tests: the four rules of `Checker` hold on streams of random but legal events, made from seeds.
mod common;
use common::*;
use leadrelay_core::*;

/// An event that is due at a later time.
enum PendingEvent {
    Timer(u64),
    Ended(u64, u32, Millis, Outcome),
    Message(Vec<u8>),
}

/// A random source of legal events for one proxy. It does not model the behavior of endpoints.
struct Simulation {
    rng: fastrand::Rng,
    now: Millis,
    balancer: Balancer,
    settings: Settings,
    checker: Checker,
    pending: Vec<(Millis, PendingEvent)>,
    list: Vec<Endpoint>,
    /// Deadline, number of attempts, and whether it is finished, of each request.
    requests: std::collections::HashMap<u64, (Millis, u32, bool)>,
    next_id: u64,
    /// Violations of invariants, in all processes of the proxy so far.
    violations: u64,
    /// Changes the actions of the balancer, so that a test can break rules on purpose.
    tamper: fn(&mut Vec<Action>),
}

impl Simulation {
    fn new(seed: u64, settings: Settings, tamper: fn(&mut Vec<Action>)) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let list = (0..rng.u64(0..14)).map(endpoint).collect();
        Simulation {
            balancer: Balancer::new(settings.clone(), seed),
            checker: Checker::new(settings.clone(), 60.0),
            rng,
            now: 5000.0,
            settings,
            pending: vec![],
            list,
            requests: Default::default(),
            next_id: 0,
            violations: 0,
            tamper,
        }
    }

    fn handle(&mut self, event: Event) {
        self.checker.record_event(self.now, &event);
        let mut out = vec![];
        self.balancer.handle(self.now, event, &mut out);
        (self.tamper)(&mut out);
        for action in out {
            self.checker.check_action(self.now, &action);
            match action {
                Action::Timer { token, at } => {
                    let delay = self.rng.f64() * 5.0;
                    self.pending.push((at.max(self.now) + delay, PendingEvent::Timer(token)));
                }
                Action::Send { request, .. } => self.attempt(request.0),
                Action::Reject { request, .. } | Action::Fail(request) => {
                    if let Some(e) = self.requests.get_mut(&request.0) {
                        e.2 = true;
                    }
                }
                Action::Broadcast(bytes) => {
                    assert!(bytes.len() <= 256);
                    if self.rng.f64() < 0.5 {
                        // As if a peer had sent the same message.
                        self.pending.push((self.now + 10.0, PendingEvent::Message(bytes)));
                    }
                }
                Action::Unsubscribe { .. } => {} // in this simulation every call ends by itself
                Action::Subscribe { .. } => {
                    let scope = if self.rng.bool() { ListScope::Full } else { ListScope::Failed };
                    let entries = if scope == ListScope::Full { self.list.clone() } else { vec![] };
                    self.handle(Event::List { scope, entries });
                }
            }
        }
    }

    fn attempt(&mut self, id: u64) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        let (deadline, attempt) = (e.0, e.1);
        e.1 += 1;
        let x = self.rng.f64();
        let (latency, outcome) = match x {
            x if x < 0.70 => (10.0 + self.rng.f64() * 100.0, Outcome::Served),
            x if x < 0.76 => (5.0, Outcome::Error),
            x if x < 0.82 => (1.0, Outcome::Rejected),
            x if x < 0.86 => (50.0, Outcome::ConnectFailed),
            x if x < 0.90 => (self.rng.f64() * 500.0, Outcome::Reset),
            x if x < 0.92 => (0.0, Outcome::Withdrawn),
            _ => (1e9, Outcome::TimedOut),
        };
        let (latency, outcome) = if self.now + latency > deadline {
            (deadline - self.now, Outcome::TimedOut)
        } else {
            (latency, outcome)
        };
        self.pending.push((self.now + latency, PendingEvent::Ended(id, attempt, latency, outcome)));
    }

    fn change_list(&mut self) {
        let n = self.list.len() as u64;
        let mut entries = vec![];
        match self.rng.u32(0..6) {
            0 => {
                let started = Endpoint { started_at: Some(self.now), ..endpoint(100 + self.next_id) };
                self.list.push(started.clone());
                entries.push(started);
            }
            1 | 2 if n > 0 => {
                let k = self.rng.usize(0..self.list.len());
                let states = [EndpointState::Draining, EndpointState::Removed, EndpointState::Up];
                self.list[k].state = states[self.rng.usize(0..3)];
                entries.push(self.list[k].clone());
            }
            3 if n > 0 => {
                let k = self.rng.usize(0..self.list.len());
                (self.list[k].state, self.list[k].started_at) = (EndpointState::Up, Some(self.now - 300.0));
                entries.push(self.list[k].clone());
                entries.push(self.list[k].clone()); // a repeated entry has no effect
            }
            4 => return self.handle(Event::List { scope: ListScope::Failed, entries: vec![] }),
            _ => {
                self.list.retain(|b| b.state != EndpointState::Removed);
                let entries = self.list.clone();
                return self.handle(full_list(entries));
            }
        }
        self.handle(Event::List { scope: ListScope::Delta, entries });
    }

    fn run(mut self, span: Millis) -> Vec<String> {
        self.simulate(span);
        self.checker.breaches
    }

    fn simulate(&mut self, span: Millis) {
        let end = self.now + span;
        let entries = self.list.clone();
        self.handle(Event::List { scope: ListScope::Cached, entries });
        let mut arrival = self.now;
        while self.now < end + 4000.0 {
            let next_event =
                (0..self.pending.len()).min_by(|a, b| self.pending[*a].0.total_cmp(&self.pending[*b].0));
            let at = next_event.map_or(f64::INFINITY, |i| self.pending[i].0);
            if arrival <= at && arrival < end {
                self.now = self.now.max(arrival);
                arrival += -(self.rng.f64() + 1e-9).ln() * if self.rng.f64() < 0.1 { 60.0 } else { 6.0 };
                self.inject_event();
            } else {
                let Some(i) = next_event else { break };
                let (at, event) = self.pending.swap_remove(i);
                self.now = self.now.max(at);
                match event {
                    PendingEvent::Timer(token) => self.handle(Event::Timer(token)),
                    PendingEvent::Message(bytes) => self.handle(Event::Gossip { from: 1, bytes }),
                    PendingEvent::Ended(id, attempt, latency, outcome) => {
                        let Some(e) = self.requests.get_mut(&id) else { continue };
                        e.2 |= outcome == Outcome::Served;
                        let finished = e.2;
                        let request = RequestId(id);
                        self.handle(Event::Ended { request, attempt, latency, outcome, finished });
                    }
                }
            }
            self.checker.check_deadlines(self.now);
        }
        self.violations += self.balancer.violations().total();
    }

    fn inject_event(&mut self) {
        match self.rng.u32(0..400) {
            0..6 => self.change_list(),
            6 => {
                // The process is killed and starts again without its former state.
                self.violations += self.balancer.violations().total();
                self.balancer = Balancer::new(self.settings.clone(), self.next_id);
                self.checker.restart();
                self.requests.clear();
                self.pending.clear();
                let entries = self.list.clone();
                self.handle(Event::List { scope: ListScope::Cached, entries });
            }
            7..10 => self.handle(Event::Gossip { from: self.next_id as u32 % 9, bytes: vec![1, 0, 9, 3] }),
            10..14 => self.handle(ended(self.next_id + 999, 3, 1.0, Outcome::Error)), // for an unknown request
            14..20 => {
                if let Some(id) = self.requests.keys().min().copied() {
                    self.requests.get_mut(&id).unwrap().2 = true;
                    self.handle(Event::ClientClosed(RequestId(id)));
                    self.requests.retain(|_, e| !e.2 || e.1 > 0);
                }
            }
            _ => {
                let class = self.rng.usize(0..self.settings.classes.len());
                let c = &self.settings.classes[class];
                let timeout = c.deadline * [0.005, 0.34, 0.7, 1.0][self.rng.usize(0..4)];
                let key = self.rng.bool().then(|| AffinityKey(self.rng.u64(0..20)));
                let tenant = (!self.settings.tenants.is_empty()).then_some(TenantId(0));
                let id = RequestId(self.next_id);
                self.requests.insert(self.next_id, (self.now + timeout, 0, false));
                self.next_id += 1;
                self.handle(Event::Request {
                    id,
                    class: ClassId(class),
                    tenant,
                    key,
                    timeout,
                    announcement: TimeoutAnnouncement::Individual,
                    expected_cost: None,
                });
            }
        }
    }
}

fn variants() -> Vec<Settings> {
    let base = settings(4);
    let mut all = vec![base.clone(), Settings { key_affinity: true, ..base.clone() }];
    all.push(Settings { gossip_enabled: true, proxies: 9, ..base.clone() });
    all.push(Settings {
        gossip_enabled: true,
        key_affinity: true,
        discovery: DiscoveryMode::OnRequest,
        ..base.clone()
    });
    let mut with_quota = Settings {
        weight_meaning: WeightMeaning::Unknown,
        tenants: vec![Tenant { quota_per_second: 3.0 }],
        ..base
    };
    with_quota.limits.max_attempts = 2;
    with_quota.classes.remove(0);
    with_quota.classes[1].idempotency =
        Idempotency::WithKey { scope: DeduplicationScope::Zone, window: 300.0 };
    all.push(with_quota);
    let mut late_earns = settings(4);
    late_earns.classes.iter_mut().for_each(|c| c.late_fraction = 0.3);
    late_earns.classes[2].idempotency =
        Idempotency::WithKey { scope: DeduplicationScope::All, window: 600.0 };
    all.push(late_earns);
    all
}

#[test]
fn rules_hold_on_random_event_streams() {
    for (variant, settings) in variants().into_iter().enumerate() {
        for seed in 0..12 {
            let breaches = Simulation::new(seed, settings.clone(), |_| {}).run(20_000.0);
            assert!(
                breaches.is_empty(),
                "variant {variant}, seed {seed}: {:?}",
                &breaches[..breaches.len().min(3)]
            );
        }
    }
}

#[test]
fn no_decision_breaks_an_invariant() {
    for (variant, settings) in variants().into_iter().enumerate() {
        for seed in 0..12 {
            let mut simulation = Simulation::new(seed, settings.clone(), |_| {});
            simulation.simulate(20_000.0);
            assert_eq!(simulation.violations, 0, "variant {variant}, seed {seed}");
        }
    }
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = Harness::new(settings(4), (0..9).map(endpoint).collect());
        let mut all = vec![];
        for id in 0..200 {
            all.extend(harness.handle(request(id, id as usize % 3, 1500.0)));
            all.extend(harness.advance(7.0));
            if id >= 8 {
                all.extend(harness.handle(ended(id - 8, 0, 56.0, Outcome::Served)));
            }
        }
        all
    };
    assert_eq!(run(), run());
}

fn assert_reported(tamper: fn(&mut Vec<Action>), expected: &str) {
    let breaches: Vec<String> =
        (0..40).flat_map(|seed| Simulation::new(seed, settings(4), tamper).run(20_000.0)).collect();
    assert!(
        breaches.iter().any(|b| b.contains(expected)),
        "the checker missed '{expected}': {:?}",
        breaches.first()
    );
}

/// Guards against a checker that never fails: breaks each rule on purpose and requires that the checker reports it.
#[test]
fn checker_reports_broken_rules() {
    assert_reported(
        |out| {
            let repeated: Vec<Action> =
                out.iter().filter(|a| matches!(a, Action::Send { .. })).cloned().collect();
            out.extend(repeated);
        },
        "never run twice",
    );
    assert_reported(|out| out.retain(|a| !matches!(a, Action::Reject { .. } | Action::Fail(_))), "in time");
    assert_reported(
        |out| {
            for a in out.iter_mut() {
                if let Action::Fail(request) = *a {
                    *a = Action::Reject { request, retry_after: None, reason: RejectionReason::TooLate };
                }
            }
        },
        "which may have run",
    );
    assert_reported(
        |out| {
            for a in out.iter_mut() {
                if let Action::Send { endpoint, .. } = a {
                    endpoint.0 = if endpoint.0 >= 100 { endpoint.0 } else { 1 };
                }
            }
        },
        "draining or removed",
    );
    assert_reported(
        |out| {
            let is_to_slow_start =
                |a: &&Action| matches!(a, Action::Send { endpoint, .. } if endpoint.0 >= 100);
            if let Some(a) = out.iter().find(is_to_slow_start).cloned() {
                out.extend(std::iter::repeat_n(a, 40));
            }
        },
        "in slow start",
    );
}
