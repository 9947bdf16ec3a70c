//! Subcommands with files of their own.

pub mod reconnect;
