//! The phases of a subscription.

use crate::ids::{CallId, Millis};

/// Where the subscription stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// No call is open; the next one is made then.
    Disconnected { retry_at: Millis },
    /// A connection is being opened.
    Connecting { call: CallId, since: Millis },
    /// A call has been made and has not been answered yet.
    Waiting { call: CallId, since: Millis },
    /// A watch is open and the list is held as of its last line.
    Synchronized { call: CallId, last_read_at: Millis },
}

impl Phase {
    /// The call that is open.
    pub fn call(self) -> Option<CallId> {
        match self {
            Phase::Disconnected { .. } => None,
            Phase::Connecting { call, .. }
            | Phase::Waiting { call, .. }
            | Phase::Synchronized { call, .. } => Some(call),
        }
    }
}
