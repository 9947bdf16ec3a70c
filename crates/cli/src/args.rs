//! The command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// A line about the exit codes, printed at the end of every help text.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong usage or configuration.";

/// A reverse proxy for backends of different speeds.
///
/// Sends each request to the fastest backend with free capacity, or queues it if waiting for a faster one pays off.
#[derive(Debug, Parser)]
#[command(name = "leadrelay", version, after_help = EXIT_CODES, arg_required_else_help = true, max_term_width = 100)]
pub struct Cli {
    /// The command to run
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands of `leadrelay`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the proxy until SIGTERM; SIGHUP reloads its configuration
    Serve(ServeArgs),
    /// Report all errors of a configuration file
    Check(CheckArgs),
    /// Show the reference of the configuration file
    Config {
        /// The part of the reference to show
        #[command(subcommand)]
        show: ConfigCommand,
    },
    /// Run mock backends of different speeds, the proxy and clients on this machine, and show their activity
    Demo(DemoArgs),
    /// Send a command to the admin address of a running proxy
    Ctl(CtlArgs),
    /// Print the version
    Version,
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
    /// Print the man page
    Man,
}

/// Arguments of `serve`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_CODES)]
pub struct ServeArgs {
    /// The configuration, TOML or the operators' JSON
    #[arg(long, short, env = "NODE_CONFIG", value_name = "FILE")]
    pub config: PathBuf,
    /// The log filter, for example `debug` or `info,leadrelay::access=off`; overrides the configuration
    #[arg(long, value_name = "FILTER")]
    pub log: Option<String>,
    /// The log format; overrides the configuration
    #[arg(long, value_name = "FORMAT")]
    pub log_format: Option<LogFormat>,
}

/// The format of the log.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum LogFormat {
    /// A line of text for each event
    Text,
    /// A JSON object for each event
    Json,
}

/// Arguments of `check`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_CODES)]
pub struct CheckArgs {
    /// The configuration, TOML or the operators' JSON
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// Report the errors as JSON
    #[arg(long)]
    pub json: bool,
}

/// The commands of `config`.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Print the JSON schema of the configuration file
    Schema,
    /// Print an example file that contains every key
    Example,
    /// Explain one key, or all keys if none is given
    Explain {
        /// The key, for example `classes.deadline`
        #[arg(default_value = "")]
        key: String,
    },
    /// Print the reference page, `docs/configuration.md`
    Markdown,
}

/// Arguments of `demo`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_CODES)]
pub struct DemoArgs {
    /// Stop after this many seconds; by default, run until Ctrl-C
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub seconds: Option<u64>,
    /// Requests that the clients send per second
    #[arg(long, value_name = "R", default_value_t = 200.0, value_parser = parse_rate)]
    pub rate: f64,
    /// Print only the summary, as JSON
    #[arg(long)]
    pub json: bool,
}

/// The error for a request rate that is not a number or out of range.
#[derive(Debug, thiserror::Error)]
#[error("the rate must be a number from 1 to 5000")]
struct InvalidRate;

fn parse_rate(text: &str) -> Result<f64, InvalidRate> {
    let rate: f64 = text.parse().map_err(|_| InvalidRate)?;
    if (1.0..=5000.0).contains(&rate) { Ok(rate) } else { Err(InvalidRate) }
}

/// Arguments of `ctl`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_CODES)]
pub struct CtlArgs {
    /// The proxy's admin address
    #[arg(long, env = "NODE_ADMIN_ADDR", value_name = "ADDR", global = true)]
    pub admin: Option<SocketAddr>,
    /// Print the response as JSON
    #[arg(long, global = true)]
    pub json: bool,
    /// The command to send
    #[command(subcommand)]
    pub call: CtlCommand,
}

/// The commands of `ctl`.
#[derive(Clone, Debug, Subcommand)]
pub enum CtlCommand {
    /// Check whether the proxy can serve
    Health,
    /// Show counters and current state
    Stats,
    /// Show all metrics in the text format of Prometheus
    Metrics,
    /// Drain the proxy: fail its health check, so that new clients go to other proxies
    Drain,
    /// End the draining of the proxy
    Undrain,
    /// Put a backend into maintenance, so that it gets no more requests
    Maint {
        /// The backend's name
        id: String,
    },
    /// End the maintenance of a backend
    Ready {
        /// The backend's name
        id: String,
    },
}
