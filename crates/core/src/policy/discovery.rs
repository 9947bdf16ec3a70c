//! When discovery is asked, and what its list changes.
use crate::interface::*;
use crate::state::Balancer;

/// Least and greatest bound of the wait after a failed call. The bound doubles with each call that fails in a row;
/// the greatest one leaves room for three calls within the 6 s after which a change counts as told.
const AGAIN: (Millis, Millis) = (500.0, 2000.0);

impl Balancer {
    pub(crate) fn list(&mut self, now: Millis, scope: Scope, entries: Vec<Backend>) {
        if scope == Scope::Failed {
            // Exponential back-off with full jitter: a service with more callers than it can answer is called
            // less often the longer that lasts, and never by all proxies at once.
            let bound = (AGAIN.0 * f64::from(1u32 << self.calls_failed.min(16))).min(AGAIN.1);
            (self.subscribed, self.ask_at) = (false, now + bound * self.rng.f64());
            self.calls_failed += 1;
            return;
        }
        self.calls_failed = if scope == Scope::Cached { self.calls_failed } else { 0 };
        for k in self.record_all(now, scope == Scope::Full, entries) {
            let s = &mut self.servers[k];
            if s.restarted {
                // A new process: cold, and nothing known against it. The random start of its budget keeps
                // the proxies from all sending their first request at once.
                (s.restarted, s.fresh, s.tokens, s.tokens_at) = (false, true, self.rng.f64(), now);
                s.forgive(now);
            }
            self.size(k);
            self.rate(k, self.warmth(k, now), now);
        }
    }

    /// Asks for news where nothing comes unasked.
    pub(crate) fn ask(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.cfg.discovery == Discovery::OnRequest && !self.subscribed && now >= self.ask_at {
            self.subscribed = true;
            out.push(Action::Subscribe);
        }
    }
}
