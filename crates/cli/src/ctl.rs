//! Calls to a proxy's second address.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, bail};
use comfy_table::Table;
use http_body_util::{BodyExt as _, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};

use crate::args::{Call, Ctl};

/// A call has its answer within this span, or it has failed: the proxy answers within 1 s however busy it is.
const PATIENCE: Duration = Duration::from_secs(3);
/// Bytes of the longest answer that is read.
const MOST: usize = 16 << 20;

/// Makes a call and prints the answer.
///
/// # Errors
/// If the proxy can't be reached, or says no.
pub fn run(ctl: &Ctl, admin: SocketAddr) -> anyhow::Result<()> {
    let (method, path) = match &ctl.call {
        Call::Health => (Method::GET, "/healthcheck".to_owned()),
        Call::Stats => (Method::GET, "/stats".to_owned()),
        Call::Metrics => (Method::GET, "/metrics".to_owned()),
        Call::Drain => (Method::PUT, "/healthcheck/fail".to_owned()),
        Call::Undrain => (Method::PUT, "/healthcheck/ok".to_owned()),
        Call::Maint { id } => (Method::PUT, format!("/backends/{id}/maint")),
        Call::Ready { id } => (Method::PUT, format!("/backends/{id}/ready")),
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("the runtime")?;
    let answer = runtime.block_on(async {
        let answer = tokio::time::timeout(PATIENCE, call(admin, method, &path)).await;
        answer.unwrap_or_else(|_| bail!("no answer within {} s", PATIENCE.as_secs()))
    });
    let (status, body) = answer.with_context(|| format!("the proxy at {admin}"))?;
    let yes = status.is_success();
    match &ctl.call {
        Call::Stats if yes => {
            let stats: Value = serde_json::from_slice(&body).context("the figures are no JSON")?;
            if ctl.json { println!("{stats}") } else { println!("{}", table(&stats)) }
        }
        Call::Metrics if yes => print!("{}", String::from_utf8_lossy(&body)),
        _ if ctl.json => println!("{}", json!({"yes": yes, "status": status.as_u16()})),
        _ if yes => println!("yes"),
        call => bail!("the proxy at {admin} says no: {}", why(call, status)),
    }
    if yes { Ok(()) } else { bail!("the proxy at {admin} says no") }
}

fn why(call: &Call, status: StatusCode) -> String {
    match (call, status) {
        (Call::Maint { id } | Call::Ready { id }, StatusCode::NOT_FOUND) => {
            format!("no backend named '{id}' has been listed, or the order could not be written down")
        }
        (Call::Health, StatusCode::SERVICE_UNAVAILABLE) => "it can't serve yet".into(),
        (_, StatusCode::SERVICE_UNAVAILABLE) => "it did not carry the order out in time; ask again".into(),
        _ => format!("status {status}"),
    }
}

async fn call(admin: SocketAddr, method: Method, path: &str) -> anyhow::Result<(StatusCode, Bytes)> {
    let stream = tokio::net::TcpStream::connect(admin).await.context("cannot connect")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.context("no HTTP")?;
    let connection = tokio::spawn(connection);
    let request = Request::builder().method(method).uri(path).header("host", admin.to_string());
    let request = request.body(Empty::<Bytes>::new()).context("this can't be a name")?;
    let answer = sender.send_request(request).await.context("no answer")?;
    let status = answer.status();
    let body = http_body_util::Limited::new(answer.into_body(), MOST).collect().await;
    connection.abort();
    match body {
        Ok(body) => Ok((status, body.to_bytes())),
        Err(e) => bail!("the answer is cut short: {e}"),
    }
}

/// The figures for people: a row a class, then what holds for the whole.
fn table(stats: &Value) -> String {
    let mut classes = Table::new();
    classes.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    classes.set_header(["class", "completed", "rejected", "failed"]);
    let empty = serde_json::Map::new();
    for name in stats["completed"].as_object().unwrap_or(&empty).keys() {
        let of = |key: &str| stats[key][name].to_string();
        classes.add_row([name.clone(), of("completed"), of("rejected"), of("failed")]);
    }
    let mut whole = Table::new();
    whole.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    whole.set_header(["figure", "now"]);
    for (name, value) in stats.as_object().unwrap_or(&empty).iter().filter(|(_, v)| !v.is_object()) {
        whole.add_row([name.replace('_', " "), value.to_string()]);
    }
    format!("{classes}\n\n{whole}")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_are_shown_a_row_a_class() {
        let stats =
            json!({"completed": {"page": 7}, "rejected": {"page": 2}, "failed": {"page": 1}, "pending": 3});
        let shown = table(&stats);
        let row = shown.lines().find(|l| l.contains("page")).expect("a row");
        let cells: Vec<&str> = row.split('|').map(str::trim).filter(|c| !c.is_empty()).collect();
        assert_eq!(cells, ["page", "7", "2", "1"]);
        assert!(shown.lines().any(|l| l.contains("pending") && l.contains('3')), "{shown}");
    }
}
