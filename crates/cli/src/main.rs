//! The program that users meet.

mod args;
mod ctl;
mod demo;
mod logging;

use std::io::Write as _;
use std::process::ExitCode;

use clap::{CommandFactory as _, Parser as _};
use leadrelay_proxy::Process;
use leadrelay_proxy::config::{self, Config, Format};

use args::{Check, Cli, Command, LogFormat, Serve, Show};

/// What was asked could not be done.
const FAILED: u8 = 1;
/// The command line, the environment or the configuration has to change.
const USAGE: u8 = 2;

/// Why the program ends, and with which exit code.
struct End(u8, String);

impl End {
    fn usage(error: impl ToString) -> Self {
        End(USAGE, error.to_string())
    }

    fn failed(error: impl ToString) -> Self {
        End(FAILED, error.to_string())
    }
}

impl From<leadrelay_proxy::Error> for End {
    fn from(error: leadrelay_proxy::Error) -> Self {
        if error.is_usage() { End::usage(error) } else { End::failed(error) }
    }
}

impl From<anyhow::Error> for End {
    fn from(error: anyhow::Error) -> Self {
        End(FAILED, format!("{error:#}"))
    }
}

/// Prints text that may be cut short by whoever reads it, as `head` does.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// On the operators' platform the second address may stand in the environment alone.
fn with_environment(mut config: Config) -> Result<Config, End> {
    if let (None, config::Origin::Platform(_), Some(address)) =
        (config.admin, &config.origin, std::env::var_os("NODE_ADMIN_ADDR"))
    {
        let address = address.to_str().and_then(|a| a.parse().ok());
        config.admin = Some(address.ok_or_else(|| End::usage("NODE_ADMIN_ADDR is no address"))?);
    }
    Ok(config)
}

fn serve(serve: Serve) -> Result<(), End> {
    let mut process = Process::new()?;
    let file = serve.config.clone();
    let Some(read) = process.prepare(move || config::read(&file))? else { return Ok(()) };
    let mut config = with_environment(read.map_err(End::usage)?)?;
    if let Some(filter) = serve.log {
        config.logging.filter = filter;
    }
    match serve.log_format {
        Some(LogFormat::Text) => config.logging.format = Format::Text,
        Some(LogFormat::Json) => config.logging.format = Format::Json,
        None => {}
    }
    let _log = logging::start(&config.logging).map_err(|e| End(USAGE, format!("{e:#}")))?;
    Ok(process.serve(&serve.config, config)?)
}

fn check(check: &Check) -> Result<(), End> {
    let read = config::check(&check.file);
    if check.json {
        let faults = read.as_ref().err().map(|f| f.faults.as_slice()).unwrap_or_default();
        let told =
            |f: &config::Fault| serde_json::json!({"line": f.line, "column": f.column, "message": f.message});
        print(&format!("{}\n", serde_json::Value::from_iter(faults.iter().map(told))));
        return read.map(|_| ()).map_err(|_| End(USAGE, String::new()));
    }
    let config = match read {
        Ok(config) => config,
        Err(faults) => {
            // A line a fault, each as editors and scripts read it.
            let _ = writeln!(std::io::stderr(), "{faults}");
            return Err(End(USAGE, String::new()));
        }
    };
    let backends = match &config.source {
        config::Source::Discovery(address) => format!("backends from discovery at {address}"),
        config::Source::Fixed(hosts) => format!("{} backends", hosts.len()),
    };
    let classes = config.names.classes.join(", ");
    print(&format!(
        "{}: good. {} on {}, {backends}, classes {classes}\n",
        check.file.display(),
        config.name,
        config.listen
    ));
    Ok(())
}

fn show(show: Show) -> Result<(), End> {
    match show {
        Show::Schema => print(&format!("{:#}\n", config::schema())),
        Show::Example => print(config::EXAMPLE),
        Show::Markdown => print(&config::markdown()),
        Show::Explain { key } => match config::explain(&key) {
            Some(text) => print(&text),
            None => return Err(End(USAGE, format!("no key '{key}'; `leadrelay config explain` tells all"))),
        },
    }
    Ok(())
}

fn run(command: Command) -> Result<(), End> {
    match command {
        Command::Serve(options) => serve(options),
        Command::Check(options) => check(&options),
        Command::Config { show: what } => show(what),
        Command::Demo(options) => Ok(demo::run(&options)?),
        Command::Ctl(options) => match options.admin {
            Some(admin) => Ok(ctl::run(&options, admin)?),
            None => Err(End::usage("--admin ADDR, the proxy's second address, is missing")),
        },
        Command::Version => {
            print(&format!("leadrelay {}\n", env!("CARGO_PKG_VERSION")));
            Ok(())
        }
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "leadrelay", &mut script);
            print(&String::from_utf8_lossy(&script));
            Ok(())
        }
        Command::Man => {
            let mut page = Vec::new();
            let rendered = clap_mangen::Man::new(Cli::command()).render(&mut page);
            rendered.map_err(End::failed)?;
            print(&String::from_utf8_lossy(&page));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(End(code, text)) => {
            if !text.is_empty() {
                let _ = writeln!(std::io::stderr(), "leadrelay: {text}");
            }
            ExitCode::from(code)
        }
    }
}
