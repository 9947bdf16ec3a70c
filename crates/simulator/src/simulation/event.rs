//! The events of a run, which are scheduled in simulated time.

use leadrelay_core::{DiscoveryEvent, Endpoint, Millis, Outcome};

use crate::discovery::Step;
use crate::index::{
    AttemptIndex, BackendIndex, ClientAttemptIndex, ConnectionIndex, FaultIndex, ProxyIndex, RequestIndex,
};

/// The response that a client receives to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClientResponse {
    /// A response of a backend.
    Served,
    /// A rejection.
    Rejected {
        /// Time that the client should wait before a retry.
        retry_after: Millis,
    },
    /// An error response of the proxy; the request may have been executed.
    Failed,
    /// No response, because the connection to the proxy broke.
    ConnectionBroken,
}

/// An event of a run.
pub(super) enum Event {
    /// The first attempt of a request is due.
    RequestArrives(RequestIndex),
    /// A further attempt of a request is due.
    RetryDue(RequestIndex),
    /// A client's attempt reaches its proxy.
    ReachesProxy(ClientAttemptIndex),
    /// A client gives an attempt up because of a timeout or a disconnect.
    ClientGivesUp(ClientAttemptIndex),
    /// A response reaches its client.
    ReachesClient(ClientAttemptIndex, ClientResponse),
    /// A timer of a proxy has expired.
    Timer { proxy: ProxyIndex, incarnation: u32, token: u64 },
    /// A proxy's attempt reaches its backend.
    ReachesBackend(AttemptIndex),
    /// A backend completes a request, unless the backend has changed since this event was scheduled.
    BackendCompletes { backend: BackendIndex, generation: u64 },
    /// A proxy sees the end of an attempt.
    AttemptEnded(AttemptIndex, Outcome),
    /// A gossip message reaches its receivers.
    Gossip { from: ProxyIndex, bytes: Vec<u8> },
    /// The discovery service performs a scheduled step.
    DiscoveryStep(Step),
    /// A proxy reads from a connection to discovery.
    DiscoveryRead { connection: ConnectionIndex, event: DiscoveryEvent },
    /// The discovery service receives a change of an endpoint.
    DiscoveryUpdate(Endpoint),
    /// The true state is copied for policies that see it with a delay.
    SnapshotDue,
    /// A fault starts.
    FaultStarts(FaultIndex),
    /// A fault ends.
    FaultEnds(FaultIndex),
    /// A proxy starts a graceful shutdown: clients are directed to other proxies.
    ProxyDrains(ProxyIndex),
    /// The process of a proxy stops.
    ProxyStops(ProxyIndex),
    /// A new process of a proxy starts.
    ProxyRecovers(ProxyIndex),
    /// A backend is replaced by a new one.
    BackendReplaced(BackendIndex),
    /// A backend's drain is announced.
    BackendDrains(BackendIndex),
    /// The process of a backend stops, and the backend is removed from the endpoint list.
    BackendRemoved(BackendIndex),
    /// A new process of a backend starts.
    BackendRestarts(BackendIndex),
}
