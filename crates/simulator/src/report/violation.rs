//! Rules that a run is checked against.

use leadrelay_core::Millis;
use serde::{Serialize, Serializer};

/// A rule that every proxy has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A request has at most one attempt in flight.
    OneAttemptInFlight,
    /// A request has no more attempts than the settings allow.
    MaxAttempts,
    /// What may have been executed is repeated only if it is idempotent.
    IdempotentRetries,
    /// Nothing is sent to a backend whose drain counts as notified.
    NoSendAfterDrain,
    /// A request gets one final answer.
    OneFinalAnswer,
    /// A request is answered before its client gives up.
    AnswerBeforeTimeout,
    /// What may have been executed is not rejected, unless it is idempotent.
    RejectOnlyUnexecuted,
    /// A gossip message has at most 256 bytes.
    GossipSize,
    /// No backend in slow start is overloaded.
    NoSlowStartOverload,
    /// The policy reports no violated invariant of its own.
    PolicyInvariants,
}

impl Rule {
    /// Its name in results.
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

/// A violation of a rule, with where to look.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// When.
    pub at: Millis,
    /// The request, proxy or backend.
    #[serde(rename = "what")]
    pub details: String,
}
