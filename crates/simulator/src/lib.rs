//! A simulated fleet: workloads sampled from scenarios by a seed and run in simulated time, with the core's decisions
//! exactly as in service. What the model assumes and leaves out is listed in `docs/simulator.md`.

pub mod adapter;
pub mod backend;
pub mod compare;
pub mod discovery;
pub mod drain_invariant;
pub mod policy;
pub mod random;
pub mod reconnect;
pub mod recorder;
pub mod scenario;
pub mod settings;
pub mod simulation;
pub mod slow_start;
pub mod workload;

pub use policy::{BaselineKind, Policy, TrueState};
pub use recorder::{End, Result};
pub use scenario::{Scenario, ScenarioError};
pub use simulation::{Version, play, play_by};
pub use workload::Workload;
