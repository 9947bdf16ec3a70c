//! The adapter between the operators' simulator wire and one [`leadrelay_core::Balancer`] per proxy.
//!
//! It translates and decides nothing. Instances share nothing. Lines come on standard input, replies go to standard
//! output; what can't be read ends the process with a message on standard error.

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
