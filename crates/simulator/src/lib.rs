//! Simulates fleets of proxies. A seed samples a workload from a scenario; the workload runs in simulated time, with
//! the same decision code as in production. `docs/simulator.md` lists the assumptions and the limits of the model.

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
