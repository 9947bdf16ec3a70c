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
            let kind = &self.kinds[s.kind]; // by its calm latency: waits in a crowd are not work
            let capacity = s.room / FULLNESS / kind.core.min(self.mean * kind.slow.0.max(0.2));
            let rate = COLD_SHARE * l.fall_multiple * warmth * capacity / f64::from(self.cfg.proxies) * part;
            s.whole_at = if s.tokens < 1.0 { now } else { s.whole_at };
            s.tokens = (s.tokens + rate * (now - s.tokens_at)).min((rate * 300.0).max(1.0));
            // Saved up by many proxies, a send each would be too much once a burst draws them all. Where all that
            // was given since the start could push it over, none keeps a send for longer than the span of a fall.
            let age = s.info.since.map_or(0.0, |since| now - since);
            let given = COLD_SHARE * age * (l.start_capacity + warmth) / 2.0; // it warms evenly
            let hoarded = given > warmth * l.fall && rate * l.fall < 1.0 && now - s.whole_at > l.fall;
            s.tokens -= if hoarded { 1.0 } else { 0.0 };
            s.tokens_at = now;
        }
    }

    /// The part of its capacity that a server surely has: it warms at least evenly.
    pub(crate) fn warmth(&self, k: usize, now: Millis) -> f64 {
        let l = &self.cfg.limits;
        let age = self.servers[k].info.since.map_or(1.0, |since| ((now - since) / l.cold).clamp(0.0, 1.0));
        l.start_capacity + (1.0 - l.start_capacity) * age
    }
}
