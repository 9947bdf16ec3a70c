//! Checks the values of a scenario.

use super::{InvalidScenario, Scenario};
use crate::random::Range;

/// Longest duration of a run, in seconds: one day.
const MAX_DURATION_S: f64 = 86_400.0;
/// Largest number of proxies, and of backends, of a fleet.
const MAX_FLEET: usize = 2000;

impl Scenario {
    /// Checks that all values are in range.
    pub(super) fn validate(&self) -> Result<(), InvalidScenario> {
        self.validate_counts()?;
        let full_list_fraction = self.discovery.full_list_fraction;
        if !(0.0..=1.0).contains(&full_list_fraction) {
            return Err(InvalidScenario::Fraction { key: "whole_part", value: full_list_fraction });
        }
        self.ranges().into_iter().try_for_each(validate_range)?;
        self.validate_faults()
    }

    fn validate_counts(&self) -> Result<(), InvalidScenario> {
        if !(self.duration_s > 0.0 && self.duration_s <= MAX_DURATION_S) {
            return Err(InvalidScenario::Duration(self.duration_s));
        }
        for (key, value) in [("proxies", self.proxies), ("backends", self.backends)] {
            if value == 0 || value > MAX_FLEET {
                return Err(InvalidScenario::Count { key, value, max: MAX_FLEET });
            }
        }
        let lists = [
            ("zones", self.zones.is_empty()),
            ("kinds", self.machine_classes.is_empty()),
            ("classes", self.classes.is_empty()),
        ];
        match lists.into_iter().find(|(_, is_empty)| *is_empty) {
            Some((key, _)) => Err(InvalidScenario::Empty(key)),
            None => Ok(()),
        }
    }

    /// The ranges that have to be finite, in order and not negative.
    fn ranges(&self) -> Vec<Range> {
        let mut ranges = Vec::new();
        for fault in &self.faults {
            ranges.extend([fault.start, fault.duration_s, fault.fraction, fault.magnitude]);
        }
        for class in &self.machine_classes {
            let slow_start = class.slow_start;
            ranges.extend([class.speed, class.slots, class.queue]);
            ranges.extend([slow_start.initial_capacity, slow_start.duration_s, class.error_rate]);
        }
        for class in &self.classes {
            ranges.extend([class.work_ms, class.work_cv]);
        }
        ranges.extend([self.load, self.zone_skew, self.proxy_spread]);
        ranges.extend([self.keys.distinct, self.keys.exponent]);
        ranges.extend([self.network.same_zone_ms, self.network.cross_zone_ms]);
        ranges
    }

    fn validate_faults(&self) -> Result<(), InvalidScenario> {
        let fractions = self.faults.iter().map(|fault| fault.fraction.bounds().1.max(0.0));
        let max_fraction = fractions.fold(0.0, f64::max);
        if max_fraction > 1.0 {
            return Err(InvalidScenario::FaultFraction(max_fraction));
        }
        match self.faults.iter().find(|fault| fault.start.bounds().1 > 1.0) {
            Some(fault) => Err(InvalidScenario::FaultStart(fault.kind)),
            None => Ok(()),
        }
    }
}

fn validate_range(range: Range) -> Result<(), InvalidScenario> {
    let (low, high) = range.bounds();
    if low.is_finite() && high.is_finite() && 0.0 <= low && low <= high {
        Ok(())
    } else {
        Err(InvalidScenario::Range { low, high })
    }
}
