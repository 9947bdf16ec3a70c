//! A small fleet of real proxies with test backends, test discovery and test clients.

use std::net::TcpListener;
use std::sync::atomic::{AtomicI64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use fastrand::Rng;
use tokio::task::JoinSet;

use crate::backend::Backend;
use crate::clients::{Client, ClientBehavior, RequestIds};
use crate::discovery::{Discovery, Health};
use crate::error::Error;
use crate::fault::FaultScope;
use crate::history::{OutOfService, OutOfServiceIndex, Recorder};
use crate::proxy::{LaunchOptions, Proxy, free_address};
use crate::settings::ProxySpec;

/// Number of proxies in a fleet with gossip. The configuration has one address to reach all peers, and on loopback one
/// address reaches only one proxy.
const GOSSIPING_PROXIES: usize = 2;
/// Number of proxies in a fleet without gossip.
const ISOLATED_PROXIES: usize = 3;
const BACKENDS: usize = 6;
const BACKENDS_PER_CELL: usize = 2;
const CLIENTS_PER_PROXY: usize = 8;

/// A running fleet of proxies with its backends and discovery.
pub struct Fleet {
    /// The proxies, by index.
    pub proxies: Vec<Arc<Proxy>>,
    /// The backends, by index.
    pub backends: Vec<Arc<Backend>>,
    /// The discovery service that all proxies watch.
    pub discovery: Arc<Discovery>,
    /// Records everything that is observed during the run.
    pub recorder: Arc<Recorder>,
    client_behavior: Arc<Mutex<ClientBehavior>>,
    /// Offset of the fleet's wall clock from the true time, in seconds; positive is ahead.
    clock_offset_s: AtomicI64,
}

impl Fleet {
    /// Starts backends, discovery and proxies. The order of the random draws must not change: a seed has to give the
    /// same fleet and faults in each run.
    ///
    /// # Errors
    /// If any of them does not start.
    pub async fn start(options: &LaunchOptions, rng: &mut Rng) -> Result<Arc<Self>, Error> {
        let recorder = Arc::<Recorder>::default();
        let discovery = Discovery::new();
        let backends = start_backends(&discovery, &recorder, rng).await?;
        let gossip_enabled = rng.bool();
        let passes_sockets = rng.bool();
        let mut proxies = Vec::new();
        for (spec, listener) in proxy_specs(&discovery, gossip_enabled, passes_sockets).await? {
            proxies.push(Proxy::new(spec, options, listener, recorder.clone())?);
        }
        start_all(&proxies).await?;
        Ok(Arc::new(Fleet {
            proxies,
            backends,
            discovery,
            recorder,
            client_behavior: Arc::new(Mutex::new(ClientBehavior::NORMAL)),
            clock_offset_s: AtomicI64::new(0),
        }))
    }

    /// Changes the behavior of all clients.
    pub fn set_client_behavior(&self, behavior: ClientBehavior) {
        *self.client_behavior.lock().unwrap_or_else(PoisonError::into_inner) = behavior;
    }

    /// Steps the wall clock of the fleet by the given number of seconds.
    pub fn step_wall_clock(&self, seconds: i64) {
        let offset = self.clock_offset_s.fetch_add(seconds, SeqCst) + seconds;
        for proxy in &self.proxies {
            proxy.syscall_faults.set_clock_offset(offset);
        }
    }

    /// The wall-clock time in the fleet, with its offset.
    fn wall_clock(&self) -> SystemTime {
        let offset = self.clock_offset_s.load(SeqCst);
        let distance = Duration::from_secs(offset.unsigned_abs());
        let now = SystemTime::now();
        if offset < 0 { now - distance } else { now + distance }
    }

    /// Publishes that a backend is draining, and records that it is out of service from now on.
    pub fn start_draining(&self, backend: usize) -> OutOfServiceIndex {
        let since = Instant::now();
        self.discovery.publish(&self.backends[backend], Health::Draining, None);
        self.recorder.record_out_of_service(OutOfService {
            backend,
            proxy: None,
            since,
            until: None,
            ends_with_process: false,
        })
    }

    /// Starts a new process of a backend and publishes it.
    ///
    /// # Errors
    /// If the backend's port can't be bound again.
    pub async fn restart_backend(&self, backend: usize) -> Result<(), Error> {
        self.backends[backend].restart().await?;
        self.discovery.publish(&self.backends[backend], Health::Up, Some(self.wall_clock()));
        Ok(())
    }

    /// Starts the clients of all proxies; they run until the set is dropped.
    pub fn start_clients(&self) -> JoinSet<()> {
        let ids = Arc::<RequestIds>::default();
        let mut clients = JoinSet::new();
        for proxy in &self.proxies {
            for _ in 0..CLIENTS_PER_PROXY {
                let client = Client {
                    proxy: proxy.clone(),
                    recorder: self.recorder.clone(),
                    ids: ids.clone(),
                    behavior: self.client_behavior.clone(),
                };
                clients.spawn(client.run());
            }
        }
        clients
    }

    /// The properties of this fleet that limit which faults can be chosen for it.
    pub fn fault_scope(&self) -> FaultScope {
        FaultScope {
            proxies: self.proxies.len(),
            backends: self.backends.len(),
            can_upgrade: self.proxies.iter().all(|proxy| proxy.can_upgrade()),
        }
    }
}

async fn start_backends(
    discovery: &Discovery, recorder: &Arc<Recorder>, rng: &mut Rng,
) -> Result<Vec<Arc<Backend>>, Error> {
    let mut backends = Vec::new();
    for index in 0..BACKENDS {
        let speed = 1.0 + rng.f64();
        let backend = Backend::start(index, index / BACKENDS_PER_CELL, speed, recorder.clone()).await?;
        discovery.publish(&backend, Health::Up, None);
        backends.push(backend);
    }
    Ok(backends)
}

/// Specifies the proxies of a fleet, each with the listening socket that is passed to its processes, if any.
async fn proxy_specs(
    discovery: &Arc<Discovery>, gossip_enabled: bool, passes_sockets: bool,
) -> Result<Vec<(ProxySpec, Option<TcpListener>)>, Error> {
    let proxy_count = if gossip_enabled { GOSSIPING_PROXIES } else { ISOLATED_PROXIES };
    let peers = if gossip_enabled { Some([free_address()?, free_address()?]) } else { None };
    let mut specs = Vec::new();
    for index in 0..proxy_count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let listen = listener.local_addr()?;
        let listener = passes_sockets.then_some(listener);
        let spec = ProxySpec { index, proxy_count, listen, discovery: discovery.listen().await?, peers };
        specs.push((spec, listener));
    }
    Ok(specs)
}

async fn start_all(proxies: &[Arc<Proxy>]) -> Result<(), Error> {
    let mut starts = JoinSet::new();
    for proxy in proxies {
        let proxy = proxy.clone();
        starts.spawn(async move { proxy.start().await });
    }
    while let Some(start) = starts.join_next().await {
        start??;
    }
    Ok(())
}
