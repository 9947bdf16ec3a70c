//! The state of a request, which all of its attempts share.

use std::cell::Cell;

use tokio::sync::Notify;

/// The state of a request, which may change while its attempts are in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestState {
    /// The client has no response yet.
    Pending,
    /// The response to the client has been chosen: a backend's, a rejection or a failure.
    Answered,
    /// The client has disconnected, or the request's deadline has passed.
    Abandoned,
}

/// The state of one request, shared with its attempts.
pub struct SharedRequestState {
    state: Cell<RequestState>,
    /// Notified when the request is abandoned.
    abandoned: Notify,
}

impl SharedRequestState {
    /// The state of a request that has just arrived.
    pub fn pending() -> Self {
        SharedRequestState { state: Cell::new(RequestState::Pending), abandoned: Notify::new() }
    }

    /// The current state.
    pub fn get(&self) -> RequestState {
        self.state.get()
    }

    /// Changes the state.
    pub fn set(&self, state: RequestState) {
        self.state.set(state);
        if state == RequestState::Abandoned {
            self.abandoned.notify_waiters();
        }
    }

    /// Waits until the request is abandoned.
    pub async fn abandoned(&self) {
        while self.state.get() != RequestState::Abandoned {
            self.abandoned.notified().await;
        }
    }
}
