//! One run of a small fleet: starts it, injects faults, and checks the invariants.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::error::Error;
use crate::fault::Fault;
use crate::fleet::Fleet;
use crate::history::SchedulingDelay;
use crate::inject::inject;
use crate::invariants;
use crate::proxy::LaunchOptions;
use crate::report::Report;

/// Time without faults before the first fault and after the last one.
const QUIET_PERIOD: Duration = Duration::from_millis(2500);
/// Maximum time between the starts of two consecutive faults of a group.
const MAX_FAULT_OFFSET: Duration = Duration::from_millis(700);
/// Pause between one group of faults and the next.
const GROUP_PERIOD: Duration = Duration::from_millis(2500);
/// Time within which all faults have to end after the last group.
const FAULT_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between checks whether this process itself is scheduled late.
const DELAY_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Minimum delay of this process that is recorded.
const MIN_RECORDED_DELAY: Duration = Duration::from_millis(15);
/// The metric with which a proxy counts the violations that it detects itself.
const VIOLATIONS_METRIC: &str = "leadrelay_invariant_violations_total";

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed that alone determines which faults are injected and when. Their effects on real sockets differ between
    /// runs.
    pub seed: u64,
    /// Time during which new faults are injected.
    pub duration: Duration,
    /// Options for starting proxies.
    pub launch: LaunchOptions,
}

/// Runs a fleet and checks the invariants.
///
/// # Errors
/// If the fleet can't be started.
pub async fn run(plan: &Plan) -> Result<Report, Error> {
    let mut rng = Rng::with_seed(plan.seed);
    let fleet = Fleet::start(&plan.launch, &mut rng).await?;
    let delay_monitor = monitor_scheduling(&fleet);
    let mut clients = fleet.start_clients();
    sleep(QUIET_PERIOD).await;
    let faults_result = inject_faults(&fleet, plan.duration, &mut rng).await;
    sleep(QUIET_PERIOD).await;
    clients.abort_all();
    let mut self_reported_violations = Vec::new();
    for proxy in &fleet.proxies {
        if let Ok((200, metrics)) = proxy.call("GET /metrics").await {
            self_reported_violations.extend(violation_lines(&metrics));
        }
        proxy.stop();
    }
    delay_monitor.abort();
    let history = fleet.recorder.history();
    let violations = invariants::check(&history, &fleet.backends);
    let mut report = Report::new(&history, violations);
    report.add_self_reported_violations(self_reported_violations);
    if let Err(error) = faults_result {
        report.add_failure(&error.to_string());
    }
    Ok(report)
}

/// Returns the metrics lines in which a proxy reports violations that it detected itself.
fn violation_lines(metrics: &str) -> Vec<String> {
    let lines = metrics.lines().filter(|line| line.starts_with(VIOLATIONS_METRIC));
    lines.filter(|line| !line.ends_with(" 0")).map(str::to_owned).collect()
}

/// Records when this process itself is scheduled late.
fn monitor_scheduling(fleet: &Fleet) -> JoinHandle<()> {
    let recorder = fleet.recorder.clone();
    tokio::spawn(async move {
        loop {
            let started_at = Instant::now();
            sleep(DELAY_CHECK_PERIOD).await;
            let delay = started_at.elapsed().saturating_sub(DELAY_CHECK_PERIOD);
            if delay >= MIN_RECORDED_DELAY {
                let delay = SchedulingDelay { at: Instant::now(), delay };
                recorder.history().scheduling_delays.push(delay);
            }
        }
    })
}

/// Injects groups of faults, one after another. The order of the random draws must not change: a seed has to give the
/// same faults in each run.
async fn inject_faults(fleet: &Arc<Fleet>, duration: Duration, rng: &mut Rng) -> Result<(), Error> {
    let end = Instant::now() + duration;
    let mut running = JoinSet::new();
    while Instant::now() < end {
        for _ in 0..rng.usize(2..=3) {
            let fault = Fault::random(rng, fleet.fault_scope());
            let seed = rng.u64(..);
            let fleet = fleet.clone();
            running.spawn(async move { inject(&fleet, fault, seed).await });
            sleep(MAX_FAULT_OFFSET.mul_f64(rng.f64())).await;
        }
        sleep(GROUP_PERIOD).await;
    }
    let result = tokio::time::timeout(FAULT_TIMEOUT, wait_for_all(running)).await;
    result.unwrap_or(Err(Error::FaultTimeout))
}

async fn wait_for_all(mut running: JoinSet<Result<(), Error>>) -> Result<(), Error> {
    while let Some(end) = running.join_next().await {
        end??;
    }
    Ok(())
}
