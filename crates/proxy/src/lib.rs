//! The sockets round [`leadrelay_core`]: clients, backends, discovery, peers and operators, every decision in the core.
//!
//! [`config::read`] gives a [`config::Config`], a [`Process`] runs it by its signals, and [`spawn`] runs it in a thread
//! of its own.

mod access_record;
mod admin;
mod body_memory;
mod body_stream;
mod body_upload;
mod cause;
mod classes;
mod close_reason;
pub mod config;
mod denial;
mod discovery;
mod driver;
mod error;
mod frontend;
mod handover;
mod head;
mod host;
mod inbox;
mod metrics;
mod open_ids;
mod peers;
mod rejection;
mod server;
mod socket;
mod tally;
mod upstream;

pub use cause::Cause;
pub use error::Error;
pub use handover::PassedSocketError;
pub use host::Host;
pub use metrics::{Metrics, RequestTicket};
pub use server::{Addresses, Process, Running, spawn};
