//! Attempts that were given up and may still occupy a slot of their endpoint.

use std::collections::VecDeque;

use crate::endpoints::EndpointIndex;
use crate::ids::Millis;

struct AbandonedAttempt {
    endpoint: EndpointIndex,
    occupied_until: Millis,
}

/// Attempts given up, in the order in which that happened; each keeps a slot until it has plausibly ended.
#[derive(Default)]
pub(crate) struct AbandonedAttempts {
    attempts: VecDeque<AbandonedAttempt>,
}

impl AbandonedAttempts {
    /// How many still count.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// An attempt has been given up whose slot stays taken until then.
    pub fn add(&mut self, endpoint: EndpointIndex, occupied_until: Millis) {
        self.attempts.push_back(AbandonedAttempt { endpoint, occupied_until });
    }

    /// Takes out the oldest attempt if its slot counts as free by now; returns its endpoint.
    pub fn pop_ended(&mut self, now: Millis) -> Option<EndpointIndex> {
        let ended = self.attempts.front().filter(|attempt| attempt.occupied_until <= now)?.endpoint;
        self.attempts.pop_front();
        Some(ended)
    }

    /// Their endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointIndex> {
        self.attempts.iter().map(|attempt| attempt.endpoint)
    }
}
