//! One small fleet, from its start to the verdict.

use std::path::PathBuf;
use std::sync::atomic::{AtomicI64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use fastrand::Rng;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::backend::Backend;
use crate::clients::{Client, Habits, Ids};
use crate::discovery::{Discovery, Health};
use crate::judge::{Report, judge};
use crate::ledger::{Ledger, OutOfService};
use crate::proxy::{Proxy, free_address};
use crate::settings::Place;
use crate::troubles::{Scope, draw};

/// Proxies that may talk to each other; more can't reach all others by one address on loopback.
const TALKING_PROXIES: usize = 2;
/// Proxies of a fleet that may not.
const SILENT_PROXIES: usize = 3;
const BACKENDS: usize = 6;
const BACKENDS_IN_CELL: usize = 2;
const CLIENTS_OF_PROXY: usize = 8;
/// Before the first trouble, and after the last.
const CALM: Duration = Duration::from_millis(2500);
/// Between the begins of troubles that belong together.
const OVERLAP: Duration = Duration::from_millis(700);
/// Between one lot of troubles and the next.
const LOT_PERIOD: Duration = Duration::from_millis(2500);
/// All troubles have to end within this span of the last lot.
const TROUBLE_LIMIT: Duration = Duration::from_secs(40);
/// Between looks at whether this process itself runs late.
const LAG_PERIOD: Duration = Duration::from_millis(10);
/// From here on a delay of this process counts as one.
const LAG_LEAST: Duration = Duration::from_millis(15);

/// What to play.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The only source of what goes wrong and when. What follows from it on real sockets differs from play to play.
    pub seed: u64,
    /// For how long troubles begin.
    pub span: Duration,
    /// The proxy.
    pub program: PathBuf,
    /// Where logs and files go.
    pub folder: PathBuf,
    /// What proxies log.
    pub log_filter: String,
}

/// All parts of a small fleet.
pub struct Fleet {
    /// Its proxies.
    pub proxies: Vec<Arc<Proxy>>,
    /// Its backends.
    pub backends: Vec<Arc<Backend>>,
    /// Its discovery.
    pub discovery: Arc<Discovery>,
    /// What was seen.
    pub ledger: Arc<Ledger>,
    habits: Arc<Mutex<Habits>>,
    clock_offset: AtomicI64,
}

impl Fleet {
    /// Starts backends, discovery and proxies.
    ///
    /// # Errors
    /// If any of them does not start.
    pub async fn start(plan: &Plan, rng: &mut Rng) -> anyhow::Result<Arc<Self>> {
        let ledger = Arc::<Ledger>::default();
        let discovery = Discovery::new();
        let mut backends = Vec::new();
        for number in 0..BACKENDS {
            let speed = 1.0 + rng.f64();
            let backend = Backend::start(number, number / BACKENDS_IN_CELL, speed, ledger.clone()).await?;
            discovery.tell(&backend, Health::Up, None);
            backends.push(backend);
        }
        let (talking, passed) = (rng.bool(), rng.bool());
        let count = if talking { TALKING_PROXIES } else { SILENT_PROXIES };
        let peers = if talking { Some([free_address()?, free_address()?]) } else { None };
        let mut proxies = Vec::new();
        for number in 0..count {
            let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
            let listen = listener.local_addr()?;
            let listener = passed.then_some(listener);
            let place = Place { number, proxies: count, listen, discovery: discovery.listen().await?, peers };
            let (program, folder) = (&plan.program, &plan.folder);
            proxies.push(Proxy::new(place, program, folder, &plan.log_filter, listener, ledger.clone())?);
        }
        let mut starts = JoinSet::new();
        for proxy in &proxies {
            let proxy = proxy.clone();
            starts.spawn(async move { proxy.start().await });
        }
        while let Some(start) = starts.join_next().await {
            start??;
        }
        let habits = Arc::new(Mutex::new(Habits::USUAL));
        Ok(Arc::new(Fleet { proxies, backends, discovery, ledger, habits, clock_offset: AtomicI64::new(0) }))
    }

    /// From now on clients do this.
    pub fn set_habits(&self, habits: Habits) {
        *self.habits.lock().unwrap_or_else(PoisonError::into_inner) = habits;
    }

    /// By how many seconds the wall clock of the fleet is ahead.
    pub fn clock_offset(&self) -> i64 {
        self.clock_offset.load(SeqCst)
    }

    /// Steps the wall clock of the fleet.
    pub fn step_clock(&self, seconds: i64) {
        let offset = self.clock_offset.fetch_add(seconds, SeqCst) + seconds;
        self.proxies.iter().for_each(|proxy| proxy.faults.step_clock(offset));
    }

    /// Discovery tells that a backend takes no more; returns the place of that in the ledger.
    pub fn announce(&self, backend: usize, health: Health) -> usize {
        let since = Instant::now();
        self.discovery.tell(&self.backends[backend], health, None);
        self.note_out_of_service(OutOfService {
            backend,
            proxy: None,
            since,
            until: None,
            ends_with_process: false,
        })
    }

    /// Discovery tells that a backend has left.
    pub fn announce_gone(&self, backend: usize) {
        self.discovery.tell(&self.backends[backend], Health::Removed, None);
    }

    /// Notes that a backend may get nothing; returns the place of that in the ledger.
    pub fn note_out_of_service(&self, span: OutOfService) -> usize {
        let mut seen = self.ledger.seen();
        seen.out_of_service.push(span);
        seen.out_of_service.len() - 1
    }

    /// Notes that backends may be used again.
    pub fn end_out_of_service(&self, places: &[usize]) {
        let (now, mut seen) = (Instant::now(), self.ledger.seen());
        places.iter().for_each(|place| seen.out_of_service[*place].until = Some(now));
    }

    /// Notes that discovery has come back.
    pub fn note_discovery_up(&self) {
        self.ledger.seen().discovery_up.push(Instant::now());
    }

    fn clients(&self) -> JoinSet<()> {
        let ids = Arc::<Ids>::default();
        let mut clients = JoinSet::new();
        for proxy in &self.proxies {
            for _ in 0..CLIENTS_OF_PROXY {
                let (proxy, ledger) = (proxy.clone(), self.ledger.clone());
                let client = Client { proxy, ledger, ids: ids.clone(), habits: self.habits.clone() };
                clients.spawn(client.run());
            }
        }
        clients
    }

    /// Notes when this process itself runs late.
    fn watch_lag(&self) -> JoinHandle<()> {
        let ledger = self.ledger.clone();
        tokio::spawn(async move {
            loop {
                let begun = Instant::now();
                sleep(LAG_PERIOD).await;
                let lag = begun.elapsed().saturating_sub(LAG_PERIOD);
                if lag >= LAG_LEAST {
                    ledger.seen().lags.push((Instant::now(), lag));
                }
            }
        })
    }

    fn scope(&self) -> Scope {
        let upgrades = self.proxies.iter().all(|proxy| proxy.can_upgrade());
        Scope { proxies: self.proxies.len(), backends: self.backends.len(), upgrades }
    }

    /// Lots of troubles, one after another.
    async fn troubles(self: &Arc<Self>, plan: &Plan, rng: &mut Rng) -> anyhow::Result<()> {
        let end = Instant::now() + plan.span;
        let mut running = JoinSet::new();
        while Instant::now() < end {
            for _ in 0..rng.usize(2..=3) {
                let (trouble, seed, fleet) = (draw(rng, self.scope()), rng.u64(..), self.clone());
                running.spawn(async move { fleet.suffer(trouble, seed).await });
                sleep(OVERLAP.mul_f64(rng.f64())).await;
            }
            sleep(LOT_PERIOD).await;
        }
        let all = async {
            while let Some(end) = running.join_next().await {
                end??;
            }
            Ok(())
        };
        tokio::time::timeout(TROUBLE_LIMIT, all).await.context("a trouble did not end")?
    }
}

/// Plays a fleet and judges it.
///
/// # Errors
/// If the fleet can't be played.
pub async fn run(plan: &Plan) -> anyhow::Result<Report> {
    let mut rng = Rng::with_seed(plan.seed);
    let fleet = Fleet::start(plan, &mut rng).await?;
    let lag = fleet.watch_lag();
    let mut clients = fleet.clients();
    sleep(CALM).await;
    let troubles = fleet.troubles(plan, &mut rng).await;
    sleep(CALM).await;
    clients.abort_all();
    let mut violations = Vec::new();
    for proxy in &fleet.proxies {
        if let Ok((200, text)) = proxy.call("GET /metrics").await {
            let lines = text.lines().filter(|line| line.starts_with("leadrelay_invariant_violations_total"));
            violations.extend(lines.filter(|line| !line.ends_with(" 0")).map(str::to_owned));
        }
        proxy.stop();
    }
    lag.abort();
    let mut report = judge(&fleet.ledger.seen(), &fleet.backends);
    report.add_figures(violations);
    if let Err(error) = troubles {
        report.add_failure(&format!("{error:#}"));
    }
    Ok(report)
}
