//! The command `demo`: stand-in backends of unequal speed, the proxy and clients, all in this process on loopback.

mod backend;
mod load;
mod summary;
mod view;

use std::io::IsTerminal as _;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use leadrelay_proxy::{RunningProxy, config};
use tokio::time::Instant;

use crate::args::DemoArgs;
use backend::{Backend, Machine};
use load::LoadGenerator;
use summary::Summary;
use view::{Snapshot, View};

/// The latency objective of both classes, as in [`CLASSES`].
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(400);
/// Between updates of the view in a terminal.
const TERMINAL_UPDATE_PERIOD: Duration = Duration::from_millis(250);
/// Between lines where there is no terminal.
const LINE_PERIOD: Duration = Duration::from_secs(1);
/// How far ahead the next update is looked for if the demo has no end.
const NO_END: Duration = Duration::from_secs(86_400);

/// Two new machines, a middling one, an old one, and one that fails now and then.
const MACHINES: [Machine; 5] = [
    Machine { name: "new-1", speed: 3.0, failure_rate: 0.0 },
    Machine { name: "new-2", speed: 3.0, failure_rate: 0.0 },
    Machine { name: "middle", speed: 1.0, failure_rate: 0.0 },
    Machine { name: "old", speed: 0.4, failure_rate: 0.0 },
    Machine { name: "moody", speed: 1.0, failure_rate: 0.3 },
];

const CLASSES: &str = r#"[[classes]]
name = "read"
methods = ["GET"]
effect = "safe"
aim = "400ms"
deadline = "2s"
[[classes]]
name = "order"
methods = ["POST"]
effect = "once"
aim = "400ms"
deadline = "2s"
worth = 3.0
"#;

/// The proxy's configuration. It says nothing about the speed of backends.
fn configuration(backends: &[Backend]) -> String {
    let mut text = String::from("name = \"demo\"\nlisten = \"127.0.0.1:0\"\n");
    for backend in backends {
        let Backend { machine, address, .. } = backend;
        text += &format!("[[backends]]\nname = \"{}\"\naddress = \"{address}\"\n", machine.name);
    }
    text + CLASSES
}

/// Runs the demo until its time is over or Ctrl-C.
///
/// # Errors
/// If an address on loopback can't be had.
pub fn run(args: &DemoArgs) -> anyhow::Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("the runtime")?;
    runtime.block_on(run_demo(args))
}

async fn run_demo(args: &DemoArgs) -> anyhow::Result<()> {
    let backends = start_backends().await?;
    let config = config::parse(&configuration(&backends), "the demo's configuration")?;
    let proxy = leadrelay_proxy::spawn(config)?;
    let load = Arc::new(LoadGenerator::new(proxy.addresses.clients, LATENCY_OBJECTIVE));
    let clients = tokio::spawn(load.clone().run(args.rate));
    watch(args, &proxy, &backends, &load).await;
    clients.abort();
    load.finish().await;
    let summary = Summary::new(&proxy, &backends, &load);
    if args.json {
        println!("{}", summary.to_json());
    } else {
        println!("{summary}");
    }
    proxy.stop().context("the proxy")
}

async fn start_backends() -> anyhow::Result<Vec<Backend>> {
    let mut backends = Vec::new();
    for machine in MACHINES {
        let backend = Backend::start(machine).await;
        backends.push(backend.with_context(|| format!("the stand-in {}", machine.name))?);
    }
    Ok(backends)
}

/// Shows what happens until the end.
async fn watch(args: &DemoArgs, proxy: &RunningProxy, backends: &[Backend], load: &LoadGenerator) {
    let is_terminal = std::io::stderr().is_terminal() && !args.json;
    let period = if is_terminal { TERMINAL_UPDATE_PERIOD } else { LINE_PERIOD };
    let start = Instant::now();
    let end = args.seconds.map(|seconds| start + Duration::from_secs(seconds));
    let mut view = View::new(is_terminal, args.json, backends);
    let mut before = Snapshot::take(proxy, backends, load);
    // One listener for the whole time: a Ctrl-C during an update would be lost otherwise.
    let interrupt = tokio::signal::ctrl_c();
    tokio::pin!(interrupt);
    loop {
        let next = (Instant::now() + period).min(end.unwrap_or(start + NO_END));
        tokio::select! {
            _ = &mut interrupt => break,
            () = tokio::time::sleep_until(next) => {}
        }
        let now = Snapshot::take(proxy, backends, load);
        view.update(start.elapsed(), &before, &now);
        before = now;
        if end.is_some_and(|end| Instant::now() >= end) {
            break;
        }
    }
    view.close();
}
