//! The commands `check`, which validates a configuration file, and `config`, which prints the reference of these files.

use std::io::Write as _;

use leadrelay_proxy::config::{self, Config, EndpointSource, Fault, Faults};
use serde_json::{Value, json};

use crate::args::{CheckArgs, ConfigCommand};
use crate::error::Error;
use crate::output::print;

/// Validates a configuration file and prints all errors in it, or a summary if it is valid.
///
/// # Errors
/// If the file is not valid.
pub fn check(args: &CheckArgs) -> Result<(), Error> {
    let result = config::check(&args.file);
    if args.json {
        print_json(&result);
        return result.map(|_| ()).map_err(|_| Error::CheckFailed);
    }
    match result {
        Ok(config) => {
            print_summary(args, &config);
            Ok(())
        }
        Err(faults) => {
            // One line per error, prefixed with `file:line:column` for editors and scripts.
            let _ = writeln!(std::io::stderr(), "{faults}");
            Err(Error::CheckFailed)
        }
    }
}

fn print_json(result: &Result<Config, Faults>) {
    let faults = result.as_ref().err().map(|faults| faults.faults.as_slice()).unwrap_or_default();
    let to_json =
        |fault: &Fault| json!({"line": fault.line, "column": fault.column, "message": fault.message});
    print(&format!("{}\n", Value::from_iter(faults.iter().map(to_json))));
}

fn print_summary(args: &CheckArgs, config: &Config) {
    let backends = match &config.source {
        EndpointSource::Discovery(address) => format!("backends from discovery at {address}"),
        EndpointSource::Fixed(hosts) => format!("{} backends", hosts.len()),
    };
    let file = args.file.display();
    let classes = config.names.classes.join(", ");
    print(&format!("{file}: valid. {} on {}, {backends}, classes {classes}\n", config.name, config.listen));
}

/// Prints a part of the configuration reference.
///
/// # Errors
/// If the key to explain does not exist.
pub fn show(command: ConfigCommand) -> Result<(), Error> {
    match command {
        ConfigCommand::Schema => print(&format!("{:#}\n", config::schema())),
        ConfigCommand::Example => print(config::EXAMPLE),
        ConfigCommand::Markdown => print(&config::markdown()),
        ConfigCommand::Explain { key } => match config::explain(&key) {
            Some(text) => print(&text),
            None => return Err(Error::UnknownKey(key)),
        },
    }
    Ok(())
}
