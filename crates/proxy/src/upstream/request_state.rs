//! The state that all attempts of one request share.

/// What has become of a request while its attempts are in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestState {
    /// It has no response yet.
    Pending,
    /// It has its response.
    Answered,
    /// Its client has disconnected, or its deadline has passed.
    Abandoned,
}
