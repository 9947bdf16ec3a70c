//! A policy that another build decides, in a separate process, through that build's adapter for the operators'
//! simulator. Any two commits can be compared this way.
//!
//! One adapter process hosts all proxies of a run, as on the operators' simulator. Each event is sent as a separate
//! batch.

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

/// An error in starting an adapter or in communicating with it.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The program could not be started, or its standard input or output is closed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The standard input or output of the adapter process is not a pipe.
    #[error("standard input or output of the adapter is not a pipe")]
    NoPipe,
    /// The adapter process has exited.
    #[error("the adapter process has exited")]
    Ended,
}

/// A running adapter process.
pub struct AdapterProcess {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    line: String,
}

impl AdapterProcess {
    /// Starts an adapter process.
    ///
    /// # Errors
    /// Returns an error if the program cannot be started.
    pub fn start(program: &Path) -> Result<Rc<RefCell<Self>>, AdapterError> {
        let mut child = Command::new(program).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let input = child.stdin.take().ok_or(AdapterError::NoPipe)?;
        let output = BufReader::new(child.stdout.take().ok_or(AdapterError::NoPipe)?);
        Ok(Rc::new(RefCell::new(AdapterProcess { child, input, output, line: String::new() })))
    }

    /// Sends a batch of events and appends the actions that the adapter returns to `actions`.
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
        // Both calls fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The policy of one proxy that an adapter hosts.
pub struct AdapterPolicy {
    process: Rc<RefCell<AdapterProcess>>,
    encoder: Encoder,
    /// The line that starts the proxy in the adapter; `None` once it has been sent with the first event.
    setup_line: Option<String>,
}

impl AdapterPolicy {
    /// Creates the policy of one proxy of a workload. The adapter learns of the proxy with its first event.
    pub fn new(
        process: Rc<RefCell<AdapterProcess>>, workload: &Workload, proxy: ProxyIndex, seed: u64,
    ) -> Self {
        AdapterPolicy {
            process,
            encoder: Encoder::new(workload, proxy),
            setup_line: Some(encode::setup_line(workload, proxy, seed)),
        }
    }
}

impl Policy for AdapterPolicy {
    fn handle(&mut self, now: Millis, event: Event, _: FleetView<'_>, actions: &mut Vec<Action>) {
        let Some(lines) = self.encoder.event(event) else { return };
        let lines = self.setup_line.take().unwrap_or_default() + &lines;
        if let Err(error) = self.process.borrow_mut().exchange(now, &lines, actions) {
            // Without the adapter's decisions the run can't continue, and its result would be meaningless.
            eprintln!("leadrelay-simulator: {error}");
            std::process::exit(1);
        }
    }
}
