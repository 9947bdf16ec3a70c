//! Settings for tests, a harness that drives a [`Balancer`], and a checker of the four rules for its actions.
//!
//! The rules are: nothing is sent to an endpoint that is draining or removed; a request has one attempt in flight at
//! most and is repeated only where that is allowed; each request gets one final response, in time; an endpoint in slow
//! start is not overloaded.
#![allow(dead_code)] // each test file uses only some of the items
use leadrelay_core::*;
use std::collections::{BTreeMap, HashMap};

/// Returns a request class of weight 1 whose deadline is 2.5 times its latency objective.
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

/// Idempotency of requests that carry a key and are deduplicated within a cell.
pub const DEDUPLICATED_PER_CELL: Idempotency =
    Idempotency::WithKey { scope: DeduplicationScope::Cell, window: 2000.0 };

/// Settings with three classes (always idempotent, not idempotent, deduplicated per cell), pushed endpoint lists, and
/// weights that state the capacity of endpoints.
pub fn settings(proxies: u32) -> Settings {
    Settings {
        proxy_index: 0,
        proxies,
        zone: Some(ZoneId(0)),
        classes: vec![
            class(Idempotency::Always, 800.0),
            class(Idempotency::Never, 1200.0),
            class(DEDUPLICATED_PER_CELL, 800.0),
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

/// Returns an endpoint of weight 2 that started long ago; three successive ids share a cell.
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

/// Returns an update with the complete endpoint list.
pub fn full_list(entries: Vec<Endpoint>) -> Event {
    Event::List { scope: ListScope::Full, entries }
}

/// Returns the arrival of a request without tenant and affinity key.
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

/// Returns the end of an attempt; the request is finished if the attempt was served.
pub fn ended(id: u64, attempt: u32, latency: Millis, outcome: Outcome) -> Event {
    let finished = outcome == Outcome::Served;
    Event::Ended { request: RequestId(id), attempt, latency, outcome, finished }
}

/// A [`Balancer`] with a simulated clock, which fires its timers.
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
        harness.handle(full_list(endpoints));
        harness
    }

    /// Passes an event to the balancer at the current time; returns the resulting actions except timers.
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

    /// Advances the clock by `span` and fires the timers that expire; returns the resulting actions.
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

    /// Serves non-idempotent requests, one every `every` ms for `span` ms. `latency` is called with the endpoint of an
    /// attempt and the number of attempts that are already in flight there. Returns the request and endpoint of each
    /// send, and the endpoints of the attempts still in flight at the end.
    pub fn serve_open_loop(
        &mut self, span: u64, every: u64, latency: impl Fn(u64, usize) -> Millis,
    ) -> (Vec<(u64, u64)>, Vec<u64>) {
        let mut all_sends = vec![];
        let mut in_flight: Vec<(u64, u64, Millis, Millis)> = vec![]; // request, endpoint, end, latency
        for step in 0..span {
            let mut actions = self.advance(1.0);
            if step % every == 0 {
                actions.extend(self.handle(request(1000 + step, 1, 3000.0)));
            }
            let now = self.now;
            let (finished, remaining) = in_flight.into_iter().partition::<Vec<_>, _>(|o| o.2 <= now);
            in_flight = remaining;
            for (id, _, _, latency) in finished {
                actions.extend(self.handle(ended(id, 0, latency, Outcome::Served)));
            }
            for (id, to) in sends(&actions) {
                let latency = latency(to, in_flight.iter().filter(|o| o.1 == to).count());
                in_flight.push((id, to, now + latency, latency));
                all_sends.push((id, to));
            }
        }
        (all_sends, in_flight.iter().map(|o| o.1).collect())
    }

    /// Serves requests one after the other, each in `latency(endpoint)`, so that the balancer learns how fast
    /// endpoints are.
    pub fn serve_sequentially(&mut self, first_id: u64, count: u64, latency: impl Fn(u64) -> Millis) {
        for id in first_id..first_id + count {
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

/// Returns the request and endpoint of each send.
pub fn sends(actions: &[Action]) -> Vec<(u64, u64)> {
    let pick = |a: &Action| match a {
        Action::Send { request, endpoint, .. } => Some((request.0, endpoint.0)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

struct SentAttempt {
    endpoint: u64,
    sent_at: Millis,
    ended: bool,
    may_have_run: bool,
}

struct OpenRequest {
    class: usize,
    deadline: Millis,
    attempts: Vec<SentAttempt>,
    finished: bool,
}

/// Follows every event and action of one proxy and records each breach of the four rules.
pub struct Checker {
    settings: Settings,
    endpoints: HashMap<u64, (Endpoint, Option<Millis>)>,
    open: BTreeMap<u64, OpenRequest>,
    slow_start_sends: HashMap<u64, Vec<Millis>>,
    /// Processing time of a request on a standard core, in ms.
    pub work_per_request: Millis,
    pub breaches: Vec<String>,
}

impl Checker {
    pub fn new(settings: Settings, work_per_request: Millis) -> Self {
        let (endpoints, open, slow_start_sends, breaches) = Default::default();
        Checker { settings, endpoints, open, slow_start_sends, work_per_request, breaches }
    }

    /// Forgets all open requests and endpoints, as the proxy was killed.
    pub fn restart(&mut self) {
        self.open.clear();
        self.endpoints.clear();
    }

    fn breach(&mut self, now: Millis, description: String) {
        self.breaches.push(format!("at {now:.1}: {description}"));
    }

    /// Follows an event before the balancer handles it.
    pub fn record_event(&mut self, now: Millis, event: &Event) {
        match event {
            Event::List { scope: ListScope::Failed, .. } => {}
            Event::List { scope, entries } => {
                for e in entries {
                    let old = self.endpoints.get(&e.id.0).and_then(|s| s.1);
                    let draining_since = if e.state == EndpointState::Up { None } else { old.or(Some(now)) };
                    if self.endpoints.get(&e.id.0).is_some_and(|s| s.0.started_at != e.started_at) {
                        self.slow_start_sends.remove(&e.id.0); // a new process starts with a full budget
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
                let open = OpenRequest {
                    class: class.0,
                    deadline: now + timeout,
                    attempts: vec![],
                    finished: false,
                };
                self.open.insert(id.0, open);
            }
            Event::Ended { request, attempt, outcome, finished, .. } => {
                if let Some(o) = self.open.get_mut(&request.0) {
                    o.finished |= finished;
                    if let Some(s) = o.attempts.get_mut(*attempt as usize) {
                        (s.ended, s.may_have_run) = (true, outcome.may_have_run());
                    }
                }
            }
            Event::ClientClosed(id) => {
                if let Some(o) = self.open.get_mut(&id.0) {
                    o.finished = true;
                }
            }
            _ => {}
        }
    }

    /// Checks an action of the balancer against the rules.
    pub fn check_action(&mut self, now: Millis, action: &Action) {
        match action {
            Action::Send { request, endpoint, .. } => self.check_send(now, request.0, endpoint.0),
            Action::Reject { request, .. } => {
                let Some(o) = self.open.get(&request.0) else {
                    return self.breach(now, format!("rejected {request:?}, which is not open"));
                };
                let may_have_run = o.attempts.iter().any(|s| !s.ended || s.may_have_run);
                let allowed = match self.settings.classes[o.class].idempotency {
                    Idempotency::Always | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
                    _ => !may_have_run,
                };
                if !allowed {
                    self.breach(now, format!("rejected {request:?}, which may have run"));
                }
                self.record_response(now, request.0);
            }
            Action::Fail(request) => self.record_response(now, request.0),
            _ => {}
        }
    }

    /// Records the final response to a request.
    fn record_response(&mut self, now: Millis, id: u64) {
        match self.open.get_mut(&id) {
            Some(o) if !o.finished => o.finished = true,
            _ => self.breach(now, format!("a second final response to request {id}")),
        }
    }

    /// Checks a send against the rules and records the attempt.
    fn check_send(&mut self, now: Millis, id: u64, to: u64) {
        let limits = self.settings.limits;
        let Some((endpoint, draining_since)) = self.endpoints.get(&to).cloned() else {
            return self.breach(now, format!("sent to {to}, which has not been on any list"));
        };
        if draining_since.is_some_and(|t| now > t) {
            self.breach(now, format!("sent to {to}, which is draining or removed"));
        }
        let Some(o) = self.open.get(&id) else {
            return self.breach(now, format!("sent {id}, which is not open"));
        };
        let idempotency = self.settings.classes[o.class].idempotency;
        let in_flight = o.attempts.iter().any(|s| !s.ended);
        let first_run = o.attempts.iter().find(|s| !s.ended || s.may_have_run);
        let mut faults = vec![];
        if o.finished {
            faults.push("after its final response");
        }
        if in_flight {
            faults.push("while another attempt is in flight");
        }
        if o.attempts.len() as u32 >= limits.max_attempts {
            faults.push("beyond the maximum number of attempts");
        }
        match (idempotency, first_run) {
            (Idempotency::Never, Some(_)) => faults.push("again although it must never run twice"),
            (Idempotency::WithKey { scope, window }, Some(first)) => {
                let other = &self.endpoints[&first.endpoint].0;
                let is_same_scope = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => other.zone == endpoint.zone,
                    DeduplicationScope::Cell => other.cell == endpoint.cell,
                };
                if !is_same_scope {
                    faults.push("outside its deduplication scope");
                }
                if now > first.sent_at + window {
                    faults.push("after its deduplication window");
                }
            }
            _ => {}
        }
        let texts: Vec<String> = faults.iter().map(|w| format!("sent {id} {w}")).collect();
        texts.into_iter().for_each(|t| self.breach(now, t));
        self.open.get_mut(&id).unwrap().attempts.push(SentAttempt {
            endpoint: to,
            sent_at: now,
            ended: false,
            may_have_run: true,
        });
        if let Some(started_at) = endpoint.started_at.filter(|s| now - s < limits.slow_start_window) {
            let sent = self.slow_start_sends.entry(to).or_default();
            sent.push(now);
            sent.retain(|t| *t > now - limits.overload_window);
            // The work is multiplied as if every proxy sent as much as this one. It may fill the capacity that the
            // endpoint has for certain over the window; one request of each proxy is not counted, as sends coincide by
            // chance.
            let age = ((now - started_at) / limits.slow_start_window).clamp(0.0, 1.0);
            let capacity_fraction = limits.initial_capacity + (1.0 - limits.initial_capacity) * age;
            let budget =
                limits.overload_multiple * capacity_fraction * endpoint.weight * limits.overload_window;
            let proxies = f64::from(self.settings.proxies);
            let fleet_work = (sent.len() as f64 - 1.0) * proxies * self.work_per_request;
            if fleet_work > budget {
                self.breach(
                    now,
                    format!("overload of {to} in slow start: {fleet_work:.0} ms of work over {budget:.0}"),
                );
            }
        }
    }

    /// Records a breach for each open request whose deadline has passed without a final response.
    pub fn check_deadlines(&mut self, now: Millis) {
        let slack = 20.0;
        let late: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, o)| !o.finished && now > o.deadline + slack)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.open.get_mut(&id).unwrap().finished = true;
            self.breach(now, format!("no final response to request {id} in time"));
        }
        self.open.retain(|_, o| !o.finished || o.attempts.iter().any(|s| !s.ended));
    }
}

/// Returns the number of requests that are rejected or failed.
pub fn rejections(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count()
}

/// Passes in `count` non-idempotent requests; returns the request and endpoint of those that are sent at once.
pub fn burst(harness: &mut Harness, first_id: u64, count: u64) -> Vec<(u64, u64)> {
    (first_id..first_id + count).flat_map(|id| sends(&harness.handle(request(id, 1, 3000.0)))).collect()
}
