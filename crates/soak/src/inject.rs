//! Injects faults into a running fleet, each from start to end.

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

/// The duration of a fault that has no length of its own, in milliseconds.
const DURATION_MS: Range<u64> = 500..3500;
/// For how long a stopped process stays so, in milliseconds.
const PAUSE_MS: Range<u64> = 20..150;
/// Between the crash of a backend and its restart after a clock step.
const CLOCK_STEP_RESTART: Duration = Duration::from_millis(100);
/// Between the crash of a backend and its restart in maintenance.
const MAINTENANCE_RESTART: Duration = Duration::from_millis(200);
/// Between the restart of a backend and the end of its maintenance.
const MAINTENANCE_END_DELAY: Duration = Duration::from_millis(300);
/// How many times a proxy is asked to end a backend's maintenance, until it confirms.
const READY_CALLS: usize = 20;
/// Between those calls.
const READY_CALL_PERIOD: Duration = Duration::from_millis(200);

/// Injects a fault and waits until it has ended. What is still random about it comes from the seed.
///
/// # Errors
/// If a part of the fleet fails in a way that no fault explains.
pub async fn inject(fleet: &Fleet, fault: Fault, seed: u64) -> Result<(), Error> {
    let mut rng = Rng::with_seed(seed);
    let duration = Duration::from_millis(rng.u64(DURATION_MS));
    fleet.recorder.record_fault(format!("{fault:?} for {duration:?}"));
    Injection { fleet, duration, rng }.run(fault).await
}

/// A fault while it lasts.
struct Injection<'a> {
    fleet: &'a Fleet,
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
            Fault::Discovery(mode) => self.disturb_discovery(mode).await,
            Fault::WatchesReset => self.fleet.discovery.reset_watches(),
            Fault::ClockStep { seconds, backend } => self.step_clock(seconds, backend).await?,
            Fault::SystemErrors { proxy, errno } => self.fail_sockets(proxy, errno).await,
            Fault::Interruptions(proxy) => self.interrupt(proxy).await,
            Fault::Files { proxy, errno } => self.fail_files(proxy, errno).await,
            Fault::Clients(fault) => self.disturb_clients(fault).await,
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
        let _ = self.proxy(proxy).call("PUT /healthcheck/fail").await; // a restart may overlap
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

    async fn disturb_discovery(&self, mode: DiscoveryMode) {
        self.fleet.discovery.set_mode(mode);
        sleep(2 * self.duration).await;
        self.fleet.discovery.set_mode(DiscoveryMode::Up);
        self.fleet.recorder.record_discovery_recovery();
    }

    async fn step_clock(&self, seconds: i64, backend: usize) -> Result<(), Error> {
        self.fleet.step_clock(seconds);
        sleep(self.duration).await;
        self.backend(backend).crash();
        sleep(CLOCK_STEP_RESTART).await;
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

    async fn disturb_clients(&self, fault: ClientFault) {
        self.fleet.set_client_behavior(fault.behavior());
        sleep(self.duration).await;
        self.fleet.set_client_behavior(ClientBehavior::USUAL);
    }

    /// A backend drains, is removed and returns as a new process.
    async fn replace(&self, backend: usize) -> Result<(), Error> {
        let period = self.fleet.start_draining(backend);
        sleep(self.duration).await;
        self.fleet.discovery.publish(self.backend(backend), Health::Removed, None);
        self.backend(backend).crash();
        sleep(self.duration / 2).await;
        self.fleet.recorder.end_out_of_service(&[period]);
        self.fleet.restart_backend(backend).await
    }

    /// Operators put a backend into maintenance everywhere; it is restarted meanwhile.
    async fn maintain(&self, backend: usize) -> Result<(), Error> {
        let periods = self.start_maintenance(backend).await;
        sleep(self.duration).await;
        self.backend(backend).crash();
        sleep(MAINTENANCE_RESTART).await;
        self.fleet.restart_backend(backend).await?;
        sleep(MAINTENANCE_END_DELAY).await;
        // From the first call on, whether or not it is answered, the backend may be used again.
        self.fleet.recorder.end_out_of_service(&periods);
        for proxy in &self.fleet.proxies {
            end_maintenance(proxy, backend).await;
        }
        Ok(())
    }

    /// Puts a backend into maintenance at all proxies that confirm it.
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
    for _ in 0..READY_CALLS {
        if matches!(proxy.call(&call).await, Ok((200, _))) {
            return;
        }
        sleep(READY_CALL_PERIOD).await;
    }
}
