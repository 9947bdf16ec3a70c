//! One proxy from its start to its end.
//!
//! `process` is a process that handles signals, `background` a thread without; both use `run`, which connects the parts
//! of the proxy. `bound_sockets` opens what it needs, `reload` applies a changed configuration.

mod background;
mod bound_sockets;
mod process;
mod reload;
mod run;
mod runtime;

pub use background::{Running, spawn};
pub use process::Process;
pub use run::Addresses;
