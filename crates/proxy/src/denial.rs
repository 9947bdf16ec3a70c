//! Why an attempt is denied as its first byte is about to be written.

use leadrelay_core::Invariant;

/// Why the first byte of a request may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// The endpoint list may be out of date.
    ListStale,
    /// The backend accepts no new requests.
    OutOfService,
    /// The request has its response, or has been abandoned.
    RequestClosed,
    /// The client has disconnected.
    ClientDisconnected,
    /// An earlier attempt may have run, and the backend no longer detects the duplicate.
    IdempotencyWindowOver,
}

impl Denial {
    /// All of them.
    pub const ALL: [Denial; 5] = [
        Denial::ListStale,
        Denial::OutOfService,
        Denial::RequestClosed,
        Denial::ClientDisconnected,
        Denial::IdempotencyWindowOver,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Denial::ListStale => "list_stale",
            Denial::OutOfService => "out_of_service",
            Denial::RequestClosed => "request_closed",
            Denial::ClientDisconnected => "client_disconnected",
            Denial::IdempotencyWindowOver => "repeat_window_over",
        }
    }

    /// The invariant that sending the request anyway would violate.
    pub fn invariant(self) -> Invariant {
        match self {
            Denial::ListStale => Invariant::ListCurrent,
            Denial::OutOfService => Invariant::BackendInService,
            Denial::RequestClosed | Denial::ClientDisconnected => Invariant::RequestOpen,
            Denial::IdempotencyWindowOver => Invariant::RepeatAllowed,
        }
    }
}
