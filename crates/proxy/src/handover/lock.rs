//! The lock of the handover file. It is never waited for, as the other process may be stopped while it holds it.

use std::cell::OnceCell;
use std::fs::{File, TryLockError};
use std::io;
use std::path::PathBuf;

/// Why the lock is not held.
#[derive(Debug, thiserror::Error)]
pub enum LockError {
    /// Another process holds it.
    #[error("locked by another process")]
    Locked,
    /// The lock's file can't be used.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A lock between processes.
pub struct FileLock {
    path: PathBuf,
    /// Opened at the first use.
    file: OnceCell<File>,
}

impl FileLock {
    /// The lock at a path; its file is created when it is first needed.
    pub fn new(path: PathBuf) -> Self {
        FileLock { path, file: OnceCell::new() }
    }

    /// Does some work while the lock is held.
    pub fn while_locked<T>(&self, work: impl FnOnce() -> T) -> Result<T, LockError> {
        let file = self.file()?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(LockError::Locked),
            Err(TryLockError::Error(error)) => return Err(error.into()),
        }
        let result = work();
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
