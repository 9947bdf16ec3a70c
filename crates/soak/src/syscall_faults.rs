//! Controls the library that is loaded into a proxy and makes its system calls fail (`shim/faults.rs`).

use std::fs::File;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::error::Error;

/// The path of the library, for `LD_PRELOAD`.
pub const LIBRARY: &str = env!("FAULTS_LIBRARY");
/// The environment variable that names the file which the library reads.
pub const CONTROL_FILE_VARIABLE: &str = "LEADRELAY_FAULTS";

/// Bytes of the file: one page, which the library maps.
const FILE_SIZE: u64 = 4096;
/// Bytes of a field.
const FIELD_SIZE: u64 = 8;

/// A field of the file, by its position. The library has the same list.
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
    /// Input or output has failed.
    Io = 5,
    /// The system has no descriptor left.
    TooManyFiles = 23,
    /// There is no space left.
    NoSpace = 28,
    /// No port is free.
    AddressNotAvailable = 99,
    /// The network is unreachable.
    NetworkUnreachable = 101,
    /// The connection was aborted before it was accepted.
    ConnectionAborted = 103,
    /// The system has no buffer.
    NoBuffers = 105,
}

/// Which socket calls fail, and how.
#[derive(Clone, Copy, Debug, Default)]
pub struct SocketErrors {
    /// Of `accept4`.
    pub accept: Option<Errno>,
    /// Of `socket`.
    pub socket: Option<Errno>,
    /// Of `connect`.
    pub connect: Option<Errno>,
}

/// What fails in the processes of one proxy.
pub struct SyscallFaults {
    path: PathBuf,
    file: File,
}

impl SyscallFaults {
    /// Creates the file; nothing fails yet.
    ///
    /// # Errors
    /// If the file can't be created.
    pub fn new(path: &Path) -> Result<Self, Error> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path);
        let file = file.map_err(Error::create(path))?;
        file.set_len(FILE_SIZE)?;
        Ok(SyscallFaults { path: path.to_owned(), file })
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets by how many seconds the wall clock is ahead of the true one.
    pub fn step_clock(&self, seconds: i64) {
        let offset = seconds * i64::try_from(Duration::from_secs(1).as_nanos()).unwrap_or(0);
        self.set(Field::ClockOffsetNs, offset as u64);
    }

    /// Makes a part of the socket calls fail.
    pub fn fail_sockets(&self, errors: SocketErrors, percent: u64) {
        self.set(Field::FailingPercent, percent);
        self.set_errno(Field::AcceptErrno, errors.accept);
        self.set_errno(Field::SocketErrno, errors.socket);
        self.set_errno(Field::ConnectErrno, errors.connect);
    }

    /// Makes the files of the handover fail to open, a part of the times.
    pub fn fail_files(&self, errno: Errno, percent: u64) {
        self.set(Field::FailingPercent, percent);
        self.set_errno(Field::FileErrno, Some(errno));
    }

    /// Interrupts a part of the calls, and cuts a part of the reads and writes short.
    pub fn interrupt(&self, interrupted_percent: u64, short_percent: u64) {
        self.set(Field::InterruptedPercent, interrupted_percent);
        self.set(Field::ShortPercent, short_percent);
    }

    /// Ends all failures. The clock stays as it is.
    pub fn clear(&self) {
        self.fail_sockets(SocketErrors::default(), 0);
        self.interrupt(0, 0);
        self.set_errno(Field::FileErrno, None);
    }

    fn set_errno(&self, field: Field, errno: Option<Errno>) {
        self.set(field, errno.map_or(0, |errno| errno as u64));
    }

    fn set(&self, field: Field, value: u64) {
        // The file is held open by this process, so that writing to it does not fail.
        let _ = self.file.write_all_at(&value.to_ne_bytes(), field as u64 * FIELD_SIZE);
    }
}
