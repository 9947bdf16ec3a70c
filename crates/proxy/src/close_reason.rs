//! Why connections are closed.

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientClose {
    /// The client closed it, or it broke.
    ByClient,
    /// With an answer, as that said.
    WithAnswer,
    /// To make room for others.
    Evicted,
    /// It was idle for too long.
    Idle,
    /// The operators have drained the proxy.
    Drained,
    /// The process ends.
    Shutdown,
    /// Its request did not come to an end.
    RequestTimeout,
    /// It took nothing of its answer.
    WriteTimeout,
    /// Asked to close, it did not in time.
    CloseTimeout,
    /// What it sent is no HTTP.
    Malformed,
}

impl ClientClose {
    /// All of them.
    pub const ALL: [ClientClose; 10] = [
        ClientClose::ByClient,
        ClientClose::WithAnswer,
        ClientClose::Evicted,
        ClientClose::Idle,
        ClientClose::Drained,
        ClientClose::Shutdown,
        ClientClose::RequestTimeout,
        ClientClose::WriteTimeout,
        ClientClose::CloseTimeout,
        ClientClose::Malformed,
    ];

    /// Its name in figures and logs.
    pub fn name(self) -> &'static str {
        match self {
            ClientClose::ByClient => "by_client",
            ClientClose::WithAnswer => "with_answer",
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
    /// Its attempt was given up, or broke.
    #[default]
    AttemptEnded,
    /// Its answer or its backend does not let it be used again.
    NotReusable,
    /// It was idle for too long.
    Idle,
    /// Its backend closed it, or sent something unasked.
    ByBackend,
    /// Its socket was needed elsewhere.
    Evicted,
    /// Its backend takes nothing more.
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

    /// Its name in figures and logs.
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
