//! The causes for which requests end, as counted in metrics and logged in access events.

/// The cause for which a request ended. Each request ends for exactly one cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// A backend's response was sent to the client completely.
    Served,
    /// The core rejected the request without an attempt.
    RejectedBeforeAttempt,
    /// The core rejected the request after attempts that no backend processed.
    RejectedAfterAttempt,
    /// The frontend rejected the request, as too many requests were open.
    RejectedOverloaded,
    /// The request failed after an attempt that a backend may have processed.
    Failed,
    /// A backend's error response was passed on to the client.
    BackendError,
    /// A response broke off after it had started.
    ResponseBroken,
    /// The client did not complete a valid request body in time.
    RequestBodyBroken,
    /// The client disconnected before the request ended for another cause.
    ClientDisconnected,
}

impl Cause {
    /// All causes.
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

    /// The name of the cause in metrics and logs.
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

    /// The key of `/stats` under which requests with this cause are counted; `None` if the client ended the request, as
    /// `/stats` does not count these.
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
