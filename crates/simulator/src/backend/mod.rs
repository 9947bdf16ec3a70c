//! The model of a backend: cores that the requests in process share evenly, a bounded queue, slow start, cached
//! affinity keys and connections.
//!
//! Assumptions, from the operators' requirements and benchmark description:
//! - Requests in process share the cores evenly (processor sharing).
//! - Above a threshold of requests in process, each additional request reduces efficiency.
//! - During slow start capacity rises linearly; it is treated as constant between two events.
//! - A cancelled request is processed to its end.
//! - A request for a cached key needs less work.

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

/// The result of a request's arrival at a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request is processed at once or waits in the queue.
    Accepted,
    /// The request is rejected because the backend is draining or its slots and queue are full.
    Rejected,
    /// The backend is unresponsive: the request never gets a response.
    Unresponsive,
    /// The process of the backend is not running.
    Down,
}

/// A queued request that waits for a slot.
struct Waiting {
    attempt: AttemptIndex,
    work: Millis,
}

/// The simulated state of a backend.
pub struct Backend {
    /// The machine that the backend runs on.
    pub machine: Machine,
    /// Time of the last start of the process; negative infinity if it has run since the beginning of the run.
    pub started_at: Millis,
    /// Whether the process is running.
    pub up: bool,
    /// Whether the backend is draining: it completes accepted requests and rejects new ones.
    pub draining: bool,
    /// Whether the backend is unresponsive: new requests get no response.
    pub unresponsive: bool,
    /// The fraction of arriving requests that fail immediately because of a fault.
    pub failure_rate: f64,
    /// The factor by which a fault slows the backend down; 1 without a fault.
    pub slowdown: f64,
    /// Number of open connections.
    pub connections: usize,
    /// Incremented with each change that affects completion times, so that outdated completion events can be ignored.
    pub generation: u64,
    /// Total time during which cores were in use, summed over the cores.
    pub busy_core_time: Millis,
    recent_work: RecentWork,
    /// Requests in process, ordered by the virtual time at which they complete.
    in_process: BinaryHeap<Reverse<(OrderedTime, AttemptIndex)>>,
    waiting: VecDeque<Waiting>,
    /// Virtual time: the work that a request in process since the start of the run would have received.
    virtual_time: f64,
    /// Time at which the virtual time was last updated.
    updated_at: Millis,
    key_cache: KeyCache,
}

impl Backend {
    /// Creates a running backend whose slow start is over.
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
            busy_core_time: 0.0,
            recent_work: RecentWork::default(),
            in_process: BinaryHeap::new(),
            waiting: VecDeque::new(),
            virtual_time: 0.0,
            updated_at: 0.0,
            key_cache,
        }
    }

    /// Returns the fraction of the full capacity that is available, which is below 1 during slow start.
    pub fn slow_start_factor(&self, now: Millis) -> f64 {
        let initial = self.machine.slow_start.initial_capacity;
        let progress = (now - self.started_at) / self.machine.slow_start.duration;
        (initial + (1.0 - initial) * progress).clamp(initial, 1.0)
    }

    /// Whether the backend is in slow start.
    pub fn is_warming_up(&self, now: Millis) -> bool {
        now - self.started_at < self.machine.slow_start.duration
    }

    /// Returns the work that the backend does per millisecond with all cores in use.
    pub fn capacity(&self, now: Millis) -> f64 {
        self.machine.cores * self.machine.speed * self.slow_start_factor(now) / self.slowdown
    }

    /// Returns the number of requests in process and in the queue.
    pub fn in_flight(&self) -> usize {
        self.in_process.len() + self.waiting.len()
    }

    /// Whether the backend is healthy, past its slow start and has a free core for a request that arrives now.
    pub fn is_idle(&self, now: Millis) -> bool {
        self.up
            && !self.draining
            && !self.unresponsive
            && self.failure_rate == 0.0
            && !self.is_warming_up(now)
            && (self.in_process.len() as f64) < self.machine.cores
    }

    /// Whether the backend accepts requests and a fault makes at most a small fraction of them fail.
    pub fn can_serve(&self) -> bool {
        /// A backend whose failure rate reaches this fraction counts as unable to serve.
        const MAX_FAILURE_RATE: f64 = 0.05;
        self.up && !self.draining && !self.unresponsive && self.failure_rate < MAX_FAILURE_RATE
    }

    /// Returns the work that each request in process receives per millisecond.
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

    /// Advances the virtual time and the busy time to `now`.
    fn advance(&mut self, now: Millis) {
        let elapsed = now - self.updated_at;
        self.virtual_time += elapsed * self.rate_per_request(self.updated_at);
        self.busy_core_time += elapsed * (self.in_process.len() as f64).min(self.machine.cores);
        self.updated_at = now;
    }

    /// Handles the arrival of a request with the given affinity key, which needs `work` unless the key is cached.
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

    /// Adds work that belongs to no request, such as a handshake. It delays the requests in process.
    pub fn add_work(&mut self, now: Millis, work: Millis) {
        self.advance(now);
        let concurrency = self.in_process.len() as f64;
        if concurrency > 0.0 {
            self.virtual_time -= work / concurrency;
            self.generation += 1;
        }
    }

    /// Returns the time at which the next request in process completes if nothing changes.
    pub fn next_completion(&self, now: Millis) -> Option<Millis> {
        /// Lower bound of the processing rate, which avoids a division by zero.
        const MIN_RATE: f64 = 1e-9;
        let Reverse((OrderedTime(complete_at), _)) = self.in_process.peek()?;
        let since_update = (now - self.updated_at) * self.rate_per_request(self.updated_at);
        let remaining = (complete_at - self.virtual_time) - since_update;
        Some(now + remaining.max(0.0) / self.rate_per_request(now).max(MIN_RATE))
    }

    /// Removes the request that completes now and starts the first one in the queue.
    pub fn complete_next(&mut self, now: Millis) -> Option<AttemptIndex> {
        self.advance(now);
        let Reverse((_, attempt)) = self.in_process.pop()?;
        if let Some(next) = self.waiting.pop_front() {
            self.start_processing(next.attempt, next.work);
        }
        self.generation += 1;
        Some(attempt)
    }

    /// Stops the process; returns the attempts that are lost with it.
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

    /// Starts a new process, which begins with slow start.
    pub fn start(&mut self, now: Millis) {
        self.advance(now);
        self.up = true;
        self.draining = false;
        self.unresponsive = false;
        self.started_at = now;
        self.generation += 1;
    }

    /// Records work that arrives during slow start; returns whether it overloads the backend.
    pub fn record_slow_start_work(&mut self, now: Millis, work: Millis, limit: OverloadLimit) -> bool {
        if !self.is_warming_up(now) {
            return false;
        }
        self.recent_work.record(now, work, limit.window);
        self.recent_work.total() > limit.multiple * self.capacity(now) * limit.window
    }

    /// Describes the recent work and the start time of an overloaded backend, for a violation report.
    pub fn describe_overload(&self) -> String {
        let started_at = self.started_at;
        format!("{}, started at {started_at:.0}", self.recent_work)
    }
}
