//! Outcomes of requests.

use serde::{Serialize, Serializer};

/// The outcome of a request: it was served and earned its weight, or the cause for which it earned nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestOutcome {
    /// The request was answered within its latency objective.
    Served,
    /// The request was answered after its latency objective.
    Late,
    /// The request was rejected without an attempt while a healthy backend had an idle core.
    RejectedBesideIdle,
    /// The request was rejected without an attempt while no healthy backend had an idle core.
    RejectedAllBusy,
    /// The request was queued without an attempt until an answer was useless, and a healthy backend had an idle core
    /// at that time.
    QueuedBesideIdle,
    /// The request was queued without an attempt until an answer was useless, and no healthy backend had an idle core
    /// at that time.
    QueuedAllBusy,
    /// The last attempt was rejected by a backend at capacity or draining.
    BackendFull,
    /// The last attempt went to a backend that was down.
    BackendDown,
    /// The last attempt went to a backend with a fault: unresponsive, or failing requests.
    BackendUnhealthy,
    /// The last attempt went to a backend in slow start that did not answer in time.
    BackendWarmingUp,
    /// The last attempt was queued or processed by the backend for too long.
    BackendBusy,
    /// The last attempt failed by the random error rate that every backend has.
    BackendError,
    /// A network partition separated the proxy from the backend of the last attempt.
    NetworkPartition,
    /// The proxy of the request crashed or was down.
    ProxyDown,
    /// The client disconnected before its deadline.
    ClientDisconnected,
}

impl RequestOutcome {
    /// The name of the outcome in results.
    pub fn name(self) -> &'static str {
        match self {
            RequestOutcome::Served => "served",
            RequestOutcome::Late => "late",
            RequestOutcome::RejectedBesideIdle => "refused_beside_idle",
            RequestOutcome::RejectedAllBusy => "refused_all_busy",
            RequestOutcome::QueuedBesideIdle => "held_beside_idle",
            RequestOutcome::QueuedAllBusy => "held_all_busy",
            RequestOutcome::BackendFull => "sent_to_full",
            RequestOutcome::BackendDown => "sent_to_gone",
            RequestOutcome::BackendUnhealthy => "sent_to_ill",
            RequestOutcome::BackendWarmingUp => "sent_to_cold",
            RequestOutcome::BackendBusy => "sent_to_busy",
            RequestOutcome::BackendError => "error",
            RequestOutcome::NetworkPartition => "lost_way",
            RequestOutcome::ProxyDown => "proxy_dead",
            RequestOutcome::ClientDisconnected => "client_left",
        }
    }
}

impl Serialize for RequestOutcome {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}
