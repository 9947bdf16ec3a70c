//! An upgrade: two processes run beside each other as one proxy, on a listening socket that the platform holds.
//! What one needs of the other lies in one small file, replaced whole.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::fs::{File, TryLockError};
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::warn;

use crate::host::Host;

/// Version of the file's form. Another version's file is as good as none.
const VERSION: u32 = 1;

/// An order that can't be written down for this long is answered with no: its caller waits little longer.
const PATIENCE: Duration = Duration::from_millis(500);

/// A new process tries so often to read what a predecessor has left,
const READ_ATTEMPTS: u32 = 20;
/// and waits for so long in between.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// A file's number and the time of its last change.
type Mark = (u64, i64, i64);

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    Starting,
    Serving,
    /// It finishes what it has.
    Stopping,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Process {
    pid: u32,
    stage: Stage,
}

/// What two processes share by the file. Ids are those of the module; times are Unix times in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SharedState {
    version: u32,
    /// In the order of their starts.
    processes: Vec<Process>,
    pub drained: bool,
    pub bans: Vec<u64>,
    pub listed: Vec<u64>,
    pub hosts: Vec<Host>,
    pub speeds: Speeds,
}

/// A mean and its weight, as the file holds them.
pub type MeanRecord = (f64, f64);

/// What has been learnt, classes and kinds by their names.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Speeds {
    pub servers: Vec<(u64, MeanRecord)>,
    pub classes: BTreeMap<String, MeanRecord>,
    pub kinds: BTreeMap<String, (MeanRecord, f64, f64)>,
    /// Servers back from maintenance: since when they were in it, and when they came back, in Unix time. For processes
    /// that don't know `back_ages`.
    pub back: Vec<(u64, f64, f64)>,
    /// The same in milliseconds before this was written, which no step of the wall clock changes.
    #[serde(default)]
    pub back_ages: Vec<(u64, f64, f64)>,
}

/// What an operator has changed, to be written down before the yes.
struct Change {
    apply: Box<dyn Fn(&mut SharedState)>,
    due: Instant,
    done: oneshot::Sender<bool>,
}

/// This process's end of the file. The lock is never waited for, as the other process may be stopped while it holds it.
pub struct Handover {
    file: PathBuf,
    lock_path: PathBuf,
    /// Opened with the first change.
    lock: OnceCell<File>,
    /// What the file said when it was last read or written; it stands in for a file that is gone or broken.
    last: RefCell<Option<SharedState>>,
    stage: Cell<Stage>,
    /// Which file was last read or written.
    seen: Cell<Option<Mark>>,
    twin: Cell<bool>,
    owner: Cell<bool>,
    /// The file doesn't tell yet how far this process is.
    behind: Cell<bool>,
    /// Orders that are not written down yet.
    changes: RefCell<Vec<Change>>,
}

impl Handover {
    /// Announces this process in the file of this proxy; returns what a predecessor has left. What can't be written now
    /// is written later: it must not cost what has been read.
    pub fn open(folder: &Path, name: &str) -> (Self, Option<SharedState>) {
        let name: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
        let handover = Handover {
            file: folder.join(format!("leadrelay-{name}.json")),
            lock_path: folder.join(format!("leadrelay-{name}.lock")),
            lock: OnceCell::new(),
            last: RefCell::default(),
            stage: Cell::new(Stage::Starting),
            seen: Cell::new(None),
            twin: Cell::new(false),
            owner: Cell::new(false),
            behind: Cell::new(true),
            changes: RefCell::default(),
        };
        handover.seen.set(handover.mark());
        let predecessor = handover.load_patiently();
        if let Err(error) = handover.update(|_| {})
            && error.kind() != io::ErrorKind::WouldBlock
        {
            warn!(folder = %folder.display(), %error, "the handover can't be written yet");
        }
        (handover, predecessor)
    }

    /// What a predecessor has left, also if the file can't be read for a moment.
    fn load_patiently(&self) -> Option<SharedState> {
        for _ in 1..READ_ATTEMPTS {
            match self.load() {
                Ok(state) => return state,
                Err(_) => std::thread::sleep(READ_PAUSE),
            }
        }
        self.load().unwrap_or_else(|error| {
            warn!(%error, "what a predecessor has left can't be read");
            None
        })
    }

    /// What the file says; `None` if there is none or it is of no use. An error tells nothing of what it says.
    fn load(&self) -> io::Result<Option<SharedState>> {
        let text = match std::fs::read(&self.file) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            other => other?,
        };
        Ok(match serde_json::from_slice::<SharedState>(&text) {
            Ok(state) if state.version == VERSION => {
                self.last.replace(Some(state.clone()));
                Some(state)
            }
            Ok(state) => {
                warn!(version = state.version, "the handover is of another version and left aside");
                None
            }
            Err(error) => {
                warn!(%error, "the handover is of no use");
                None
            }
        })
    }

    fn lock(&self) -> io::Result<&File> {
        if let Some(lock) = self.lock.get() {
            return Ok(lock);
        }
        let lock = File::create(&self.lock_path)?;
        Ok(self.lock.get_or_init(|| lock))
    }

    /// Changes the file, unless the other process is changing it: then the error is that this would block.
    pub fn update(&self, change: impl FnOnce(&mut SharedState)) -> io::Result<()> {
        self.behind.set(true);
        let lock = self.lock()?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(e)) => return Err(e),
        }
        let done = self.replace(change);
        lock.unlock()?;
        self.behind.set(done.is_err());
        done
    }

    /// Writes down what an order has changed, and tells whether it could be, at once or within `PATIENCE`.
    pub fn order(&self, apply: impl Fn(&mut SharedState) + 'static, done: oneshot::Sender<bool>) {
        let due = Instant::now() + PATIENCE;
        self.changes.borrow_mut().push(Change { apply: Box::new(apply), due, done });
        self.settle();
    }

    /// Writes down what is still to be.
    pub fn settle(&self) {
        let changes = self.changes.take();
        if changes.is_empty() && !self.behind.get() {
            return;
        }
        let written = match self.update(|state| changes.iter().for_each(|c| (c.apply)(state))) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                let (late, waiting) = changes.into_iter().partition(|c| c.due <= Instant::now());
                self.changes.replace(waiting);
                if !late.is_empty() {
                    warn!("the handover is locked, and an order is not written down");
                }
                return answer(late, false);
            }
            written => written,
        };
        if changes.is_empty() {
            return; // whoever saves the state tells of an error
        }
        if let Err(e) = &written {
            warn!(error = %e, "the handover could not be written");
        }
        // Read once more: what the other process wrote while these waited has undone them here.
        self.seen.set(None);
        answer(changes, written.is_ok());
    }

    fn replace(&self, change: impl FnOnce(&mut SharedState)) -> io::Result<()> {
        // What the other process has written and this one not yet read stays news.
        let read = self.mark() == self.seen.get();
        let state = self.load()?.or_else(|| self.last.borrow().clone());
        let mut state = state.unwrap_or_default();
        state.version = VERSION;
        state.processes.retain(|p| p.pid != me() && runs(p.pid) || p.pid == me());
        match state.processes.iter_mut().find(|p| p.pid == me()) {
            Some(own) => own.stage = self.stage.get(),
            None => state.processes.push(Process { pid: me(), stage: self.stage.get() }),
        }
        change(&mut state);
        let fresh = self.file.with_extension("new");
        std::fs::write(&fresh, serde_json::to_vec(&state)?)?;
        std::fs::rename(&fresh, &self.file)?;
        self.seen.set(if read { self.mark() } else { None });
        self.judge(&state);
        self.last.replace(Some(state));
        Ok(())
    }

    /// What a file that replaces this one does not share.
    fn mark(&self) -> Option<Mark> {
        std::fs::metadata(&self.file).ok().map(|m| (m.ino(), m.mtime(), m.mtime_nsec()))
    }

    fn judge(&self, state: &SharedState) {
        let others = || state.processes.iter().filter(|p| p.pid != me() && runs(p.pid));
        self.twin.set(others().any(|p| p.stage != Stage::Stopping));
        let newest = state.processes.iter().rev().find(|p| p.stage == Stage::Serving && runs(p.pid));
        self.owner.set(newest.is_some_and(|p| p.pid == me()));
    }

    /// What the file says if another process has replaced it.
    pub fn news(&self) -> Option<SharedState> {
        let mark = self.mark();
        if mark == self.seen.get() {
            return None;
        }
        let state = self.load().ok()?; // what can't be read now is read at the next look
        self.seen.set(mark);
        let state = state?;
        self.judge(&state);
        Some(state)
    }

    /// Looks anew at who runs: a process that was killed tells nobody.
    pub fn look(&self) {
        if let Ok(Some(state)) = self.load() {
            self.judge(&state);
        }
    }

    /// Notes that this process serves; true if that is new.
    pub fn serves(&self) -> bool {
        let new = self.stage.get() == Stage::Starting;
        if new {
            self.stage.set(Stage::Serving);
        }
        new
    }

    /// Whether another process shares what this proxy may use.
    pub fn twin(&self) -> bool {
        self.twin.get()
    }

    /// Whether this process is the one whose knowledge the file holds.
    pub fn owner(&self) -> bool {
        self.owner.get()
    }

    /// Says that this process ends; whether a later one serves already.
    pub fn leave(&self) -> bool {
        self.stage.set(Stage::Stopping);
        if let Err(e) = self.update(|_| {}) {
            warn!(error = %e, "the handover could not be written");
        }
        self.load().ok().flatten().is_some_and(|state| {
            let later = state.processes.iter().skip_while(|p| p.pid != me());
            later.skip(1).any(|p| p.stage == Stage::Serving && runs(p.pid))
        })
    }
}

fn answer(changes: Vec<Change>, yes: bool) {
    for change in changes {
        let _ = change.done.send(yes); // a caller that has left needs no answer
    }
}

fn me() -> u32 {
    std::process::id()
}

/// Whether a process runs this program. One that has ended and is not yet waited for has no program.
fn runs(pid: u32) -> bool {
    std::fs::read_link(format!("/proc/{pid}/exe")).is_ok()
}

/// Why the socket that the platform passes on can't be used.
#[derive(Debug, thiserror::Error)]
pub enum PassedSocketError {
    /// What names it is no number, or that of a standard stream.
    #[error("NODE_PASSED_SOCKET is no descriptor")]
    NotADescriptor,
    /// The descriptor is not open, or open on something else.
    #[error("descriptor {0} is no socket")]
    NotASocket(RawFd),
    /// The socket can't be listened on.
    #[error("descriptor {descriptor}: {source}")]
    Unusable {
        /// Its number.
        descriptor: RawFd,
        /// What the system said.
        source: io::Error,
    },
}

/// The listening socket that the platform passes on, named by its number.
pub fn passed(number: &OsStr) -> Result<TcpListener, PassedSocketError> {
    let number = number.to_str().and_then(|n| n.parse::<RawFd>().ok()).filter(|n| *n > 2);
    let descriptor = number.ok_or(PassedSocketError::NotADescriptor)?;
    let kind = std::fs::read_link(format!("/proc/self/fd/{descriptor}"));
    if !kind.is_ok_and(|k| k.to_string_lossy().starts_with("socket:")) {
        return Err(PassedSocketError::NotASocket(descriptor));
    }
    // SAFETY: the descriptor is open, as just seen, and the platform passes it to this process for its own use;
    // this is called once, before anything else could take or close a descriptor of that number.
    #[allow(unsafe_code)]
    let listener = unsafe { TcpListener::from_raw_fd(descriptor) };
    let unusable = |source| PassedSocketError::Unusable { descriptor, source };
    listener.set_nonblocking(true).map_err(unusable)?;
    listener.local_addr().map_err(unusable)?;
    Ok(listener)
}

#[cfg(test)]
mod tests;
