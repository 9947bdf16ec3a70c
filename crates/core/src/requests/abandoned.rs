//! Attempts that were abandoned and may still occupy a slot of their endpoint.

use std::collections::VecDeque;

use crate::endpoints::EndpointIndex;
use crate::ids::Millis;

/// An abandoned attempt, and when its slot counts as free.
struct AbandonedAttempt {
    endpoint: EndpointIndex,
    occupied_until: Millis,
}

/// Abandoned attempts, oldest first. Each one keeps its slot until it has plausibly ended at the endpoint.
#[derive(Default)]
pub(crate) struct AbandonedAttempts {
    attempts: VecDeque<AbandonedAttempt>,
}

impl AbandonedAttempts {
    /// Number of abandoned attempts that still keep a slot.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Adds an abandoned attempt, whose slot stays occupied until `occupied_until`.
    pub fn add(&mut self, endpoint: EndpointIndex, occupied_until: Millis) {
        self.attempts.push_back(AbandonedAttempt { endpoint, occupied_until });
    }

    /// Removes the oldest attempt if its slot counts as free by now; returns its endpoint.
    pub fn pop_ended(&mut self, now: Millis) -> Option<EndpointIndex> {
        let ended = self.attempts.front().filter(|attempt| attempt.occupied_until <= now)?.endpoint;
        self.attempts.pop_front();
        Some(ended)
    }

    /// The endpoints of all abandoned attempts.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointIndex> {
        self.attempts.iter().map(|attempt| attempt.endpoint)
    }
}
