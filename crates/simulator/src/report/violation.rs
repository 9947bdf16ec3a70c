//! Rules that a run is checked against, and their violations.

use leadrelay_core::Millis;
use serde::{Serialize, Serializer};

/// A rule that every proxy has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A request has at most one attempt in flight.
    OneAttemptInFlight,
    /// A request has no more attempts than the settings allow.
    MaxAttempts,
    /// A request that may have been executed is retried only if it is idempotent.
    IdempotentRetries,
    /// Nothing is sent to a backend whose drain counts as notified.
    NoSendAfterDrain,
    /// A request gets exactly one final answer.
    OneFinalAnswer,
    /// A request is answered before its client gives up.
    AnswerBeforeTimeout,
    /// A request that may have been executed is rejected only if it is idempotent.
    RejectOnlyUnexecuted,
    /// A gossip message has at most 256 bytes.
    GossipSize,
    /// No backend in slow start is overloaded.
    NoSlowStartOverload,
    /// The policy reports no violation of its internal invariants.
    PolicyInvariants,
}

impl Rule {
    /// The name of the rule in results.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAttemptInFlight => "never two attempts out",
            Rule::MaxAttempts => "attempts are bounded",
            Rule::IdempotentRetries => "no unsafe repeat",
            Rule::NoSendAfterDrain => "drains are kept",
            Rule::OneFinalAnswer => "one final answer",
            Rule::AnswerBeforeTimeout => "an answer before the client gives up",
            Rule::RejectOnlyUnexecuted => "refusals only when harmless",
            Rule::GossipSize => "256 bytes a message",
            Rule::NoSlowStartOverload => "no cold backend is pushed over",
            Rule::PolicyInvariants => "no invariant is violated",
        }
    }
}

impl Serialize for Rule {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the violation.
    pub at: Millis,
    /// The request, proxy or backend concerned.
    #[serde(rename = "what")]
    pub details: String,
}
