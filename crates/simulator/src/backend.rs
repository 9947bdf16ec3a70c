//! A backend: cores that requests in work share evenly, a bounded queue, cold starts, warm keys, connections.
//!
//! Assumptions, after the operators' brief and bench page: requests in work share the cores evenly (processor sharing);
//! past a number in work each one more costs efficiency; a cold backend's capacity rises evenly with time and is taken
//! as constant between two events there; a cancel stops nothing; a request for a key met of late needs less work.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rustc_hash::FxHashMap;

use crate::workload::Machine;

/// Numbers an attempt.
pub type AttemptIndex = usize;

/// A point in time, ordered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct At(pub f64);

impl Eq for At {}

impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// It is worked on or waits.
    In,
    /// It is turned away unseen.
    Full,
    /// Nothing answers.
    Silent,
    /// The backend is down.
    Down,
}

/// A backend in a day.
pub struct Backend {
    /// What it is.
    pub machine: Machine,
    /// When it last started; far in the past if it is warm from the beginning.
    pub born: f64,
    /// It runs.
    pub up: bool,
    /// It finishes what it has.
    pub draining: bool,
    /// It takes and answers nothing.
    pub silent: bool,
    /// The part of its requests that fail at once.
    pub failing: f64,
    /// How much slower it is than it should be.
    pub slower: f64,
    /// Open connections.
    pub connections: usize,
    /// Work sent to it while it was cold, newest last.
    cold_work: VecDeque<(f64, f64)>,
    /// Requests in work by the virtual time at which they are done.
    work: BinaryHeap<Reverse<(At, AttemptIndex)>>,
    waiting: VecDeque<(AttemptIndex, f64)>,
    /// Work that each request in work has got since the start, and when that was so.
    virtual_work: f64,
    virtual_at: f64,
    warm: FxHashMap<u64, f64>,
    /// Counts changes, so that an outdated end is told from a true one.
    pub generation: u64,
    /// Time at work, cores counted, in ms.
    pub busy: f64,
}

impl Backend {
    /// One that has run for long.
    pub fn new(machine: Machine) -> Self {
        Backend {
            machine,
            born: f64::NEG_INFINITY,
            up: true,
            draining: false,
            silent: false,
            failing: 0.0,
            slower: 1.0,
            connections: 0,
            cold_work: VecDeque::new(),
            work: BinaryHeap::new(),
            waiting: VecDeque::new(),
            virtual_work: 0.0,
            virtual_at: 0.0,
            warm: FxHashMap::default(),
            generation: 0,
            busy: 0.0,
        }
    }

    /// The part of its capacity that it has.
    pub fn warmth(&self, now: f64) -> f64 {
        let (from, span) = self.machine.cold;
        (from + (1.0 - from) * ((now - self.born) / span)).clamp(from, 1.0)
    }

    /// Whether it is still cold.
    pub fn is_cold(&self, now: f64) -> bool {
        now - self.born < self.machine.cold.1
    }

    /// Work that it does in a ms with all cores at work.
    pub fn capacity(&self, now: f64) -> f64 {
        self.machine.cores * self.machine.speed * self.warmth(now) / self.slower
    }

    /// Requests at hand.
    pub fn holds(&self) -> usize {
        self.work.len() + self.waiting.len()
    }

    /// Whether a request that came now would find a core free and be served.
    pub fn is_idle(&self, now: f64) -> bool {
        self.up
            && !self.draining
            && !self.silent
            && self.failing == 0.0
            && !self.is_cold(now)
            && (self.work.len() as f64) < self.machine.cores
    }

    /// Work that each request in work gets in a ms.
    fn pace(&self, now: f64) -> f64 {
        let n = self.work.len() as f64;
        if n == 0.0 {
            return 0.0;
        }
        let (lost, at) = self.machine.thrash;
        let efficiency = 1.0 / (1.0 + lost * (n - at).max(0.0));
        self.capacity(now) * (n.min(self.machine.cores) / self.machine.cores) / n * efficiency
    }

    /// Brings the work done up to date.
    fn settle(&mut self, now: f64) {
        let span = now - self.virtual_at;
        self.virtual_work += span * self.pace(self.virtual_at);
        self.busy += span * (self.work.len() as f64).min(self.machine.cores);
        self.virtual_at = now;
    }

    /// A request arrives that needs this much work for this key.
    pub fn arrive(&mut self, now: f64, attempt: AttemptIndex, work: f64, key: u64) -> Taken {
        if !self.up {
            return Taken::Down;
        }
        if self.silent {
            return Taken::Silent;
        }
        if self.draining || self.holds() >= self.machine.slots + self.machine.queue {
            return Taken::Full;
        }
        self.settle(now);
        let work = self.for_key(now, work, key);
        if self.work.len() < self.machine.slots {
            self.work.push(Reverse((At(self.virtual_work + work), attempt)));
        } else {
            self.waiting.push_back((attempt, work));
        }
        self.generation += 1;
        Taken::In
    }

    /// Work that is not a request's: a handshake. It slows what is at hand.
    pub fn burden(&mut self, now: f64, work: f64) {
        self.settle(now);
        let n = self.work.len() as f64;
        if n > 0.0 {
            self.virtual_work -= work / n;
            self.generation += 1;
        }
    }

    /// The work that is left where the key was met of late.
    fn for_key(&mut self, now: f64, work: f64, key: u64) -> f64 {
        let (gain, span, most) = self.machine.warm;
        let met = self.warm.insert(key, now).is_some_and(|at| now - at < span);
        if self.warm.len() > most {
            self.warm.retain(|_, at| now - *at < span);
            if self.warm.len() > most {
                let oldest =
                    self.warm.iter().min_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0))).map(|o| *o.0);
                oldest.map(|key| self.warm.remove(&key));
            }
        }
        if met { work * (1.0 - gain) } else { work }
    }

    /// When the next request in work is done, if nothing changes.
    pub fn next_end(&self, now: f64) -> Option<f64> {
        let Reverse((At(end), _)) = self.work.peek()?;
        let left = (end - self.virtual_work) - (now - self.virtual_at) * self.pace(self.virtual_at);
        Some(now + left.max(0.0) / self.pace(now).max(1e-9))
    }

    /// Takes out the request that is done now.
    pub fn finish(&mut self, now: f64) -> Option<AttemptIndex> {
        self.settle(now);
        let Reverse((_, attempt)) = self.work.pop()?;
        if let Some((next, work)) = self.waiting.pop_front() {
            self.work.push(Reverse((At(self.virtual_work + work), next)));
        }
        self.generation += 1;
        Some(attempt)
    }

    /// Its process dies: all that it held is lost.
    pub fn die(&mut self, now: f64) -> Vec<AttemptIndex> {
        self.settle(now);
        let mut lost: Vec<AttemptIndex> = self.work.drain().map(|Reverse((_, a))| a).collect();
        lost.sort_unstable(); // a heap's order is its own affair
        lost.extend(self.waiting.drain(..).map(|w| w.0));
        self.warm.clear();
        self.cold_work.clear();
        (self.up, self.connections) = (false, 0);
        self.generation += 1;
        lost
    }

    /// A new process, cold.
    pub fn start(&mut self, now: f64) {
        self.settle(now);
        (self.up, self.draining, self.silent, self.born) = (true, false, false, now);
        self.generation += 1;
    }

    /// What was sent to it of late, in words.
    pub fn strain(&self) -> String {
        let sent: f64 = self.cold_work.iter().map(|w| w.1).sum();
        let first = self.cold_work.front().map_or(0.0, |w| w.0);
        format!(
            "{} requests of {sent:.0} ms since {first:.0}, started at {:.0}",
            self.cold_work.len(),
            self.born
        )
    }

    /// Notes work sent to it; whether that is more than it bears while cold.
    pub fn strains(&mut self, now: f64, work: f64, multiple: f64, span: f64) -> bool {
        if !self.is_cold(now) {
            return false;
        }
        self.cold_work.push_back((now, work));
        while self.cold_work.front().is_some_and(|w| w.0 <= now - span) {
            self.cold_work.pop_front();
        }
        let sent: f64 = self.cold_work.iter().map(|w| w.1).sum();
        sent > multiple * self.capacity(now) * span
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn machine() -> Machine {
        Machine {
            zone: 0,
            kind: 0,
            cell: 0,
            cores: 1.0,
            speed: 2.0,
            slots: 2,
            queue: 1,
            thrash: (0.0, 10.0),
            cold: (0.5, 1000.0),
            error_rate: 0.0,
            connections: 10,
            rating: 1.0,
            warm: (0.5, 1000.0, 8),
        }
    }

    #[test]
    fn requests_share_a_core_evenly_and_the_queue_is_bounded() {
        let mut b = Backend::new(machine());
        assert_eq!(b.arrive(0.0, 1, 20.0, 1), Taken::In);
        assert_eq!(b.next_end(0.0), Some(10.0));
        assert_eq!(b.arrive(5.0, 2, 20.0, 2), Taken::In);
        // The first has 10 left at 5 ms, and half of the core's 2 from then on.
        assert_eq!(b.next_end(5.0), Some(15.0));
        assert_eq!((b.arrive(5.0, 3, 1.0, 3), b.arrive(5.0, 4, 1.0, 4)), (Taken::In, Taken::Full));
        assert_eq!(b.finish(15.0), Some(1));
        // The second has got 10 of its 20, and the third has begun with 1.
        assert_eq!(b.next_end(15.0), Some(16.0));
        assert_eq!((b.finish(16.0), b.next_end(16.0)), (Some(3), Some(20.5)));
        assert!((b.busy - 16.0).abs() < 1e-9);
    }

    #[test]
    fn a_key_met_of_late_needs_less_work_and_a_cold_backend_is_slower() {
        let mut b = Backend::new(machine());
        b.arrive(0.0, 1, 20.0, 7);
        b.finish(10.0);
        b.arrive(20.0, 2, 20.0, 7);
        assert_eq!(b.next_end(20.0), Some(25.0));
        assert_eq!(b.die(21.0), [2]);
        assert_eq!(b.arrive(22.0, 3, 1.0, 1), Taken::Down);
        b.start(100.0);
        b.arrive(100.0, 4, 20.0, 7);
        assert_eq!(b.next_end(100.0), Some(120.0), "half of the speed, and no memory of the key");
        assert!((b.warmth(600.0) - 0.75).abs() < 1e-9 && !b.is_cold(1100.0));
    }

    #[test]
    fn a_cold_backend_falls_over_beyond_its_multiple() {
        let mut b = Backend::new(machine());
        assert!(!b.strains(0.0, 1e9, 3.0, 1000.0), "it is warm");
        b.start(0.0);
        // Its capacity is 1 a ms: 3,000 in a second is the bound.
        assert!(!b.strains(1.0, 2900.0, 3.0, 1000.0));
        assert!(b.strains(2.0, 200.0, 3.0, 1000.0));
    }
}
