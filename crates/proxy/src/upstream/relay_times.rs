//! What the time of a streamed response is spent on.

use std::time::Duration;

/// The times for which the stream of a response waited.
#[derive(Default)]
pub(super) struct RelayTimes {
    /// For the backend to give the next part.
    pub(super) backend: Duration,
    /// For memory to hold a part.
    pub(super) memory: Duration,
    /// For the client to take a part.
    pub(super) client: Duration,
}
