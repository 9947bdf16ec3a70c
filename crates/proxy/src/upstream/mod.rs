//! Requests to backends.
//!
//! An attempt is one request on one connection. Nothing is resent in here once its first byte has been written;
//! whether to try again is for the core to decide.
//!
//! - `attempt` runs one attempt from the connection to the report of its outcome;
//! - `pool` keeps idle connections, `dial` opens new ones, `keep_alive` says for how long they may be idle;
//! - `request_progress` follows the bytes on the socket, `guard` is the check before the first of them;
//! - `exchange` sends the request and reads the answer, `relay` streams answers that are too long to buffer.

mod attempt;
mod connection;
mod dial;
mod endpoint;
mod exchange;
mod guard;
mod headers;
mod keep_alive;
mod message;
mod pool;
mod relay;
mod request_progress;

pub use attempt::AttemptLimits;
pub use endpoint::Upstream;
pub use guard::{Denial, RequestState};
pub use headers::remove_hop_by_hop;
pub use message::{MessageBody, Outgoing, Reply, RequestBody, Upload};
pub use pool::Upstreams;

#[cfg(test)]
mod tests;
