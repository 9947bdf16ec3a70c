//! Adapter between the line protocol of the operators' simulator and one [`leadrelay_core::Balancer`] per simulated
//! proxy.
//!
//! The adapter only translates: the balancers make all decisions. Instances share no state. The adapter reads messages
//! from standard input and writes replies to standard output. On a line that it cannot read or parse, the process exits
//! with a message on standard error.

mod adapter;
mod error;
mod fields;
mod instance;
mod lines;
mod message;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match adapter::run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("leadrelay-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
