//! Why a fleet could not be run.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A failure of the fleet itself, not of an invariant.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or a folder could not be created.
    #[error("can't create {}: {error}", path.display())]
    Create {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The program of the proxy could not be started.
    #[error("the proxy does not start: {0}")]
    Spawn(io::Error),
    /// A process of a proxy exited before it was ready.
    #[error("a process of proxy {proxy} exited before it was ready")]
    ExitedEarly {
        /// The proxy.
        proxy: usize,
    },
    /// A process of a proxy was not ready in time.
    #[error("a process of proxy {proxy} is not ready in {timeout:?}")]
    NotReady {
        /// The proxy.
        proxy: usize,
        /// The time that it had.
        timeout: Duration,
    },
    /// A fault lasted longer than any may.
    #[error("a fault did not end")]
    FaultTimeout,
    /// A task of the test panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// A socket or a file of the test failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl Error {
    pub(crate) fn create(path: &Path) -> impl FnOnce(io::Error) -> Error {
        let path = path.to_owned();
        move |error| Error::Create { path, error }
    }
}
