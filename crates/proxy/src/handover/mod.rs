//! An upgrade: two processes run beside each other as one proxy, on a listening socket that the platform holds. What one
//! needs of the other is in one small file.
//!
//! [`Handover`] is this process's state in an upgrade; `schema` is the form of the file, `file` reads and replaces it,
//! `lock` keeps the processes from changing it at once, `pending` are operators' changes that wait to be written.

mod file;
mod lock;
mod pending;
mod schema;

use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;

use tokio::sync::oneshot;
use tracing::warn;

use file::{HandoverFile, Revision};
use lock::{FileLock, LockError};
use pending::PendingChanges;
pub use schema::{ConversionContext, LearnedRecord, SharedState};
use schema::{ProcessRecord, Stage, VERSION};

/// Why the file has not been changed.
#[derive(Debug, thiserror::Error)]
pub enum UpdateError {
    /// The lock is not held.
    #[error(transparent)]
    Lock(#[from] LockError),
    /// The file can't be read or replaced.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl UpdateError {
    fn is_locked(&self) -> bool {
        matches!(self, UpdateError::Lock(LockError::Locked))
    }
}

/// This process's part in an upgrade.
pub struct Handover {
    file: HandoverFile,
    lock: FileLock,
    stage: Cell<Stage>,
    /// The revision of the file that this process has taken notice of.
    seen_revision: Cell<Option<Revision>>,
    /// Whether another process starts or serves.
    has_overlap: Cell<bool>,
    /// Whether this process is the latest one that serves.
    is_owner: Cell<bool>,
    /// Whether the file lacks this process's stage.
    is_stage_unwritten: Cell<bool>,
    pending: RefCell<PendingChanges>,
}

impl Handover {
    /// Announces this process in the file of this proxy; returns what a predecessor has left. What can't be written now
    /// is written later.
    pub fn open(folder: &Path, proxy_name: &str) -> (Self, Option<SharedState>) {
        let is_plain = |character: char| character.is_ascii_alphanumeric();
        let name: String = proxy_name.chars().map(|c| if is_plain(c) { c } else { '-' }).collect();
        let handover = Handover {
            file: HandoverFile::new(folder.join(format!("leadrelay-{name}.json"))),
            lock: FileLock::new(folder.join(format!("leadrelay-{name}.lock"))),
            stage: Cell::new(Stage::Starting),
            seen_revision: Cell::new(None),
            has_overlap: Cell::new(false),
            is_owner: Cell::new(false),
            is_stage_unwritten: Cell::new(true),
            pending: RefCell::default(),
        };
        handover.seen_revision.set(handover.file.revision());
        let predecessor = handover.file.read_with_retries();
        if let Err(error) = handover.update(|_| {})
            && !error.is_locked()
        {
            warn!(folder = %folder.display(), %error, "first write of the handover file failed");
        }
        (handover, predecessor)
    }

    /// Changes the file, unless the other process is changing it.
    pub fn update(&self, change: impl FnOnce(&mut SharedState)) -> Result<(), UpdateError> {
        self.is_stage_unwritten.set(true);
        let written = self.lock.while_locked(|| self.replace(change))?;
        self.is_stage_unwritten.set(written.is_err());
        Ok(written?)
    }

    /// Writes a change by an operator, at once or a little later, and replies whether it is written.
    pub fn record(&self, change: impl Fn(&mut SharedState) + 'static, reply: oneshot::Sender<bool>) {
        self.pending.borrow_mut().add(change, reply);
        self.write_pending();
    }

    /// Writes what could not be written before: operators' changes and this process's stage.
    pub fn write_pending(&self) {
        let changes = self.pending.take();
        if changes.is_empty() && !self.is_stage_unwritten.get() {
            return;
        }
        let written = self.update(|state| changes.apply(state));
        if written.as_ref().is_err_and(UpdateError::is_locked) {
            return self.keep_unless_overdue(changes);
        }
        if changes.is_empty() {
            return; // whoever saves the learned state logs the error
        }
        if let Err(error) = &written {
            warn!(%error, "handover file not written");
        }
        // Read the file once more: what the other process wrote while these waited has undone them in this process.
        self.seen_revision.set(None);
        changes.reply(written.is_ok());
    }

    fn keep_unless_overdue(&self, changes: PendingChanges) {
        let (overdue, waiting) = changes.split_overdue();
        self.pending.replace(waiting);
        if !overdue.is_empty() {
            warn!("handover file is locked, command not recorded");
        }
        overdue.reply(false);
    }

    fn replace(&self, change: impl FnOnce(&mut SharedState)) -> io::Result<()> {
        // What the other process has written since this one read the file remains to be noticed.
        let is_seen = self.file.revision() == self.seen_revision.get();
        let mut state = self.file.read_or_last()?;
        state.version = VERSION;
        self.update_processes(&mut state.processes);
        change(&mut state);
        self.file.write(&state)?;
        self.seen_revision.set(if is_seen { self.file.revision() } else { None });
        self.follow_processes(&state);
        self.file.set_last_state(state);
        Ok(())
    }

    /// Removes the processes that have ended, and sets this one's stage.
    fn update_processes(&self, processes: &mut Vec<ProcessRecord>) {
        processes.retain(|process| is_own(process) || is_running(process));
        let stage = self.stage.get();
        match processes.iter_mut().find(|process| is_own(process)) {
            Some(own) => own.stage = stage,
            None => processes.push(ProcessRecord { pid: std::process::id(), stage }),
        }
    }

    fn follow_processes(&self, state: &SharedState) {
        let mut others = state.processes.iter().filter(|other| !is_own(other) && is_running(other));
        self.has_overlap.set(others.any(|other| other.stage != Stage::Stopping));
        let mut latest_first = state.processes.iter().rev();
        let latest = latest_first.find(|process| process.stage == Stage::Serving && is_running(process));
        self.is_owner.set(latest.is_some_and(is_own));
    }

    /// The state in the file, if another process has replaced it since the last call.
    pub fn read_if_replaced(&self) -> Option<SharedState> {
        let revision = self.file.revision();
        if revision == self.seen_revision.get() {
            return None;
        }
        let state = self.file.read().ok()?; // read again at the next call
        self.seen_revision.set(revision);
        let state = state?;
        self.follow_processes(&state);
        Some(state)
    }

    /// Checks which processes still run: one that was killed does not say so in the file.
    pub fn check_processes(&self) {
        if let Ok(Some(state)) = self.file.read() {
            self.follow_processes(&state);
        }
    }

    /// Sets that this process serves, to be written with the next update. Returns whether that is new.
    pub fn set_serving(&self) -> bool {
        let is_new = self.stage.get() == Stage::Starting;
        if is_new {
            self.stage.set(Stage::Serving);
        }
        is_new
    }

    /// Whether another process uses a part of what this proxy may use.
    pub fn has_overlap(&self) -> bool {
        self.has_overlap.get()
    }

    /// Whether this process is the one whose learned state the file holds.
    pub fn is_owner(&self) -> bool {
        self.is_owner.get()
    }

    /// Announces that this process stops. Returns whether a later one serves already.
    pub fn announce_stop(&self) -> bool {
        self.stage.set(Stage::Stopping);
        if let Err(error) = self.update(|_| {}) {
            warn!(%error, "handover file not written");
        }
        let Ok(Some(state)) = self.file.read() else { return false };
        let from_own = state.processes.iter().skip_while(|process| !is_own(process));
        let mut later = from_own.skip(1);
        later.any(|process| process.stage == Stage::Serving && is_running(process))
    }
}

fn is_own(process: &ProcessRecord) -> bool {
    process.pid == std::process::id()
}

/// Whether a process runs a program. One that has ended and has not been waited for runs none.
fn is_running(process: &ProcessRecord) -> bool {
    std::fs::read_link(format!("/proc/{}/exe", process.pid)).is_ok()
}

#[cfg(test)]
mod tests;
