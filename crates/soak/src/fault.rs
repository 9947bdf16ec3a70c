//! Descriptions of faults, and their random choice from a seed.

use fastrand::Rng;

use crate::backend::BackendMode;
use crate::clients::ClientBehavior;
use crate::discovery::DiscoveryMode;
use crate::syscall_faults::Errno;

/// A fault to inject. Numbers are indices of proxies or backends.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A proxy is terminated and restarted.
    Restart(usize),
    /// A proxy is killed and restarted.
    Kill(usize),
    /// A proxy is replaced by a successor that runs beside it for a while.
    Upgrade(usize),
    /// A proxy reloads a changed configuration, or a broken one.
    Reload {
        /// Index of the proxy.
        proxy: usize,
        /// Whether the configuration is broken.
        broken: bool,
    },
    /// A proxy's process is stopped for a moment (SIGSTOP, SIGCONT).
    Pause(usize),
    /// Operators drain a proxy for a while.
    Drain(usize),
    /// Operators put a backend into maintenance at all proxies, restart it and end the maintenance.
    Maintenance(usize),
    /// A backend drains, is removed, and returns as a new process.
    Replace(usize),
    /// A backend crashes and restarts.
    Crash(usize),
    /// A backend misbehaves.
    Misbehave {
        /// Index of the backend.
        backend: usize,
        /// How the backend treats requests.
        mode: BackendMode,
    },
    /// Discovery is down.
    DiscoveryDown,
    /// Discovery misbehaves.
    Discovery(DiscoveryMode),
    /// All watches are reset.
    WatchesReset,
    /// The wall clock of all machines is stepped, and a backend restarts afterwards.
    ClockStep {
        /// Size of the step in seconds; positive is forward.
        seconds: i64,
        /// Index of the backend that restarts.
        backend: usize,
    },
    /// Socket calls of a proxy fail.
    SystemErrors {
        /// Index of the proxy.
        proxy: usize,
        /// The error that the calls return.
        errno: Errno,
    },
    /// System calls of a proxy are interrupted, and its reads and writes are cut short.
    Interruptions(usize),
    /// The handover files of a proxy can't be opened.
    Files {
        /// Index of the proxy.
        proxy: usize,
        /// The error that opening a file returns.
        errno: Errno,
    },
    /// Clients misbehave more often.
    Clients(ClientFault),
}

/// A kind of client misbehavior that becomes more frequent during a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientFault {
    /// Clients cancel requests.
    Leave,
    /// Clients pipeline requests.
    Pipeline,
    /// Clients send long bodies.
    Upload,
    /// Clients read responses slowly.
    ReadSlowly,
    /// Clients stop in the middle of a request.
    Stall,
}

impl ClientFault {
    /// Behavior of clients during the fault.
    pub fn behavior(self) -> ClientBehavior {
        let normal = ClientBehavior::NORMAL;
        match self {
            ClientFault::Leave => ClientBehavior { cancel_percent: 40, ..normal },
            ClientFault::Pipeline => ClientBehavior { pipeline_percent: 40, ..normal },
            ClientFault::Upload => ClientBehavior { upload_percent: 40, ..normal },
            ClientFault::ReadSlowly => ClientBehavior { read_slowly_percent: 25, ..normal },
            ClientFault::Stall => ClientBehavior { stall_percent: 20, ..normal },
        }
    }
}

/// The properties of a fleet that limit which faults can be chosen for it.
#[derive(Clone, Copy, Debug)]
pub struct FaultScope {
    /// Number of proxies in the fleet.
    pub proxies: usize,
    /// Number of backends in the fleet.
    pub backends: usize,
    /// Whether the proxies can be upgraded.
    pub can_upgrade: bool,
}

impl Fault {
    /// Chooses a fault at random. The order of the random draws must not change: a seed has to give the same faults in
    /// each run.
    pub fn random(rng: &mut Rng, scope: FaultScope) -> Fault {
        let proxy = rng.usize(0..scope.proxies);
        let backend = rng.usize(0..scope.backends);
        match rng.u32(0..20) {
            0 | 1 => Fault::Restart(proxy),
            2 => Fault::Kill(proxy),
            3 | 4 if scope.can_upgrade => Fault::Upgrade(proxy),
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

fn choose<T: Copy>(rng: &mut Rng, choices: &[T]) -> T {
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
    choose(rng, &modes)
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
    choose(rng, &[-3600, -5, 5, 3600])
}

fn random_socket_error(rng: &mut Rng) -> Errno {
    let errors = [
        Errno::TooManyFiles,
        Errno::NoBuffers,
        Errno::AddressNotAvailable,
        Errno::NetworkUnreachable,
        Errno::ConnectionAborted,
    ];
    choose(rng, &errors)
}

fn random_file_error(rng: &mut Rng) -> Errno {
    choose(rng, &[Errno::NoSpace, Errno::Io, Errno::TooManyFiles])
}

fn random_client_fault(rng: &mut Rng) -> ClientFault {
    let faults = [
        ClientFault::Leave,
        ClientFault::Pipeline,
        ClientFault::Upload,
        ClientFault::ReadSlowly,
        ClientFault::Stall,
    ];
    choose(rng, &faults)
}
