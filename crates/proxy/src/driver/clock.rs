//! The balancer's monotonic clock, and the conversion of Unix times.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use leadrelay_core::Millis;
use tokio::time::Instant;

/// A wall clock that differs by more from what it should show has been stepped, or has been slewed this far.
const MIN_STEP: Duration = Duration::from_millis(100);
/// An endpoint's start may seem to lie this far ahead, as clocks of machines differ.
pub const MAX_CLOCK_SKEW: Millis = 1000.0;
/// Offsets of the wall clock that are remembered.
const MAX_OFFSETS: usize = 1024;
/// Latest time that is converted to an instant.
const MAX_TIME: Millis = 1e12;

/// The balancer's clock: monotonic, from the start of the process. Unix times are converted here only.
///
/// The wall clock may be stepped while the process runs, so its offset from this clock is kept for each step. Which of
/// them was in force when another machine read its clock is not known.
pub struct Clock {
    start: Instant,
    /// How far the wall clock was ahead, oldest first; never empty.
    offsets: Vec<Millis>,
    /// Steps of the wall clock that have been seen.
    steps: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Clock { start: Instant::now(), offsets: vec![unix_now()], steps: 0 }
    }

    /// The time of an instant.
    pub fn at(&self, instant: Instant) -> Millis {
        instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// The present time.
    pub fn now(&self) -> Millis {
        self.at(Instant::now())
    }

    /// The instant of a time.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_secs_f64(at.clamp(0.0, MAX_TIME) / 1000.0)
    }

    /// Records a step of the wall clock, if there was one.
    pub fn follow_wall_clock(&mut self) {
        let before = Instant::now();
        let unix = unix_now();
        // A delay between the two readings can't be distinguished from a step; the next call tries again.
        if before.elapsed() < MIN_STEP {
            self.record_offset(unix - self.at(before));
        }
    }

    fn record_offset(&mut self, offset: Millis) {
        if (offset - self.offset()).abs() < MIN_STEP.as_secs_f64() * 1000.0 {
            return;
        }
        if self.offsets.len() == MAX_OFFSETS {
            self.offsets.remove(1); // the first stays: clocks of other machines may not have been stepped at all
        }
        self.offsets.push(offset);
        self.steps += 1;
    }

    /// How far the wall clock is ahead now.
    pub fn offset(&self) -> Millis {
        self.offsets.last().copied().unwrap_or_default()
    }

    /// How many steps of the wall clock have been seen.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// When an endpoint started that was listed then, by the Unix time that discovery gives; `None` for long ago.
    ///
    /// Of the times that it may mean the latest is taken: an endpoint that is still taken to be warming up gets fewer
    /// requests for a while, one that is wrongly taken to be warm is overloaded.
    pub fn at_unix(&self, unix_ms: f64, listed_at: Millis) -> Option<Millis> {
        if !unix_ms.is_finite() || unix_ms <= 0.0 {
            return None;
        }
        let latest = listed_at + MAX_CLOCK_SKEW;
        let possible = self.offsets.iter().map(|offset| unix_ms - offset).filter(|at| *at <= latest);
        Some(possible.reduce(f64::max).unwrap_or(listed_at))
    }
}

fn unix_now() -> Millis {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    unix.as_secs_f64() * 1000.0
}
