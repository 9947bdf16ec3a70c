//! A reconnection storm: all watches of a fleet break at once, and discovery answers only so many calls a second.
//!
//! Assumptions, after the operators' pages: the queue of [`crate::discovery`], served in turn; a call that would wait longer
//! than the service's own limit is refused, at once or when its wait is over; a call that its proxy has given up is
//! served all the same, for nothing, as its place in the queue can't be taken back. Proxies are the core's own
//! decisions; ways and the size of lists take no time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use leadrelay_core::{
    Action, Balancer, DiscoveryMode, Event, Limits, ListScope, Prices, Settings, WeightMeaning,
};
use serde::Serialize;

use crate::backend::At;
use crate::discovery::Queue;
use crate::random::RandomStream;

/// The service and how proxies wait for it. Spans are in ms.
#[derive(Clone, Copy, Debug)]
pub struct ReconnectStorm {
    /// Proxies whose watches break at time 0.
    pub proxies: u32,
    /// Calls a second that the service answers, for each proxy of the fleet.
    pub calls_per_s: f64,
    /// A call that would wait longer is refused.
    pub limit_ms: f64,
    /// Refusals come when that wait is over, not at once.
    pub late_refusals: bool,
    /// A proxy gives a call up after this span.
    pub patience_ms: f64,
    /// The storm is looked at for so long.
    pub length_ms: f64,
}

/// What became of a storm.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Seed of the day.
    pub seed: u64,
    /// When half of the proxies, and the last one, had their list again, in ms; `None` if they never had.
    pub half_ms: Option<f64>,
    /// The last one.
    pub last_ms: Option<f64>,
    /// Proxies without a list after 6 s, when a change counts as told.
    pub ignorant: usize,
    /// Calls in all, those refused, and those given up that were served for nothing.
    pub calls: usize,
    /// Refused by the service.
    pub refused: usize,
    /// Given up by their proxy.
    pub given_up: usize,
    /// Calls of all proxies in their busiest second.
    pub most_calls_per_s: usize,
}

/// A change counts as told so long after discovery had it, in ms.
const TOLD: f64 = 6000.0;

enum Happens {
    Timer(u64),
    Listed,
    Failed,
}

/// Plays a storm.
pub fn play(storm: &ReconnectStorm, seed: u64) -> Outcome {
    let mut seeds = RandomStream::new(seed, "reconnect");
    let mut proxies: Vec<Balancer> =
        (0..storm.proxies).map(|me| Balancer::new(settings(me, storm.proxies), seeds.seed())).collect();
    let mut heap: BinaryHeap<Reverse<(At, u64, usize)>> = BinaryHeap::new();
    let mut events: Vec<(usize, Happens)> = Vec::new();
    let mut listed: Vec<Option<f64>> = vec![None; proxies.len()];
    let mut calls: Vec<f64> = Vec::new();
    let (mut refused, mut given_up) = (0, 0);
    let mut queue = Queue::new(storm.calls_per_s * f64::from(storm.proxies), storm.limit_ms);
    let put = |heap: &mut BinaryHeap<_>, events: &mut Vec<_>, at: f64, p: usize, what: Happens| {
        heap.push(Reverse((At(at), events.len() as u64, events.len())));
        events.push((p, what));
    };
    let mut actions = Vec::new();
    for (p, proxy) in proxies.iter_mut().enumerate() {
        // Each believes in a watch until it breaks.
        proxy.handle(0.0, Event::List { scope: ListScope::Cached, entries: Vec::new() }, &mut actions);
        proxy.handle(0.0, Event::Timer(0), &mut Vec::new());
        put(&mut heap, &mut events, 0.0, p, Happens::Failed);
        for action in actions.drain(..) {
            if let Action::Timer { token, at } = action {
                put(&mut heap, &mut events, at, p, Happens::Timer(token));
            }
        }
    }
    while let Some(Reverse((At(now), _, number))) = heap.pop() {
        if now > storm.length_ms {
            break;
        }
        let (p, what) = (events[number].0, std::mem::replace(&mut events[number].1, Happens::Listed));
        let event = match what {
            Happens::Timer(token) => Event::Timer(token),
            Happens::Failed => Event::List { scope: ListScope::Failed, entries: Vec::new() },
            Happens::Listed => {
                listed[p] = listed[p].or(Some(now));
                Event::List { scope: ListScope::Full, entries: Vec::new() }
            }
        };
        proxies[p].handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Timer { token, at } => put(&mut heap, &mut events, at, p, Happens::Timer(token)),
                Action::Subscribe { .. } => {
                    calls.push(now);
                    let Some(served_at) = queue.join(now) else {
                        refused += 1;
                        let wait = if storm.late_refusals { storm.limit_ms } else { 0.0 };
                        let at = now + wait.min(storm.patience_ms);
                        put(&mut heap, &mut events, at, p, Happens::Failed);
                        continue;
                    };
                    if served_at - now > storm.patience_ms {
                        given_up += 1;
                        put(&mut heap, &mut events, now + storm.patience_ms, p, Happens::Failed);
                    } else {
                        put(&mut heap, &mut events, served_at, p, Happens::Listed);
                    }
                }
                _ => {}
            }
        }
    }
    let mut times: Vec<f64> = listed.iter().flatten().copied().collect();
    times.sort_by(f64::total_cmp);
    let nth = |n: usize| n.checked_sub(1).and_then(|n| times.get(n)).copied();
    let mut busiest = 0;
    for (i, at) in calls.iter().enumerate() {
        busiest = busiest.max(calls[i..].iter().take_while(|c| **c < at + 1000.0).count());
    }
    Outcome {
        seed,
        half_ms: nth(proxies.len().div_ceil(2)),
        last_ms: nth(proxies.len()),
        ignorant: listed.iter().filter(|at| at.is_none_or(|at| at > TOLD)).count(),
        calls: calls.len(),
        refused,
        given_up,
        most_calls_per_s: busiest,
    }
}

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
