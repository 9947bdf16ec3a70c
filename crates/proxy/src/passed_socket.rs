//! The listening socket that the platform opens and passes to this process as an inherited file descriptor.

use std::ffi::OsStr;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};

/// The file descriptor of standard error, the highest one of the standard streams.
const STANDARD_ERROR: RawFd = 2;

/// The reason for which the passed socket can't be used.
#[derive(Debug, thiserror::Error)]
pub enum PassedSocketError {
    /// The environment variable is not a number, or is the descriptor of a standard stream.
    #[error("NODE_PASSED_SOCKET is not a file descriptor above 2")]
    NotADescriptor,
    /// The descriptor is not open, or is not that of a socket.
    #[error("file descriptor {0} is not an open socket")]
    NotASocket(RawFd),
    /// The socket could not be made non-blocking, or has no local address.
    #[error("cannot use the socket with file descriptor {descriptor}: {source}")]
    Unusable {
        /// The file descriptor of the socket.
        descriptor: RawFd,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Returns the passed listening socket and takes ownership of its file descriptor. `value` is the descriptor's decimal
/// number.
pub fn from_descriptor(value: &OsStr) -> Result<TcpListener, PassedSocketError> {
    let descriptor = value.to_str().and_then(|value| value.parse::<RawFd>().ok());
    let passed = descriptor.filter(|descriptor| *descriptor > STANDARD_ERROR);
    let descriptor = passed.ok_or(PassedSocketError::NotADescriptor)?;
    if !is_socket(descriptor) {
        return Err(PassedSocketError::NotASocket(descriptor));
    }
    // SAFETY: `is_socket` has just shown that the descriptor is open, and the platform passes it to this process for
    // its exclusive use. This function is called once, before any other code could take or close the descriptor.
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
