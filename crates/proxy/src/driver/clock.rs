//! The balancer's monotonic clock, and the conversion of Unix times to it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use leadrelay_core::Millis;
use tokio::time::Instant;

/// A wall clock that differs by this much or more from the time expected of it counts as stepped. Slewing that adds up
/// to this much counts, too.
const MIN_STEP: Duration = Duration::from_millis(100);
/// Tolerance, in milliseconds, for endpoint start times that seem to lie in the future, as the clocks of machines
/// differ.
pub const MAX_CLOCK_SKEW: Millis = 1000.0;
/// Maximum number of offsets of the wall clock that are remembered.
const MAX_OFFSETS: usize = 1024;
/// Latest time, in milliseconds, that can be converted to an instant; later ones are clamped to it.
const MAX_TIME: Millis = 1e12;

/// The balancer's clock: monotonic milliseconds since the driver started. It also converts the Unix times of endpoint
/// starts; other conversions of Unix times use its `wall_clock_offset`.
///
/// The wall clock may be stepped while the process runs, so its offset from this clock is recorded after each step. It
/// is not known which of these offsets applied when another machine read its clock.
pub struct Clock {
    start: Instant,
    /// The recorded differences between the wall clock and this clock in milliseconds, oldest first; never empty.
    offsets: Vec<Millis>,
    /// The number of steps of the wall clock that have been detected.
    steps: u64,
}

impl Clock {
    /// Creates a clock that starts at 0 now.
    pub fn new() -> Self {
        Clock { start: Instant::now(), offsets: vec![unix_now()], steps: 0 }
    }

    /// Converts an instant to this clock's time.
    pub fn to_millis(&self, instant: Instant) -> Millis {
        instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        self.to_millis(Instant::now())
    }

    /// Converts a time of this clock to an instant.
    pub fn to_instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_secs_f64(at.clamp(0.0, MAX_TIME) / 1000.0)
    }

    /// Checks whether the wall clock has been stepped, and records its new offset if so.
    pub fn check_wall_clock(&mut self) {
        let before = Instant::now();
        let unix = unix_now();
        // A delay between reading the two clocks can't be distinguished from a step. Skip the check then; the next call
        // repeats it.
        if before.elapsed() < MIN_STEP {
            self.record_offset(unix - self.to_millis(before));
        }
    }

    fn record_offset(&mut self, offset: Millis) {
        if (offset - self.wall_clock_offset()).abs() < MIN_STEP.as_secs_f64() * 1000.0 {
            return;
        }
        if self.offsets.len() == MAX_OFFSETS {
            self.offsets.remove(1); // keep the first offset: the clocks of other machines may never have been stepped
        }
        self.offsets.push(offset);
        self.steps += 1;
    }

    /// The current difference between the wall clock and this clock, in milliseconds.
    pub fn wall_clock_offset(&self) -> Millis {
        self.offsets.last().copied().unwrap_or_default()
    }

    /// The number of steps of the wall clock that have been detected.
    pub fn wall_clock_steps(&self) -> u64 {
        self.steps
    }

    /// Converts the Unix time at which an endpoint started, as given by discovery, for an endpoint that was listed at
    /// `listed_at`. Returns `None`, which stands for long ago, if the Unix time is not a positive finite number.
    ///
    /// After a step of the wall clock, a Unix time may stand for several times of this clock. The latest possible one
    /// is returned: an endpoint wrongly considered to be warming up only gets fewer requests for a while, but one
    /// wrongly considered warm is overloaded. Times after `listed_at` by more than `MAX_CLOCK_SKEW` are impossible; if
    /// all are, `listed_at` is returned.
    pub fn start_time_from_unix(&self, unix_ms: f64, listed_at: Millis) -> Option<Millis> {
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
