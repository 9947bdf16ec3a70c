//! How requests end.

use serde::{Serialize, Serializer};

/// Why a request earned nothing, or that it earned its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestOutcome {
    /// Answered within its latency objective.
    Served,
    /// Answered after its latency objective.
    Late,
    /// Rejected without an attempt while a healthy backend had an idle core.
    RejectedBesideIdle,
    /// Rejected without an attempt while none had.
    RejectedAllBusy,
    /// Queued without an attempt until it was of no more use, and then a healthy backend had an idle core.
    QueuedBesideIdle,
    /// The same, and none had.
    QueuedAllBusy,
    /// Its last attempt was rejected by a backend at capacity or draining.
    BackendFull,
    /// Its last attempt met a backend that was down.
    BackendDown,
    /// Its last attempt met a backend with a fault: unresponsive, or failing requests.
    BackendUnhealthy,
    /// Its last attempt met a backend in slow start that did not answer in time.
    BackendWarmingUp,
    /// Its last attempt was queued or processed for too long.
    BackendBusy,
    /// Its last attempt failed at random, as some do everywhere.
    BackendError,
    /// The network was partitioned.
    NetworkPartition,
    /// Its proxy crashed or was down.
    ProxyDown,
    /// The client disconnected before its deadline.
    ClientDisconnected,
}

impl RequestOutcome {
    /// Its name in results.
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
