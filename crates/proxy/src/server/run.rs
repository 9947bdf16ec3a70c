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
use super::reload::Reload;
use crate::admin::{self, CommandRequest};
use crate::body_memory::{BodyMemory, MemoryBudget};
use crate::classes::Classes;
use crate::config::{Config, Dialect, Source};
use crate::discovery::{self, DiscoveryCalls};
use crate::driver::{Driver, DriverParts};
use crate::error::{DriverEnd, Error};
use crate::frontend::{Frontend, FrontendParts, SocketLimits};
use crate::handover::{Handover, SharedState};
use crate::inbox::{Inbox, Input};
use crate::listed_endpoint::ListedEndpoint;
use crate::metrics::Metrics;
use crate::upstream::UpstreamPool;

/// Denominator of the fraction of the memory that bodies may take on their way, and again that may be read ahead. Two
/// processes share the memory during an upgrade.
const BODY_MEMORY_DIVISOR: usize = 12;
/// Descriptors for all but clients and upstreams: standard streams, runtime, signals, listener, gossip, discovery.
const RESERVED_DESCRIPTORS: usize = 32;

/// Where a proxy listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For clients.
    pub clients: SocketAddr,
    /// For operators.
    pub admin: Option<SocketAddr>,
}

/// The file that is read again at a signal.
pub struct ReloadSource {
    pub path: PathBuf,
    pub hangup: Signal,
}

/// State that several parts of the proxy share.
struct Shared {
    inbox: Inbox,
    classes: Rc<RefCell<Classes>>,
    metrics: Arc<Metrics>,
    /// The fraction of requests that leave an access event.
    access_rate: Rc<Cell<f64>>,
    /// Whether operators have drained the proxy.
    drained: Rc<Cell<bool>>,
}

impl Shared {
    fn new(config: &Config, inbox: Inbox, metrics: Arc<Metrics>) -> Self {
        let classes = Classes::new(&config.names, &config.settings.classes, &config.dialect);
        Shared {
            inbox,
            classes: Rc::new(RefCell::new(classes)),
            metrics,
            access_rate: Rc::new(Cell::new(config.logging.access)),
            drained: Rc::default(),
        }
    }

    /// Reads the configuration again at each signal.
    fn spawn_reload(
        &self, source: ReloadSource, running: Config, discovery_address: Option<watch::Sender<SocketAddr>>,
    ) {
        let reload = Reload {
            path: source.path,
            running,
            discovery_address,
            classes: self.classes.clone(),
            access_rate: self.access_rate.clone(),
            inbox: self.inbox.clone(),
            metrics: self.metrics.clone(),
        };
        spawn_local(reload.run(source.hangup));
    }
}

/// Runs a proxy until `stop`, and calls `ready` once it listens.
pub async fn run(
    config: Config, reload: Option<ReloadSource>, metrics: Arc<Metrics>, ready: impl FnOnce(Addresses),
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let BoundSockets { listener, handover, predecessor, peers, admin } = BoundSockets::open(&config)?;
    let clients = listener.local_addr().map_err(Error::system("the listener"))?;
    let (inbox, inputs) = Inbox::new();
    let (command_sender, commands) = mpsc::unbounded_channel();
    // The sender stays alive here, so that the receiver remains open without a listener for operators.
    let admin = start_admin(admin, command_sender.clone(), &metrics)?; // nothing fails after this
    for class in &config.names.classes {
        metrics.show_class(class);
    }
    let shared = Shared::new(&config, inbox, metrics);
    let (address_sender, discovery_address) = discovery_channel(&config.source).unzip();
    if let Some(reload) = reload {
        shared.spawn_reload(reload, config.clone(), address_sender);
    }
    if let Some(peers) = &peers {
        spawn_local(peers.clone().listen(shared.inbox.clone()));
    }
    let limits = socket_limits(config.max_sockets, handover.clone());
    let upstreams = Rc::new(new_upstreams(&config, limits.max_backend_sockets(), &shared.metrics));
    let parts = DriverParts {
        commands,
        classes: shared.classes.clone(),
        inbox: shared.inbox.clone(),
        upstreams: upstreams.clone(),
        peers,
        discovery: discovery_address.map(DiscoveryCalls::new),
        metrics: shared.metrics.clone(),
        drained: shared.drained.clone(),
        handover,
    };
    let addresses = Addresses { clients, admin };
    log_start(&config, &addresses);
    let Config { settings, seed, names, source, cached_list, .. } = config;
    let mut driver = Driver::new(Balancer::new(settings, seed), names, parts);
    if let Some((scope, endpoints)) = initial_list(source, &cached_list, predecessor.as_ref()) {
        shared.inbox.put(Input::EndpointList { scope, endpoints });
    }
    if let Some(predecessor) = predecessor {
        driver.take_over(predecessor);
    }
    let driver = spawn_local(driver.run(inputs));
    let Shared { inbox, classes, metrics, access_rate, drained } = shared;
    let frontend =
        Frontend::new(FrontendParts { inbox, classes, upstreams, limits, metrics, drained, access_rate });
    ready(addresses);
    // Without its driver a proxy could only fail every request: it is better ended and started anew.
    tokio::select! {
        () = frontend.serve(listener, stop) => Ok(()),
        end = driver => Err(DriverEnd::Task(end).into()),
    }
}

/// The channel of discovery's address, which a reload may change.
fn discovery_channel(source: &Source) -> Option<(watch::Sender<SocketAddr>, watch::Receiver<SocketAddr>)> {
    match source {
        Source::Discovery(address) => Some(watch::channel(*address)),
        Source::Fixed(_) => None,
    }
}

fn start_admin(
    listener: Option<std::net::TcpListener>, commands: mpsc::UnboundedSender<CommandRequest>,
    metrics: &Arc<Metrics>,
) -> Result<Option<SocketAddr>, Error> {
    let Some(listener) = listener else { return Ok(None) };
    let service = admin::Service { commands, metrics: metrics.clone() };
    let address = admin::start(listener, service).map_err(Error::system("the second address"))?;
    Ok(Some(address))
}

/// The sockets for clients and upstreams: half as many while another process of this proxy uses the other half.
fn socket_limits(max_sockets: usize, handover: Option<Rc<Handover>>) -> SocketLimits {
    SocketLimits {
        without_overlap: max_sockets.saturating_sub(RESERVED_DESCRIPTORS).max(RESERVED_DESCRIPTORS),
        with_overlap: (max_sockets / 2).saturating_sub(RESERVED_DESCRIPTORS).max(RESERVED_DESCRIPTORS / 2),
        handover,
    }
}

fn new_upstreams(config: &Config, max_connections: usize, metrics: &Arc<Metrics>) -> UpstreamPool {
    let budget = || MemoryBudget::new(config.max_memory / BODY_MEMORY_DIVISOR);
    let memory = BodyMemory { streamed: budget(), read_ahead: budget() };
    let is_plain = matches!(config.dialect, Dialect::Plain(_));
    UpstreamPool::new(&config.connections, max_connections, is_plain, metrics.clone(), memory)
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

/// The endpoint list to start with. A predecessor's list, if there is one, is applied with the rest of what it has left.
fn initial_list(
    source: Source, cached_list: &serde_json::Value, predecessor: Option<&SharedState>,
) -> Option<(ListScope, Vec<ListedEndpoint>)> {
    match source {
        Source::Fixed(endpoints) => Some((ListScope::Full, endpoints)),
        Source::Discovery(_) if predecessor.is_some_and(|left| !left.endpoints.is_empty()) => None,
        Source::Discovery(_) => {
            let cached = discovery::parse_cached_list(cached_list).unwrap_or_default();
            Some((ListScope::Cached, cached))
        }
    }
}
