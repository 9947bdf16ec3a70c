//! The command `ctl`, which sends commands to the admin address of a running proxy.

mod client;
mod table;

use std::net::SocketAddr;

use anyhow::{Context as _, bail};
use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::args::{CtlArgs, CtlCommand};

/// Sends a command to the proxy and prints the response.
///
/// # Errors
/// If the proxy can't be reached or refuses the command.
pub fn run(args: &CtlArgs, admin: SocketAddr) -> anyhow::Result<()> {
    let (method, path) = method_and_path(&args.call);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    let response = runtime.block_on(client::call(admin, method, &path));
    let response = response.with_context(|| format!("the proxy at {admin}"))?;
    print_response(args, admin, response.status, &response.body)?;
    if !response.status.is_success() {
        bail!("the proxy at {admin} refused the command");
    }
    Ok(())
}

/// The method and path of the HTTP request for a command.
fn method_and_path(command: &CtlCommand) -> (Method, String) {
    match command {
        CtlCommand::Health => (Method::GET, "/healthcheck".to_owned()),
        CtlCommand::Stats => (Method::GET, "/stats".to_owned()),
        CtlCommand::Metrics => (Method::GET, "/metrics".to_owned()),
        CtlCommand::Drain => (Method::PUT, "/healthcheck/fail".to_owned()),
        CtlCommand::Undrain => (Method::PUT, "/healthcheck/ok".to_owned()),
        CtlCommand::Maint { id } => (Method::PUT, format!("/backends/{id}/maint")),
        CtlCommand::Ready { id } => (Method::PUT, format!("/backends/{id}/ready")),
    }
}

fn print_response(args: &CtlArgs, admin: SocketAddr, status: StatusCode, body: &Bytes) -> anyhow::Result<()> {
    let succeeded = status.is_success();
    match &args.call {
        CtlCommand::Stats if succeeded => {
            let stats: Value = serde_json::from_slice(body).context("the statistics are not valid JSON")?;
            let text = if args.json { stats.to_string() } else { table::stats(&stats) };
            println!("{text}");
        }
        CtlCommand::Metrics if succeeded => print!("{}", String::from_utf8_lossy(body)),
        _ if args.json => println!("{}", json!({"yes": succeeded, "status": status.as_u16()})),
        _ if succeeded => println!("yes"),
        command => bail!("the proxy at {admin} refused the command: {}", refusal_reason(command, status)),
    }
    Ok(())
}

fn refusal_reason(command: &CtlCommand, status: StatusCode) -> String {
    match (command, status) {
        (CtlCommand::Maint { id } | CtlCommand::Ready { id }, StatusCode::NOT_FOUND) => {
            format!(
                "no backend named '{id}' has been on the endpoint list, or the proxy could not save the command"
            )
        }
        (CtlCommand::Health, StatusCode::SERVICE_UNAVAILABLE) => "it is not ready".into(),
        (_, StatusCode::SERVICE_UNAVAILABLE) => "it did not complete the command in time; try again".into(),
        _ => format!("HTTP status {status}"),
    }
}
