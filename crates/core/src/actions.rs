//! What a proxy is to do, as returned by [`Balancer::handle`](crate::Balancer::handle).

use crate::ids::{CallId, EndpointId, Millis, RequestId};

/// Why a call to discovery is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The connection was not established in time.
    ConnectTimeout,
    /// No answer came in time.
    AnswerTimeout,
    /// The watch has fallen silent.
    Silent,
    /// Changes that don't follow the version held here.
    VersionGap,
    /// Discovery has moved.
    Moved,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectionReason {
    /// No response could be had any more while it is of use.
    TooLate,
    /// More requests are open than may be, and others have more weight.
    Overload,
    /// The endpoint list may be out of date.
    StaleList,
    /// Its attempts have failed, and no further one is allowed.
    AttemptsExhausted,
    /// A send would have broken an invariant.
    Violation,
}

impl RejectionReason {
    /// How many there are.
    pub const COUNT: usize = RejectionReason::Violation as usize + 1;

    /// All of them.
    pub const ALL: [RejectionReason; RejectionReason::COUNT] = [
        RejectionReason::TooLate,
        RejectionReason::Overload,
        RejectionReason::StaleList,
        RejectionReason::AttemptsExhausted,
        RejectionReason::Violation,
    ];

    /// Its name in metrics and logs.
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

/// What a proxy is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// When to give the attempt up; `None` is the client's timeout.
        timeout: Option<Millis>,
        /// The attempt must not start after this: a repeat would no longer be deduplicated.
        start_by: Option<Millis>,
    },
    /// Final answer: rejected; a retry by the client does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it tries again.
        retry_after: Option<Millis>,
        /// Why.
        reason: RejectionReason,
    },
    /// Final answer: failed; the request may have been executed.
    Fail(RequestId),
    /// Give [`Event::Timer`](crate::Event::Timer) back at a time.
    Timer {
        /// What to give back.
        token: u64,
        /// When.
        at: Millis,
    },
    /// Send a message of at most 256 bytes to every other proxy.
    Broadcast(Vec<u8>),
    /// Open a watch of the endpoint list, at the present address of discovery.
    Subscribe {
        /// The number of the call.
        call: CallId,
        /// The version held here, after which changes are wanted; `None` for the complete list.
        after: Option<u64>,
    },
    /// Give up a call to discovery; nothing more is wanted of it.
    Unsubscribe {
        /// The call.
        call: CallId,
        /// Why.
        reason: CancelReason,
    },
}
