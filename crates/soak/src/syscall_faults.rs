//! Controls the library that is preloaded into a proxy and makes its system calls fail (`shim/faults.rs`).

use std::fs::File;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::error::Error;

/// Path of the library, for `LD_PRELOAD`.
pub const FAULTS_LIBRARY: &str = env!("FAULTS_LIBRARY");
/// Environment variable with the path of the control file, which the library reads.
pub const CONTROL_FILE_VARIABLE: &str = "LEADRELAY_FAULTS";

/// Size of the control file in bytes: one page, which the library maps.
const FILE_SIZE: u64 = 4096;
/// Size of a field in bytes.
const FIELD_SIZE: u64 = 8;

/// A field of the control file, in the order of the file. The library has the same list.
#[derive(Clone, Copy)]
enum Field {
    ClockOffsetNs,
    AcceptErrno,
    SocketErrno,
    ConnectErrno,
    FailingPercent,
    InterruptedPercent,
    ShortPercent,
    FileErrno,
}

/// An error of a system call, by its number on Linux.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Errno {
    /// EIO: input or output failed.
    Io = 5,
    /// ENFILE: the operating system has no file descriptor left.
    TooManyFiles = 23,
    /// ENOSPC: no space is left on the device.
    NoSpace = 28,
    /// EADDRNOTAVAIL: no local port is free.
    AddressNotAvailable = 99,
    /// ENETUNREACH: the network is unreachable.
    NetworkUnreachable = 101,
    /// ECONNABORTED: the connection was aborted before it was accepted.
    ConnectionAborted = 103,
    /// ENOBUFS: the operating system has no buffer space left.
    NoBuffers = 105,
}

/// The errors that socket calls return; a call without an error does not fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct SocketErrors {
    /// Error of `accept4`.
    pub accept: Option<Errno>,
    /// Error of `socket`.
    pub socket: Option<Errno>,
    /// Error of `connect`.
    pub connect: Option<Errno>,
}

/// The faults in the system calls of one proxy's processes, written to its control file.
pub struct SyscallFaults {
    path: PathBuf,
    file: File,
}

impl SyscallFaults {
    /// Creates the control file, with no faults active.
    ///
    /// # Errors
    /// If the file can't be created.
    pub fn new(path: &Path) -> Result<Self, Error> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path);
        let file = file.map_err(Error::create(path))?;
        file.set_len(FILE_SIZE)?;
        Ok(SyscallFaults { path: path.to_owned(), file })
    }

    /// Path of the control file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets the offset of the wall clock from the true time, in seconds; positive is ahead.
    pub fn set_clock_offset(&self, seconds: i64) {
        let offset = seconds * i64::try_from(Duration::from_secs(1).as_nanos()).unwrap_or(0);
        self.set(Field::ClockOffsetNs, offset as u64);
    }

    /// Makes the given percentage of socket calls fail.
    pub fn fail_sockets(&self, errors: SocketErrors, percent: u64) {
        self.set(Field::FailingPercent, percent);
        self.set_errno(Field::AcceptErrno, errors.accept);
        self.set_errno(Field::SocketErrno, errors.socket);
        self.set_errno(Field::ConnectErrno, errors.connect);
    }

    /// Makes the given percentage of opens of handover files fail.
    pub fn fail_files(&self, errno: Errno, percent: u64) {
        self.set(Field::FailingPercent, percent);
        self.set_errno(Field::FileErrno, Some(errno));
    }

    /// Interrupts a percentage of the calls, and cuts a percentage of the reads and writes short.
    pub fn interrupt(&self, interrupted_percent: u64, short_percent: u64) {
        self.set(Field::InterruptedPercent, interrupted_percent);
        self.set(Field::ShortPercent, short_percent);
    }

    /// Ends all failures. The offset of the clock stays unchanged.
    pub fn clear(&self) {
        self.fail_sockets(SocketErrors::default(), 0);
        self.interrupt(0, 0);
        self.set_errno(Field::FileErrno, None);
    }

    fn set_errno(&self, field: Field, errno: Option<Errno>) {
        self.set(field, errno.map_or(0, |errno| errno as u64));
    }

    fn set(&self, field: Field, value: u64) {
        // This process keeps the file open, so writing to it does not fail.
        let _ = self.file.write_all_at(&value.to_ne_bytes(), field as u64 * FIELD_SIZE);
    }
}
