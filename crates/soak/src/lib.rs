//! Soak test: real proxies on loopback with stand-in clients, backends and discovery. Troubles drawn from a seed overlap in
//! time, and what the proxies promise is judged from outside.
//!
//! A [`deployment::run`] plays one small fleet: `proxy` runs its processes, `backend`, `discovery` and `clients` stand in for
//! the rest of the world, `troubles` draws and applies what goes wrong, `ledger` keeps what was seen, and `judge` holds it
//! against the invariants.

pub mod admin;
pub mod backend;
pub mod clients;
pub mod deployment;
pub mod discovery;
pub mod faults;
pub mod http;
pub mod judge;
pub mod ledger;
pub mod proxy;
pub mod settings;
pub mod troubles;
