//! The commands `check` and `config`: configuration files and their reference.

use std::io::Write as _;

use leadrelay_proxy::config::{self, Config, EndpointSource, Fault, Faults};
use serde_json::{Value, json};

use crate::args::{CheckArgs, ConfigCommand};
use crate::error::Error;
use crate::output::print;

/// Checks a configuration file and prints what is wrong with it.
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
            // A line for each, in the form that editors and scripts read.
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
    print(&format!("{file}: good. {} on {}, {backends}, classes {classes}\n", config.name, config.listen));
}

/// Prints a part of the reference.
///
/// # Errors
/// If there is no such key.
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
