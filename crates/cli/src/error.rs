//! The errors that end the program, and their exit codes.

use std::io;
use std::process::ExitCode;

use leadrelay_proxy::config::Faults;

/// The exit code if the command failed.
const EXIT_FAILED: u8 = 1;
/// The exit code if the command line, the environment or the configuration has to be corrected.
const EXIT_USAGE: u8 = 2;

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error(transparent)]
    Proxy(#[from] leadrelay_proxy::Error),
    #[error(transparent)]
    InvalidConfiguration(#[from] Faults),
    /// The file that `check` validated has errors, which have been printed already.
    #[error("the configuration is not valid")]
    CheckFailed,
    #[error("NODE_ADMIN_ADDR is not a socket address")]
    InvalidAdminVariable,
    #[error("--admin ADDR, the admin address of the proxy, is missing")]
    MissingAdminAddress,
    #[error("unknown key '{0}'; `leadrelay config explain` lists all keys")]
    UnknownKey(String),
    #[error("{0:#}")]
    Logging(#[source] anyhow::Error),
    #[error("{0:#}")]
    Command(#[source] anyhow::Error),
    #[error(transparent)]
    ManPage(io::Error),
}

impl Error {
    /// The exit code of the program.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(if self.is_usage() { EXIT_USAGE } else { EXIT_FAILED })
    }

    /// Whether the error has been printed already, so that `main` must not print it again.
    pub fn is_reported(&self) -> bool {
        matches!(self, Error::CheckFailed)
    }

    /// Whether the user has to correct the command line, the environment or the configuration.
    fn is_usage(&self) -> bool {
        match self {
            Error::Proxy(error) => error.is_usage(),
            Error::InvalidConfiguration(_)
            | Error::CheckFailed
            | Error::InvalidAdminVariable
            | Error::MissingAdminAddress
            | Error::UnknownKey(_)
            | Error::Logging(_) => true,
            Error::Command(_) | Error::ManPage(_) => false,
        }
    }
}
