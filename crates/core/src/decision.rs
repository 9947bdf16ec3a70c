//! What the two-speed threshold decides for a waiting request.

/// The outcome of one look at a waiting request for which an endpoint is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Sent, as no faster endpoint was worth waiting for.
    AtOnce,
    /// Sent, as the queue had outgrown the threshold.
    PastThreshold,
    /// Sent, as its latency objective was near.
    Urgent,
    /// Held for a faster endpoint.
    Held,
}

impl Decision {
    /// How many there are.
    pub const COUNT: usize = Decision::Held as usize + 1;

    /// All of them.
    pub const ALL: [Decision; Decision::COUNT] =
        [Decision::AtOnce, Decision::PastThreshold, Decision::Urgent, Decision::Held];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Decision::AtOnce => "at_once",
            Decision::PastThreshold => "past_threshold",
            Decision::Urgent => "urgent",
            Decision::Held => "held",
        }
    }
}

/// Decisions counted from the start of the process, in the order of [`Decision::ALL`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts([u64; Decision::COUNT]);

impl DecisionCounts {
    /// Counts one.
    pub(crate) fn record(&mut self, decision: Decision) {
        self.0[decision as usize] += 1;
    }

    /// How often that was decided.
    pub fn count(&self, decision: Decision) -> u64 {
        self.0[decision as usize]
    }
}
