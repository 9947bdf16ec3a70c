//! Faults as values, and their choice by a seeded random stream.

use fastrand::Rng;

use crate::backend::BackendMode;
use crate::clients::ClientBehavior;
use crate::discovery::DiscoveryMode;
use crate::syscall_faults::Errno;

/// One fault. Numbers are indices of proxies and backends.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A proxy is terminated and restarted.
    Restart(usize),
    /// A proxy is killed and restarted.
    Kill(usize),
    /// A proxy is replaced by a successor that runs beside it for a while.
    Upgrade(usize),
    /// A proxy gets another configuration, or a broken one.
    Reload {
        /// Which.
        proxy: usize,
        /// Whether the configuration is broken.
        broken: bool,
    },
    /// A proxy's process is stopped for a moment.
    Pause(usize),
    /// Operators drain a proxy for a while.
    Drain(usize),
    /// Operators put a backend into maintenance at all proxies, restart it and take it out again.
    Maintenance(usize),
    /// A backend drains, is removed, and comes back as a new process.
    Replace(usize),
    /// A backend crashes and restarts.
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
    /// Discovery misbehaves.
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
    /// Socket calls of a proxy fail.
    SystemErrors {
        /// Which.
        proxy: usize,
        /// How.
        errno: Errno,
    },
    /// System calls of a proxy are interrupted and cut short.
    Interruptions(usize),
    /// The files of a proxy can't be written.
    Files {
        /// Which.
        proxy: usize,
        /// Why.
        errno: Errno,
    },
    /// More clients misbehave.
    Clients(ClientFault),
}

/// How more clients misbehave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientFault {
    /// They cancel requests.
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

impl ClientFault {
    /// What clients do during the fault.
    pub fn behavior(self) -> ClientBehavior {
        let usual = ClientBehavior::USUAL;
        match self {
            ClientFault::Leave => ClientBehavior { cancel_percent: 40, ..usual },
            ClientFault::Pipeline => ClientBehavior { pipeline_percent: 40, ..usual },
            ClientFault::Upload => ClientBehavior { upload_percent: 40, ..usual },
            ClientFault::ReadSlowly => ClientBehavior { read_slowly_percent: 25, ..usual },
            ClientFault::Stall => ClientBehavior { stall_percent: 20, ..usual },
        }
    }
}

/// What faults can be chosen for a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FaultScope {
    /// How many proxies it has.
    pub proxies: usize,
    /// How many backends.
    pub backends: usize,
    /// Whether its proxies can be upgraded.
    pub upgrades: bool,
}

impl Fault {
    /// Chooses a fault. The order of the draws is part of the plan: a seed has to give the same faults in each run.
    pub fn random(rng: &mut Rng, scope: FaultScope) -> Fault {
        let proxy = rng.usize(0..scope.proxies);
        let backend = rng.usize(0..scope.backends);
        match rng.u32(0..20) {
            0 | 1 => Fault::Restart(proxy),
            2 => Fault::Kill(proxy),
            3 | 4 if scope.upgrades => Fault::Upgrade(proxy),
            3..6 => Fault::Reload { proxy, broken: rng.bool() },
            6 => Fault::Pause(proxy),
            7 => Fault::Drain(proxy),
            8 => Fault::Maintenance(backend),
            9 => Fault::Replace(backend),
            10 => Fault::Crash(backend),
            11 | 12 => Fault::Misbehave { backend, mode: random_backend_mode(rng) },
            13 => Fault::DiscoveryDown,
            14 => random_discovery_fault(rng),
            15 => Fault::ClockStep { seconds: random_clock_step(rng), backend },
            16 => Fault::SystemErrors { proxy, errno: random_socket_error(rng) },
            17 => Fault::Interruptions(proxy),
            18 => Fault::Files { proxy, errno: random_file_error(rng) },
            _ => Fault::Clients(random_client_fault(rng)),
        }
    }
}

fn pick<T: Copy>(rng: &mut Rng, choices: &[T]) -> T {
    choices[rng.usize(0..choices.len())]
}

fn random_backend_mode(rng: &mut Rng) -> BackendMode {
    let modes = [
        BackendMode::Hang,
        BackendMode::Fail,
        BackendMode::Reject,
        BackendMode::Reset,
        BackendMode::ResetInAnswer,
        BackendMode::CloseAfterAnswer,
        BackendMode::AcceptNone,
    ];
    pick(rng, &modes)
}

fn random_discovery_fault(rng: &mut Rng) -> Fault {
    match rng.u32(0..4) {
        0 => Fault::WatchesReset,
        1 => Fault::Discovery(DiscoveryMode::Slow),
        2 => Fault::Discovery(DiscoveryMode::Busy),
        _ => Fault::Discovery(DiscoveryMode::Silent),
    }
}

fn random_clock_step(rng: &mut Rng) -> i64 {
    pick(rng, &[-3600, -5, 5, 3600])
}

fn random_socket_error(rng: &mut Rng) -> Errno {
    let errors = [
        Errno::TooManyFiles,
        Errno::NoBuffers,
        Errno::AddressNotAvailable,
        Errno::NetworkUnreachable,
        Errno::ConnectionAborted,
    ];
    pick(rng, &errors)
}

fn random_file_error(rng: &mut Rng) -> Errno {
    pick(rng, &[Errno::NoSpace, Errno::Io, Errno::TooManyFiles])
}

fn random_client_fault(rng: &mut Rng) -> ClientFault {
    let faults = [
        ClientFault::Leave,
        ClientFault::Pipeline,
        ClientFault::Upload,
        ClientFault::ReadSlowly,
        ClientFault::Stall,
    ];
    pick(rng, &faults)
}
