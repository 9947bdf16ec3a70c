//! Settings for tests, a checker of the four rules, and a harness that drives a Balancer.
#![allow(dead_code)] // each test file uses its own part
use leadrelay_core::*;
use std::collections::{BTreeMap, HashMap};

pub fn class(idempotency: Idempotency, latency_objective: Millis) -> RequestClass {
    RequestClass {
        latency_objective,
        deadline: 2.5 * latency_objective,
        objective_stretch: 0.0,
        priority_weight: 1.0,
        late_fraction: 0.0,
        idempotency,
    }
}

pub const KEYED: Idempotency = Idempotency::WithKey { scope: DeduplicationScope::Cell, window: 2000.0 };

/// Three classes (safe, unsafe, keyed by cell), pushed lists, ratings that tell the size.
pub fn settings(proxies: u32) -> Settings {
    Settings {
        proxy_index: 0,
        proxies,
        zone: Some(ZoneId(0)),
        classes: vec![
            class(Idempotency::Always, 800.0),
            class(Idempotency::Never, 1200.0),
            class(KEYED, 800.0),
        ],
        tenants: vec![],
        over_quota_fraction: 0.1,
        weight_per_work: false,
        discovery: DiscoveryMode::Pushed,
        notification_bounds: None,
        weight_meaning: WeightMeaning::Capacity,
        key_affinity: false,
        clients_mark_retries: true,
        gossip_enabled: false,
        prices: Prices::default(),
        limits: Limits {
            drain_grace: 2000.0,
            notified_without_watch: 10_000.0,
            initial_capacity: 0.2,
            slow_start_window: 10_000.0,
            overload_multiple: 3.0,
            overload_window: 2000.0,
            max_attempts: 4,
            max_open_requests: usize::MAX,
        },
    }
}

pub fn endpoint(id: u64) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        zone: Some(ZoneId(0)),
        machine_class: Some(MachineClassId(0)),
        cell: Some(CellId(id / 3)),
        state: EndpointState::Up,
        weight: 2.0,
        started_at: None,
    }
}

pub fn full(entries: Vec<Endpoint>) -> Event {
    Event::List { scope: ListScope::Full, entries }
}

pub fn request(id: u64, class: usize, timeout: Millis) -> Event {
    Event::Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: None,
        key: None,
        timeout,
        announcement: TimeoutAnnouncement::Individual,
        expected_cost: None,
    }
}

pub fn ended(id: u64, attempt: u32, latency: Millis, outcome: Outcome) -> Event {
    let finished = outcome == Outcome::Served;
    Event::Ended { request: RequestId(id), attempt, latency, outcome, finished }
}

/// A Balancer whose timers are kept and fired by hand.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Millis,
    timers: Vec<(Millis, u64)>,
}

impl Harness {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        Harness::seeded(settings, endpoints, 7)
    }

    pub fn seeded(settings: Settings, endpoints: Vec<Endpoint>, seed: u64) -> Self {
        let mut harness = Harness { balancer: Balancer::new(settings, seed), now: 1000.0, timers: vec![] };
        harness.handle(full(endpoints));
        harness
    }

    /// Hands in an event at the present time; returns what is to be done, timers aside.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = vec![];
        self.balancer.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { token, at } = action {
                self.timers.push((*at, *token));
            }
        }
        out.retain(|a| !matches!(a, Action::Timer { .. }));
        out
    }

    /// Lets time pass with nothing but timers.
    pub fn advance(&mut self, span: Millis) -> Vec<Action> {
        let end = self.now + span;
        let mut out = vec![];
        while let Some(i) =
            (0..self.timers.len()).min_by(|a, b| self.timers[*a].0.total_cmp(&self.timers[*b].0))
        {
            if self.timers[i].0 > end {
                break;
            }
            let (at, token) = self.timers.swap_remove(i);
            self.now = self.now.max(at);
            out.extend(self.handle(Event::Timer(token)));
        }
        self.now = end;
        out
    }

    /// Serves requests that must not be repeated, one every `every` ms for `span` ms; `latency` of one depends on its endpoint and on
    /// how many are there already. Returns request and endpoint of each send, and the endpoints of those still in flight.
    pub fn serve_open_loop(
        &mut self, span: u64, every: u64, latency: impl Fn(u64, usize) -> Millis,
    ) -> (Vec<(u64, u64)>, Vec<u64>) {
        let mut all = vec![];
        let mut out: Vec<(u64, u64, Millis, Millis)> = vec![]; // until when, and its latency
        for step in 0..span {
            let mut actions = self.advance(1.0);
            if step % every == 0 {
                actions.extend(self.handle(request(1000 + step, 1, 3000.0)));
            }
            let now = self.now;
            let (over, still) = out.into_iter().partition::<Vec<_>, _>(|o| o.2 <= now);
            out = still;
            for (id, _, _, latency) in over {
                actions.extend(self.handle(ended(id, 0, latency, Outcome::Served)));
            }
            for (id, to) in sends(&actions) {
                let latency = latency(to, out.iter().filter(|o| o.1 == to).count());
                out.push((id, to, now + latency, latency));
                all.push((id, to));
            }
        }
        (all, out.iter().map(|o| o.1).collect())
    }

    /// Serves requests one after the other, each in `latency(endpoint)`, so that speeds are learned.
    pub fn serve_in_turn(&mut self, first: u64, count: u64, latency: impl Fn(u64) -> Millis) {
        for id in first..first + count {
            let sent = sends(&self.handle(request(id, 0, 2000.0)));
            let Some(&(_, to)) = sent.first() else {
                self.advance(2100.0);
                continue;
            };
            self.advance(latency(to));
            self.handle(ended(id, 0, latency(to), Outcome::Served));
        }
    }
}

/// Request and endpoint of each send.
pub fn sends(actions: &[Action]) -> Vec<(u64, u64)> {
    let pick = |a: &Action| match a {
        Action::Send { request, endpoint, .. } => Some((request.0, endpoint.0)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

struct Sent {
    endpoint: u64,
    at: Millis,
    over: bool,
    ran: bool,
}

struct OpenRequest {
    class: usize,
    deadline: Millis,
    sent: Vec<Sent>,
    answered: bool,
}

/// Watches every event and action of one proxy and notes each breach of the four rules.
pub struct Checker {
    settings: Settings,
    endpoints: HashMap<u64, (Endpoint, Option<Millis>)>,
    open: BTreeMap<u64, OpenRequest>,
    slow_start_sends: HashMap<u64, Vec<Millis>>,
    pub work: Millis,
    pub breaches: Vec<String>,
}

impl Checker {
    pub fn new(settings: Settings, work: Millis) -> Self {
        let (endpoints, open, slow_start_sends, breaches) = Default::default();
        Checker { settings, endpoints, open, slow_start_sends, work, breaches }
    }

    /// The proxy was killed: nothing is owed any more.
    pub fn restart(&mut self) {
        self.open.clear();
        self.endpoints.clear();
    }

    fn breach(&mut self, now: Millis, text: String) {
        self.breaches.push(format!("at {now:.1}: {text}"));
    }

    pub fn event(&mut self, now: Millis, event: &Event) {
        match event {
            Event::List { scope: ListScope::Failed, .. } => {}
            Event::List { scope, entries } => {
                for e in entries {
                    let old = self.endpoints.get(&e.id.0).and_then(|s| s.1);
                    let draining_since = if e.state == EndpointState::Up { None } else { old.or(Some(now)) };
                    if self.endpoints.get(&e.id.0).is_some_and(|s| s.0.started_at != e.started_at) {
                        self.slow_start_sends.remove(&e.id.0); // a new process has its own budget
                    }
                    self.endpoints.insert(e.id.0, (e.clone(), draining_since));
                }
                if *scope == ListScope::Full {
                    for (id, s) in &mut self.endpoints {
                        if !entries.iter().any(|e| e.id.0 == *id) {
                            s.1 = s.1.or(Some(now));
                        }
                    }
                }
            }
            Event::Request { id, class, timeout, .. } => {
                let open =
                    OpenRequest { class: class.0, deadline: now + timeout, sent: vec![], answered: false };
                self.open.insert(id.0, open);
            }
            Event::Ended { request, attempt, outcome, finished, .. } => {
                if let Some(o) = self.open.get_mut(&request.0) {
                    o.answered |= finished;
                    if let Some(s) = o.sent.get_mut(*attempt as usize) {
                        (s.over, s.ran) = (true, outcome.may_have_run());
                    }
                }
            }
            Event::ClientClosed(id) => {
                if let Some(o) = self.open.get_mut(&id.0) {
                    o.answered = true;
                }
            }
            _ => {}
        }
    }

    pub fn action(&mut self, now: Millis, action: &Action) {
        match action {
            Action::Send { request, endpoint, .. } => self.sent(now, request.0, endpoint.0),
            Action::Reject { request, .. } => {
                let Some(o) = self.open.get(&request.0) else {
                    return self.breach(now, format!("rejected {request:?}, which is not held"));
                };
                let ran = o.sent.iter().any(|s| !s.over || s.ran);
                let allowed = match self.settings.classes[o.class].idempotency {
                    Idempotency::Always | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
                    _ => !ran,
                };
                if !allowed {
                    self.breach(now, format!("rejected {request:?}, which may have run"));
                }
                self.answered(now, request.0);
            }
            Action::Fail(request) => self.answered(now, request.0),
            _ => {}
        }
    }

    fn answered(&mut self, now: Millis, id: u64) {
        match self.open.get_mut(&id) {
            Some(o) if !o.answered => o.answered = true,
            _ => self.breach(now, format!("a second answer for {id}")),
        }
    }

    fn sent(&mut self, now: Millis, id: u64, to: u64) {
        let limits = self.settings.limits;
        let Some((endpoint, draining_since)) = self.endpoints.get(&to).cloned() else {
            return self.breach(now, format!("sent to {to}, which no list named"));
        };
        if draining_since.is_some_and(|t| now > t) {
            self.breach(now, format!("sent to {to}, told to drain or gone"));
        }
        let Some(o) = self.open.get(&id) else {
            return self.breach(now, format!("sent {id}, which is not held"));
        };
        let idempotency = self.settings.classes[o.class].idempotency;
        let out = o.sent.iter().any(|s| !s.over);
        let ran = o.sent.iter().find(|s| !s.over || s.ran);
        let mut wrong = vec![];
        if o.answered {
            wrong.push("after its answer");
        }
        if out {
            wrong.push("twice at once");
        }
        if o.sent.len() as u32 >= limits.max_attempts {
            wrong.push("too often");
        }
        match (idempotency, ran) {
            (Idempotency::Never, Some(_)) => wrong.push("again though it must never run twice"),
            (Idempotency::WithKey { scope, window }, Some(first)) => {
                let other = &self.endpoints[&first.endpoint].0;
                let same = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => other.zone == endpoint.zone,
                    DeduplicationScope::Cell => other.cell == endpoint.cell,
                };
                if !same {
                    wrong.push("outside the group that drops its repeat");
                }
                if now > first.at + window {
                    wrong.push("after its repeat is forgotten");
                }
            }
            _ => {}
        }
        let texts: Vec<String> = wrong.iter().map(|w| format!("sent {id} {w}")).collect();
        texts.into_iter().for_each(|t| self.breach(now, t));
        self.open.get_mut(&id).unwrap().sent.push(Sent { endpoint: to, at: now, over: false, ran: true });
        if let Some(started_at) = endpoint.started_at.filter(|s| now - s < limits.slow_start_window) {
            let sent = self.slow_start_sends.entry(to).or_default();
            sent.push(now);
            sent.retain(|t| *t > now - limits.overload_window);
            // If every proxy did the same: sure capacity over the window, plus one request each for chance.
            let age = ((now - started_at) / limits.slow_start_window).clamp(0.0, 1.0);
            let part = limits.initial_capacity + (1.0 - limits.initial_capacity) * age;
            let budget = limits.overload_multiple * part * endpoint.weight * limits.overload_window;
            let alike = f64::from(self.settings.proxies);
            let push = (sent.len() as f64 - 1.0) * alike * self.work;
            if push > budget {
                self.breach(now, format!("pushed cold {to}: {push:.0} ms of work against {budget:.0}"));
            }
        }
    }

    /// Looks for overdue answers.
    pub fn check_deadlines(&mut self, now: Millis) {
        let slack = 20.0;
        let late: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, o)| !o.answered && now > o.deadline + slack)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.open.get_mut(&id).unwrap().answered = true;
            self.breach(now, format!("no answer for {id} in time"));
        }
        self.open.retain(|_, o| !o.answered || o.sent.iter().any(|s| !s.over));
    }
}

/// How many requests are rejected or failed.
pub fn rejections(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count()
}

/// Sends `n` requests that must not be repeated; returns which were sent at once.
pub fn burst(harness: &mut Harness, first: u64, n: u64) -> Vec<(u64, u64)> {
    (first..first + n).flat_map(|id| sends(&harness.handle(request(id, 1, 3000.0)))).collect()
}
