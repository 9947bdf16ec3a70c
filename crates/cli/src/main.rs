//! The command-line program `leadrelay`, a reverse proxy for backends of different speeds.

mod args;
mod config;
mod ctl;
mod demo;
mod error;
mod logging;
mod output;
mod serve;

use std::io::Write as _;
use std::process::ExitCode;

use clap::{CommandFactory as _, Parser as _};

use args::{Cli, Command};
use error::Error;
use output::print;

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if !error.is_reported() {
                let _ = writeln!(std::io::stderr(), "leadrelay: {error}");
            }
            error.exit_code()
        }
    }
}

fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Serve(args) => serve::run(args),
        Command::Check(args) => config::check(&args),
        Command::Config { show } => config::show(show),
        Command::Demo(args) => demo::run(&args).map_err(Error::Command),
        Command::Ctl(args) => {
            let admin = args.admin.ok_or(Error::MissingAdminAddress)?;
            ctl::run(&args, admin).map_err(Error::Command)
        }
        Command::Version => {
            print(&format!("leadrelay {}\n", env!("CARGO_PKG_VERSION")));
            Ok(())
        }
        Command::Completions { shell } => {
            print_completions(shell);
            Ok(())
        }
        Command::Man => print_man_page(),
    }
}

fn print_completions(shell: clap_complete::Shell) {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "leadrelay", &mut script);
    print(&String::from_utf8_lossy(&script));
}

fn print_man_page() -> Result<(), Error> {
    let mut page = Vec::new();
    clap_mangen::Man::new(Cli::command()).render(&mut page).map_err(Error::ManPage)?;
    print(&String::from_utf8_lossy(&page));
    Ok(())
}
