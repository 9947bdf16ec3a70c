//! The program as a user runs it.

use std::process::{Command, Output};

use super::backend::Backend;

/// Runs the program until it exits.
pub fn leadrelay(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadrelay"));
    command.env_remove("NODE_CONFIG").env_remove("NODE_ADMIN_ADDR").args(args).output().expect("it starts")
}

/// What a program has printed.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// A TOML configuration with two backends and an admin address.
pub fn two_backends(first: &Backend, second: &Backend) -> String {
    let entry = |backend: &Backend| format!("[[backends]]\naddress = \"{}\"\n", backend.address);
    let admin = "[admin]\nlisten = \"127.0.0.1:0\"\n[logging]\naccess = 1\n";
    format!("listen = \"127.0.0.1:0\"\nup_path = \"/up\"\n{}{}{admin}", entry(first), entry(second))
}
