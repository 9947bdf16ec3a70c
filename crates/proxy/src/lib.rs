//! The reverse proxy: clients, backends, discovery and peers on sockets, every decision in the module.

mod admin;
mod classes;
mod config;
mod discovery;
mod driver;
mod flow;
mod frontend;
mod handover;
mod host;
mod inbox;
mod log;
mod metrics;
mod open_ids;
mod peers;
mod upstream;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use leadrelay_core::{Balancer, Scope};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

use classes::Classes;
use config::Config;
use driver::{Driver, Parts};
use handover::Handover;
use inbox::{Inbox, Input};
use metrics::Metrics;

/// The part of the memory, one in so many, for pieces of bodies on their way, and again for what is read ahead.
const POOL: usize = 12;
/// Descriptors for all but clients and backends: standard streams, runtime, signals, listener, UDP, watch.
const RESERVE: usize = 32;

/// What a reload concerns.
struct Reload {
    path: PathBuf,
    /// The file that the process goes by.
    running: serde_json::Value,
    discovery: watch::Sender<SocketAddr>,
    classes: Rc<RefCell<Classes>>,
    inbox: Inbox,
    metrics: Arc<Metrics>,
}

impl Reload {
    /// Reads the file again at each SIGHUP.
    async fn run(mut self, mut hup: Signal) {
        while hup.recv().await.is_some() {
            match self.take() {
                Ok(()) => self.metrics.config_reloads.fetch_add(1, Relaxed),
                Err(e) => {
                    note!("the configuration stays as it was: {e}");
                    self.metrics.config_reload_errors.fetch_add(1, Relaxed)
                }
            };
        }
    }

    /// Takes all of the file or nothing: where discovery is and the settings. All else needs a new start.
    fn take(&mut self) -> Result<(), String> {
        let Config { discovery, names, settings, connections, raw, .. } =
            config::reread(&self.path, &self.running)?;
        let retuning = self.classes.borrow_mut().retune(&names, settings)?;
        self.running = raw;
        note!("the configuration names discovery at {discovery}");
        names.classes.iter().for_each(|class| self.metrics.show(class));
        // Requests that go by the new rules come after this.
        self.inbox.put(Input::Retune(Box::new((retuning, connections))));
        self.discovery.send_if_modified(|old| std::mem::replace(old, discovery) != discovery);
        Ok(())
    }
}

async fn run(path: PathBuf, config: Config) -> Result<(), String> {
    let at = |what: &str| {
        let what = what.to_owned();
        move |e: std::io::Error| format!("{what}: {e}")
    };
    let mut term = signal(SignalKind::terminate()).map_err(at("SIGTERM"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(at("SIGINT"))?;
    let hup = signal(SignalKind::hangup()).map_err(at("SIGHUP"))?;
    note!("{}: {:?}", config.name, config.settings);
    let (discovery, addresses) = watch::channel(config.discovery);
    let metrics = Arc::new(Metrics::default());
    config.names.classes.iter().for_each(|class| metrics.show(class));
    let socket = std::env::var_os("NODE_PASSED_SOCKET");
    let passed = socket.is_some();
    let (listener, handover, left) = match socket {
        Some(number) => {
            let listener =
                TcpListener::from_std(handover::passed(&number)?).map_err(at("the passed socket"))?;
            let folder = std::env::temp_dir();
            match Handover::open(&folder, &config.name) {
                Ok((handover, left)) => (listener, Some(Rc::new(handover)), left),
                // Better to serve than not to start; a successor will know nothing.
                Err(e) => {
                    note!("the handover in {}: {e}", folder.display());
                    (listener, None, None)
                }
            }
        }
        None => {
            let on = format!("listen on {}", config.listen);
            (frontend::listen(config.listen).map_err(at(&on))?, None, None)
        }
    };
    let (inbox, inputs) = Inbox::new();
    let (orders, commands) = mpsc::unbounded_channel();
    let classes = Rc::new(RefCell::new(Classes::new(&config.names, &config.settings.classes)));
    let reload = Reload {
        path,
        running: config.raw,
        discovery,
        classes: classes.clone(),
        inbox: inbox.clone(),
        metrics: metrics.clone(),
    };
    spawn_local(reload.run(hup));
    let peers = match config.peers {
        Some(addresses) => {
            let on = format!("peers on {}", addresses.listen);
            let peers = peers::Peers::bind(addresses, passed).map_err(at(&on))?;
            spawn_local(peers.clone().listen(inbox.clone()));
            Some(peers)
        }
        None => None,
    };
    let shared = (config.sockets / 2).saturating_sub(RESERVE).max(RESERVE / 2);
    let budget = frontend::Budget { whole: config.sockets - RESERVE, shared, handover: handover.clone() };
    // The module sends to a backend only while it has a free slot there, but clients come as they like: most
    // of the budget is theirs.
    // Two processes share the memory during an upgrade.
    let pool = || flow::Pool::new(config.memory / POOL);
    let memory = flow::Memory { pieces: pool(), ahead: pool() };
    let upstreams =
        Rc::new(upstream::Upstreams::new(&config.connections, budget.whole / 4, metrics.clone(), memory));
    let drained = Rc::new(Cell::new(false));
    let asked = Rc::new(Notify::new());
    let parts = Parts {
        commands,
        classes: classes.clone(),
        inbox: inbox.clone(),
        upstreams: upstreams.clone(),
        peers,
        discovery: addresses.clone(),
        watch: asked.clone(),
        metrics: metrics.clone(),
        drained: drained.clone(),
        handover: handover.clone(),
    };
    let pushed = config.settings.discovery == leadrelay_core::Discovery::Pushed;
    let balancer = Balancer::new(config.settings, config.seed);
    let mut driver = Driver::new(balancer, config.names, parts);
    if left.as_ref().is_none_or(|left| left.hosts.is_empty()) {
        let known = discovery::remembered(&config.known).unwrap_or_default();
        inbox.put(Input::List(Scope::Cached, known));
    }
    if let Some(left) = left {
        driver.resume(left);
    }
    let driver = spawn_local(driver.run(inputs));
    spawn_local(discovery::follow(addresses, inbox.clone(), (!pushed).then_some(asked)));
    let front = frontend::Frontend::new(inbox, classes, upstreams, budget, metrics.clone(), drained);
    let address = listener.local_addr().map_err(at("the listener"))?;
    note!("{} listens on {address}", config.name);
    if let Some(address) = config.admin {
        let desk = admin::Desk { commands: orders, metrics };
        let address = admin::start(address, desk).map_err(at(&format!("listen on {address}")))?;
        note!("{} has its second address at {address}", config.name);
    }
    let stop = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    };
    // Without its module a proxy could only fail everything: then it is better dead and started anew.
    tokio::select! {
        () = front.serve(listener, stop) => Ok(()),
        end = driver => Err(format!("the driver has ended: {end:?}")),
    }
}

fn start() -> Result<(), String> {
    let path = std::env::var_os("NODE_CONFIG").ok_or("NODE_CONFIG is not set")?;
    let path = PathBuf::from(path);
    let mut config = config::read(&path)?;
    if let (None, Some(address)) = (config.admin, std::env::var_os("NODE_ADMIN_ADDR")) {
        let address = address.to_str().and_then(|a| a.parse().ok());
        config.admin = Some(address.ok_or("NODE_ADMIN_ADDR is no address")?);
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let outcome = LocalSet::new().block_on(&runtime, run(path, config));
    runtime.shutdown_background();
    outcome
}

/// Runs a proxy by `NODE_CONFIG` until it is told to stop.
pub fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            note!("{text}");
            ExitCode::FAILURE
        }
    }
}
