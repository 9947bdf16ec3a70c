//! Monitors a process from outside: its log, its exit, its descriptors and its memory.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::process::{Child, ChildStderr};
use tokio::time::sleep;

use super::process::Process;
use crate::history::{ProcessEvent, Recorder};
use crate::settings::MAX_DESCRIPTORS;

/// Interval between checks of a process's descriptors and memory.
const LIMIT_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Limit on the resident memory of a proxy process, in kB.
const MAX_MEMORY_KB: usize = 64_000;
/// Parts of log lines that report a defect of the proxy.
const DEFECT_MESSAGES: [&str; 3] = ["an invariant is violated", "breaks an invariant", "panicked"];

/// Monitors one process.
pub(super) struct Monitor {
    pub(super) proxy: usize,
    pub(super) process: Arc<Process>,
    pub(super) recorder: Arc<Recorder>,
}

impl Monitor {
    /// Checks the limits until the process exits, then records how it exited.
    pub(super) async fn watch(self, mut child: Child) {
        let status = loop {
            tokio::select! {
                status = child.wait() => break status,
                () = sleep(LIMIT_CHECK_PERIOD) => self.check_limits(),
            }
        };
        let event = self.process.mark_exited(status);
        self.recorder.record_process(self.proxy, event);
    }

    fn check_limits(&self) {
        let folder = PathBuf::from(format!("/proc/{}", self.process.pid.as_raw_nonzero()));
        let descriptors = std::fs::read_dir(folder.join("fd")).map_or(0, Iterator::count);
        let memory_kb = resident_kb(&folder).unwrap_or(0);
        if descriptors > MAX_DESCRIPTORS || memory_kb > MAX_MEMORY_KB {
            let usage = format!("{descriptors} descriptors, {memory_kb} kB");
            self.recorder.record_process(self.proxy, ProcessEvent::OverLimit(usage));
        }
    }
}

/// Writes a process's log to a file, and records the lines that report a defect.
pub(super) async fn copy_log(log: ChildStderr, path: PathBuf, proxy: usize, recorder: Arc<Recorder>) {
    let Ok(mut file) = tokio::fs::File::create(path).await else { return };
    let mut lines = BufReader::new(log).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let _ = file.write_all(format!("{line}\n").as_bytes()).await; // a lost log line is not a violation
        if DEFECT_MESSAGES.iter().any(|message| line.contains(message)) {
            recorder.record_process(proxy, ProcessEvent::Logged(line));
        }
    }
    let _ = file.flush().await;
}

fn resident_kb(folder: &Path) -> Option<usize> {
    let status = std::fs::read_to_string(folder.join("status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}
