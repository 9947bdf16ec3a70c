//! The listening socket that the platform passes on to the process.

use std::ffi::OsStr;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};

/// The highest descriptor of a standard stream.
const STANDARD_ERROR: RawFd = 2;

/// Why the socket that the platform passes on can't be used.
#[derive(Debug, thiserror::Error)]
pub enum PassedSocketError {
    /// What names it is no number, or that of a standard stream.
    #[error("NODE_PASSED_SOCKET is no descriptor")]
    NotADescriptor,
    /// The descriptor is not open, or open on something else.
    #[error("descriptor {0} is no socket")]
    NotASocket(RawFd),
    /// The socket can't be listened on.
    #[error("descriptor {descriptor}: {source}")]
    Unusable {
        /// Its number.
        descriptor: RawFd,
        /// What the system said.
        source: io::Error,
    },
}

/// The listening socket that the platform passes on, by the number of its descriptor.
pub fn from_descriptor(number: &OsStr) -> Result<TcpListener, PassedSocketError> {
    let number = number.to_str().and_then(|number| number.parse::<RawFd>().ok());
    let passed = number.filter(|number| *number > STANDARD_ERROR);
    let descriptor = passed.ok_or(PassedSocketError::NotADescriptor)?;
    if !is_socket(descriptor) {
        return Err(PassedSocketError::NotASocket(descriptor));
    }
    // SAFETY: the descriptor is open, as just seen, and the platform passes it to this process for its own use;
    // this is called once, before anything else could take or close a descriptor of that number.
    #[allow(unsafe_code)]
    let listener = unsafe { TcpListener::from_raw_fd(descriptor) };
    let unusable = |source| PassedSocketError::Unusable { descriptor, source };
    listener.set_nonblocking(true).map_err(unusable)?;
    listener.local_addr().map_err(unusable)?;
    Ok(listener)
}

fn is_socket(descriptor: RawFd) -> bool {
    let target = std::fs::read_link(format!("/proc/self/fd/{descriptor}"));
    target.is_ok_and(|target| target.to_string_lossy().starts_with("socket:"))
}
