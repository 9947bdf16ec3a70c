//! The status of listed endpoints for operators and metrics.

/// The status of a listed endpoint, which tells whether it gets requests, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint gets requests.
    InUse,
    /// The endpoint is in slow start and gets the requests that its slow-start budget allows.
    WarmingUp,
    /// The endpoint was ejected before and gets one request at a time until it has served enough of them.
    Probation,
    /// The endpoint is ejected because of failures or timeouts.
    Ejected,
    /// The endpoint is ejected because it rejected requests for lack of capacity.
    Rejecting,
    /// Other proxies report the endpoint as an outlier, and this proxy has received no response from it recently.
    ReportedByPeers,
    /// The endpoint is draining, according to the list.
    Draining,
    /// An operator has taken the endpoint out of service.
    Maintenance,
}

impl EndpointStatus {
    /// All statuses, in the order of declaration.
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

    /// The name of the status in metrics.
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

    /// Whether an endpoint with this status gets no requests at all.
    pub fn is_avoided(self) -> bool {
        !matches!(self, EndpointStatus::InUse | EndpointStatus::WarmingUp | EndpointStatus::Probation)
    }
}
