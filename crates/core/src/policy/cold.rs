//! How much a server that has just started may get.
use super::slots::FULLNESS;
use crate::interface::*;
use crate::state::Balancer;

const COLD_SHARE: f64 = 0.5; // part of what pushes a cold server over that the proxies together send it
pub(crate) const COLD_PART: f64 = 0.25; // part of a cold server's budget that one request may take

impl Balancer {
    /// Fills the budget of a server that is still cold.
    pub(crate) fn budget(&mut self, k: usize, warmth: f64, now: Millis) {
        let (part, l) = (self.part(), self.cfg.limits);
        let s = &mut self.servers[k];
        if s.fresh && warmth < 1.0 {
            // An equal part of what its like can do, cut to what it surely can: so it stands in any case.
            let machine_class = &self.kinds[s.machine_class]; // by its calm latency: waits in a crowd are not work
            let capacity =
                s.room / FULLNESS / machine_class.core.min(self.mean * machine_class.slow.0.max(0.2));
            let rate =
                COLD_SHARE * l.overload_multiple * warmth * capacity / f64::from(self.cfg.proxies) * part;
            s.whole_at = if s.tokens < 1.0 { now } else { s.whole_at };
            s.tokens = (s.tokens + rate * (now - s.tokens_at)).min((rate * 300.0).max(1.0));
            // Saved up by many proxies, a send each would be too much once a burst draws them all. Where all that
            // was given since the start could push it over, none keeps a send for longer than the span of a fall.
            let age = s.info.started_at.map_or(0.0, |since| now - since);
            let given = COLD_SHARE * age * (l.initial_capacity + warmth) / 2.0; // it warms evenly
            let hoarded = given > warmth * l.overload_window
                && rate * l.overload_window < 1.0
                && now - s.whole_at > l.overload_window;
            s.tokens -= if hoarded { 1.0 } else { 0.0 };
            s.tokens_at = now;
        }
    }

    /// The part of its capacity that a server surely has: it warms at least evenly.
    pub(crate) fn warmth(&self, k: usize, now: Millis) -> f64 {
        let l = &self.cfg.limits;
        let age = self.servers[k]
            .info
            .started_at
            .map_or(1.0, |since| ((now - since) / l.slow_start_window).clamp(0.0, 1.0));
        l.initial_capacity + (1.0 - l.initial_capacity) * age
    }
}
