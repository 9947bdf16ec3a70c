//! Versions of the decision code that can be run and compared.

use std::path::PathBuf;

use leadrelay_core::Balancer;

use crate::adapter::{AdapterError, AdapterPolicy, AdapterProcess};
use crate::baseline::{Baseline, BaselineKind};
use crate::index::ProxyIndex;
use crate::policy::Policy;
use crate::report::RunResult;
use crate::settings::settings;
use crate::simulation::simulate_with;
use crate::workload::Workload;

/// A version of the decision code.
#[derive(Clone, Debug, PartialEq)]
pub enum Version {
    /// The core of this build.
    Core,
    /// A baseline policy.
    Baseline(BaselineKind),
    /// Another build, run through its adapter for the operators' simulator, at this path.
    Adapter(PathBuf),
}

impl Version {
    /// The name of the version in results.
    pub fn name(&self) -> String {
        match self {
            Version::Core => "core".into(),
            Version::Baseline(kind) => kind.name().into(),
            Version::Adapter(path) => path.display().to_string(),
        }
    }
}

/// Runs a workload with the decisions of a version. The same workload and version give the same result.
///
/// # Errors
/// Returns an error if an adapter can't be started.
pub fn simulate(workload: &Workload, version: &Version) -> Result<RunResult, AdapterError> {
    let name = version.name();
    let result = match version {
        Version::Core => simulate_with(workload, &name, &|proxy, seed| core_policy(workload, proxy, seed)),
        Version::Baseline(kind) => {
            simulate_with(workload, &name, &|_, seed| Box::new(Baseline::new(*kind, seed)))
        }
        Version::Adapter(path) => {
            let process = AdapterProcess::start(path)?;
            let policy = |proxy, seed| -> Box<dyn Policy> {
                Box::new(AdapterPolicy::new(process.clone(), workload, proxy, seed))
            };
            simulate_with(workload, &name, &policy)
        }
    };
    Ok(result)
}

fn core_policy(workload: &Workload, proxy: ProxyIndex, seed: u64) -> Box<dyn Policy> {
    Box::new(Balancer::new(settings(workload, proxy), seed))
}
