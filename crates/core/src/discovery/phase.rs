//! The phases of a subscription.

use crate::ids::{CallId, Millis};

/// The phase of the subscription to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// No call is open. The next call is made at `retry_at`.
    Disconnected { retry_at: Millis },
    /// A call has started at `since`, and its connection is being established.
    Connecting { call: CallId, since: Millis },
    /// The connection of the call that started at `since` is established, but no list or update has arrived yet.
    Waiting { call: CallId, since: Millis },
    /// A watch is open, and the list is up to date as of the last line, read at `last_read_at`.
    Synchronized { call: CallId, last_read_at: Millis },
}

impl Phase {
    /// The open call, if any.
    pub fn call(self) -> Option<CallId> {
        match self {
            Phase::Disconnected { .. } => None,
            Phase::Connecting { call, .. }
            | Phase::Waiting { call, .. }
            | Phase::Synchronized { call, .. } => Some(call),
        }
    }
}
