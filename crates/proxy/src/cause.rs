//! Why requests end.

/// Why a request ended. Each ends for exactly one cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// A backend's answer went out whole.
    Served,
    /// Refused by the module without an attempt.
    RefusedUntried,
    /// Refused by the module after attempts that did no harm.
    RefusedTried,
    /// Refused unseen: too many requests are open.
    RefusedBusy,
    /// Given up after an attempt that may have run.
    Failed,
    /// A backend's own error was passed on.
    BackendError,
    /// An answer broke after it had begun.
    AnswerBroken,
    /// The client did not finish its body.
    BodyBroken,
    /// The client left first.
    ClientLeft,
}

impl Cause {
    /// All of them.
    pub const ALL: [Cause; 9] = [
        Cause::Served,
        Cause::RefusedUntried,
        Cause::RefusedTried,
        Cause::RefusedBusy,
        Cause::Failed,
        Cause::BackendError,
        Cause::AnswerBroken,
        Cause::BodyBroken,
        Cause::ClientLeft,
    ];

    /// Its name in figures and logs.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Served => "served",
            Cause::RefusedUntried => "refused_untried",
            Cause::RefusedTried => "refused_tried",
            Cause::RefusedBusy => "refused_busy",
            Cause::Failed => "failed",
            Cause::BackendError => "backend_error",
            Cause::AnswerBroken => "answer_broken",
            Cause::BodyBroken => "body_broken",
            Cause::ClientLeft => "client_left",
        }
    }

    /// Under which of the operators' three counts it stands; what ended by its client is in none.
    pub(crate) fn stat(self) -> Option<&'static str> {
        match self {
            Cause::Served => Some("completed"),
            Cause::RefusedUntried | Cause::RefusedTried | Cause::RefusedBusy => Some("rejected"),
            Cause::Failed | Cause::BackendError | Cause::AnswerBroken => Some("failed"),
            Cause::BodyBroken | Cause::ClientLeft => None,
        }
    }
}
