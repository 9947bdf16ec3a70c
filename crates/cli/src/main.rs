//! The program that users meet.

use std::process::ExitCode;

fn main() -> ExitCode {
    leadrelay_proxy::main()
}
