//! Simulates a reconnection storm: all watches of a fleet break at once, and discovery answers a limited number of
//! calls a second.
//!
//! Assumptions, after the operators' documents: calls wait in the first-in, first-out queue of [`crate::discovery`]. A
//! call that would wait longer than the service's limit is refused, at once or when that wait is over. A call that its
//! proxy has given up is still served, which wastes capacity, because it can't leave the queue. All proxies run the
//! core. The network and the transfer of lists take no time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use leadrelay_core::{
    Action, Balancer, DiscoveryMode, Event as ProxyEvent, Limits, ListScope, Millis, Prices, Settings,
    WeightMeaning,
};
use serde::Serialize;

use crate::discovery::CallQueue;
use crate::index::{IndexedVec, ProxyIndex};
use crate::random::RandomStream;
use crate::time::{MS_PER_S, OrderedTime};

/// Time after which a change that discovery has counts as notified.
const NOTIFIED_AFTER: Millis = 6000.0;

/// Parameters of a reconnection storm.
#[derive(Clone, Copy, Debug)]
pub struct ReconnectStorm {
    /// Proxies whose watches break at time 0.
    pub proxies: u32,
    /// Calls a second that discovery answers, for each proxy of the fleet.
    pub calls_per_s: f64,
    /// Longest wait of a call; discovery refuses a call that would wait longer.
    pub max_wait: Millis,
    /// Whether discovery refuses a call only when `max_wait` is over, not at once.
    pub late_refusals: bool,
    /// Time after which a proxy gives a call up.
    pub call_timeout: Millis,
    /// Simulated time.
    pub duration: Millis,
}

/// Result of a storm.
#[derive(Clone, Debug, Serialize)]
pub struct StormResult {
    /// Seed of the run.
    pub seed: u64,
    /// Time at which half of the proxies had their list again; `None` if that was not reached.
    pub half_ms: Option<Millis>,
    /// Time at which the last proxy had its list again; `None` if that was not reached.
    pub last_ms: Option<Millis>,
    /// Number of proxies without a list after 6 s, when a change counts as notified.
    #[serde(rename = "ignorant")]
    pub without_list: usize,
    /// Number of all calls.
    pub calls: usize,
    /// Number of calls that discovery refused.
    pub refused: usize,
    /// Number of calls that their proxy gave up and discovery still served.
    pub given_up: usize,
    /// Most calls of all proxies within one second.
    #[serde(rename = "most_calls_per_s")]
    pub max_calls_per_s: usize,
}

/// An event at a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A timer of the proxy has expired.
    Timer(u64),
    /// The proxy receives its list.
    ListReceived,
    /// The watch or a call of the proxy fails.
    CallFailed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: OrderedTime,
    /// Number of the event; events at the same time happen in the order in which they were scheduled.
    sequence: usize,
    proxy: ProxyIndex,
    event: Event,
}

/// The state of a storm.
struct StormSimulation<'a> {
    storm: &'a ReconnectStorm,
    proxies: IndexedVec<ProxyIndex, Balancer>,
    scheduled: BinaryHeap<Reverse<ScheduledEvent>>,
    next_sequence: usize,
    queue: CallQueue,
    /// Time at which each proxy first had its list again.
    listed_at: IndexedVec<ProxyIndex, Option<Millis>>,
    call_times: Vec<Millis>,
    refused: usize,
    given_up: usize,
}

/// Simulates a storm.
pub fn simulate_storm(storm: &ReconnectStorm, seed: u64) -> StormResult {
    let mut simulation = StormSimulation::new(storm, seed);
    simulation.break_watches();
    simulation.run();
    simulation.result(seed)
}

impl<'a> StormSimulation<'a> {
    fn new(storm: &'a ReconnectStorm, seed: u64) -> Self {
        let mut seeds = RandomStream::new(seed, "reconnect");
        let proxy = |index| Balancer::new(settings(index, storm.proxies), seeds.seed());
        let calls_per_s = storm.calls_per_s * f64::from(storm.proxies);
        StormSimulation {
            storm,
            proxies: (0..storm.proxies).map(proxy).collect(),
            scheduled: BinaryHeap::new(),
            next_sequence: 0,
            queue: CallQueue::new(calls_per_s, storm.max_wait),
            listed_at: vec![None; storm.proxies as usize].into(),
            call_times: Vec::new(),
            refused: 0,
            given_up: 0,
        }
    }

    fn schedule(&mut self, at: Millis, proxy: ProxyIndex, event: Event) {
        let at = OrderedTime(at);
        let sequence = self.next_sequence;
        self.scheduled.push(Reverse(ScheduledEvent { at, sequence, proxy, event }));
        self.next_sequence += 1;
    }

    /// Gives each proxy a watch and schedules its failure at time 0.
    fn break_watches(&mut self) {
        let mut actions = Vec::new();
        for proxy in self.proxies.indices() {
            let balancer = &mut self.proxies[proxy];
            balancer.handle(0.0, list_event(ListScope::Cached), &mut actions);
            balancer.handle(0.0, ProxyEvent::Timer(0), &mut Vec::new());
            self.schedule(0.0, proxy, Event::CallFailed);
            for action in actions.drain(..) {
                if let Action::Timer { token, at } = action {
                    self.schedule(at, proxy, Event::Timer(token));
                }
            }
        }
    }

    fn run(&mut self) {
        let mut actions = Vec::new();
        while let Some(Reverse(next)) = self.scheduled.pop() {
            let OrderedTime(now) = next.at;
            if now > self.storm.duration {
                break;
            }
            let event = self.proxy_event(now, next.proxy, next.event);
            self.proxies[next.proxy].handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(now, next.proxy, &action);
            }
        }
    }

    fn proxy_event(&mut self, now: Millis, proxy: ProxyIndex, event: Event) -> ProxyEvent {
        match event {
            Event::Timer(token) => ProxyEvent::Timer(token),
            Event::CallFailed => list_event(ListScope::Failed),
            Event::ListReceived => {
                let listed_at = &mut self.listed_at[proxy];
                *listed_at = listed_at.or(Some(now));
                list_event(ListScope::Full)
            }
        }
    }

    fn perform(&mut self, now: Millis, proxy: ProxyIndex, action: &Action) {
        match *action {
            Action::Timer { token, at } => self.schedule(at, proxy, Event::Timer(token)),
            Action::Subscribe { .. } => self.call(now, proxy),
            _ => {}
        }
    }

    /// Handles a proxy's call to discovery.
    fn call(&mut self, now: Millis, proxy: ProxyIndex) {
        self.call_times.push(now);
        let call_timeout = self.storm.call_timeout;
        match self.queue.join(now) {
            None => {
                self.refused += 1;
                let wait = if self.storm.late_refusals { self.storm.max_wait } else { 0.0 };
                self.schedule(now + wait.min(call_timeout), proxy, Event::CallFailed);
            }
            Some(served_at) if served_at - now > call_timeout => {
                self.given_up += 1;
                self.schedule(now + call_timeout, proxy, Event::CallFailed);
            }
            Some(served_at) => self.schedule(served_at, proxy, Event::ListReceived),
        }
    }

    fn result(&self, seed: u64) -> StormResult {
        let mut times: Vec<Millis> = self.listed_at.iter().flatten().copied().collect();
        times.sort_by(f64::total_cmp);
        let nth = |number: usize| number.checked_sub(1).and_then(|position| times.get(position)).copied();
        let is_late = |at: &&Option<Millis>| at.is_none_or(|at| at > NOTIFIED_AFTER);
        StormResult {
            seed,
            half_ms: nth(self.proxies.len().div_ceil(2)),
            last_ms: nth(self.proxies.len()),
            without_list: self.listed_at.iter().filter(is_late).count(),
            calls: self.call_times.len(),
            refused: self.refused,
            given_up: self.given_up,
            max_calls_per_s: self.max_calls_per_s(),
        }
    }

    fn max_calls_per_s(&self) -> usize {
        let within_a_second = |(call_index, start): (usize, &Millis)| {
            self.call_times[call_index..].iter().take_while(|at| **at < start + MS_PER_S).count()
        };
        self.call_times.iter().enumerate().map(within_a_second).max().unwrap_or(0)
    }
}

fn list_event(scope: ListScope) -> ProxyEvent {
    ProxyEvent::List { scope, entries: Vec::new() }
}

/// Settings of a proxy that keeps a watch and serves no requests.
fn settings(proxy_index: u32, proxies: u32) -> Settings {
    Settings {
        proxy_index,
        proxies,
        zone: None,
        classes: Vec::new(),
        tenants: Vec::new(),
        over_quota_fraction: 1.0,
        weight_per_work: false,
        discovery: DiscoveryMode::OnRequest,
        notification_bounds: None,
        weight_meaning: WeightMeaning::Unknown,
        key_affinity: false,
        clients_mark_retries: false,
        gossip_enabled: false,
        prices: Prices::default(),
        limits: Limits {
            drain_grace: 2000.0,
            notified_without_watch: 10_000.0,
            initial_capacity: 1.0,
            slow_start_window: 1.0,
            overload_multiple: 1.0,
            overload_window: 1000.0,
            max_open_requests: usize::MAX,
            max_attempts: 1,
        },
    }
}
