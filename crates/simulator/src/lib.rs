//! A simulated fleet: workloads sampled from scenarios by a seed and run in simulated time, with the core's decisions
//! exactly as in service. What the model assumes and leaves out is listed in `docs/simulator.md`.

pub mod adapter;
pub mod backend;
pub mod baseline;
pub mod discovery;
pub mod drain_rule;
pub mod index;
pub mod paired_difference;
pub mod policy;
pub mod random;
pub mod reconnect;
pub mod report;
pub mod scenario;
pub mod settings;
pub mod simulation;
pub mod slow_start;
pub mod time;
pub mod version;
pub mod workload;

pub use baseline::{Baseline, BaselineKind};
pub use policy::{FleetView, Policy, TrueState};
pub use report::{RequestOutcome, Rule, RunResult};
pub use scenario::{Scenario, ScenarioError};
pub use simulation::simulate_with;
pub use version::{Version, simulate};
pub use workload::Workload;
