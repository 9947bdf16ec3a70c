//! Connects the parts of a proxy and runs them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use leadrelay_core::{Balancer, ListScope};
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tracing::info;

use super::bound_sockets::BoundSockets;
use super::reload::Reloader;
use crate::admin::{self, CommandRequest};
use crate::classes::Classes;
use crate::config::{ClientProtocol, Config, EndpointSource};
use crate::discovery::{self, DiscoveryCalls};
use crate::driver::{Driver, DriverParts};
use crate::error::{DriverEnd, Error};
use crate::frontend::{Frontend, FrontendParts};
use crate::handover::SharedState;
use crate::inbox::{Inbox, Input};
use crate::listed_endpoint::ListedEndpoint;
use crate::memory::{MemoryPlan, ProcessMemory};
use crate::metrics::Metrics;
use crate::sockets::{SocketLimits, Sockets};
use crate::upstream::UpstreamPool;

/// The addresses on which a proxy listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The address for clients.
    pub clients: SocketAddr,
    /// The admin address, if one is configured.
    pub admin: Option<SocketAddr>,
}

/// The configuration file to reload, and the signal at which it is reloaded.
pub struct ReloadSource {
    pub path: PathBuf,
    /// SIGHUP.
    pub hangup: Signal,
}

/// State that several parts of the proxy share.
struct Shared {
    inbox: Inbox,
    classes: Rc<RefCell<Classes>>,
    metrics: Arc<Metrics>,
    /// The fraction of requests for which an access event is logged.
    access_rate: Rc<Cell<f64>>,
    /// Whether operators have drained the proxy.
    drained: Rc<Cell<bool>>,
}

impl Shared {
    fn new(config: &Config, inbox: Inbox, metrics: Arc<Metrics>) -> Self {
        let classes = Classes::new(&config.names, &config.settings.classes, &config.client_protocol);
        Shared {
            inbox,
            classes: Rc::new(RefCell::new(classes)),
            metrics,
            access_rate: Rc::new(Cell::new(config.logging.access)),
            drained: Rc::default(),
        }
    }

    /// Starts the task that reloads the configuration at each SIGHUP.
    fn spawn_reload(
        &self, source: ReloadSource, running: Config, discovery_address: Option<watch::Sender<SocketAddr>>,
    ) {
        let reloader = Reloader {
            path: source.path,
            running,
            discovery_address,
            classes: self.classes.clone(),
            access_rate: self.access_rate.clone(),
            inbox: self.inbox.clone(),
            metrics: self.metrics.clone(),
        };
        spawn_local(reloader.run(source.hangup));
    }
}

/// Runs a proxy until `stop` completes, and calls `ready` once the proxy listens.
pub async fn run(
    config: Config, reload: Option<ReloadSource>, metrics: Arc<Metrics>, ready: impl FnOnce(Addresses),
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let BoundSockets { listener, handover, predecessor_state, peers, admin } = BoundSockets::open(&config)?;
    let clients =
        listener.local_addr().map_err(Error::operating_system("cannot read the address of the listener"))?;
    let (inbox, inputs) = Inbox::new();
    let (command_sender, commands) = mpsc::unbounded_channel();
    // `run` keeps a sender, so that the driver's receiver stays open if there is no admin address.
    let admin = start_admin(admin, command_sender.clone(), &metrics)?; // the last step of the start that can fail
    for class in &config.names.classes {
        metrics.register_class(class);
    }
    let shared = Shared::new(&config, inbox, metrics);
    let (address_sender, discovery_address) = discovery_channel(&config.source).unzip();
    if let Some(reload) = reload {
        shared.spawn_reload(reload, config.clone(), address_sender);
    }
    if let Some(peers) = &peers {
        spawn_local(peers.clone().listen(shared.inbox.clone()));
    }
    let plan = MemoryPlan::new(config.max_memory, config.max_sockets, handover.is_some());
    let memory = Rc::new(ProcessMemory::new(plan));
    let limits = SocketLimits::new(config.max_sockets, memory.max_requests());
    let sockets = Sockets::new(limits, handover.clone());
    let upstreams = Rc::new(new_upstreams(&config, &shared.metrics, memory.clone(), sockets.clone()));
    let parts = DriverParts {
        commands,
        classes: shared.classes.clone(),
        inbox: shared.inbox.clone(),
        upstreams: upstreams.clone(),
        peers,
        discovery: discovery_address.map(DiscoveryCalls::new),
        metrics: shared.metrics.clone(),
        drained: shared.drained.clone(),
        handover: handover.clone(),
    };
    let addresses = Addresses { clients, admin };
    log_start(&config, &addresses);
    let Config { settings, seed, names, source, cached_list, .. } = config;
    let mut driver = Driver::new(Balancer::new(settings, seed), names, parts);
    if let Some((scope, endpoints)) = initial_list(source, &cached_list, predecessor_state.as_ref()) {
        shared.inbox.put(Input::EndpointList { scope, endpoints });
    }
    if let Some(predecessor_state) = predecessor_state {
        driver.take_over(predecessor_state);
    }
    let driver = spawn_local(driver.run(inputs));
    let Shared { inbox, classes, metrics, access_rate, drained } = shared;
    let parts =
        FrontendParts { inbox, classes, upstreams, sockets, memory, handover, metrics, drained, access_rate };
    let frontend = Frontend::new(parts);
    ready(addresses);
    // Without its driver the proxy could only fail every request, so it ends and can be restarted.
    tokio::select! {
        () = frontend.serve(listener, stop) => Ok(()),
        result = driver => Err(DriverEnd::Task(result).into()),
    }
}

/// Creates the channel for the address of discovery, which a reload may change; `None` if the endpoint list is fixed.
fn discovery_channel(
    source: &EndpointSource,
) -> Option<(watch::Sender<SocketAddr>, watch::Receiver<SocketAddr>)> {
    match source {
        EndpointSource::Discovery(address) => Some(watch::channel(*address)),
        EndpointSource::Fixed(_) => None,
    }
}

fn start_admin(
    listener: Option<std::net::TcpListener>, commands: mpsc::UnboundedSender<CommandRequest>,
    metrics: &Arc<Metrics>,
) -> Result<Option<SocketAddr>, Error> {
    let Some(listener) = listener else { return Ok(None) };
    let service = admin::Service { commands, metrics: metrics.clone() };
    let address =
        admin::start(listener, service).map_err(Error::operating_system("cannot serve the admin address"))?;
    Ok(Some(address))
}

fn new_upstreams(
    config: &Config, metrics: &Arc<Metrics>, memory: Rc<ProcessMemory>, sockets: Rc<Sockets>,
) -> UpstreamPool {
    let is_plain = matches!(config.client_protocol, ClientProtocol::Plain(_));
    UpstreamPool::new(&config.connections, sockets, is_plain, metrics.clone(), memory)
}

fn log_start(config: &Config, addresses: &Addresses) {
    info!(
        name = config.name,
        listen = %addresses.clients,
        admin = addresses.admin.map(tracing::field::display),
        proxy = config.settings.proxy_index,
        proxies = config.settings.proxies,
        classes = config.settings.classes.len(),
        tenants = config.settings.tenants.len(),
        "proxy started"
    );
}

/// Returns the endpoint list to start with. If a predecessor left a list, the result is `None`, as that list is applied
/// with the rest of the predecessor's state; a fixed list from the configuration is always returned.
fn initial_list(
    source: EndpointSource, cached_list: &serde_json::Value, predecessor_state: Option<&SharedState>,
) -> Option<(ListScope, Vec<ListedEndpoint>)> {
    match source {
        EndpointSource::Fixed(endpoints) => Some((ListScope::Full, endpoints)),
        EndpointSource::Discovery(_)
            if predecessor_state.is_some_and(|state| !state.endpoints.is_empty()) =>
        {
            None
        }
        EndpointSource::Discovery(_) => {
            let cached = discovery::parse_cached_list(cached_list).unwrap_or_default();
            Some((ListScope::Cached, cached))
        }
    }
}
