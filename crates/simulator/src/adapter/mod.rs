//! Decisions of another build, through its adapter for the operators' simulator: any commit can be compared with any
//! other.
//!
//! One process hosts all proxies of a run, as on the operators' simulator; each event is a batch of its own.

mod decode;
mod encode;

use std::cell::RefCell;
use std::io::{BufRead as _, BufReader, Write as _};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::rc::Rc;

use leadrelay_core::{Action, Event, Millis};

use self::encode::Encoder;
use crate::index::ProxyIndex;
use crate::policy::{FleetView, Policy};
use crate::workload::Workload;

/// What can go wrong with an adapter.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// There is no such program, or its input or output is closed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Its standard input or output is no pipe.
    #[error("no pipe to the adapter")]
    NoPipe,
    /// Its process has ended.
    #[error("the adapter has ended")]
    Ended,
}

/// The process of an adapter.
pub struct AdapterProcess {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    line: String,
}

impl AdapterProcess {
    /// Starts it.
    ///
    /// # Errors
    /// If there is no such program.
    pub fn start(program: &Path) -> Result<Rc<RefCell<Self>>, AdapterError> {
        let mut child = Command::new(program).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let input = child.stdin.take().ok_or(AdapterError::NoPipe)?;
        let output = BufReader::new(child.stdout.take().ok_or(AdapterError::NoPipe)?);
        Ok(Rc::new(RefCell::new(AdapterProcess { child, input, output, line: String::new() })))
    }

    /// Sends a batch of events and reads the actions that it returns.
    fn exchange(&mut self, now: Millis, lines: &str, actions: &mut Vec<Action>) -> Result<(), AdapterError> {
        write!(self.input, "FRAME\tts={now}\n{lines}GO\n")?;
        self.input.flush()?;
        loop {
            self.line.clear();
            if self.output.read_line(&mut self.line)? == 0 {
                return Err(AdapterError::Ended);
            }
            match self.line.trim_end() {
                "EOR" => return Ok(()),
                line => actions.extend(decode::action(line)),
            }
        }
    }
}

impl Drop for AdapterProcess {
    fn drop(&mut self) {
        // Both fail if the process has ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One proxy that an adapter hosts.
pub struct AdapterPolicy {
    process: Rc<RefCell<AdapterProcess>>,
    encoder: Encoder,
    /// The line that introduces it, until its first event is sent.
    introduction: Option<String>,
}

impl AdapterPolicy {
    /// A proxy of a workload, hosted by an adapter.
    pub fn new(
        process: Rc<RefCell<AdapterProcess>>, workload: &Workload, proxy: ProxyIndex, seed: u64,
    ) -> Self {
        AdapterPolicy {
            process,
            encoder: Encoder::new(workload, proxy),
            introduction: Some(encode::introduction(workload, proxy, seed)),
        }
    }
}

impl Policy for AdapterPolicy {
    fn handle(&mut self, now: Millis, event: Event, _: FleetView<'_>, actions: &mut Vec<Action>) {
        let Some(lines) = self.encoder.event(event) else { return };
        let lines = self.introduction.take().unwrap_or_default() + &lines;
        if let Err(error) = self.process.borrow_mut().exchange(now, &lines, actions) {
            // Without its decisions the run can't go on, and its result would mean nothing.
            eprintln!("leadrelay-simulator: {error}");
            std::process::exit(1);
        }
    }
}
