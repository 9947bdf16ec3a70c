//! The handover file on disk, which is read and replaced as a whole.

use std::cell::RefCell;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::time::Duration;

use tracing::warn;

use super::schema::{SharedState, VERSION};

/// How often a new process tries to read what its predecessor has left.
const READ_ATTEMPTS: u32 = 20;
/// Pause between these attempts.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Identifies one revision of the file: a file that replaces another one differs in one of these.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Revision {
    inode: u64,
    modified_s: i64,
    modified_ns: i64,
}

/// The file, and the last state that was read from it or written to it.
pub struct HandoverFile {
    path: PathBuf,
    /// The state that was last read or written. Used in place of a file that is missing or malformed.
    last_state: RefCell<Option<SharedState>>,
}

impl HandoverFile {
    /// The file at a path, which need not exist.
    pub fn new(path: PathBuf) -> Self {
        HandoverFile { path, last_state: RefCell::default() }
    }

    #[cfg(test)]
    pub fn path(&self) -> &std::path::Path {
        &self.path
    }

    /// The state in the file; `None` if it is missing or can't be used. An I/O error says nothing about its contents.
    pub fn read(&self) -> io::Result<Option<SharedState>> {
        let text = match std::fs::read(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            result => result?,
        };
        let state = parse(&text);
        if let Some(state) = &state {
            self.last_state.replace(Some(state.clone()));
        }
        Ok(state)
    }

    /// As [`Self::read`], with retries for a while if it fails.
    pub fn read_with_retries(&self) -> Option<SharedState> {
        for _ in 1..READ_ATTEMPTS {
            match self.read() {
                Ok(state) => return state,
                Err(_) => std::thread::sleep(READ_RETRY_DELAY),
            }
        }
        self.read().unwrap_or_else(|error| {
            warn!(%error, "handover file of the predecessor not read");
            None
        })
    }

    /// The state in the file, or the last one known if the file is missing or can't be used now.
    pub fn read_or_last(&self) -> io::Result<SharedState> {
        let state = self.read()?.or_else(|| self.last_state.borrow().clone());
        Ok(state.unwrap_or_default())
    }

    /// Replaces the file.
    pub fn write(&self, state: &SharedState) -> io::Result<()> {
        let temporary = self.path.with_extension("new");
        std::fs::write(&temporary, serde_json::to_vec(state)?)?;
        std::fs::rename(&temporary, &self.path)
    }

    /// Sets the state that is used in place of a file that is missing or malformed.
    pub fn set_last_state(&self, state: SharedState) {
        self.last_state.replace(Some(state));
    }

    /// The revision that is in place; `None` if there is no file.
    pub fn revision(&self) -> Option<Revision> {
        let metadata = std::fs::metadata(&self.path).ok()?;
        Some(Revision {
            inode: metadata.ino(),
            modified_s: metadata.mtime(),
            modified_ns: metadata.mtime_nsec(),
        })
    }
}

fn parse(text: &[u8]) -> Option<SharedState> {
    match serde_json::from_slice::<SharedState>(text) {
        Ok(state) if state.version == VERSION => Some(state),
        Ok(state) => {
            warn!(version = state.version, "handover file of another version ignored");
            None
        }
        Err(error) => {
            warn!(%error, "handover file is malformed and ignored");
            None
        }
    }
}
