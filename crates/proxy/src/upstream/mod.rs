//! Sends requests to backends: a connection pool, and attempts on its connections.
//!
//! An attempt sends one request on one connection. This module never resends a request whose first byte has been
//! written: the core decides about retries.
//!
//! The steps of one attempt, from the driver's call to the report of its outcome:
//!
//! 1. `attempt` gets a connection to the `endpoint` from the `pool`: an idle one, or a new one that `dial` opens once
//!    a socket is free. `keep_alive` determines how long connections may be idle.
//! 2. `attempt_request` prepares the `request` for this attempt, and `request_progress` is reset with a new `guard`,
//!    which the connection checks just before it writes the first byte.
//! 3. `exchange` sends the request and reads as much of the response as is buffered. `request_progress` and
//!    `request_framing` track the bytes written, because a request can't have run before its last byte is written.
//!    `write_progress` detects a backend that takes no bytes, and `response_progress` a response that stalls.
//! 4. `attempt` reports the outcome; `delivery` does so with the `response` for the client if there is one. `relay` streams
//!    the rest of a response that is too long to buffer.
//! 5. The `pool` takes the connection back, or closes it.
//!
//! The guard reads state that attempts share: the attempts of one request share a `request_state`, and the attempts to
//! one endpoint share an `availability`.

mod attempt;
mod attempt_request;
mod availability;
mod connection;
mod delivery;
mod dial;
mod endpoint;
mod exchange;
mod guard;
mod headers;
mod keep_alive;
mod pool;
mod relay;
mod request;
mod request_framing;
mod request_progress;
mod request_state;
mod response;
mod response_deadline;
mod response_progress;
mod stored_headers;
mod write_progress;

pub use attempt::AttemptLimits;
pub use endpoint::UpstreamEndpoint;
pub use headers::remove_hop_by_hop_headers;
pub use pool::UpstreamPool;
pub use request::{MessageBody, RequestBody, Upload, UpstreamRequest};
pub use request_state::{RequestState, SharedRequestState};
pub use response::UpstreamResponse;

#[cfg(test)]
mod tests;
