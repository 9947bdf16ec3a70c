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

impl RelayTimes {
    /// The time for which nothing was read from the backend because the client, or those of other responses, had not
    /// taken what was there.
    pub(super) fn client_wait(&self) -> Duration {
        self.client + self.memory
    }
}
