//! Decides, for one reverse proxy, which HTTP server gets which request and when.
//!
//! It does no input or output of its own: feed [`Balancer::handle`] with what the proxy sees
//! and carry out the [`Action`]s that it returns.
//!
//! ```
//! use leadrelay_core::threshold;
//!
//! // With all servers equally fast nothing is worth waiting for.
//! assert_eq!(threshold(4.0, 0.5, 1.0), 0);
//! // Three times as fast and idle, two faster servers are worth a queue.
//! assert!(threshold(2.0, 0.1, 3.0) >= 2);
//! ```

mod balancer;
mod bands;
mod estimates;
mod gauges;
mod handover;
pub mod interface;
mod invariant;
mod listing;
mod message;
mod number;
mod operators;
mod overlay;
mod policy;
mod records;
#[cfg(feature = "settings")]
pub mod settings;
mod standing;
mod state;
mod subscription;
mod wire_names;

pub use interface::*;
pub use invariant::{Invariant, Violations};
pub use policy::threshold::threshold;
pub use standing::{Choices, Gauges, Standing};
pub use state::Balancer;
