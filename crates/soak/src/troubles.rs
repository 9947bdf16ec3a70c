//! What goes wrong, drawn from a seed, two or three things at a time.

use std::time::{Duration, Instant, SystemTime};

use fastrand::Rng;
use tokio::time::sleep;

use crate::backend::Mode as BackendMode;
use crate::clients::Habits;
use crate::deployment::Fleet;
use crate::discovery::{self, Health, Mode as DiscoveryMode};
use crate::faults::Errno;
use crate::ledger::OutOfService;

/// One thing that goes wrong. Numbers are those of proxies and backends.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// A proxy is told to end and started anew.
    Restart(usize),
    /// A proxy is killed and started anew.
    Kill(usize),
    /// A proxy is replaced by a successor beside it.
    Upgrade(usize),
    /// A proxy gets another configuration, or a broken one.
    Reload {
        /// Which.
        proxy: usize,
        /// Whether the configuration is broken.
        broken: bool,
    },
    /// A proxy is held up.
    Pause(usize),
    /// Operators drain a proxy for a while.
    Drain(usize),
    /// Operators take a backend out of use at all proxies, restart it and put it back.
    Maintenance(usize),
    /// A backend drains, leaves, and comes back as a new process.
    Replace(usize),
    /// A backend dies and comes back.
    Crash(usize),
    /// A backend misbehaves.
    Misbehave {
        /// Which.
        backend: usize,
        /// How.
        mode: BackendMode,
    },
    /// Discovery is down.
    DiscoveryDown,
    /// Discovery behaves otherwise.
    Discovery(DiscoveryMode),
    /// All watches are reset.
    WatchesReset,
    /// The wall clock of all machines is stepped, and a backend restarts after that.
    ClockStep {
        /// By how much.
        seconds: i64,
        /// Which backend.
        backend: usize,
    },
    /// System calls of a proxy fail.
    SystemErrors {
        /// Which.
        proxy: usize,
        /// How.
        errno: Errno,
    },
    /// Calls of a proxy are interrupted and cut short.
    Interruptions(usize),
    /// The files of a proxy can't be written.
    Files {
        /// Which.
        proxy: usize,
        /// Why.
        errno: Errno,
    },
    /// Clients do more of what they should not.
    Clients(ClientTrouble),
}

/// What clients do more of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientTrouble {
    /// They leave.
    Leave,
    /// They send several requests at once.
    Pipeline,
    /// They send long bodies.
    Upload,
    /// They read slowly.
    ReadSlowly,
    /// They stop in the middle of a request.
    Stall,
}

impl ClientTrouble {
    fn habits(self) -> Habits {
        let usual = Habits::USUAL;
        match self {
            ClientTrouble::Leave => Habits { leave: 40, ..usual },
            ClientTrouble::Pipeline => Habits { pipeline: 40, ..usual },
            ClientTrouble::Upload => Habits { upload: 40, ..usual },
            ClientTrouble::ReadSlowly => Habits { read_slowly: 25, ..usual },
            ClientTrouble::Stall => Habits { stall: 20, ..usual },
        }
    }
}

/// What may be drawn for a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Scope {
    /// Its proxies.
    pub proxies: usize,
    /// Its backends.
    pub backends: usize,
    /// Whether its proxies can be upgraded.
    pub upgrades: bool,
}

/// Draws a trouble.
pub fn draw(rng: &mut Rng, scope: Scope) -> Trouble {
    let (proxy, backend) = (rng.usize(0..scope.proxies), rng.usize(0..scope.backends));
    match rng.u32(0..20) {
        0 | 1 => Trouble::Restart(proxy),
        2 => Trouble::Kill(proxy),
        3 | 4 if scope.upgrades => Trouble::Upgrade(proxy),
        3..6 => Trouble::Reload { proxy, broken: rng.bool() },
        6 => Trouble::Pause(proxy),
        7 => Trouble::Drain(proxy),
        8 => Trouble::Maintenance(backend),
        9 => Trouble::Replace(backend),
        10 => Trouble::Crash(backend),
        11 | 12 => Trouble::Misbehave { backend, mode: misbehaviour(rng) },
        13 => Trouble::DiscoveryDown,
        14 => match rng.u32(0..4) {
            0 => Trouble::WatchesReset,
            1 => Trouble::Discovery(DiscoveryMode::Slow),
            2 => Trouble::Discovery(DiscoveryMode::Busy),
            _ => Trouble::Discovery(DiscoveryMode::Silent),
        },
        15 => Trouble::ClockStep { seconds: [-3600, -5, 5, 3600][rng.usize(0..4)], backend },
        16 => Trouble::SystemErrors { proxy, errno: system_error(rng) },
        17 => Trouble::Interruptions(proxy),
        18 => {
            Trouble::Files { proxy, errno: [Errno::NoSpace, Errno::Io, Errno::TooManyFiles][rng.usize(0..3)] }
        }
        _ => Trouble::Clients(client_trouble(rng)),
    }
}

fn misbehaviour(rng: &mut Rng) -> BackendMode {
    let modes = [
        BackendMode::Hang,
        BackendMode::Fail,
        BackendMode::Reject,
        BackendMode::Reset,
        BackendMode::ResetInAnswer,
        BackendMode::CloseAfterAnswer,
        BackendMode::AcceptNone,
    ];
    modes[rng.usize(0..modes.len())]
}

fn system_error(rng: &mut Rng) -> Errno {
    let errors = [
        Errno::TooManyFiles,
        Errno::NoBuffers,
        Errno::AddressNotAvailable,
        Errno::NetworkUnreachable,
        Errno::ConnectionAborted,
    ];
    errors[rng.usize(0..errors.len())]
}

fn client_trouble(rng: &mut Rng) -> ClientTrouble {
    let troubles = [
        ClientTrouble::Leave,
        ClientTrouble::Pipeline,
        ClientTrouble::Upload,
        ClientTrouble::ReadSlowly,
        ClientTrouble::Stall,
    ];
    troubles[rng.usize(0..troubles.len())]
}

/// How long a trouble lasts that has no length of its own.
fn span(rng: &mut Rng) -> Duration {
    Duration::from_millis(rng.u64(500..3500))
}

impl Fleet {
    /// Lets a trouble happen, from its begin to its end.
    ///
    /// # Errors
    /// If something of the fleet itself fails that no trouble explains.
    pub async fn suffer(&self, trouble: Trouble, seed: u64) -> anyhow::Result<()> {
        let mut rng = Rng::with_seed(seed);
        let span = span(&mut rng);
        self.ledger.seen().troubles.push((Instant::now(), format!("{trouble:?} for {span:?}")));
        match trouble {
            Trouble::Restart(proxy) => self.proxies[proxy].restart().await?,
            Trouble::Kill(proxy) => self.proxies[proxy].kill(span / 2).await?,
            Trouble::Upgrade(proxy) => self.proxies[proxy].upgrade().await?,
            Trouble::Reload { proxy, broken } => self.proxies[proxy].reload(broken).await?,
            Trouble::Pause(proxy) => {
                self.proxies[proxy].pause(Duration::from_millis(rng.u64(20..150))).await;
            }
            Trouble::Drain(proxy) => {
                let _ = self.proxies[proxy].call("PUT /healthcheck/fail").await; // a restart may cross it
                sleep(span).await;
                let _ = self.proxies[proxy].call("PUT /healthcheck/ok").await;
            }
            Trouble::Maintenance(backend) => self.maintain(backend, span).await?,
            Trouble::Replace(backend) => self.replace(backend, span).await?,
            Trouble::Crash(backend) => {
                self.backends[backend].crash();
                sleep(span).await;
                self.start_backend(backend).await?;
            }
            Trouble::Misbehave { backend, mode } => {
                self.backends[backend].set_mode(mode);
                sleep(span).await;
                self.backends[backend].set_mode(BackendMode::Serve);
            }
            Trouble::DiscoveryDown => {
                self.discovery.stop();
                sleep(2 * span).await;
                self.discovery.resume().await?;
                self.note_discovery_up();
            }
            Trouble::Discovery(mode) => {
                self.discovery.set_mode(mode);
                sleep(2 * span).await;
                self.discovery.set_mode(DiscoveryMode::Up);
                self.note_discovery_up();
            }
            Trouble::WatchesReset => self.discovery.reset_watches(),
            Trouble::ClockStep { seconds, backend } => {
                self.step_clock(seconds);
                sleep(span).await;
                self.backends[backend].crash();
                sleep(Duration::from_millis(100)).await;
                self.start_backend(backend).await?;
            }
            Trouble::SystemErrors { proxy, errno } => {
                let percent = rng.u64(20..100);
                let (accept, socket, connect) = match errno {
                    Errno::ConnectionAborted => (Some(errno), None, None),
                    Errno::AddressNotAvailable | Errno::NetworkUnreachable => (None, None, Some(errno)),
                    _ => (Some(errno), Some(errno), None),
                };
                self.proxies[proxy].faults.fail_sockets(accept, socket, connect, percent);
                sleep(span / 2).await;
                self.proxies[proxy].faults.clear();
            }
            Trouble::Interruptions(proxy) => {
                self.proxies[proxy].faults.interrupt(rng.u64(5..40), rng.u64(5..60));
                sleep(span).await;
                self.proxies[proxy].faults.clear();
            }
            Trouble::Files { proxy, errno } => {
                self.proxies[proxy].faults.fail_files(errno, rng.u64(50..=100));
                sleep(span).await;
                self.proxies[proxy].faults.clear();
            }
            Trouble::Clients(more) => {
                self.set_habits(more.habits());
                sleep(span).await;
                self.set_habits(Habits::USUAL);
            }
        }
        Ok(())
    }

    /// Operators take a backend out of use everywhere; it is restarted meanwhile.
    async fn maintain(&self, backend: usize, span: Duration) -> anyhow::Result<()> {
        let name = discovery::name(backend);
        let mut held = Vec::new();
        for proxy in &self.proxies {
            if matches!(proxy.call(&format!("PUT /backends/{name}/maint")).await, Ok((200, _))) {
                let since = Instant::now();
                held.push((proxy.place.number, since));
            }
        }
        let mut noted = Vec::new();
        for (proxy, since) in held {
            let ends_with_process = !self.proxies[proxy].can_upgrade();
            let span = OutOfService { backend, proxy: Some(proxy), since, until: None, ends_with_process };
            noted.push(self.note_out_of_service(span));
        }
        sleep(span).await;
        self.backends[backend].crash();
        sleep(Duration::from_millis(200)).await;
        self.start_backend(backend).await?;
        sleep(Duration::from_millis(300)).await;
        // From the first call back on, whether or not it is answered, the backend may be used again.
        self.end_out_of_service(&noted);
        for proxy in &self.proxies {
            for _ in 0..20 {
                if matches!(proxy.call(&format!("PUT /backends/{name}/ready")).await, Ok((200, _))) {
                    break;
                }
                sleep(Duration::from_millis(200)).await;
            }
        }
        Ok(())
    }

    /// A backend drains, leaves and returns as a new process.
    async fn replace(&self, backend: usize, span: Duration) -> anyhow::Result<()> {
        let noted = self.announce(backend, Health::Draining);
        sleep(span).await;
        self.announce_gone(backend);
        self.backends[backend].crash();
        sleep(span / 2).await;
        self.end_out_of_service(&[noted]);
        self.start_backend(backend).await
    }

    /// Starts a new process of a backend and lets discovery tell of it.
    async fn start_backend(&self, backend: usize) -> anyhow::Result<()> {
        self.backends[backend].restart().await?;
        self.discovery.tell(&self.backends[backend], Health::Up, Some(self.wall_clock()));
        Ok(())
    }

    /// The time that all clocks of the fleet show.
    fn wall_clock(&self) -> SystemTime {
        let offset = self.clock_offset();
        let span = Duration::from_secs(offset.unsigned_abs());
        let now = SystemTime::now();
        if offset < 0 { now - span } else { now + span }
    }
}
