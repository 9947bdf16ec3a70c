//! The I/O of the proxy: clients, upstreams, discovery, peers and operators. [`leadrelay_core`] makes the decisions on
//! requests and backends.
//!
//! [`config::read`] reads a [`config::Config`]. A [`Process`] runs a proxy with it and handles signals; [`spawn`] runs
//! a proxy on a new thread.

mod access_record;
mod admin;
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
mod inbox;
mod listed_endpoint;
mod memory;
mod metrics;
mod open_ids;
mod passed_socket;
mod peers;
mod rejection;
mod server;
mod socket;
mod sockets;
mod upload_clock;
mod upstream;

pub use cause::Cause;
pub use error::{DriverEnd, Error};
pub use listed_endpoint::ListedEndpoint;
pub use metrics::{Metrics, RequestTicket};
pub use passed_socket::PassedSocketError;
pub use server::{Addresses, Process, RunningProxy, spawn};
