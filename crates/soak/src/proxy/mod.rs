//! One proxy of a fleet: starts, terminates, kills and upgrades its processes.

mod launch;
mod monitor;
mod process;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::process::{Pid, Signal};
use tokio::time::sleep;

use crate::admin;
use crate::error::Error;
use crate::history::{ProcessEvent, Recorder};
use crate::settings::ProxySpec;
use crate::syscall_faults::SyscallFaults;
use launch::{broken_config, config_after_reloads};
use monitor::Monitor;
use process::Process;

pub use launch::LaunchOptions;

/// A process has to be ready within this time.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// A successor has to be ready within this time.
const UPGRADE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after SIGTERM for which the platform still sends new connections to the proxy.
const PLATFORM_ROUTING_DELAY: Duration = Duration::from_millis(300);

/// One proxy of a fleet.
pub struct Proxy {
    /// The proxy's position in the fleet and its addresses.
    pub spec: ProxySpec,
    /// Faults in the system calls of the proxy's processes.
    pub syscall_faults: SyscallFaults,
    options: LaunchOptions,
    /// The listening socket that the platform passes to each process, if any.
    passed_listener: Option<TcpListener>,
    recorder: Arc<Recorder>,
    /// All processes so far, the newest last.
    processes: Mutex<Vec<Arc<Process>>>,
    /// Whether the platform sends new connections to the proxy.
    accepts_connections: AtomicBool,
    reloads: AtomicUsize,
    /// Locked while processes are started or ended, so that only one such operation runs at a time.
    lifecycle: tokio::sync::Mutex<()>,
}

impl Proxy {
    /// Creates a proxy without starting a process.
    ///
    /// # Errors
    /// If its folder or its fault control file can't be created.
    pub fn new(
        spec: ProxySpec, options: &LaunchOptions, passed_listener: Option<TcpListener>,
        recorder: Arc<Recorder>,
    ) -> Result<Arc<Self>, Error> {
        let options = options.for_proxy(spec.index)?;
        Ok(Arc::new(Proxy {
            spec,
            syscall_faults: SyscallFaults::new(&options.faults_file())?,
            options,
            passed_listener,
            recorder,
            processes: Mutex::default(),
            accepts_connections: AtomicBool::new(false),
            reloads: AtomicUsize::new(0),
            lifecycle: tokio::sync::Mutex::default(),
        }))
    }

    /// Whether the platform sends new connections to the proxy.
    pub fn accepts_connections(&self) -> bool {
        self.accepts_connections.load(SeqCst)
    }

    /// Whether the proxy can be upgraded, which requires a listening socket that outlives the process.
    pub fn can_upgrade(&self) -> bool {
        self.passed_listener.is_some()
    }

    /// Starts a process and waits until it is ready.
    ///
    /// # Errors
    /// If the process does not start, or is not ready in time.
    pub async fn start(&self) -> Result<(), Error> {
        let _lifecycle = self.lifecycle.lock().await;
        self.start_process().await
    }

    async fn start_process(&self) -> Result<(), Error> {
        let process = self.spawn()?;
        self.wait_ready(&process, READY_TIMEOUT).await?;
        self.accepts_connections.store(true, SeqCst);
        Ok(())
    }

    /// Terminates the process, and starts another one once it has exited.
    ///
    /// # Errors
    /// As [`Proxy::start`].
    pub async fn restart(&self) -> Result<(), Error> {
        let _lifecycle = self.lifecycle.lock().await;
        let Some(process) = self.newest_running() else { return Ok(()) };
        self.record(ProcessEvent::Terminated);
        process.terminate();
        sleep(PLATFORM_ROUTING_DELAY).await;
        self.accepts_connections.store(false, SeqCst);
        self.wait_for_exit(&process).await;
        self.start_process().await
    }

    /// Kills all processes, and starts another one after the given time.
    ///
    /// # Errors
    /// As [`Proxy::start`].
    pub async fn kill(&self, down_time: Duration) -> Result<(), Error> {
        let _lifecycle = self.lifecycle.lock().await;
        let processes = self.processes().clone();
        self.accepts_connections.store(false, SeqCst);
        self.record(ProcessEvent::Killed);
        for process in processes.iter().filter(|process| process.is_running()) {
            process.kill();
        }
        sleep(down_time).await;
        self.start_process().await
    }

    /// Starts a successor while the current process runs, and terminates the predecessor once the successor is ready.
    ///
    /// # Errors
    /// As [`Proxy::start`].
    pub async fn upgrade(&self) -> Result<(), Error> {
        let _lifecycle = self.lifecycle.lock().await;
        let Some(old) = self.newest_running() else { return Ok(()) };
        let new = self.spawn()?;
        self.wait_ready(&new, UPGRADE_TIMEOUT).await?;
        self.record(ProcessEvent::Terminated);
        old.terminate();
        self.wait_for_exit(&old).await;
        Ok(())
    }

    /// Writes another configuration, or a broken one, and sends SIGHUP.
    ///
    /// # Errors
    /// If the file can't be written.
    pub async fn reload(&self, broken: bool) -> io::Result<()> {
        let Some(process) = self.newest_running() else { return Ok(()) };
        let reloads = self.reloads.fetch_add(1, SeqCst);
        let config = self.config(process.admin);
        let text = if broken { broken_config(&config, reloads) } else { &config };
        std::fs::write(self.options.config_file(), text)?;
        process.signal(Signal::HUP);
        Ok(())
    }

    /// Stops the newest process for a while by SIGSTOP, which a process can't notice.
    pub async fn pause(&self, duration: Duration) {
        let Some(process) = self.newest_running() else { return };
        process.signal(Signal::STOP);
        sleep(duration).await;
        process.signal(Signal::CONT);
    }

    /// Makes a call to the admin address of the newest running process.
    ///
    /// # Errors
    /// If no process is running, or it does not respond.
    pub async fn call(&self, method_and_path: &str) -> io::Result<(u16, String)> {
        let process = self.newest_running().ok_or(io::ErrorKind::NotConnected)?;
        admin::call(process.admin, method_and_path).await
    }

    /// Kills all processes, at the end of a run.
    pub fn stop(&self) {
        self.accepts_connections.store(false, SeqCst);
        for process in self.processes().iter() {
            process.kill();
        }
    }

    fn processes(&self) -> MutexGuard<'_, Vec<Arc<Process>>> {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest process that has not exited.
    fn newest_running(&self) -> Option<Arc<Process>> {
        self.processes().iter().rev().find(|process| process.is_running()).cloned()
    }

    fn record(&self, event: ProcessEvent) {
        self.recorder.record_process(self.spec.index, event);
    }

    fn config(&self, admin: SocketAddr) -> String {
        config_after_reloads(&self.spec, admin, self.reloads.load(SeqCst))
    }

    fn spawn(&self) -> Result<Arc<Process>, Error> {
        let admin = free_address()?;
        std::fs::write(self.options.config_file(), self.config(admin))?;
        let mut child = self.options.spawn(self.passed_listener.as_ref(), &self.syscall_faults)?;
        let pid = child.id().and_then(|pid| Pid::from_raw(pid as i32));
        let pid = pid.ok_or(Error::ExitedEarly { proxy: self.spec.index })?;
        self.record(ProcessEvent::Started);
        let process = Arc::new(Process::new(pid, admin));
        self.processes().push(process.clone());
        if let Some(log) = child.stderr.take() {
            let path = self.options.log_file(pid.as_raw_nonzero().get());
            tokio::spawn(monitor::copy_log(log, path, self.spec.index, self.recorder.clone()));
        }
        let recorder = self.recorder.clone();
        let monitor = Monitor { proxy: self.spec.index, process: process.clone(), recorder };
        tokio::spawn(monitor.watch(child));
        Ok(process)
    }

    async fn wait_ready(&self, process: &Process, timeout: Duration) -> Result<(), Error> {
        process.wait_ready(self.spec.index, timeout).await?;
        self.record(ProcessEvent::Ready);
        Ok(())
    }

    /// Waits until a terminated process has exited; kills the process if that takes too long.
    async fn wait_for_exit(&self, process: &Process) {
        if process.exit_or_kill().await {
            self.record(ProcessEvent::Killed);
        }
    }
}

/// Returns a loopback address whose port is currently free.
///
/// # Errors
/// If no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
