//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// What the exit codes mean, for the end of every help text.
const EXIT: &str = "Exit codes: 0 done, 1 failed, 2 wrong usage or configuration.";

/// A reverse proxy for fleets of unequal servers.
///
/// A request goes to the fastest server that is open, or waits when a faster one is worth the wait.
#[derive(Debug, Parser)]
#[command(name = "leadrelay", version, after_help = EXIT, arg_required_else_help = true, max_term_width = 100)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the proxy until SIGTERM; SIGHUP reads its configuration again
    Serve(Serve),
    /// Tell all faults of a configuration file
    Check(Check),
    /// Show what a configuration file may say
    Config {
        /// What to show.
        #[command(subcommand)]
        show: Show,
    },
    /// Run stand-in backends of different speed, the proxy and clients on this machine, and watch them
    Demo(Demo),
    /// Ask or tell a running proxy something through its second address
    Ctl(Ctl),
    /// Print the version
    Version,
    /// Print completions for a shell
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Print the man page
    Man,
}

/// Runs the proxy.
#[derive(Debug, Args)]
#[command(after_help = EXIT)]
pub struct Serve {
    /// The configuration, our TOML or the operators' JSON
    #[arg(long, short, env = "NODE_CONFIG", value_name = "FILE")]
    pub config: PathBuf,
    /// What to log in place of what the configuration says, as `debug` or `info,leadrelay::access=off`
    #[arg(long, value_name = "FILTER")]
    pub log: Option<String>,
    /// How to log in place of what the configuration says
    #[arg(long, value_name = "FORMAT")]
    pub log_format: Option<LogFormat>,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum LogFormat {
    /// A line of text an event.
    Text,
    /// A JSON object an event.
    Json,
}

/// Checks a file.
#[derive(Debug, Args)]
#[command(after_help = EXIT)]
pub struct Check {
    /// The configuration, our TOML or the operators' JSON
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// The faults as JSON
    #[arg(long)]
    pub json: bool,
}

/// What to show of the configuration's format.
#[derive(Debug, Subcommand)]
pub enum Show {
    /// The JSON schema
    Schema,
    /// A file that shows every key
    Example,
    /// What a key means, or all of them
    Explain {
        /// The key, as `classes.deadline`
        #[arg(default_value = "")]
        key: String,
    },
    /// The reference page, `docs/configuration.md`
    Markdown,
}

/// Runs the demo.
#[derive(Debug, Args)]
#[command(after_help = EXIT)]
pub struct Demo {
    /// End after so many seconds; without it, at Ctrl-C
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub seconds: Option<u64>,
    /// Requests a second that clients send
    #[arg(long, value_name = "R", default_value_t = 200.0, value_parser = rate)]
    pub rate: f64,
    /// The summary as JSON, and nothing else on standard output
    #[arg(long)]
    pub json: bool,
}

fn rate(text: &str) -> Result<f64, String> {
    let rate = text.parse::<f64>().ok().filter(|r| (1.0..=5000.0).contains(r));
    rate.ok_or_else(|| "a rate is a number from 1 to 5000".into())
}

/// Speaks with a running proxy.
#[derive(Debug, Args)]
#[command(after_help = EXIT)]
pub struct Ctl {
    /// The proxy's second address
    #[arg(long, env = "NODE_ADMIN_ADDR", value_name = "ADDR", global = true)]
    pub admin: Option<SocketAddr>,
    /// The answer as JSON
    #[arg(long, global = true)]
    pub json: bool,
    /// What to ask or tell.
    #[command(subcommand)]
    pub call: Call,
}

/// A call to the second address.
#[derive(Clone, Debug, Subcommand)]
pub enum Call {
    /// Whether the process can serve
    Health,
    /// What has been counted and what holds now
    Stats,
    /// All metrics in the text form that Prometheus reads
    Metrics,
    /// Take no new clients
    Drain,
    /// Take clients again
    Undrain,
    /// Send nothing more to a backend
    Maint {
        /// The backend's name
        id: String,
    },
    /// Use a backend again
    Ready {
        /// The backend's name
        id: String,
    },
}
