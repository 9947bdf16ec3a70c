//! Why connections are closed.

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientClose {
    /// The client closed it, or it broke.
    ByClient,
    /// With a response that announced it.
    WithResponse,
    /// Its socket was needed for another one.
    Evicted,
    /// It was idle for too long.
    Idle,
    /// It was idle while the operators drain the proxy.
    Drained,
    /// The process shuts down.
    Shutdown,
    /// Its request was not complete in time.
    RequestTimeout,
    /// It took nothing of its streamed response.
    WriteTimeout,
    /// It was asked to close and did not in time.
    CloseTimeout,
    /// What it sent is not HTTP.
    Malformed,
}

impl ClientClose {
    /// All of them.
    pub const ALL: [ClientClose; 10] = [
        ClientClose::ByClient,
        ClientClose::WithResponse,
        ClientClose::Evicted,
        ClientClose::Idle,
        ClientClose::Drained,
        ClientClose::Shutdown,
        ClientClose::RequestTimeout,
        ClientClose::WriteTimeout,
        ClientClose::CloseTimeout,
        ClientClose::Malformed,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            ClientClose::ByClient => "by_client",
            ClientClose::WithResponse => "with_answer",
            ClientClose::Evicted => "evicted",
            ClientClose::Idle => "idle",
            ClientClose::Drained => "drained",
            ClientClose::Shutdown => "shutdown",
            ClientClose::RequestTimeout => "request_timeout",
            ClientClose::WriteTimeout => "write_timeout",
            ClientClose::CloseTimeout => "close_timeout",
            ClientClose::Malformed => "malformed",
        }
    }
}

/// Why a connection to a backend was closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BackendClose {
    /// Its attempt was abandoned, or broke.
    #[default]
    AttemptEnded,
    /// Its response or its backend does not allow its reuse.
    NotReusable,
    /// It was idle for too long.
    Idle,
    /// Its backend closed it, or sent unsolicited bytes.
    ByBackend,
    /// Its socket was needed for another one.
    Evicted,
    /// Its backend accepts no new requests.
    OutOfService,
}

impl BackendClose {
    /// All of them.
    pub const ALL: [BackendClose; 6] = [
        BackendClose::AttemptEnded,
        BackendClose::NotReusable,
        BackendClose::Idle,
        BackendClose::ByBackend,
        BackendClose::Evicted,
        BackendClose::OutOfService,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            BackendClose::AttemptEnded => "attempt_ended",
            BackendClose::NotReusable => "not_reusable",
            BackendClose::Idle => "idle",
            BackendClose::ByBackend => "by_backend",
            BackendClose::Evicted => "evicted",
            BackendClose::OutOfService => "out_of_service",
        }
    }
}
