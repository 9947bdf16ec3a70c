//! Reading and writing of the handover file. Each write replaces the whole file by a rename.

use std::cell::RefCell;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::time::Duration;

use tracing::warn;

use super::schema::{SharedState, VERSION};

/// How many times at most a new process attempts to read the handover file of its predecessor.
const READ_ATTEMPTS: u32 = 20;
/// Pause between two attempts to read the handover file.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Identifies one revision of the handover file. Each replacement changes the inode or the modification time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Revision {
    inode: u64,
    modified_s: i64,
    modified_ns: i64,
}

/// The handover file, with the last state that was read from it or written to it.
pub struct HandoverFile {
    path: PathBuf,
    /// The state that was last read or written, used while the file is missing, malformed or of another version.
    last_state: RefCell<Option<SharedState>>,
}

impl HandoverFile {
    /// The handover file at `path`. The file need not exist yet.
    pub fn new(path: PathBuf) -> Self {
        HandoverFile { path, last_state: RefCell::default() }
    }

    #[cfg(test)]
    pub fn path(&self) -> &std::path::Path {
        &self.path
    }

    /// Reads the file. Returns `None` if the file is missing, malformed or of another version. After an I/O error its
    /// contents are unknown.
    pub fn read(&self) -> io::Result<Option<SharedState>> {
        let bytes = match std::fs::read(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            result => result?,
        };
        let state = parse(&bytes);
        if let Some(state) = &state {
            self.last_state.replace(Some(state.clone()));
        }
        Ok(state)
    }

    /// Reads the file like [`Self::read`], with retries after I/O errors. Returns `None` if all attempts fail.
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

    /// The state in the file. While the file is missing, malformed or of another version, this is the state that was
    /// last read or written, or the default if there is none.
    pub fn read_or_last(&self) -> io::Result<SharedState> {
        let state = self.read()?.or_else(|| self.last_state.borrow().clone());
        Ok(state.unwrap_or_default())
    }

    /// Replaces the file by one with this state.
    pub fn write(&self, state: &SharedState) -> io::Result<()> {
        let temporary = self.path.with_extension("new");
        std::fs::write(&temporary, serde_json::to_vec(state)?)?;
        std::fs::rename(&temporary, &self.path)
    }

    /// Sets the state that is used while the file is missing, malformed or of another version.
    pub fn set_last_state(&self, state: SharedState) {
        self.last_state.replace(Some(state));
    }

    /// The current revision of the file; `None` if its metadata can't be read.
    pub fn revision(&self) -> Option<Revision> {
        let metadata = std::fs::metadata(&self.path).ok()?;
        Some(Revision {
            inode: metadata.ino(),
            modified_s: metadata.mtime(),
            modified_ns: metadata.mtime_nsec(),
        })
    }
}

fn parse(bytes: &[u8]) -> Option<SharedState> {
    match serde_json::from_slice::<SharedState>(bytes) {
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
