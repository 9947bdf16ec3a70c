//! What operators do to a proxy that runs, as far as it concerns its decisions. Times are in ms.
use crate::choice::STALE;
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Listed servers, and those of them that get nothing at present.
    pub fn members(&self, now: Millis) -> (usize, usize) {
        let listed = || self.servers.iter().filter(|s| s.info.state != State::Gone);
        (listed().count(), listed().filter(|s| !self.usable(s, now)).count())
    }

    /// Whether a server may get anything at all at present.
    pub(crate) fn usable(&self, s: &Server, now: Millis) -> bool {
        let ill = s.health.closed > now || s.blame > 1 && now - s.progress > STALE;
        // Doubt opens servers that look ill, not those that are merely full.
        s.told.is_none() && (!ill || self.doubt && !s.full)
    }
}
