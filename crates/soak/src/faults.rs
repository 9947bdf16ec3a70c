//! What the library that is loaded into a proxy makes fail.

use std::fs::File;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context as _;

/// The library for `LD_PRELOAD`.
pub const LIBRARY: &str = env!("FAULTS_LIBRARY");
/// The variable that names the file which the library reads.
pub const VARIABLE: &str = "LEADRELAY_FAULTS";

/// Bytes of the file: a page.
const SIZE: u64 = 4096;

/// A field of the file; the library knows them by their places.
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
    /// There is no way there.
    NetworkUnreachable = 101,
    /// The connection was given up before it was accepted.
    ConnectionAborted = 103,
    /// The system has no buffer.
    NoBuffers = 105,
}

/// What fails in the processes of one proxy.
pub struct Faults {
    path: PathBuf,
    file: File,
}

impl Faults {
    /// Nothing fails yet.
    ///
    /// # Errors
    /// If the file can't be made.
    pub fn new(path: &Path) -> anyhow::Result<Self> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path);
        let file = file.with_context(|| format!("can't make {}", path.display()))?;
        file.set_len(SIZE)?;
        Ok(Faults { path: path.to_owned(), file })
    }

    /// Where the library finds it.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Steps the wall clock: from now on it is so many seconds ahead of the true one.
    pub fn step_clock(&self, seconds: i64) {
        let offset = seconds * i64::try_from(Duration::from_secs(1).as_nanos()).unwrap_or(0);
        self.set(Field::ClockOffsetNs, offset as u64);
    }

    /// Makes connections fail to be accepted or opened.
    pub fn fail_sockets(
        &self, accept: Option<Errno>, socket: Option<Errno>, connect: Option<Errno>, percent: u64,
    ) {
        self.set(Field::FailingPercent, percent);
        for (field, errno) in
            [(Field::AcceptErrno, accept), (Field::SocketErrno, socket), (Field::ConnectErrno, connect)]
        {
            self.set(field, errno.map_or(0, |errno| errno as u64));
        }
    }

    /// Makes the files of the handover fail to open.
    pub fn fail_files(&self, errno: Errno, percent: u64) {
        self.set(Field::FailingPercent, percent);
        self.set(Field::FileErrno, errno as u64);
    }

    /// Interrupts so many calls in a hundred, and cuts so many reads and writes short.
    pub fn interrupt(&self, interrupted_percent: u64, short_percent: u64) {
        self.set(Field::InterruptedPercent, interrupted_percent);
        self.set(Field::ShortPercent, short_percent);
    }

    /// Nothing fails any more. The clock stays as it is.
    pub fn clear(&self) {
        self.fail_sockets(None, None, None, 0);
        self.interrupt(0, 0);
        self.set(Field::FileErrno, 0);
    }

    fn set(&self, field: Field, value: u64) {
        // The file was made by this process and is held open: there is nobody who could have taken it away.
        let _ = self.file.write_all_at(&value.to_ne_bytes(), field as u64 * 8);
    }
}
