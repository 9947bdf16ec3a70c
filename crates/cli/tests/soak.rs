//! The soak test's own fleet, without troubles: what it starts serves, and its judge has nothing to say.

use std::path::PathBuf;
use std::time::Duration;

use leadrelay_soak::deployment::{Plan, run};

#[test]
fn a_fleet_without_troubles_breaks_no_promise() {
    let folder = std::env::temp_dir().join(format!("soak-{}", std::process::id()));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_leadrelay"));
    let log_filter = "info".to_owned();
    let plan = Plan { seed: 1, span: Duration::ZERO, program, folder: folder.clone(), log_filter };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let report = runtime.block_on(run(&plan)).expect("it plays");
    let violations: Vec<&str> = report.violations.iter().map(|violation| violation.what.as_str()).collect();
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(report.counts["served"] > 100, "{:?}", report.counts);
    std::fs::remove_dir_all(folder).expect("it is there");
}
