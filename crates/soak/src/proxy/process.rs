//! One process of a proxy.

use std::io;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::sleep;

use crate::admin;
use crate::error::Error;
use crate::history::ProcessEvent;
use crate::settings::MAX_DEADLINE;

/// Time beyond the longest deadline that a process may take to exit after SIGTERM, before SIGKILL is sent.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Interval between checks whether a process has exited.
const EXIT_CHECK_PERIOD: Duration = Duration::from_millis(5);
/// Interval between health checks of a starting process.
const READY_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// A process that is running or has exited.
pub(super) struct Process {
    pub(super) pid: Pid,
    pub(super) admin: SocketAddr,
    /// Whether SIGTERM was sent.
    terminated: AtomicBool,
    /// Whether SIGKILL was sent.
    killed: AtomicBool,
    exited: AtomicBool,
}

impl Process {
    pub(super) fn new(pid: Pid, admin: SocketAddr) -> Self {
        Process {
            pid,
            admin,
            terminated: AtomicBool::new(false),
            killed: AtomicBool::new(false),
            exited: AtomicBool::new(false),
        }
    }

    pub(super) fn signal(&self, signal: Signal) {
        if self.is_running() {
            let _ = kill_process(self.pid, signal); // fails if the process has just exited
        }
    }

    pub(super) fn terminate(&self) {
        self.terminated.store(true, SeqCst);
        self.signal(Signal::TERM);
    }

    pub(super) fn kill(&self) {
        self.killed.store(true, SeqCst);
        self.signal(Signal::KILL);
    }

    pub(super) fn is_running(&self) -> bool {
        !self.exited.load(SeqCst)
    }

    /// Waits for the process to exit after SIGTERM and kills it if that takes too long. Returns whether it was killed.
    pub(super) async fn exit_or_kill(&self) -> bool {
        let end = Instant::now() + MAX_DEADLINE + KILL_GRACE;
        while self.is_running() && Instant::now() < end {
            sleep(EXIT_CHECK_PERIOD).await;
        }
        let is_late = self.is_running();
        if is_late {
            self.kill();
        }
        is_late
    }

    /// Waits until the health check succeeds.
    pub(super) async fn wait_ready(&self, proxy: usize, timeout: Duration) -> Result<(), Error> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if !self.is_running() {
                return Err(Error::ExitedEarly { proxy });
            }
            if matches!(admin::call(self.admin, "GET /healthcheck").await, Ok((200, _))) {
                return Ok(());
            }
            sleep(READY_CHECK_PERIOD).await;
        }
        Err(Error::NotReady { proxy, timeout })
    }

    /// Marks the process as exited; returns the event that tells a requested exit from a crash.
    pub(super) fn mark_exited(&self, status: io::Result<ExitStatus>) -> ProcessEvent {
        self.exited.store(true, SeqCst);
        if self.killed.load(SeqCst) {
            return ProcessEvent::Ended;
        }
        match status {
            Ok(status) if status.success() && self.terminated.load(SeqCst) => ProcessEvent::Ended,
            Ok(status) => ProcessEvent::Crashed(status.to_string()),
            Err(error) => ProcessEvent::Crashed(error.to_string()),
        }
    }
}
