//! The lock of the handover file. No process waits for it, since the process that holds the lock may be suspended.

use std::cell::OnceCell;
use std::fs::{File, TryLockError};
use std::io;
use std::path::PathBuf;

/// Error: the lock could not be acquired or released.
#[derive(Debug, thiserror::Error)]
pub enum LockError {
    /// Another process holds the lock.
    #[error("locked by another process")]
    Locked,
    /// The lock file could not be created, locked or unlocked.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// An advisory lock on a file, which excludes other processes.
pub struct FileLock {
    path: PathBuf,
    /// The lock file, opened at the first use of the lock.
    file: OnceCell<File>,
}

impl FileLock {
    /// The lock whose file is at `path`. The file is created at the first use of the lock.
    pub fn new(path: PathBuf) -> Self {
        FileLock { path, file: OnceCell::new() }
    }

    /// Runs `action` while this process holds the lock. Fails at once if another process holds it.
    pub fn with_lock<T>(&self, action: impl FnOnce() -> T) -> Result<T, LockError> {
        let file = self.file()?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(LockError::Locked),
            Err(TryLockError::Error(error)) => return Err(error.into()),
        }
        let result = action();
        file.unlock()?;
        Ok(result)
    }

    fn file(&self) -> io::Result<&File> {
        if let Some(file) = self.file.get() {
            return Ok(file);
        }
        let file = File::create(&self.path)?;
        Ok(self.file.get_or_init(|| file))
    }
}
