//! Errors that keep a fleet from running.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A failure of the fleet itself, not of an invariant.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or a folder could not be created.
    #[error("can't create {}: {error}", path.display())]
    Create {
        /// Path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The proxy's executable could not be started.
    #[error("can't start the proxy: {0}")]
    Spawn(io::Error),
    /// A process of a proxy exited before it was ready.
    #[error("a process of proxy {proxy} exited before it was ready")]
    ExitedEarly {
        /// Index of the proxy.
        proxy: usize,
    },
    /// A process of a proxy was not ready in time.
    #[error("a process of proxy {proxy} was not ready within {timeout:?}")]
    NotReady {
        /// Index of the proxy.
        proxy: usize,
        /// The time limit.
        timeout: Duration,
    },
    /// A fault did not end within the time limit that applies to all faults.
    #[error("a fault did not end in time")]
    FaultTimeout,
    /// A task of the test panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// An operation of the test on a socket or a file failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl Error {
    pub(crate) fn create(path: &Path) -> impl FnOnce(io::Error) -> Error {
        let path = path.to_owned();
        move |error| Error::Create { path, error }
    }
}
