//! Coordination of the processes of one proxy during an upgrade. Two processes run side by side on a listening socket
//! that the platform keeps open, and share their state in one small file, the handover file.
//!
//! [`Handover`] is the view of one process. `schema` defines the contents of the file, `file` reads and replaces the
//! file, `lock` prevents concurrent changes to it, and `pending` queues operators' changes that are not written yet.
//! `id_claims` keeps both processes from running one request.

mod file;
mod id_claims;
mod lock;
mod pending;
mod schema;

use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};

use tokio::sync::oneshot;
use tracing::warn;

use file::{HandoverFile, Revision};
pub use id_claims::{IdClaim, IdClaims};
use lock::{FileLock, LockError};
use pending::PendingChanges;
pub use schema::{ConversionContext, LearnedRecord, SharedState};
use schema::{ProcessRecord, Stage, VERSION};

/// Error: the handover file could not be updated.
#[derive(Debug, thiserror::Error)]
pub enum UpdateError {
    /// The lock of the file could not be acquired or released.
    #[error(transparent)]
    Lock(#[from] LockError),
    /// The file could not be read or replaced.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl UpdateError {
    fn is_locked(&self) -> bool {
        matches!(self, UpdateError::Lock(LockError::Locked))
    }
}

/// The handover file as this process uses it, with what the file says about other processes.
pub struct Handover {
    file: HandoverFile,
    lock: FileLock,
    id_claims_folder: PathBuf,
    /// The stage of this process.
    stage: Cell<Stage>,
    /// The last revision of the file whose contents this process has taken into account.
    seen_revision: Cell<Option<Revision>>,
    /// Whether another process of this proxy is starting or serving.
    has_overlap: Cell<bool>,
    /// Whether another process of this proxy runs, also one that is stopping.
    has_other_process: Cell<bool>,
    /// Whether this process started last among those that serve.
    is_latest_serving: Cell<bool>,
    /// Whether the current stage of this process may be missing from the file.
    is_stage_unwritten: Cell<bool>,
    /// Operators' changes that are not written yet.
    pending: RefCell<PendingChanges>,
}

impl Handover {
    /// Opens the handover file of a proxy and announces this process in it. Returns the state that a predecessor has
    /// left. An announcement that can't be written now is written with a later update.
    pub fn open(folder: &Path, proxy_name: &str) -> (Self, Option<SharedState>) {
        let is_plain = |character: char| character.is_ascii_alphanumeric();
        let name: String = proxy_name.chars().map(|c| if is_plain(c) { c } else { '-' }).collect();
        let handover = Handover {
            file: HandoverFile::new(folder.join(format!("leadrelay-{name}.json"))),
            lock: FileLock::new(folder.join(format!("leadrelay-{name}.lock"))),
            id_claims_folder: folder.join(format!("leadrelay-{name}.ids")),
            stage: Cell::new(Stage::Starting),
            seen_revision: Cell::new(None),
            has_overlap: Cell::new(false),
            has_other_process: Cell::new(false),
            is_latest_serving: Cell::new(false),
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

    /// Applies a change to the file. Fails at once if another process holds the lock.
    pub fn update(&self, change: impl FnOnce(&mut SharedState)) -> Result<(), UpdateError> {
        self.is_stage_unwritten.set(true);
        let written = self.lock.with_lock(|| self.update_locked(change))?;
        self.is_stage_unwritten.set(written.is_err());
        Ok(written?)
    }

    /// Writes an operator's change to the file. While the file is locked, the change is kept for later attempts. The
    /// reply says whether the change was written.
    pub fn record_change(&self, change: impl Fn(&mut SharedState) + 'static, reply: oneshot::Sender<bool>) {
        self.pending.borrow_mut().add(change, reply);
        self.write_pending();
    }

    /// Writes the operators' changes and the stage of this process, if any of them could not be written earlier.
    pub fn write_pending(&self) {
        let changes = self.pending.take();
        if changes.is_empty() && !self.is_stage_unwritten.get() {
            return;
        }
        let written = self.update(|state| changes.apply(state));
        if written.as_ref().is_err_and(UpdateError::is_locked) {
            return self.requeue_unless_overdue(changes);
        }
        if changes.is_empty() {
            return; // the next save of the learned state logs such an error
        }
        if let Err(error) = &written {
            warn!(%error, "handover file not written");
        }
        // While these changes waited, this process may have read a file without them and reverted them. Without a seen
        // revision, the next check reads the file again and applies them again.
        self.seen_revision.set(None);
        changes.reply(written.is_ok());
    }

    /// Puts the changes back into the queue, except those that have waited too long: these get the reply `false`.
    fn requeue_unless_overdue(&self, changes: PendingChanges) {
        let (overdue, waiting) = changes.split_overdue();
        self.pending.replace(waiting);
        if !overdue.is_empty() {
            warn!("handover file is locked, command not recorded");
        }
        overdue.reply(false);
    }

    /// Reads, changes and replaces the file. The caller holds the lock.
    fn update_locked(&self, change: impl FnOnce(&mut SharedState)) -> io::Result<()> {
        // If another process has replaced the file since this process last read it, `read_if_replaced` still has to
        // return its changes.
        let is_up_to_date = self.file.revision() == self.seen_revision.get();
        let mut state = self.file.read_or_last()?;
        state.version = VERSION;
        self.update_process_list(&mut state.processes);
        change(&mut state);
        self.file.write(&state)?;
        self.seen_revision.set(if is_up_to_date { self.file.revision() } else { None });
        self.update_overlap(&state);
        self.file.set_last_state(state);
        Ok(())
    }

    /// Removes processes that have ended from the list, and sets the stage of this process.
    fn update_process_list(&self, processes: &mut Vec<ProcessRecord>) {
        processes.retain(|process| is_this_process(process) || is_running(process));
        let stage = self.stage.get();
        match processes.iter_mut().find(|process| is_this_process(process)) {
            Some(this_process) => this_process.stage = stage,
            None => processes.push(ProcessRecord { pid: std::process::id(), stage }),
        }
    }

    /// Updates `has_overlap` and `is_latest_serving` from the list of processes in the file.
    fn update_overlap(&self, state: &SharedState) {
        let others: Vec<&ProcessRecord> =
            state.processes.iter().filter(|other| !is_this_process(other) && is_running(other)).collect();
        self.has_other_process.set(!others.is_empty());
        self.has_overlap.set(others.iter().any(|other| other.stage != Stage::Stopping));
        let mut latest_first = state.processes.iter().rev();
        let latest = latest_first.find(|process| process.stage == Stage::Serving && is_running(process));
        self.is_latest_serving.set(latest.is_some_and(is_this_process));
    }

    /// Returns the state in the file if another process has replaced the file since the last call.
    pub fn read_if_replaced(&self) -> Option<SharedState> {
        let revision = self.file.revision();
        if revision == self.seen_revision.get() {
            return None;
        }
        let state = self.file.read().ok()?; // after an I/O error, the next call reads the file again
        self.seen_revision.set(revision);
        let state = state?;
        self.update_overlap(&state);
        Some(state)
    }

    /// Checks which of the processes in the file still run, since a killed process leaves its entry there.
    pub fn check_processes(&self) {
        if let Ok(Some(state)) = self.file.read() {
            self.update_overlap(&state);
        }
    }

    /// Sets the stage of a starting process to serving; the next update writes it. Returns whether the stage changed.
    pub fn set_serving(&self) -> bool {
        let was_starting = self.stage.get() == Stage::Starting;
        if was_starting {
            self.stage.set(Stage::Serving);
        }
        was_starting
    }

    /// Whether another process of this proxy is starting or serving, and so uses a part of the proxy's resources.
    pub fn has_overlap(&self) -> bool {
        self.has_overlap.get()
    }

    /// Whether another process of this proxy runs. It may have requests open also while it is stopping.
    pub fn has_other_process(&self) -> bool {
        self.has_other_process.get()
    }

    /// The claims on request ids that the processes of this proxy share.
    pub fn id_claims(&self) -> IdClaims {
        IdClaims::new(self.id_claims_folder.clone())
    }

    /// Whether this process started last among those that serve. Only its learned state is saved in the file.
    pub fn is_latest_serving(&self) -> bool {
        self.is_latest_serving.get()
    }

    /// Announces in the file that this process is stopping. Returns whether a process that started later is serving.
    pub fn announce_stop(&self) -> bool {
        self.stage.set(Stage::Stopping);
        if let Err(error) = self.update(|_| {}) {
            warn!(%error, "handover file not written");
        }
        let Ok(Some(state)) = self.file.read() else { return false };
        let from_this_process = state.processes.iter().skip_while(|process| !is_this_process(process));
        let mut later = from_this_process.skip(1);
        later.any(|process| process.stage == Stage::Serving && is_running(process))
    }
}

fn is_this_process(process: &ProcessRecord) -> bool {
    process.pid == std::process::id()
}

/// Whether a process is running. A zombie, which has ended but has not been waited for, has no `exe` link to read.
fn is_running(process: &ProcessRecord) -> bool {
    std::fs::read_link(format!("/proc/{}/exe", process.pid)).is_ok()
}

#[cfg(test)]
mod tests;
