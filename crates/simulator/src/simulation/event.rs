//! What happens in a run, each at its time.

use leadrelay_core::{DiscoveryEvent, Endpoint, Millis, Outcome};

use crate::discovery::Step;
use crate::index::{
    AttemptIndex, BackendIndex, ClientAttemptIndex, ConnectionIndex, FaultIndex, ProxyIndex, RequestIndex,
};

/// What a client gets for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Answer {
    /// A response.
    Served,
    /// A rejection.
    Rejected {
        /// The client should wait for this time before it retries.
        retry_after: Millis,
    },
    /// An error.
    Failed,
    /// No answer: the connection to the proxy broke.
    ConnectionBroken,
}

/// What happens in a run.
pub(super) enum Event {
    /// The first attempt of a request is due.
    RequestArrives(RequestIndex),
    /// A further attempt of a request is due.
    RetryDue(RequestIndex),
    /// A client's attempt reaches its proxy.
    ReachesProxy(ClientAttemptIndex),
    /// A client gives an attempt up.
    ClientGivesUp(ClientAttemptIndex),
    /// An answer reaches its client.
    ReachesClient(ClientAttemptIndex, Answer),
    /// A timer of a proxy has expired.
    Timer { proxy: ProxyIndex, incarnation: u32, token: u64 },
    /// A proxy's attempt reaches its backend.
    ReachesBackend(AttemptIndex),
    /// A backend completes a request, unless it has changed since that was planned.
    BackendCompletes { backend: BackendIndex, generation: u64 },
    /// A proxy sees the end of an attempt.
    AttemptEnded(AttemptIndex, Outcome),
    /// A gossip message reaches its receivers.
    Gossip { from: ProxyIndex, bytes: Vec<u8> },
    /// Discovery does something that it has planned.
    DiscoveryStep(Step),
    /// A proxy reads from a connection to discovery.
    DiscoveryRead { connection: ConnectionIndex, event: DiscoveryEvent },
    /// Discovery gets a change.
    DiscoveryUpdate(Endpoint),
    /// The true state is copied for policies that see it late.
    SnapshotDue,
    /// A fault starts.
    FaultStarts(FaultIndex),
    /// A fault ends.
    FaultEnds(FaultIndex),
    /// A proxy shuts down gracefully: clients are sent elsewhere.
    ProxyDrains(ProxyIndex),
    /// A proxy's process ends.
    ProxyStops(ProxyIndex),
    /// A proxy's next process starts.
    ProxyRecovers(ProxyIndex),
    /// A backend is replaced by a new one.
    BackendReplaced(BackendIndex),
    /// A backend's drain is announced.
    BackendDrains(BackendIndex),
    /// A backend's process ends, and it is removed from the list.
    BackendRemoved(BackendIndex),
    /// A backend's next process starts.
    BackendRestarts(BackendIndex),
}
