//! A backend: cores that requests in process share evenly, a bounded queue, slow start, cached affinity keys and
//! connections.
//!
//! Assumptions, after the operators' brief and bench page: requests in process share the cores evenly (processor
//! sharing); beyond a number in process each further one costs efficiency; during slow start capacity rises linearly
//! and is taken as constant between two events; a cancellation stops nothing; a request for a cached key needs less
//! work.

mod key_cache;
mod overload;
#[cfg(test)]
mod tests;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use leadrelay_core::{AffinityKey, Millis};

use self::key_cache::KeyCache;
pub use self::overload::OverloadLimit;
use self::overload::RecentWork;
use crate::index::AttemptIndex;
use crate::time::OrderedTime;
use crate::workload::Machine;

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is processed or waits.
    Accepted,
    /// It is rejected for want of capacity.
    Rejected,
    /// Nothing responds.
    Unresponsive,
    /// The backend is down.
    Down,
}

/// A request that waits for a slot.
struct Waiting {
    attempt: AttemptIndex,
    work: Millis,
}

/// A backend in a run.
pub struct Backend {
    /// What it runs on.
    pub machine: Machine,
    /// When it last started; infinitely long ago if it runs from the beginning.
    pub started_at: Millis,
    /// Its process runs.
    pub up: bool,
    /// It finishes what it has.
    pub draining: bool,
    /// It accepts and answers nothing.
    pub unresponsive: bool,
    /// The fraction of its requests that a fault makes fail at once.
    pub failure_rate: f64,
    /// The factor by which a fault slows it down.
    pub slowdown: f64,
    /// Open connections.
    pub connections: usize,
    /// Counts changes, so that an outdated completion is distinguished from a current one.
    pub generation: u64,
    /// Time in process, cores counted.
    pub busy: Millis,
    recent_work: RecentWork,
    /// Requests in process by the virtual time at which they are complete.
    in_process: BinaryHeap<Reverse<(OrderedTime, AttemptIndex)>>,
    waiting: VecDeque<Waiting>,
    /// Virtual time: work that each request in process has got since the start.
    virtual_time: f64,
    /// When the virtual time was last updated.
    updated_at: Millis,
    key_cache: KeyCache,
}

impl Backend {
    /// One that has run for long.
    pub fn new(machine: Machine) -> Self {
        let key_cache = KeyCache::new(machine.key_cache);
        Backend {
            machine,
            started_at: f64::NEG_INFINITY,
            up: true,
            draining: false,
            unresponsive: false,
            failure_rate: 0.0,
            slowdown: 1.0,
            connections: 0,
            generation: 0,
            busy: 0.0,
            recent_work: RecentWork::default(),
            in_process: BinaryHeap::new(),
            waiting: VecDeque::new(),
            virtual_time: 0.0,
            updated_at: 0.0,
            key_cache,
        }
    }

    /// The fraction of its capacity that it has.
    pub fn slow_start_factor(&self, now: Millis) -> f64 {
        let initial = self.machine.slow_start.initial_capacity;
        let progress = (now - self.started_at) / self.machine.slow_start.duration;
        (initial + (1.0 - initial) * progress).clamp(initial, 1.0)
    }

    /// Whether it is in slow start.
    pub fn is_warming_up(&self, now: Millis) -> bool {
        now - self.started_at < self.machine.slow_start.duration
    }

    /// Work that it does in a millisecond with all cores in use.
    pub fn capacity(&self, now: Millis) -> f64 {
        self.machine.cores * self.machine.speed * self.slow_start_factor(now) / self.slowdown
    }

    /// Requests in process and waiting.
    pub fn in_flight(&self) -> usize {
        self.in_process.len() + self.waiting.len()
    }

    /// Whether a request that arrived now would find a core available and be served.
    pub fn is_idle(&self, now: Millis) -> bool {
        self.up
            && !self.draining
            && !self.unresponsive
            && self.failure_rate == 0.0
            && !self.is_warming_up(now)
            && (self.in_process.len() as f64) < self.machine.cores
    }

    /// Whether it can serve requests, failures by a fault included.
    pub fn can_serve(&self) -> bool {
        /// Backends that fail more than this are of no use.
        const MAX_FAILURE_RATE: f64 = 0.05;
        self.up && !self.draining && !self.unresponsive && self.failure_rate < MAX_FAILURE_RATE
    }

    /// Work that each request in process gets in a millisecond.
    fn rate_per_request(&self, now: Millis) -> f64 {
        let concurrency = self.in_process.len() as f64;
        if concurrency == 0.0 {
            return 0.0;
        }
        let contention = self.machine.contention;
        let excess = (concurrency - contention.threshold).max(0.0);
        let efficiency = 1.0 / (1.0 + contention.loss_per_request * excess);
        let cores_in_use = concurrency.min(self.machine.cores);
        self.capacity(now) * (cores_in_use / self.machine.cores) / concurrency * efficiency
    }

    /// Brings virtual time and time in process up to date.
    fn advance(&mut self, now: Millis) {
        let elapsed = now - self.updated_at;
        self.virtual_time += elapsed * self.rate_per_request(self.updated_at);
        self.busy += elapsed * (self.in_process.len() as f64).min(self.machine.cores);
        self.updated_at = now;
    }

    /// A request arrives that needs this much work for this key.
    pub fn arrive(
        &mut self, now: Millis, attempt: AttemptIndex, work: Millis, key: AffinityKey,
    ) -> Admission {
        if !self.up {
            return Admission::Down;
        }
        if self.unresponsive {
            return Admission::Unresponsive;
        }
        if self.draining || self.in_flight() >= self.machine.slots + self.machine.queue {
            return Admission::Rejected;
        }
        self.advance(now);
        let work = self.key_cache.work_for(now, key, work);
        if self.in_process.len() < self.machine.slots {
            self.start_processing(attempt, work);
        } else {
            self.waiting.push_back(Waiting { attempt, work });
        }
        self.generation += 1;
        Admission::Accepted
    }

    fn start_processing(&mut self, attempt: AttemptIndex, work: Millis) {
        self.in_process.push(Reverse((OrderedTime(self.virtual_time + work), attempt)));
    }

    /// Work that belongs to no request, such as a handshake. It slows down what is in process.
    pub fn add_work(&mut self, now: Millis, work: Millis) {
        self.advance(now);
        let concurrency = self.in_process.len() as f64;
        if concurrency > 0.0 {
            self.virtual_time -= work / concurrency;
            self.generation += 1;
        }
    }

    /// When the next request in process is complete, if nothing changes.
    pub fn next_completion(&self, now: Millis) -> Option<Millis> {
        /// Keeps the division defined where nothing is processed.
        const MIN_RATE: f64 = 1e-9;
        let Reverse((OrderedTime(complete_at), _)) = self.in_process.peek()?;
        let since_update = (now - self.updated_at) * self.rate_per_request(self.updated_at);
        let remaining = (complete_at - self.virtual_time) - since_update;
        Some(now + remaining.max(0.0) / self.rate_per_request(now).max(MIN_RATE))
    }

    /// Takes out the request that is complete now.
    pub fn complete_next(&mut self, now: Millis) -> Option<AttemptIndex> {
        self.advance(now);
        let Reverse((_, attempt)) = self.in_process.pop()?;
        if let Some(next) = self.waiting.pop_front() {
            self.start_processing(next.attempt, next.work);
        }
        self.generation += 1;
        Some(attempt)
    }

    /// Its process ends: returns the attempts that are lost with it.
    pub fn crash(&mut self, now: Millis) -> Vec<AttemptIndex> {
        self.advance(now);
        let mut lost: Vec<AttemptIndex> =
            self.in_process.drain().map(|Reverse((_, attempt))| attempt).collect();
        lost.sort_unstable(); // the order within a heap is unspecified
        lost.extend(self.waiting.drain(..).map(|waiting| waiting.attempt));
        self.key_cache.clear();
        self.recent_work.clear();
        self.up = false;
        self.connections = 0;
        self.generation += 1;
        lost
    }

    /// A new process starts and warms up.
    pub fn start(&mut self, now: Millis) {
        self.advance(now);
        self.up = true;
        self.draining = false;
        self.unresponsive = false;
        self.started_at = now;
        self.generation += 1;
    }

    /// Records work sent to it; returns whether that overloads it in slow start.
    pub fn record_slow_start_work(&mut self, now: Millis, work: Millis, limit: OverloadLimit) -> bool {
        if !self.is_warming_up(now) {
            return false;
        }
        self.recent_work.record(now, work, limit.window);
        self.recent_work.total() > limit.multiple * self.capacity(now) * limit.window
    }

    /// What overloaded it in slow start, for a report.
    pub fn describe_overload(&self) -> String {
        let started_at = self.started_at;
        format!("{}, started at {started_at:.0}", self.recent_work)
    }
}
