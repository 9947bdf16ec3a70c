//! The command `demo`, which runs mock backends of different speeds, the proxy and clients in one process, on loopback.

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

/// The latency objective of both request classes, the same as `aim` in [`CLASSES`].
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(400);
/// The interval between updates of the view in a terminal.
const TERMINAL_UPDATE_PERIOD: Duration = Duration::from_millis(250);
/// The interval between lines of output if standard error is not a terminal.
const LINE_PERIOD: Duration = Duration::from_secs(1);
/// The assumed duration of a demo that runs until Ctrl-C; it only limits the time of the next update.
const NO_END: Duration = Duration::from_secs(86_400);

/// The machines of the mock backends: two fast ones, one of medium speed, a slow one, and one that fails periodically.
const MACHINES: [Machine; 5] = [
    Machine { name: "new-1", speed: 3.0, failure_rate: 0.0 },
    Machine { name: "new-2", speed: 3.0, failure_rate: 0.0 },
    Machine { name: "middle", speed: 1.0, failure_rate: 0.0 },
    Machine { name: "old", speed: 0.4, failure_rate: 0.0 },
    Machine { name: "moody", speed: 1.0, failure_rate: 0.3 },
];

/// The request classes of the proxy's configuration, in TOML: idempotent reads and orders that must not run twice.
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

/// Builds the proxy's configuration. It does not contain the speeds of the backends: the proxy has to measure them.
fn configuration(backends: &[Backend]) -> String {
    let mut text = String::from("name = \"demo\"\nlisten = \"127.0.0.1:0\"\n");
    for backend in backends {
        let Backend { machine, address, .. } = backend;
        text += &format!("[[backends]]\nname = \"{}\"\naddress = \"{address}\"\n", machine.name);
    }
    text + CLASSES
}

/// Runs the demo until its time is over or Ctrl-C is pressed.
///
/// # Errors
/// If a backend or the proxy can't be started, or if the proxy fails.
pub fn run(args: &DemoArgs) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
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
    proxy.stop().context("the proxy failed")
}

async fn start_backends() -> anyhow::Result<Vec<Backend>> {
    let mut backends = Vec::new();
    for machine in MACHINES {
        let backend = Backend::start(machine).await;
        backends.push(backend.with_context(|| format!("cannot start the mock backend {}", machine.name))?);
    }
    Ok(backends)
}

/// Updates the view until the demo's time is over or Ctrl-C is pressed.
async fn watch(args: &DemoArgs, proxy: &RunningProxy, backends: &[Backend], load: &LoadGenerator) {
    let is_terminal = std::io::stderr().is_terminal() && !args.json;
    let period = if is_terminal { TERMINAL_UPDATE_PERIOD } else { LINE_PERIOD };
    let start = Instant::now();
    let end = args.seconds.map(|seconds| start + Duration::from_secs(seconds));
    let mut view = View::new(is_terminal, args.json, backends);
    let mut before = Snapshot::take(proxy, backends, load);
    // One signal listener serves all iterations: with a new one in each, a Ctrl-C during an update would be lost.
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
