//! The reasons for which an attempt is denied immediately before its first byte is written.

use leadrelay_core::Invariant;

/// The reason for which the first byte of a request may not be written to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// The endpoint list may be out of date.
    ListStale,
    /// The backend accepts no new requests.
    OutOfService,
    /// The request already has its response, or has been abandoned.
    RequestClosed,
    /// The client has disconnected.
    ClientDisconnected,
    /// A backend may have processed an earlier attempt, and duplicates are no longer detected.
    IdempotencyWindowExpired,
}

impl Denial {
    /// All reasons.
    pub const ALL: [Denial; 5] = [
        Denial::ListStale,
        Denial::OutOfService,
        Denial::RequestClosed,
        Denial::ClientDisconnected,
        Denial::IdempotencyWindowExpired,
    ];

    /// The name of the reason in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Denial::ListStale => "list_stale",
            Denial::OutOfService => "out_of_service",
            Denial::RequestClosed => "request_closed",
            Denial::ClientDisconnected => "client_disconnected",
            Denial::IdempotencyWindowExpired => "repeat_window_over",
        }
    }

    /// The invariant that would be violated by sending the request despite the denial.
    pub fn invariant(self) -> Invariant {
        match self {
            Denial::ListStale => Invariant::ListCurrent,
            Denial::OutOfService => Invariant::BackendInService,
            Denial::RequestClosed | Denial::ClientDisconnected => Invariant::RequestOpen,
            Denial::IdempotencyWindowExpired => Invariant::RepeatAllowed,
        }
    }
}
