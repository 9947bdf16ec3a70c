//! The actions that [`Balancer::handle`](crate::Balancer::handle) returns for the proxy to carry out.

use crate::ids::{CallId, EndpointId, Millis, RequestId};

/// The reason for cancelling a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The connection was not established within the connect timeout.
    ConnectTimeout,
    /// The call returned neither a list nor an update within the call timeout.
    AnswerTimeout,
    /// The open watch has sent nothing for longer than the silence timeout.
    Silent,
    /// The changes received do not follow the version of the list that this proxy has.
    VersionGap,
    /// Discovery has moved to another address.
    Moved,
}

/// The reason for rejecting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectionReason {
    /// A response can no longer arrive early enough to be useful to the client.
    TooLate,
    /// The limit of open requests is exceeded, and the other requests have more weight.
    Overload,
    /// The endpoint list may be out of date.
    StaleList,
    /// The attempts have failed, and no further attempt is allowed.
    AttemptsExhausted,
    /// Sending the request would have violated an invariant.
    Violation,
}

impl RejectionReason {
    /// The number of rejection reasons.
    pub const COUNT: usize = RejectionReason::Violation as usize + 1;

    /// All rejection reasons, in the order of declaration.
    pub const ALL: [RejectionReason; RejectionReason::COUNT] = [
        RejectionReason::TooLate,
        RejectionReason::Overload,
        RejectionReason::StaleList,
        RejectionReason::AttemptsExhausted,
        RejectionReason::Violation,
    ];

    /// The name of the reason in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            RejectionReason::TooLate => "too_late",
            RejectionReason::Overload => "overload",
            RejectionReason::StaleList => "stale_list",
            RejectionReason::AttemptsExhausted => "attempts_exhausted",
            RejectionReason::Violation => "violation",
        }
    }
}

/// An action for the proxy to carry out. Actions have to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt of a request to an endpoint.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint that receives the attempt.
        endpoint: EndpointId,
        /// The duration after which the attempt is cancelled; `None` means the client's timeout.
        timeout: Option<Millis>,
        /// The time after which the attempt must not start, because a repeat would no longer be deduplicated.
        start_by: Option<Millis>,
    },
    /// Sends a rejection as the final response to a request. The client can safely retry after it.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Option<Millis>,
        /// The reason for the rejection.
        reason: RejectionReason,
    },
    /// Sends a failure as the final response to a request. The request may have been executed.
    Fail(RequestId),
    /// Sets a timer, which is returned as [`Event::Timer`](crate::Event::Timer) when it expires.
    Timer {
        /// The token that identifies the timer in the event.
        token: u64,
        /// The time at which the timer expires.
        at: Millis,
    },
    /// Sends a gossip message of at most 256 bytes to every other proxy.
    Broadcast(Vec<u8>),
    /// Opens a watch of the endpoint list at the current address of discovery.
    Subscribe {
        /// The number of the new call.
        call: CallId,
        /// The version of the list that this proxy has: the watch starts with the changes after it. `None` requests the
        /// complete list.
        after: Option<u64>,
    },
    /// Cancels a call to discovery; anything that still arrives for the call is ignored.
    Unsubscribe {
        /// The call.
        call: CallId,
        /// The reason for the cancellation.
        reason: CancelReason,
    },
}
