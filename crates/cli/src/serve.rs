//! The command `serve`, which runs the proxy.

use leadrelay_proxy::Process;
use leadrelay_proxy::config::{self, Config, Format, Origin};

use crate::args::{LogFormat, ServeArgs};
use crate::error::Error;
use crate::logging;

/// The environment variable with the admin address on the operators' platform, used if the configuration has none.
const ADMIN_VARIABLE: &str = "NODE_ADMIN_ADDR";

/// Runs the proxy until it is terminated.
///
/// # Errors
/// If the configuration or the environment is not valid, or if the proxy fails.
pub fn run(args: ServeArgs) -> Result<(), Error> {
    let mut process = Process::new()?;
    let file = args.config.clone();
    let Some(config) = process.prepare(move || config::read(&file))? else { return Ok(()) };
    let mut config = config?;
    apply_environment(&mut config)?;
    if let Some(filter) = args.log {
        config.logging.filter = filter;
    }
    match args.log_format {
        Some(LogFormat::Text) => config.logging.format = Format::Text,
        Some(LogFormat::Json) => config.logging.format = Format::Json,
        None => {}
    }
    let _log = logging::start(&config.logging).map_err(Error::Logging)?;
    Ok(process.serve(&args.config, config)?)
}

/// Reads the admin address from the environment if the configuration has none and is in the operators' JSON format,
/// that is, if the proxy runs on their platform.
fn apply_environment(config: &mut Config) -> Result<(), Error> {
    if config.admin.is_some() || !matches!(config.origin, Origin::Platform(_)) {
        return Ok(());
    }
    let Some(address) = std::env::var_os(ADMIN_VARIABLE) else { return Ok(()) };
    let address = address.to_str().and_then(|address| address.parse().ok());
    config.admin = Some(address.ok_or(Error::InvalidAdminVariable)?);
    Ok(())
}
