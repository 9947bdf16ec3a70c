//! Stand-in backends of unequal speed, the proxy before them, and clients: all in this process, on loopback.

mod backends;
mod clients;
mod view;

use std::io::IsTerminal as _;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use leadrelay_proxy::{Cause, Running, config};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::args::Demo;
use backends::{Kind, StandIn};
use clients::Load;
use view::{Shown, View};

/// Work of a mean request on the yardstick.
const WORK: Duration = Duration::from_millis(20);
/// An answer within this span is in time.
const AIM: Duration = Duration::from_millis(400);
/// Between looks of a person, and between lines of a log.
const STEP: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(1));

/// The stand-ins: two new machines, a middling one, an old one, and one that fails now and then.
const KINDS: [Kind; 5] = [
    Kind { name: "new-1", speed: 3.0, fails: 0.0 },
    Kind { name: "new-2", speed: 3.0, fails: 0.0 },
    Kind { name: "middle", speed: 1.0, fails: 0.0 },
    Kind { name: "old", speed: 0.4, fails: 0.0 },
    Kind { name: "moody", speed: 1.0, fails: 0.3 },
];

/// The proxy's configuration; it knows nothing of who is fast.
fn configuration(backends: &[StandIn]) -> String {
    let backend =
        |b: &StandIn| format!("[[backends]]\nname = \"{}\"\naddress = \"{}\"\n", b.kind.name, b.address);
    let classes = "[[classes]]\nname = \"read\"\nmethods = [\"GET\"]\neffect = \"safe\"\naim = \"400ms\"\n\
        deadline = \"2s\"\n[[classes]]\nname = \"order\"\nmethods = [\"POST\"]\neffect = \"once\"\naim = \"400ms\"\n\
        deadline = \"2s\"\nworth = 3.0\n";
    let backends: String = backends.iter().map(backend).collect();
    format!("name = \"demo\"\nlisten = \"127.0.0.1:0\"\n{backends}{classes}")
}

/// Runs the demo until its time is over or Ctrl-C.
///
/// # Errors
/// If an address on loopback can't be had.
pub fn run(options: &Demo) -> anyhow::Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("the runtime")?;
    runtime.block_on(async {
        let mut backends = Vec::new();
        for kind in KINDS {
            backends.push(
                StandIn::start(kind, WORK).await.with_context(|| format!("the stand-in {}", kind.name))?,
            );
        }
        let config = config::parse(&configuration(&backends), "the demo's configuration")?;
        let proxy = leadrelay_proxy::spawn(config)?;
        let load = Arc::new(Load::new(proxy.addresses.clients, AIM));
        let clients = tokio::spawn(load.clone().run(options.rate));
        watch(options, &proxy, &backends, &load).await;
        clients.abort();
        load.settle().await;
        let summary = summary(&proxy, &backends, &load);
        if options.json {
            println!("{summary}")
        } else {
            println!("{}", view::summary(&summary))
        }
        proxy.stop().context("the proxy")
    })
}

/// Shows what happens until the end.
async fn watch(options: &Demo, proxy: &Running, backends: &[StandIn], load: &Load) {
    let terminal = std::io::stderr().is_terminal() && !options.json;
    let (start, step) = (Instant::now(), if terminal { STEP.0 } else { STEP.1 });
    let end = options.seconds.map(|s| start + Duration::from_secs(s));
    let mut view = View::new(terminal, options.json, backends);
    let mut before = Shown::look(proxy, backends, load);
    // One listener for the whole time: a Ctrl-C that comes while a view is shown would else go to nobody.
    let interrupt = tokio::signal::ctrl_c();
    tokio::pin!(interrupt);
    loop {
        let next = (Instant::now() + step).min(end.unwrap_or(start + Duration::from_secs(86_400)));
        tokio::select! {
            _ = &mut interrupt => break,
            () = tokio::time::sleep_until(next) => {}
        }
        let now = Shown::look(proxy, backends, load);
        view.show(start.elapsed(), &before, &now);
        before = now;
        if end.is_some_and(|end| Instant::now() >= end) {
            break;
        }
    }
    view.end();
}

/// What has happened from the start on.
fn summary(proxy: &Running, backends: &[StandIn], load: &Load) -> Value {
    let clients = load.counts();
    let of = |b: &StandIn| {
        let seen = b.seen();
        json!({"name": b.kind.name, "speed": b.kind.speed, "served": seen.served, "failed": seen.failed,
               "busy_s": (seen.busy.as_secs_f64() * 1000.0).round() / 1000.0})
    };
    let causes = Cause::ALL.map(|cause| (cause.name().to_owned(), proxy.metrics.ended(cause).into()));
    let choices = proxy.metrics.decisions().map(|(name, count)| (name.to_owned(), count.into()));
    json!({
        "sent": clients.sent, "in_time": clients.in_time, "late": clients.late, "refused": clients.refused,
        "failed": clients.failed, "p50_ms": load.quantile(0.5), "p99_ms": load.quantile(0.99),
        "backends": backends.iter().map(of).collect::<Vec<_>>(),
        "causes": Value::Object(causes.into_iter().collect()),
        "choices": Value::Object(choices.into_iter().collect()),
    })
}
