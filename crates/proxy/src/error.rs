//! Errors that prevent a proxy from starting or that end it.

use std::io;

use tokio::sync::oneshot::error::RecvError;
use tokio::task::JoinError;

use crate::config::Faults;
use crate::passed_socket::PassedSocketError;

/// The error for which a proxy did not start or has ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration can't be read or is invalid.
    #[error("{0}")]
    Config(#[from] Faults),
    /// The environment variable for the passed socket, or that socket, can't be used.
    #[error("{0}")]
    Environment(#[from] PassedSocketError),
    /// An operation of the operating system failed, usually listening on a port that is in use.
    #[error("{operation}: {source}")]
    OperatingSystem {
        /// The operation that failed, such as "cannot listen on 127.0.0.1:80".
        operation: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The driver, the proxy's thread or the preparation of the start ended unexpectedly.
    #[error("the driver has ended: {0}")]
    Driver(#[from] DriverEnd),
}

/// The way in which the driver, the proxy's thread or the preparation of the start ended.
#[derive(Debug, thiserror::Error)]
pub enum DriverEnd {
    /// The driver's task ended while the proxy ran, with this result.
    #[error("{0:?}")]
    Task(Result<(), JoinError>),
    /// The work that prepares the start of the proxy ended without a result.
    #[error("{0}")]
    Preparation(#[from] RecvError),
    /// The proxy's thread ended before the proxy listened.
    #[error("its thread ended before the proxy listened")]
    Start,
    /// The proxy's thread panicked.
    #[error("its thread panicked")]
    Panic,
}

impl Error {
    /// Returns a conversion from an error of the operating system, for use with `map_err`. `operation` says what
    /// failed.
    pub(crate) fn operating_system(operation: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
        let operation = operation.into();
        move |source| Error::OperatingSystem { operation, source }
    }

    /// Whether the configuration or the environment must be changed before the proxy can start.
    pub fn is_usage(&self) -> bool {
        matches!(self, Error::Config(_) | Error::Environment(_))
    }
}
