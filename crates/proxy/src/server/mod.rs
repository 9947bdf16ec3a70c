//! Starts, runs and stops one proxy.
//!
//! `process` runs a proxy in a process that handles signals; `background` runs one on a thread, without signals. Both
//! use `run`, which connects the parts of the proxy. `bound_sockets` opens its sockets and the handover file, and
//! `reload` applies a changed configuration.

mod background;
mod bound_sockets;
mod process;
mod reload;
mod run;
mod runtime;

pub use background::{RunningProxy, spawn};
pub use process::Process;
pub use run::Addresses;
