//! One proxy from its start to its end: opens all it needs, or nothing, and then runs.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use leadrelay_core::{Balancer, ListScope};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tracing::{info, warn};

use crate::body_memory;
use crate::classes::{Classes, TooManyHeldClasses};
use crate::config::{self, Config, Dialect, Faults, Origin, Source};
use crate::driver::{Driver, Parts};
use crate::error::Error;
use crate::handover::{self, Handover, SharedState};
use crate::inbox::{Inbox, Input};
use crate::metrics::Metrics;
use crate::{admin, discovery, frontend, peers, upstream};

/// The part of the memory, one in so many, for pieces of bodies on their way, and again for what is read ahead.
const POOL: usize = 12;
/// Descriptors for all but clients and backends: standard streams, runtime, signals, listener, UDP, watch.
const RESERVE: usize = 32;

/// Why a file is not taken at a reload.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] Faults),
    #[error("a change between 'backends' and 'discovery' needs a new start")]
    SourceChanged,
    #[error(transparent)]
    Classes(#[from] TooManyHeldClasses),
}

/// What a reload concerns.
struct Reload {
    path: PathBuf,
    /// What the process goes by.
    running: Config,
    discovery: Option<watch::Sender<SocketAddr>>,
    classes: Rc<RefCell<Classes>>,
    access: Rc<Cell<f64>>,
    inbox: Inbox,
    metrics: Arc<Metrics>,
}

impl Reload {
    /// Reads the file again at each SIGHUP.
    async fn run(mut self, mut hup: Signal) {
        while hup.recv().await.is_some() {
            match self.take() {
                Ok(()) => self.metrics.config_reloads.inc(),
                Err(e) => {
                    warn!(error = e.to_string(), "the configuration stays as it was");
                    self.metrics.config_reload_errors.inc()
                }
            };
        }
    }

    /// Takes all of the file or nothing: where the backends are and the settings. All else needs a new start.
    fn take(&mut self) -> Result<(), ReloadError> {
        let new = config::reread(&self.path, &self.running.origin)?;
        match (&new.source, &self.running.source) {
            (Source::Discovery(_), Source::Discovery(_)) | (Source::Fixed(_), Source::Fixed(_)) => {}
            _ => return Err(ReloadError::SourceChanged),
        }
        if matches!(new.origin, Origin::File) {
            let addresses = |c: &Config| (c.listen, c.admin, c.peers.clone());
            let others = |c: &Config| (c.sockets, c.memory, c.settings.zone, c.logging.filter.clone());
            if addresses(&new) != addresses(&self.running) || others(&new) != others(&self.running) {
                warn!("listen, admin, limits, peers, zone and the log's filter change only with a new start");
            }
        }
        let mut classes = self.classes.borrow_mut();
        let retuning = classes.retune(&new.names, new.settings.clone(), &new.dialect)?;
        drop(classes);
        new.names.classes.iter().for_each(|class| self.metrics.show(class));
        self.access.set(new.logging.access);
        // Requests that go by the new rules come after this.
        self.inbox.put(Input::Retune(Box::new((retuning, new.connections))));
        match &new.source {
            Source::Discovery(address) => {
                info!(%address, "the configuration names discovery");
                if let Some(discovery) = &self.discovery {
                    discovery.send_if_modified(|old| std::mem::replace(old, *address) != *address);
                }
            }
            Source::Fixed(hosts) => {
                info!(backends = hosts.len(), "the configuration names backends");
                self.inbox.put(Input::List(ListScope::Full, hosts.clone()));
            }
        }
        self.running = new;
        Ok(())
    }
}

/// What a proxy needs of the system, opened.
struct Opened {
    listener: TcpListener,
    handover: Option<Rc<Handover>>,
    /// What a predecessor has left.
    predecessor: Option<SharedState>,
    peers: Option<Rc<peers::Peers>>,
    admin: Option<std::net::TcpListener>,
}

impl Opened {
    /// Opens all of it, or nothing.
    fn new(config: &Config) -> Result<Self, Error> {
        let socket =
            std::env::var_os("NODE_PASSED_SOCKET").filter(|_| matches!(config.origin, Origin::Platform(_)));
        let passed = socket.is_some();
        let (listener, handover, predecessor) = match socket {
            Some(number) => {
                let listener = handover::passed(&number)?;
                let listener = TcpListener::from_std(listener).map_err(Error::system("the passed socket"))?;
                let (handover, predecessor) = Handover::open(&std::env::temp_dir(), &config.name);
                (listener, Some(Rc::new(handover)), predecessor)
            }
            None => {
                let what = format!("cannot listen on {}", config.listen);
                (frontend::listen(config.listen).map_err(Error::system(what))?, None, None)
            }
        };
        let peers = config.peers.clone().map(|addresses| {
            let what = format!("cannot listen for peers on {}", addresses.listen);
            peers::Peers::bind(addresses, passed).map_err(Error::system(what))
        });
        let admin = config.admin.map(|address| {
            let what = format!("cannot listen for operators on {address}");
            admin::listen(address).map_err(Error::system(what))
        });
        Ok(Opened { listener, handover, predecessor, peers: peers.transpose()?, admin: admin.transpose()? })
    }
}

/// Where a proxy listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For clients.
    pub clients: SocketAddr,
    /// For operators.
    pub admin: Option<SocketAddr>,
}

/// Runs a proxy until `stop`; `path` is read again at SIGHUP. Tells where it listens once it does.
async fn run(
    config: Config, reload: Option<(PathBuf, Signal)>, metrics: Arc<Metrics>, ready: impl FnOnce(Addresses),
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let Opened { listener, handover, predecessor, peers, admin } = Opened::new(&config)?;
    let clients = listener.local_addr().map_err(Error::system("the listener"))?;
    let (inbox, inputs) = Inbox::new();
    let (orders, commands) = mpsc::unbounded_channel();
    // After this nothing fails any more.
    let admin = match admin {
        Some(listener) => {
            let desk = admin::Desk { commands: orders, metrics: metrics.clone() };
            Some(admin::start(listener, desk).map_err(Error::system("the second address"))?)
        }
        None => None,
    };
    config.names.classes.iter().for_each(|class| metrics.show(class));
    let classes = Classes::new(&config.names, &config.settings.classes, &config.dialect);
    let classes = Rc::new(RefCell::new(classes));
    let access = Rc::new(Cell::new(config.logging.access));
    let discovery = match &config.source {
        Source::Discovery(address) => Some(watch::channel(*address)),
        Source::Fixed(_) => None,
    };
    let (moves, addresses) = discovery.unzip();
    if let Some((path, hup)) = reload {
        let reload = Reload {
            path,
            running: config.clone(),
            discovery: moves,
            classes: classes.clone(),
            access: access.clone(),
            inbox: inbox.clone(),
            metrics: metrics.clone(),
        };
        spawn_local(reload.run(hup));
    }
    if let Some(peers) = &peers {
        spawn_local(peers.clone().listen(inbox.clone()));
    }
    let shared = (config.sockets / 2).saturating_sub(RESERVE).max(RESERVE / 2);
    let whole = config.sockets.saturating_sub(RESERVE).max(RESERVE);
    let limits = frontend::SocketLimits { alone: whole, overlapping: shared, handover: handover.clone() };
    // The module sends to a backend only while it has a free slot there, but clients come as they like: most of the
    // budget is theirs, yet never the backends' part.
    // Two processes share the memory during an upgrade.
    let pool = || body_memory::MemoryBudget::new(config.memory / POOL);
    let memory = body_memory::BodyMemory { streamed: pool(), read_ahead: pool() };
    let plain = matches!(config.dialect, Dialect::Plain(_));
    let upstreams = upstream::UpstreamPool::new(
        &config.connections,
        limits.max_backends(),
        plain,
        metrics.clone(),
        memory,
    );
    let upstreams = Rc::new(upstreams);
    let drained = Rc::new(Cell::new(false));
    let parts = Parts {
        commands,
        classes: classes.clone(),
        inbox: inbox.clone(),
        upstreams: upstreams.clone(),
        peers,
        discovery: addresses.map(discovery::Calls::new),
        metrics: metrics.clone(),
        drained: drained.clone(),
        handover,
    };
    info!(
        name = config.name,
        listen = %clients,
        admin = admin.map(tracing::field::display),
        proxy = config.settings.proxy_index,
        proxies = config.settings.proxies,
        classes = config.settings.classes.len(),
        tenants = config.settings.tenants.len(),
        "the proxy listens"
    );
    let balancer = Balancer::new(config.settings, config.seed);
    let mut driver = Driver::new(balancer, config.names, parts);
    match config.source {
        Source::Fixed(hosts) => inbox.put(Input::List(ListScope::Full, hosts)),
        Source::Discovery(_)
            if predecessor.as_ref().is_none_or(|predecessor| predecessor.hosts.is_empty()) =>
        {
            let known = discovery::remembered(&config.known).unwrap_or_default();
            inbox.put(Input::List(ListScope::Cached, known));
        }
        Source::Discovery(_) => {}
    }
    if let Some(predecessor) = predecessor {
        driver.resume(predecessor);
    }
    let driver = spawn_local(driver.run(inputs));
    let front = frontend::Frontend::new(frontend::FrontendParts {
        inbox,
        classes,
        upstreams,
        limits,
        metrics,
        drained,
        access_rate: access,
    });
    ready(Addresses { clients, admin });
    // Without its module a proxy could only fail everything: then it is better dead and started anew.
    tokio::select! {
        () = front.serve(listener, stop) => Ok(()),
        end = driver => Err(Error::Driver(format!("{end:?}"))),
    }
}

fn runtime() -> Result<Runtime, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(Error::system("the runtime"))
}

fn on_runtime<T>(runtime: Runtime, work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let outcome = LocalSet::new().block_on(&runtime, work);
    runtime.shutdown_background();
    outcome
}

/// A process that heeds its signals. They end it unheeded until there is one of these: that comes before all else.
pub struct Process {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Process {
    /// Begins to heed SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// If the system does not let it.
    pub fn new() -> Result<Self, Error> {
        let runtime = runtime()?;
        let context = runtime.enter();
        let heed = |kind, name: &str| signal(kind).map_err(Error::system(name));
        let terminate = heed(SignalKind::terminate(), "SIGTERM")?;
        let interrupt = heed(SignalKind::interrupt(), "SIGINT")?;
        let hangup = heed(SignalKind::hangup(), "SIGHUP")?;
        drop(context);
        Ok(Process { runtime, terminate, interrupt, hangup })
    }

    /// Does what may take long before the proxy runs; `None` if the process is told to end meanwhile.
    ///
    /// # Errors
    /// If there is no thread for it, or it panics.
    pub fn prepare<T: Send + 'static>(
        &mut self, work: impl FnOnce() -> T + Send + 'static,
    ) -> Result<Option<T>, Error> {
        let (done, outcome) = oneshot::channel();
        let work = move || drop(done.send(work())); // told to end, nobody waits for it
        let thread = std::thread::Builder::new().name("start".into()).spawn(work);
        thread.map_err(Error::system("a thread for the start"))?;
        let (terminate, interrupt) = (&mut self.terminate, &mut self.interrupt);
        self.runtime.block_on(async {
            tokio::select! {
                biased;
                _ = terminate.recv() => Ok(None),
                _ = interrupt.recv() => Ok(None),
                outcome = outcome => outcome.map(Some).map_err(|e| Error::Driver(e.to_string())),
            }
        })
    }

    /// Runs a proxy in this thread until SIGTERM or SIGINT, when it finishes what it has taken. At SIGHUP it reads
    /// `path` again; one that came before leads to one more reading.
    ///
    /// # Errors
    /// If something that it needs can't be opened, before it has taken anything; or if its decisions end.
    pub fn serve(self, path: &Path, config: Config) -> Result<(), Error> {
        let Process { runtime, mut terminate, mut interrupt, hangup } = self;
        let stop = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        let reload = Some((path.to_owned(), hangup));
        on_runtime(runtime, run(config, reload, Arc::default(), |_| {}, stop))
    }
}

/// A proxy that runs in a thread of this process.
pub struct Running {
    /// Where it listens.
    pub addresses: Addresses,
    /// What it counts.
    pub metrics: Arc<Metrics>,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<Result<(), Error>>,
}

/// Starts a proxy in a thread of its own, and returns once it listens. It heeds no signals.
///
/// # Errors
/// As [`Process::serve`].
pub fn spawn(config: Config) -> Result<Running, Error> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (ready, addresses) = std::sync::mpsc::channel();
    let metrics = Arc::<Metrics>::default();
    let own = metrics.clone();
    let work = move || {
        let ready = move |at| {
            let _ = ready.send(at); // whoever waits for it has not gone
        };
        let stop = async move { drop(stopped.await) };
        on_runtime(runtime()?, run(config, None, own, ready, stop))
    };
    let thread = std::thread::Builder::new().name("proxy".into()).spawn(work);
    let thread = thread.map_err(Error::system("a thread for the proxy"))?;
    match addresses.recv() {
        Ok(addresses) => Ok(Running { addresses, metrics, stop, thread }),
        Err(_) => Err(ended(thread).err().unwrap_or_else(|| Error::Driver("at its start".into()))),
    }
}

fn ended(thread: JoinHandle<Result<(), Error>>) -> Result<(), Error> {
    thread.join().unwrap_or_else(|_| Err(Error::Driver("a panic".into())))
}

impl Running {
    /// Stops it; returns once it has answered all that it had taken.
    ///
    /// # Errors
    /// If it had ended before.
    pub fn stop(self) -> Result<(), Error> {
        let _ = self.stop.send(()); // it may have ended by itself, which its thread tells
        ended(self.thread)
    }
}
