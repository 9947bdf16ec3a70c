//! Helpers for tests that run the `leadrelay` program as a user does.

use std::process::{Command, Output};

use super::backend::Backend;

/// Runs `leadrelay` with these arguments until it exits. Its environment variables for the configuration and the admin
/// address are removed.
pub fn run_leadrelay(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadrelay"));
    command.env_remove("NODE_CONFIG").env_remove("NODE_ADMIN_ADDR").args(args).output().expect("it starts")
}

/// Decodes the output of a program, which has to be UTF-8.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// A TOML configuration with two backends, an admin address and a readiness path.
pub fn config_with_two_backends(first: &Backend, second: &Backend) -> String {
    let entry = |backend: &Backend| format!("[[backends]]\naddress = \"{}\"\n", backend.address);
    let admin = "[admin]\nlisten = \"127.0.0.1:0\"\n[logging]\naccess = 1\n";
    format!("listen = \"127.0.0.1:0\"\nup_path = \"/up\"\n{}{}{admin}", entry(first), entry(second))
}
