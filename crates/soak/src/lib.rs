//! Soak test: real proxies on loopback with test clients, backends and discovery, under overlapping faults that are
//! chosen by a seeded random number generator. The invariants that proxies have to keep are checked from outside.
//!
//! [`run::run`] runs one small fleet:
//!
//! - [`proxy`] runs the proxy processes; [`backend`], [`discovery`] and [`clients`] simulate the rest of the platform;
//! - [`fleet`] starts and connects all of them, and [`history`] records their observations;
//! - [`fault`] chooses faults; [`inject`] injects them into a fleet, some of them by [`syscall_faults`];
//! - [`invariants`] checks the history, and [`report`] summarizes the result.

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
