//! An upgrade: two processes run beside each other as one proxy, on a listening socket that the platform holds.
//! What one needs of the other lies in one small file, replaced whole.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::fs::File;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use leadrelay_core::Mean;
use serde::{Deserialize, Serialize};
use tracing::warn;

use crate::host::Host;

/// Version of the file's form. Another version's file is as good as none.
const VERSION: u32 = 1;

/// A file's number and the time of its last change.
type Mark = (u64, i64, i64);

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    Starting,
    Serving,
    /// It finishes what it has.
    Stopping,
}

#[derive(Debug, Serialize, Deserialize)]
struct Process {
    pid: u32,
    stage: Stage,
}

/// What the file holds. Ids are those of the module; times are Unix times in milliseconds.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct State {
    version: u32,
    /// In the order of their starts.
    processes: Vec<Process>,
    pub drained: bool,
    pub bans: Vec<u64>,
    pub listed: Vec<u64>,
    pub hosts: Vec<Host>,
    pub speeds: Speeds,
}

/// What has been learnt, classes and kinds by their names.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Speeds {
    pub servers: Vec<(u64, Mean)>,
    pub classes: BTreeMap<String, Mean>,
    pub kinds: BTreeMap<String, (Mean, f64, f64)>,
    /// Servers back from maintenance: since when they were in it, and when they came back.
    pub back: Vec<(u64, f64, f64)>,
}

/// This process's end of the file.
pub struct Handover {
    file: PathBuf,
    lock: File,
    stage: Cell<Stage>,
    /// Which file was last read or written.
    seen: Cell<Option<Mark>>,
    twin: Cell<bool>,
    owner: Cell<bool>,
}

impl Handover {
    /// Announces this process in the file of this proxy; returns what a predecessor has left.
    pub fn open(folder: &Path, name: &str) -> io::Result<(Self, Option<State>)> {
        let name: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
        let handover = Handover {
            file: folder.join(format!("leadrelay-{name}.json")),
            lock: File::create(folder.join(format!("leadrelay-{name}.lock")))?,
            stage: Cell::new(Stage::Starting),
            seen: Cell::new(None),
            twin: Cell::new(false),
            owner: Cell::new(false),
        };
        let left = handover.load();
        handover.update(|_| {})?;
        Ok((handover, left))
    }

    /// What the file says; `None` if there is none or it is of no use.
    fn load(&self) -> Option<State> {
        let text = match std::fs::read(&self.file) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
            other => other,
        };
        let state = text.map_err(|e| e.to_string());
        let state = state.and_then(|t| serde_json::from_slice::<State>(&t).map_err(|e| e.to_string()));
        match state {
            Ok(state) if state.version == VERSION => Some(state),
            Ok(state) => {
                warn!(version = state.version, "the handover is of another version and left aside");
                None
            }
            Err(e) => {
                warn!(error = e, "the handover is of no use");
                None
            }
        }
    }

    /// Changes the file, which the other process may be changing too.
    pub fn update(&self, change: impl FnOnce(&mut State)) -> io::Result<()> {
        self.lock.lock()?;
        let done = self.replace(change);
        self.lock.unlock()?;
        done
    }

    fn replace(&self, change: impl FnOnce(&mut State)) -> io::Result<()> {
        let mut state = self.load().unwrap_or_default();
        state.version = VERSION;
        state.processes.retain(|p| p.pid != me() && runs(p.pid) || p.pid == me());
        match state.processes.iter_mut().find(|p| p.pid == me()) {
            Some(own) => own.stage = self.stage.get(),
            None => state.processes.push(Process { pid: me(), stage: self.stage.get() }),
        }
        change(&mut state);
        let fresh = self.file.with_extension("new");
        std::fs::write(&fresh, serde_json::to_vec(&state)?)?;
        std::fs::rename(&fresh, &self.file)?;
        self.seen.set(self.mark());
        self.judge(&state);
        Ok(())
    }

    /// What a file that replaces this one does not share.
    fn mark(&self) -> Option<Mark> {
        std::fs::metadata(&self.file).ok().map(|m| (m.ino(), m.mtime(), m.mtime_nsec()))
    }

    fn judge(&self, state: &State) {
        let others = || state.processes.iter().filter(|p| p.pid != me() && runs(p.pid));
        self.twin.set(others().any(|p| p.stage != Stage::Stopping));
        let newest = state.processes.iter().rev().find(|p| p.stage == Stage::Serving && runs(p.pid));
        self.owner.set(newest.is_some_and(|p| p.pid == me()));
    }

    /// What the file says if another process has replaced it.
    pub fn news(&self) -> Option<State> {
        let mark = self.mark();
        if mark == self.seen.get() {
            return None;
        }
        self.seen.set(mark);
        let state = self.load()?;
        self.judge(&state);
        Some(state)
    }

    /// Looks anew at who runs: a process that was killed tells nobody.
    pub fn look(&self) {
        if let Some(state) = self.load() {
            self.judge(&state);
        }
    }

    /// Notes that this process serves; true if that is new.
    pub fn serves(&self) -> bool {
        let new = self.stage.get() == Stage::Starting;
        if new {
            self.stage.set(Stage::Serving);
        }
        new
    }

    /// Whether another process shares what this proxy may use.
    pub fn twin(&self) -> bool {
        self.twin.get()
    }

    /// Whether this process is the one whose knowledge the file holds.
    pub fn owner(&self) -> bool {
        self.owner.get()
    }

    /// Says that this process ends; whether a later one serves already.
    pub fn leave(&self) -> bool {
        self.stage.set(Stage::Stopping);
        let mut succeeded = false;
        let done = self.update(|state| {
            let later = state.processes.iter().skip_while(|p| p.pid != me());
            succeeded = later.skip(1).any(|p| p.stage == Stage::Serving && runs(p.pid));
        });
        if let Err(e) = done {
            warn!(error = %e, "the handover could not be written");
        }
        succeeded
    }
}

fn me() -> u32 {
    std::process::id()
}

/// Whether a process runs this program. One that has ended and is not yet waited for has no program.
fn runs(pid: u32) -> bool {
    std::fs::read_link(format!("/proc/{pid}/exe")).is_ok()
}

/// The listening socket that the platform passes on, named by its number.
pub fn passed(number: &OsStr) -> Result<TcpListener, String> {
    let number = number.to_str().and_then(|n| n.parse::<RawFd>().ok()).filter(|n| *n > 2);
    let number = number.ok_or("NODE_PASSED_SOCKET is no descriptor")?;
    let kind = std::fs::read_link(format!("/proc/self/fd/{number}"));
    if !kind.is_ok_and(|k| k.to_string_lossy().starts_with("socket:")) {
        return Err(format!("descriptor {number} is no socket"));
    }
    // SAFETY: the descriptor is open, as just seen, and the platform passes it to this process for its own use;
    // this is called once, before anything else could take or close a descriptor of that number.
    #[allow(unsafe_code)]
    let listener = unsafe { TcpListener::from_raw_fd(number) };
    listener.set_nonblocking(true).map_err(|e| format!("descriptor {number}: {e}"))?;
    listener.local_addr().map_err(|e| format!("descriptor {number}: {e}"))?;
    Ok(listener)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("handover-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    #[test]
    fn a_successor_finds_what_was_left_and_survives_what_is_broken() {
        let folder = folder("left");
        let (first, left) = Handover::open(&folder, "n/0").expect("a folder");
        assert!(left.is_none());
        first.update(|s| (s.drained, s.bans) = (true, vec![u64::MAX])).expect("a file");
        let (second, left) = Handover::open(&folder, "n/0").expect("a folder");
        let left = left.expect("a state");
        assert_eq!((left.drained, left.bans), (true, vec![u64::MAX]));
        assert!(first.news().is_some(), "it was replaced");
        assert!(first.news().is_none(), "once");
        for broken in ["", "{", "{\"version\":99}", "[]"] {
            std::fs::write(&second.file, broken).expect("a file");
            assert!(second.load().is_none(), "{broken}");
            second.update(|s| s.drained = true).expect("a file");
            assert!(second.load().expect("mended").drained);
        }
        std::fs::remove_dir_all(folder).expect("it is there");
    }

    #[test]
    fn processes_that_have_ended_are_no_twins() {
        let folder = folder("ended");
        let (own, _) = Handover::open(&folder, "n0").expect("a folder");
        let mut child = std::process::Command::new("sleep").arg("30").spawn().expect("a process");
        let other = Process { pid: child.id(), stage: Stage::Serving };
        own.update(|s| s.processes.push(other)).expect("a file");
        own.look();
        assert!(own.twin() && !own.owner());
        child.kill().expect("it runs");
        child.wait().expect("it ends");
        own.look();
        assert!(!own.twin());
        assert!(own.serves());
        own.update(|_| {}).expect("a file");
        assert!(own.owner() && !own.leave());
        std::fs::remove_dir_all(folder).expect("it is there");
    }
}
