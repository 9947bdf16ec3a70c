//! Why the program ends without success, and with which exit code.

use std::io;
use std::process::ExitCode;

use leadrelay_proxy::config::Faults;

/// Exit code: what was asked for could not be done.
const FAILED: u8 = 1;
/// Exit code: the command line, the environment or the configuration has to change.
const USAGE: u8 = 2;

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error(transparent)]
    Proxy(#[from] leadrelay_proxy::Error),
    #[error(transparent)]
    InvalidConfiguration(#[from] Faults),
    /// `check` has printed the errors of the file itself.
    #[error("the configuration is not valid")]
    CheckFailed,
    #[error("NODE_ADMIN_ADDR is no address")]
    InvalidAdminVariable,
    #[error("--admin ADDR, the proxy's second address, is missing")]
    MissingAdminAddress,
    #[error("no key '{0}'; `leadrelay config explain` tells all")]
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
        ExitCode::from(if self.is_usage() { USAGE } else { FAILED })
    }

    /// Whether the message has been printed already.
    pub fn is_reported(&self) -> bool {
        matches!(self, Error::CheckFailed)
    }

    /// Whether whoever started the program has to change something.
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
