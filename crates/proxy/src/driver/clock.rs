//! The core's clock, and what the wall clock has to do with it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use leadrelay_core::Millis;
use tokio::time::Instant;

/// A wall clock that differs by more from what it should show has been stepped, or has been slewed this far.
const STEP_LEAST: Duration = Duration::from_millis(100);
/// A start may seem to lie so far ahead: machines read one clock, but not at one moment.
const AHEAD_MOST: Millis = 1000.0;
/// Settings of the wall clock that are remembered.
const MAX_OFFSETS: usize = 1024;

/// The core's clock is monotonic and starts with the process. Unix time is converted here alone.
///
/// The wall clock may be stepped while the process runs, so what it was ahead of the core's clock is kept for each of
/// its settings. Which of them was in force when another machine read its clock is not known.
pub struct Clock {
    start: Instant,
    /// What the wall clock was ahead, oldest first; never empty.
    offsets: Vec<Millis>,
}

impl Clock {
    pub fn new() -> Self {
        Clock { start: Instant::now(), offsets: vec![unix_now()] }
    }

    pub fn at(&self, instant: Instant) -> Millis {
        instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    pub fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_secs_f64(at.clamp(0.0, 1e12) / 1000.0)
    }

    /// Notes a step of the wall clock.
    pub fn follow_wall_clock(&mut self) {
        let before = Instant::now();
        let unix = unix_now();
        // Held up between the two readings, the process can't tell that from a step; it looks again.
        if before.elapsed() < STEP_LEAST {
            self.note_offset(unix - self.at(before));
        }
    }

    fn note_offset(&mut self, offset: Millis) {
        if (offset - self.offset()).abs() < STEP_LEAST.as_secs_f64() * 1000.0 {
            return;
        }
        if self.offsets.len() == MAX_OFFSETS {
            self.offsets.remove(1); // the first stays: clocks of other machines may not have been stepped at all
        }
        self.offsets.push(offset);
    }

    /// What the wall clock is ahead now.
    pub fn offset(&self) -> Millis {
        self.offsets.last().copied().unwrap_or_default()
    }

    /// When a backend started, by what discovery says; `None` for long ago.
    ///
    /// Of the times that it may mean the latest is taken: a backend that is taken for colder than it is gets less for
    /// a while, one that is taken for warmer is pushed over.
    pub fn born(&self, born_ms: f64) -> Option<Millis> {
        if !born_ms.is_finite() || born_ms <= 0.0 {
            return None;
        }
        let now = self.at(Instant::now());
        let possible =
            self.offsets.iter().map(|offset| born_ms - offset).filter(|at| *at <= now + AHEAD_MOST);
        Some(possible.reduce(f64::max).unwrap_or(now))
    }
}

fn unix_now() -> Millis {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    unix.as_secs_f64() * 1000.0
}
