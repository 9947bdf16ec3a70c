//! An emulated fleet: days drawn from scenarios by a seed and played in simulated time, with the core's decisions exactly
//! as in service. What the model assumes and leaves out stands in `docs/simulator.md`.

pub mod backend;
pub mod cold;
pub mod compare;
pub mod day;
pub mod decide;
pub mod discovery;
pub mod drains;
pub mod draw;
pub mod ledger;
pub mod reconnect;
pub mod scenario;
pub mod settings;
pub mod wire;
pub mod world;

pub use day::Day;
pub use decide::{Decide, Pick, Truth};
pub use ledger::{End, Result};
pub use scenario::{Scenario, ScenarioError};
pub use world::{Version, play, play_by};
