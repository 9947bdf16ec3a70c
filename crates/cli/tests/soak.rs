//! Runs the fleet of the soak test without faults: it must serve requests and violate no invariant.

use std::path::PathBuf;
use std::time::Duration;

use leadrelay_soak::proxy::LaunchOptions;
use leadrelay_soak::run::{Plan, run};

#[test]
fn fleet_without_faults_violates_no_invariant() {
    let folder = std::env::temp_dir().join(format!("soak-{}", std::process::id()));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_leadrelay"));
    let launch = LaunchOptions { program, folder: folder.clone(), log_filter: "info".to_owned() };
    let plan = Plan { seed: 1, duration: Duration::ZERO, launch };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let report = runtime.block_on(run(&plan)).expect("a report");
    let violations: Vec<&str> =
        report.violations.iter().map(|violation| violation.description.as_str()).collect();
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(report.counts["served"] > 100, "{:?}", report.counts);
    std::fs::remove_dir_all(folder).expect("the folder of the run");
}
