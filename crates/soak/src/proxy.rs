//! The processes of one proxy: started, told to end, killed, upgraded, and watched.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::sleep;

use crate::admin;
use crate::faults::{Faults, LIBRARY, VARIABLE};
use crate::ledger::{Ledger, ProcessEvent};
use crate::settings::{DEADLINE, Place, SOCKETS, config};

/// A process has to be ready within this span.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// A successor has to say that it can serve within this span.
const UPGRADE_LIMIT: Duration = Duration::from_secs(6);
/// SIGKILL follows SIGTERM after the longest deadline and this span.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// For so long after SIGTERM new connections still come.
const FRONT_DELAY: Duration = Duration::from_millis(300);
/// Between looks at what a process holds.
const WATCH_PERIOD: Duration = Duration::from_millis(250);
/// Memory that a proxy may hold, in kB.
const MEMORY_KB: usize = 64_000;
/// What a line of the log says that tells of a fault.
const FAULT_LINES: [&str; 3] = ["an invariant is violated", "breaks an invariant", "panicked"];

/// A process that runs, or has ended.
struct Process {
    pid: Pid,
    admin: SocketAddr,
    state: Arc<ProcessState>,
}

#[derive(Default)]
struct ProcessState {
    /// It was told to end, or killed.
    told: AtomicBool,
    killed: AtomicBool,
    ended: AtomicBool,
}

impl Process {
    fn signal(&self, signal: Signal) {
        if !self.state.ended.load(SeqCst) {
            let _ = kill_process(self.pid, signal); // it may have ended just now
        }
    }

    fn runs(&self) -> bool {
        !self.state.ended.load(SeqCst)
    }

    /// Kills it unless it ends by the time that the platform gives it. Returns whether it had to be.
    async fn end_or_kill(&self) -> bool {
        let by = Instant::now() + DEADLINE + KILL_GRACE;
        while self.runs() && Instant::now() < by {
            sleep(Duration::from_millis(5)).await;
        }
        let late = self.runs();
        if late {
            self.state.killed.store(true, SeqCst);
            self.signal(Signal::KILL);
        }
        late
    }
}

/// One proxy of a fleet.
pub struct Proxy {
    /// Where it stands.
    pub place: Place,
    /// What fails in its processes.
    pub faults: Faults,
    program: PathBuf,
    folder: PathBuf,
    log_filter: String,
    /// The platform's listening socket, where it passes one.
    passed: Option<TcpListener>,
    ledger: Arc<Ledger>,
    /// The newest last.
    processes: Mutex<Vec<Arc<Process>>>,
    accepts: AtomicBool,
    reloads: AtomicUsize,
    /// One change of its processes at a time.
    changing: tokio::sync::Mutex<()>,
}

impl Proxy {
    /// A proxy without a process.
    ///
    /// # Errors
    /// If its folder can't be made.
    pub fn new(
        place: Place, program: &Path, folder: &Path, log_filter: &str, passed: Option<TcpListener>,
        ledger: Arc<Ledger>,
    ) -> anyhow::Result<Arc<Self>> {
        let folder = folder.join(format!("n{}", place.number));
        std::fs::create_dir_all(folder.join("tmp"))
            .with_context(|| format!("can't make {}", folder.display()))?;
        let faults = Faults::new(&folder.join("faults"))?;
        Ok(Arc::new(Proxy {
            place,
            faults,
            program: program.to_owned(),
            folder,
            log_filter: log_filter.to_owned(),
            passed,
            ledger,
            processes: Mutex::default(),
            accepts: AtomicBool::new(false),
            reloads: AtomicUsize::new(0),
            changing: tokio::sync::Mutex::default(),
        }))
    }

    /// Whether the platform's front sends it new connections.
    pub fn accepts(&self) -> bool {
        self.accepts.load(SeqCst)
    }

    /// Whether it can be upgraded: only where its listening socket outlives a process.
    pub fn can_upgrade(&self) -> bool {
        self.passed.is_some()
    }

    /// Starts a process and waits until clients may be sent there.
    ///
    /// # Errors
    /// If it does not start, or is not ready in time.
    pub async fn start(self: &Arc<Self>) -> anyhow::Result<()> {
        let _changing = self.changing.lock().await;
        self.start_alone().await
    }

    async fn start_alone(self: &Arc<Self>) -> anyhow::Result<()> {
        let process = self.spawn()?;
        self.wait_ready(&process, READY_LIMIT).await?;
        self.accepts.store(true, SeqCst);
        Ok(())
    }

    /// Tells the process to end, and starts another one once it has.
    ///
    /// # Errors
    /// As [`Proxy::start`].
    pub async fn restart(self: &Arc<Self>) -> anyhow::Result<()> {
        let _changing = self.changing.lock().await;
        let Some(process) = self.newest() else { return Ok(()) };
        process.state.told.store(true, SeqCst);
        self.ledger.process(self.place.number, ProcessEvent::Terminated);
        process.signal(Signal::TERM);
        sleep(FRONT_DELAY).await;
        self.accepts.store(false, SeqCst);
        if process.end_or_kill().await {
            self.ledger.process(self.place.number, ProcessEvent::Killed);
        }
        self.start_alone().await
    }

    /// Kills the process, and starts another one some time later.
    ///
    /// # Errors
    /// As [`Proxy::start`].
    pub async fn kill(self: &Arc<Self>, down: Duration) -> anyhow::Result<()> {
        let _changing = self.changing.lock().await;
        let running: Vec<_> = self.processes().iter().filter(|process| process.runs()).cloned().collect();
        self.accepts.store(false, SeqCst);
        self.ledger.process(self.place.number, ProcessEvent::Killed);
        for process in running {
            process.state.killed.store(true, SeqCst);
            process.signal(Signal::KILL);
        }
        sleep(down).await;
        self.start_alone().await
    }

    /// Starts a successor beside the process, and tells that one to end once the successor can serve.
    ///
    /// # Errors
    /// As [`Proxy::start`].
    pub async fn upgrade(self: &Arc<Self>) -> anyhow::Result<()> {
        let _changing = self.changing.lock().await;
        let Some(old) = self.newest() else { return Ok(()) };
        let new = self.spawn()?;
        self.wait_ready(&new, UPGRADE_LIMIT).await?;
        old.state.told.store(true, SeqCst);
        self.ledger.process(self.place.number, ProcessEvent::Terminated);
        old.signal(Signal::TERM);
        if old.end_or_kill().await {
            self.ledger.process(self.place.number, ProcessEvent::Killed);
        }
        Ok(())
    }

    /// Writes another configuration, or a broken one, and sends SIGHUP.
    ///
    /// # Errors
    /// If the file can't be written.
    pub async fn reload(&self, broken: bool) -> io::Result<()> {
        let Some(process) = self.newest() else { return Ok(()) };
        let number = self.reloads.fetch_add(1, SeqCst);
        let text = self.config(process.admin).to_string();
        let text = if broken { &text[..text.len() * (number % 7) / 7] } else { &text };
        std::fs::write(self.config_file(), text)?;
        process.signal(Signal::HUP);
        Ok(())
    }

    /// Holds the process up for a while.
    pub async fn pause(&self, span: Duration) {
        let Some(process) = self.newest() else { return };
        process.signal(Signal::STOP);
        sleep(span).await;
        process.signal(Signal::CONT);
    }

    /// Makes a call to the second address of the newest process.
    ///
    /// # Errors
    /// If there is none, or it does not answer.
    pub async fn call(&self, call: &str) -> io::Result<(u16, String)> {
        let process = self.newest().ok_or(io::ErrorKind::NotConnected)?;
        admin::call(process.admin, call).await
    }

    /// Ends all processes at once.
    pub fn stop(&self) {
        self.accepts.store(false, SeqCst);
        for process in self.processes().iter() {
            process.state.killed.store(true, SeqCst);
            process.signal(Signal::KILL);
        }
    }

    fn processes(&self) -> MutexGuard<'_, Vec<Arc<Process>>> {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn newest(&self) -> Option<Arc<Process>> {
        self.processes().iter().rev().find(|process| process.runs()).cloned()
    }

    fn config_file(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    fn config(&self, admin: SocketAddr) -> serde_json::Value {
        let reloads = self.reloads.load(SeqCst);
        config(&self.place, admin, fastrand::u64(..), reloads % 4)
    }

    fn spawn(self: &Arc<Self>) -> anyhow::Result<Arc<Process>> {
        let admin = free_address()?;
        std::fs::write(self.config_file(), self.config(admin).to_string())?;
        let mut command = match &self.passed {
            Some(listener) => {
                // Descriptor 3 as the platform passes it: through the shell, the only way without system calls.
                let mut shell = Command::new("sh");
                shell.args(["-c", "exec 3<&0 </dev/null; exec \"$0\" \"$@\""]).arg(&self.program);
                shell.stdin(OwnedFd::from(listener.try_clone()?)).env("NODE_PASSED_SOCKET", "3");
                shell
            }
            None => {
                let mut command = Command::new(&self.program);
                command.stdin(Stdio::null());
                command
            }
        };
        command.args(["serve", "--log", &self.log_filter]).env("NODE_CONFIG", self.config_file());
        command.env("TMPDIR", self.folder.join("tmp"));
        command.env("LD_PRELOAD", LIBRARY).env(VARIABLE, self.faults.path());
        let mut child =
            command.stderr(Stdio::piped()).kill_on_drop(true).spawn().context("the proxy does not start")?;
        let pid = child.id().and_then(|pid| Pid::from_raw(pid as i32)).context("it has ended at once")?;
        self.ledger.process(self.place.number, ProcessEvent::Started);
        let process = Arc::new(Process { pid, admin, state: Arc::default() });
        self.processes().push(process.clone());
        if let Some(log) = child.stderr.take() {
            tokio::spawn(self.clone().keep_log(log, pid));
        }
        tokio::spawn(self.clone().watch(child, process.clone()));
        Ok(process)
    }

    async fn wait_ready(&self, process: &Process, limit: Duration) -> anyhow::Result<()> {
        let by = Instant::now() + limit;
        while Instant::now() < by {
            anyhow::ensure!(
                process.runs(),
                "a process of proxy {} has ended at its start",
                self.place.number
            );
            if matches!(admin::call(process.admin, "GET /healthcheck").await, Ok((200, _))) {
                self.ledger.process(self.place.number, ProcessEvent::Ready);
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        anyhow::bail!("proxy {} is not ready in {limit:?}", self.place.number)
    }

    /// Keeps the log, and notes what it tells of faults.
    async fn keep_log(self: Arc<Self>, log: ChildStderr, pid: Pid) {
        let path = self.folder.join(format!("{}.log", pid.as_raw_nonzero()));
        let Ok(mut file) = tokio::fs::File::create(path).await else { return };
        let mut lines = BufReader::new(log).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let _ = file.write_all(format!("{line}\n").as_bytes()).await; // a log that can't be kept is no fault
            if FAULT_LINES.iter().any(|fault| line.contains(fault)) {
                self.ledger.process(self.place.number, ProcessEvent::Logged(line));
            }
        }
        let _ = file.flush().await;
    }

    /// Watches a process until it ends.
    async fn watch(self: Arc<Self>, mut child: Child, process: Arc<Process>) {
        let status = loop {
            tokio::select! {
                status = child.wait() => break status,
                () = sleep(WATCH_PERIOD) => self.check_limits(&process),
            }
        };
        process.state.ended.store(true, SeqCst);
        self.ledger.process(self.place.number, end_of(status, &process.state));
    }

    fn check_limits(&self, process: &Process) {
        let folder = PathBuf::from(format!("/proc/{}", process.pid.as_raw_nonzero()));
        let descriptors = std::fs::read_dir(folder.join("fd")).map_or(0, Iterator::count);
        let memory = resident_kb(&folder).unwrap_or(0);
        if descriptors > SOCKETS || memory > MEMORY_KB {
            let what = format!("{descriptors} descriptors, {memory} kB");
            self.ledger.process(self.place.number, ProcessEvent::OverLimit(what));
        }
    }
}

fn end_of(status: io::Result<ExitStatus>, state: &ProcessState) -> ProcessEvent {
    match status {
        _ if state.killed.load(SeqCst) => ProcessEvent::Ended,
        Ok(status) if status.success() && state.told.load(SeqCst) => ProcessEvent::Ended,
        Ok(status) => ProcessEvent::Crashed(status.to_string()),
        Err(error) => ProcessEvent::Crashed(error.to_string()),
    }
}

fn resident_kb(folder: &Path) -> Option<usize> {
    let status = std::fs::read_to_string(folder.join("status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}

/// An address on loopback that nobody uses now.
///
/// # Errors
/// If there is none.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
