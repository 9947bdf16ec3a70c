//! Soak test: real proxies on loopback with stand-in clients, backends and discovery, under overlapping faults from a seeded
//! random stream. The invariants that proxies have to keep are checked from outside.
//!
//! [`run::run`] runs one small fleet:
//!
//! - [`proxy`] runs its processes; [`backend`], [`discovery`] and [`clients`] stand in for the rest of the platform;
//! - [`fleet`] puts them together, and [`history`] records what they observe;
//! - [`fault`] chooses faults, as values; [`inject`] injects them into a fleet, some by [`syscall_faults`];
//! - [`invariants`] checks the history, and [`report`] sums it up.

pub mod admin;
pub mod backend;
pub mod clients;
pub mod discovery;
pub mod error;
pub mod fault;
pub mod fleet;
pub mod history;
pub mod http;
pub mod inject;
pub mod invariants;
pub mod proxy;
pub mod report;
pub mod run;
pub mod settings;
pub mod syscall_faults;
