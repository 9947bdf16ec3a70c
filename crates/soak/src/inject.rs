//! Injects faults into a running fleet and ends each of them after its duration.

use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use tokio::time::sleep;

use crate::backend::{Backend, BackendMode};
use crate::clients::ClientBehavior;
use crate::discovery::{self, DiscoveryMode, Health};
use crate::error::Error;
use crate::fault::{ClientFault, Fault};
use crate::fleet::Fleet;
use crate::history::{OutOfService, OutOfServiceIndex};
use crate::proxy::Proxy;
use crate::syscall_faults::{Errno, SocketErrors};

/// Range of the random duration of a fault, in milliseconds.
const DURATION_MS: Range<u64> = 500..3500;
/// Range of the time for which a process stays stopped, in milliseconds.
const PAUSE_MS: Range<u64> = 20..150;
/// Time between the crash of a backend and its restart after a clock step.
const CLOCK_STEP_RESTART_DELAY: Duration = Duration::from_millis(100);
/// Time between the crash of a backend and its restart during maintenance.
const MAINTENANCE_RESTART_DELAY: Duration = Duration::from_millis(200);
/// Time between the restart of a backend and the end of its maintenance.
const MAINTENANCE_END_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of calls to a proxy to end a backend's maintenance; the calls stop when the proxy confirms.
const MAX_READY_CALLS: usize = 20;
/// Interval between calls to end a backend's maintenance.
const READY_CALL_PERIOD: Duration = Duration::from_millis(200);

/// Injects a fault and waits until it has ended. The seed determines its duration and other random details.
///
/// # Errors
/// If a part of the fleet fails in a way that the faults do not explain.
pub async fn inject(fleet: &Fleet, fault: Fault, seed: u64) -> Result<(), Error> {
    let mut rng = Rng::with_seed(seed);
    let duration = Duration::from_millis(rng.u64(DURATION_MS));
    fleet.recorder.record_fault(format!("{fault:?} for {duration:?}"));
    Injection { fleet, duration, rng }.run(fault).await
}

/// A fault in progress.
struct Injection<'a> {
    fleet: &'a Fleet,
    /// Base duration; some faults last a fixed multiple or part of it.
    duration: Duration,
    rng: Rng,
}

impl Injection<'_> {
    async fn run(mut self, fault: Fault) -> Result<(), Error> {
        match fault {
            Fault::Restart(proxy) => self.proxy(proxy).restart().await?,
            Fault::Kill(proxy) => self.proxy(proxy).kill(self.duration / 2).await?,
            Fault::Upgrade(proxy) => self.proxy(proxy).upgrade().await?,
            Fault::Reload { proxy, broken } => self.proxy(proxy).reload(broken).await?,
            Fault::Pause(proxy) => {
                let pause = Duration::from_millis(self.rng.u64(PAUSE_MS));
                self.proxy(proxy).pause(pause).await;
            }
            Fault::Drain(proxy) => self.drain(proxy).await,
            Fault::Maintenance(backend) => self.maintain(backend).await?,
            Fault::Replace(backend) => self.replace(backend).await?,
            Fault::Crash(backend) => self.crash(backend).await?,
            Fault::Misbehave { backend, mode } => self.misbehave(backend, mode).await,
            Fault::DiscoveryDown => self.stop_discovery().await?,
            Fault::Discovery(mode) => self.degrade_discovery(mode).await,
            Fault::WatchesReset => self.fleet.discovery.reset_watches(),
            Fault::ClockStep { seconds, backend } => self.step_wall_clock(seconds, backend).await?,
            Fault::SystemErrors { proxy, errno } => self.fail_sockets(proxy, errno).await,
            Fault::Interruptions(proxy) => self.interrupt(proxy).await,
            Fault::Files { proxy, errno } => self.fail_files(proxy, errno).await,
            Fault::Clients(fault) => self.change_client_behavior(fault).await,
        }
        Ok(())
    }

    fn proxy(&self, proxy: usize) -> &Arc<Proxy> {
        &self.fleet.proxies[proxy]
    }

    fn backend(&self, backend: usize) -> &Backend {
        &self.fleet.backends[backend]
    }

    async fn drain(&self, proxy: usize) {
        let _ = self.proxy(proxy).call("PUT /healthcheck/fail").await; // fails if the proxy is restarting
        sleep(self.duration).await;
        let _ = self.proxy(proxy).call("PUT /healthcheck/ok").await;
    }

    async fn crash(&self, backend: usize) -> Result<(), Error> {
        self.backend(backend).crash();
        sleep(self.duration).await;
        self.fleet.restart_backend(backend).await
    }

    async fn misbehave(&self, backend: usize, mode: BackendMode) {
        self.backend(backend).set_mode(mode);
        sleep(self.duration).await;
        self.backend(backend).set_mode(BackendMode::Serve);
    }

    async fn stop_discovery(&self) -> Result<(), Error> {
        self.fleet.discovery.stop();
        sleep(2 * self.duration).await;
        self.fleet.discovery.resume().await?;
        self.fleet.recorder.record_discovery_recovery();
        Ok(())
    }

    async fn degrade_discovery(&self, mode: DiscoveryMode) {
        self.fleet.discovery.set_mode(mode);
        sleep(2 * self.duration).await;
        self.fleet.discovery.set_mode(DiscoveryMode::Up);
        self.fleet.recorder.record_discovery_recovery();
    }

    async fn step_wall_clock(&self, seconds: i64, backend: usize) -> Result<(), Error> {
        self.fleet.step_wall_clock(seconds);
        sleep(self.duration).await;
        self.backend(backend).crash();
        sleep(CLOCK_STEP_RESTART_DELAY).await;
        self.fleet.restart_backend(backend).await
    }

    async fn fail_sockets(&mut self, proxy: usize, errno: Errno) {
        let percent = self.rng.u64(20..100);
        let errors = match errno {
            Errno::ConnectionAborted => SocketErrors { accept: Some(errno), ..SocketErrors::default() },
            Errno::AddressNotAvailable | Errno::NetworkUnreachable => {
                SocketErrors { connect: Some(errno), ..SocketErrors::default() }
            }
            _ => SocketErrors { accept: Some(errno), socket: Some(errno), connect: None },
        };
        let faults = &self.proxy(proxy).syscall_faults;
        faults.fail_sockets(errors, percent);
        sleep(self.duration / 2).await;
        faults.clear();
    }

    async fn interrupt(&mut self, proxy: usize) {
        let interrupted_percent = self.rng.u64(5..40);
        let short_percent = self.rng.u64(5..60);
        let faults = &self.proxy(proxy).syscall_faults;
        faults.interrupt(interrupted_percent, short_percent);
        sleep(self.duration).await;
        faults.clear();
    }

    async fn fail_files(&mut self, proxy: usize, errno: Errno) {
        let percent = self.rng.u64(50..=100);
        let faults = &self.proxy(proxy).syscall_faults;
        faults.fail_files(errno, percent);
        sleep(self.duration).await;
        faults.clear();
    }

    async fn change_client_behavior(&self, fault: ClientFault) {
        self.fleet.set_client_behavior(fault.behavior());
        sleep(self.duration).await;
        self.fleet.set_client_behavior(ClientBehavior::NORMAL);
    }

    /// Drains a backend, removes it and starts a new process in its place.
    async fn replace(&self, backend: usize) -> Result<(), Error> {
        let period = self.fleet.start_draining(backend);
        sleep(self.duration).await;
        self.fleet.discovery.publish(self.backend(backend), Health::Removed, None);
        self.backend(backend).crash();
        sleep(self.duration / 2).await;
        self.fleet.recorder.end_out_of_service(&[period]);
        self.fleet.restart_backend(backend).await
    }

    /// Puts a backend into maintenance at all proxies, restarts it and ends the maintenance.
    async fn maintain(&self, backend: usize) -> Result<(), Error> {
        let periods = self.start_maintenance(backend).await;
        sleep(self.duration).await;
        self.backend(backend).crash();
        sleep(MAINTENANCE_RESTART_DELAY).await;
        self.fleet.restart_backend(backend).await?;
        sleep(MAINTENANCE_END_DELAY).await;
        // Proxies may use the backend again from the first call on, even if that call gets no response.
        self.fleet.recorder.end_out_of_service(&periods);
        for proxy in &self.fleet.proxies {
            end_maintenance(proxy, backend).await;
        }
        Ok(())
    }

    /// Puts a backend into maintenance at all proxies; records an out-of-service period for each proxy that confirms.
    async fn start_maintenance(&self, backend: usize) -> Vec<OutOfServiceIndex> {
        let call = format!("PUT /backends/{}/maint", discovery::backend_name(backend));
        let mut confirmed = Vec::new();
        for proxy in &self.fleet.proxies {
            if matches!(proxy.call(&call).await, Ok((200, _))) {
                confirmed.push((proxy, Instant::now()));
            }
        }
        let record = |(proxy, since): (&Arc<Proxy>, Instant)| {
            self.fleet.recorder.record_out_of_service(OutOfService {
                backend,
                proxy: Some(proxy.spec.index),
                since,
                until: None,
                ends_with_process: !proxy.can_upgrade(),
            })
        };
        confirmed.into_iter().map(record).collect()
    }
}

async fn end_maintenance(proxy: &Proxy, backend: usize) {
    let call = format!("PUT /backends/{}/ready", discovery::backend_name(backend));
    for _ in 0..MAX_READY_CALLS {
        if matches!(proxy.call(&call).await, Ok((200, _))) {
            return;
        }
        sleep(READY_CALL_PERIOD).await;
    }
}
