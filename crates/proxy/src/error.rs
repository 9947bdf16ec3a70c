//! Errors that keep a proxy from starting or end it.

use std::io;

use tokio::sync::oneshot::error::RecvError;
use tokio::task::JoinError;

use crate::config::Faults;
use crate::passed_socket::PassedSocketError;

/// Why a proxy does not start or has ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration can't be used.
    #[error("{0}")]
    Config(#[from] Faults),
    /// Something in the environment can't be used.
    #[error("{0}")]
    Environment(#[from] PassedSocketError),
    /// The system refused something, usually a port that is in use.
    #[error("{what}: {source}")]
    System {
        /// What was needed.
        what: String,
        /// The system's error.
        source: io::Error,
    },
    /// The driver has ended while the proxy ran.
    #[error("the driver has ended: {0}")]
    Driver(#[from] DriverEnd),
}

/// How the driver has ended.
#[derive(Debug, thiserror::Error)]
pub enum DriverEnd {
    /// Its task ended while the proxy ran.
    #[error("{0:?}")]
    Task(Result<(), JoinError>),
    /// The work before its start ended without a result.
    #[error("{0}")]
    Preparation(#[from] RecvError),
    /// Its thread ended before the proxy listened.
    #[error("at its start")]
    Start,
    /// Its thread panicked.
    #[error("a panic")]
    Panic,
}

impl Error {
    /// A conversion for errors of the system, with what was needed.
    pub(crate) fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
        let what = what.into();
        move |source| Error::System { what, source }
    }

    /// Whether the configuration or the environment must be changed.
    pub fn is_usage(&self) -> bool {
        matches!(self, Error::Config(_) | Error::Environment(_))
    }
}
