//! How listed endpoints are treated.

/// How a listed endpoint is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It gets requests.
    InUse,
    /// In slow start: it gets what its budget allows.
    WarmingUp,
    /// Back from an ejection: it gets one request at a time until it has served enough of them.
    Probation,
    /// Ejected after failures or timeouts.
    Ejected,
    /// Ejected as it rejected requests for want of capacity.
    Rejecting,
    /// Other proxies report it as an outlier, and it has responded to nothing here of late.
    ReportedByPeers,
    /// The list says that it drains.
    Draining,
    /// Taken out of service by an operator.
    Maintenance,
}

impl EndpointStatus {
    /// All of them.
    pub const ALL: [EndpointStatus; 8] = [
        EndpointStatus::InUse,
        EndpointStatus::WarmingUp,
        EndpointStatus::Probation,
        EndpointStatus::Ejected,
        EndpointStatus::Rejecting,
        EndpointStatus::ReportedByPeers,
        EndpointStatus::Draining,
        EndpointStatus::Maintenance,
    ];

    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndpointStatus::InUse => "in_use",
            EndpointStatus::WarmingUp => "cold",
            EndpointStatus::Probation => "trial",
            EndpointStatus::Ejected => "ill",
            EndpointStatus::Rejecting => "full",
            EndpointStatus::ReportedByPeers => "blamed",
            EndpointStatus::Draining => "draining",
            EndpointStatus::Maintenance => "maintenance",
        }
    }

    /// Whether such an endpoint gets nothing at all.
    pub fn is_avoided(self) -> bool {
        !matches!(self, EndpointStatus::InUse | EndpointStatus::WarmingUp | EndpointStatus::Probation)
    }
}
