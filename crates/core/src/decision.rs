//! Decisions of the two-speed threshold, and their counts.

/// A decision of the two-speed threshold on a waiting request to which an endpoint is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThresholdDecision {
    /// The request is sent at once: there is no faster endpoint to wait for, or its affinity endpoint is available.
    AtOnce,
    /// The request is sent because the queue is longer than the threshold.
    PastThreshold,
    /// The request is sent because its latency objective is near.
    Urgent,
    /// The request keeps waiting for a faster endpoint.
    Held,
}

impl ThresholdDecision {
    /// The number of decisions.
    pub const COUNT: usize = ThresholdDecision::Held as usize + 1;

    /// All decisions.
    pub const ALL: [ThresholdDecision; ThresholdDecision::COUNT] = [
        ThresholdDecision::AtOnce,
        ThresholdDecision::PastThreshold,
        ThresholdDecision::Urgent,
        ThresholdDecision::Held,
    ];

    /// The name of the decision in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            ThresholdDecision::AtOnce => "at_once",
            ThresholdDecision::PastThreshold => "past_threshold",
            ThresholdDecision::Urgent => "urgent",
            ThresholdDecision::Held => "held",
        }
    }
}

/// The number of times each decision was made since the start of the process, in the order of
/// [`ThresholdDecision::ALL`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThresholdDecisionCounts([u64; ThresholdDecision::COUNT]);

impl ThresholdDecisionCounts {
    /// Counts one decision.
    pub(crate) fn record(&mut self, decision: ThresholdDecision) {
        self.0[decision as usize] += 1;
    }

    /// How often that decision was made.
    pub fn count(&self, decision: ThresholdDecision) -> u64 {
        self.0[decision as usize]
    }
}
