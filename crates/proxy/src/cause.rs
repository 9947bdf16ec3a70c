//! Why requests end.

/// Why a request ended. Each ends for exactly one cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// A backend's response was sent completely.
    Served,
    /// Rejected by the core without an attempt.
    RejectedBeforeAttempt,
    /// Rejected by the core after attempts that were not processed.
    RejectedAfterAttempt,
    /// Rejected by the frontend: too many requests are open.
    RejectedOverloaded,
    /// Failed after an attempt that may have run.
    Failed,
    /// A backend's own error was passed on.
    BackendError,
    /// A response broke after it had started.
    ResponseBroken,
    /// The client did not finish its body.
    RequestBodyBroken,
    /// The client disconnected first.
    ClientDisconnected,
}

impl Cause {
    /// All of them.
    pub const ALL: [Cause; 9] = [
        Cause::Served,
        Cause::RejectedBeforeAttempt,
        Cause::RejectedAfterAttempt,
        Cause::RejectedOverloaded,
        Cause::Failed,
        Cause::BackendError,
        Cause::ResponseBroken,
        Cause::RequestBodyBroken,
        Cause::ClientDisconnected,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Served => "served",
            Cause::RejectedBeforeAttempt => "refused_untried",
            Cause::RejectedAfterAttempt => "refused_tried",
            Cause::RejectedOverloaded => "refused_busy",
            Cause::Failed => "failed",
            Cause::BackendError => "backend_error",
            Cause::ResponseBroken => "answer_broken",
            Cause::RequestBodyBroken => "body_broken",
            Cause::ClientDisconnected => "client_left",
        }
    }

    /// The key of `/stats` under which it is counted; what its client ended is in none.
    pub(crate) fn stats_key(self) -> Option<&'static str> {
        match self {
            Cause::Served => Some("completed"),
            Cause::RejectedBeforeAttempt | Cause::RejectedAfterAttempt | Cause::RejectedOverloaded => {
                Some("rejected")
            }
            Cause::Failed | Cause::BackendError | Cause::ResponseBroken => Some("failed"),
            Cause::RequestBodyBroken | Cause::ClientDisconnected => None,
        }
    }
}
