//! The reasons for which connections are closed, as counted in metrics.

/// The reason for which a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientCloseReason {
    /// The client closed the connection, or the connection broke.
    ByClient,
    /// The proxy sent a response that announced the close.
    WithResponse,
    /// The limit on sockets was reached, and another connection needed the socket.
    Evicted,
    /// The connection was idle for too long.
    Idle,
    /// The connection was idle while operators had drained the proxy.
    Drained,
    /// The process is shutting down.
    Shutdown,
    /// The request on the connection was not complete in time.
    RequestTimeout,
    /// The client read nothing of a streamed response for too long.
    WriteTimeout,
    /// The connection did not close in time after its close was requested.
    CloseTimeout,
    /// The client sent bytes that are not valid HTTP.
    Malformed,
    /// The limit on connections with buffers was reached when the first bytes arrived, and no other one could be evicted.
    NoMemory,
}

impl ClientCloseReason {
    /// All reasons.
    pub const ALL: [ClientCloseReason; 11] = [
        ClientCloseReason::ByClient,
        ClientCloseReason::WithResponse,
        ClientCloseReason::Evicted,
        ClientCloseReason::Idle,
        ClientCloseReason::Drained,
        ClientCloseReason::Shutdown,
        ClientCloseReason::RequestTimeout,
        ClientCloseReason::WriteTimeout,
        ClientCloseReason::CloseTimeout,
        ClientCloseReason::Malformed,
        ClientCloseReason::NoMemory,
    ];

    /// The name of the reason in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            ClientCloseReason::ByClient => "by_client",
            ClientCloseReason::WithResponse => "with_answer",
            ClientCloseReason::Evicted => "evicted",
            ClientCloseReason::Idle => "idle",
            ClientCloseReason::Drained => "drained",
            ClientCloseReason::Shutdown => "shutdown",
            ClientCloseReason::RequestTimeout => "request_timeout",
            ClientCloseReason::WriteTimeout => "write_timeout",
            ClientCloseReason::CloseTimeout => "close_timeout",
            ClientCloseReason::Malformed => "malformed",
            ClientCloseReason::NoMemory => "no_memory",
        }
    }
}

/// The reason for which a connection to a backend was closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BackendCloseReason {
    /// The attempt on the connection was abandoned, or broke off.
    #[default]
    AttemptEnded,
    /// The response or the backend does not allow the connection to be reused.
    NotReusable,
    /// The connection was idle for too long.
    Idle,
    /// The backend closed the connection, or sent unsolicited bytes.
    ByBackend,
    /// The limit on sockets was reached, and another connection needed the socket.
    Evicted,
    /// The backend accepts no new requests.
    OutOfService,
}

impl BackendCloseReason {
    /// All reasons.
    pub const ALL: [BackendCloseReason; 6] = [
        BackendCloseReason::AttemptEnded,
        BackendCloseReason::NotReusable,
        BackendCloseReason::Idle,
        BackendCloseReason::ByBackend,
        BackendCloseReason::Evicted,
        BackendCloseReason::OutOfService,
    ];

    /// The name of the reason in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            BackendCloseReason::AttemptEnded => "attempt_ended",
            BackendCloseReason::NotReusable => "not_reusable",
            BackendCloseReason::Idle => "idle",
            BackendCloseReason::ByBackend => "by_backend",
            BackendCloseReason::Evicted => "evicted",
            BackendCloseReason::OutOfService => "out_of_service",
        }
    }
}
