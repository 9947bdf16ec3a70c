//! Requests to backends: the connection pool, and attempts on its connections.
//!
//! An attempt is one request on one connection. Nothing is resent in here once its first byte has been written;
//! whether to retry is for the core to decide.
//!
//! The way of one attempt, from the driver's call to the report of its outcome:
//!
//! 1. `attempt` asks the `pool` for a connection to the `endpoint`: an idle one, or a new one from `dial` once the
//!    `socket_budget` has a socket. `keep_alive` says for how long connections may be idle.
//! 2. `attempt_request` prepares the `request` for this attempt, and `request_progress` starts over with the `guard`,
//!    the check that the connection makes just before the first byte is written.
//! 3. `exchange` sends the request and reads the response, as far as that is buffered. `request_progress` and
//!    `request_framing` follow the bytes written: up to the last one the request can't have run.
//!    `response_progress` notices a response that stalls.
//! 4. `attempt` reports the outcome, with the `response` for the client if there is one, and `relay` streams the rest
//!    of a response that is too long to buffer.
//! 5. The `pool` takes the connection back, or closes it.
//!
//! What the guard looks up lies at the bottom: `request_state` is shared by the attempts of a request, `availability`
//! by those to an endpoint.

mod attempt;
mod attempt_request;
mod availability;
mod connection;
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
mod response_progress;
mod socket_budget;

pub use attempt::AttemptLimits;
pub use endpoint::UpstreamEndpoint;
pub use headers::remove_hop_by_hop;
pub use pool::UpstreamPool;
pub use request::{MessageBody, RequestBody, Upload, UpstreamRequest};
pub use request_state::RequestState;
pub use response::UpstreamResponse;

#[cfg(test)]
mod tests;
