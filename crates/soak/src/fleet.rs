//! A small fleet of real proxies with stand-in backends, discovery and clients.

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

/// Proxies of a fleet with gossip; more can't reach all others by one address on loopback.
const GOSSIPING_PROXIES: usize = 2;
/// Proxies of a fleet without gossip.
const ISOLATED_PROXIES: usize = 3;
const BACKENDS: usize = 6;
const BACKENDS_PER_CELL: usize = 2;
const CLIENTS_PER_PROXY: usize = 8;

/// All parts of a small fleet.
pub struct Fleet {
    /// Its proxies.
    pub proxies: Vec<Arc<Proxy>>,
    /// Its backends.
    pub backends: Vec<Arc<Backend>>,
    /// Its discovery.
    pub discovery: Arc<Discovery>,
    /// What is observed.
    pub recorder: Arc<Recorder>,
    client_behavior: Arc<Mutex<ClientBehavior>>,
    /// By how many seconds the wall clock of the fleet is ahead.
    clock_offset_s: AtomicI64,
}

impl Fleet {
    /// Starts backends, discovery and proxies. The order of the draws is part of the plan.
    ///
    /// # Errors
    /// If any of them does not start.
    pub async fn start(options: &LaunchOptions, rng: &mut Rng) -> Result<Arc<Self>, Error> {
        let recorder = Arc::<Recorder>::default();
        let discovery = Discovery::new();
        let backends = start_backends(&discovery, &recorder, rng).await?;
        let gossip_enabled = rng.bool();
        let passed_sockets = rng.bool();
        let mut proxies = Vec::new();
        for (spec, listener) in proxy_specs(&discovery, gossip_enabled, passed_sockets).await? {
            proxies.push(Proxy::new(spec, options, listener, recorder.clone())?);
        }
        start_all(&proxies).await?;
        Ok(Arc::new(Fleet {
            proxies,
            backends,
            discovery,
            recorder,
            client_behavior: Arc::new(Mutex::new(ClientBehavior::USUAL)),
            clock_offset_s: AtomicI64::new(0),
        }))
    }

    /// Changes what clients do.
    pub fn set_client_behavior(&self, behavior: ClientBehavior) {
        *self.client_behavior.lock().unwrap_or_else(PoisonError::into_inner) = behavior;
    }

    /// Steps the wall clock of the fleet.
    pub fn step_clock(&self, seconds: i64) {
        let offset = self.clock_offset_s.fetch_add(seconds, SeqCst) + seconds;
        for proxy in &self.proxies {
            proxy.syscall_faults.step_clock(offset);
        }
    }

    /// The time that all clocks of the fleet show.
    fn wall_clock(&self) -> SystemTime {
        let offset = self.clock_offset_s.load(SeqCst);
        let distance = Duration::from_secs(offset.unsigned_abs());
        let now = SystemTime::now();
        if offset < 0 { now - distance } else { now + distance }
    }

    /// Discovery publishes that a backend is draining.
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
    /// If its port can't be had again.
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

    /// What faults can be chosen for it.
    pub fn fault_scope(&self) -> FaultScope {
        FaultScope {
            proxies: self.proxies.len(),
            backends: self.backends.len(),
            upgrades: self.proxies.iter().all(|proxy| proxy.can_upgrade()),
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

/// The proxies of a fleet, each with the listening socket that it is passed, if any.
async fn proxy_specs(
    discovery: &Arc<Discovery>, gossip_enabled: bool, passed_sockets: bool,
) -> Result<Vec<(ProxySpec, Option<TcpListener>)>, Error> {
    let proxy_count = if gossip_enabled { GOSSIPING_PROXIES } else { ISOLATED_PROXIES };
    let peers = if gossip_enabled { Some([free_address()?, free_address()?]) } else { None };
    let mut specs = Vec::new();
    for index in 0..proxy_count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let listen = listener.local_addr()?;
        let listener = passed_sockets.then_some(listener);
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
