//! The state of a request, which all of its attempts share.

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
