//! The events that a proxy passes to [`Balancer::handle`](crate::Balancer::handle).

use crate::endpoint::{Endpoint, ListScope};
use crate::ids::{AffinityKey, CallId, ClassId, EndpointId, Millis, RequestId, TenantId};
use crate::outcomes::Outcome;
use crate::settings::Settings;

/// The way in which a call to discovery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The connection was not accepted: discovery was down and could not have sent any changes.
    Unreachable,
    /// Malformed data was received, so an update may have been lost.
    Malformed,
    /// Discovery refused the call, or the connection was closed or broke.
    Closed,
}

/// An event of the connection to discovery, reported by the transport. Times are those at which data was read from the
/// network.
#[derive(Clone, Debug)]
pub enum DiscoveryEvent {
    /// Discovery has moved to another address. Calls that are open now are connected to the previous address.
    Moved,
    /// This process has started as the successor of a process that is still running.
    TakeoverStarted,
    /// The connection of a call is established.
    Connected(CallId),
    /// The complete list, or changes to it, has arrived.
    Update {
        /// The call on which the update arrived.
        call: CallId,
        /// When the update was read from the network.
        read_at: Millis,
        /// The version of the list after the update.
        version: u64,
        /// Whether the update is the complete list, so that endpoints missing from it have been removed.
        complete: bool,
        /// The entries of the update.
        entries: Vec<Endpoint>,
    },
    /// A heartbeat has arrived: the list has not changed.
    Heartbeat {
        /// The call on which the heartbeat arrived.
        call: CallId,
        /// When the heartbeat was read from the network.
        read_at: Millis,
    },
    /// A call has ended. This event is reported exactly once for each call that was not cancelled by
    /// [`Action::Unsubscribe`](crate::Action::Unsubscribe).
    Ended {
        /// The call that has ended.
        call: CallId,
        /// When the call ended; for a call that was never accepted, when it began.
        at: Millis,
        /// The way in which the call ended.
        end: CallEnd,
    },
}

/// The stage of a request whose body is forwarded while the client is still sending it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadStage {
    /// Forwarding of the body has started. The request's deadline does not run yet.
    Started,
    /// The endpoint has taken no bytes of the body for a while although there are some.
    Stalled,
    /// The endpoint takes bytes of the body again.
    Resumed,
    /// The last byte of the body has been received; the request's deadline runs from now on.
    Complete,
    /// The body can't be sent again, because it is streamed and an attempt has already taken the stream.
    NotReplayable,
}

/// The timeout that a client announced with a request, and whether it is representative of other clients.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum TimeoutAnnouncement {
    /// The client announced this timeout with a first attempt that it wrote without delay: other clients of its class
    /// and tenant are assumed to wait as long.
    Typical(Millis),
    /// The client announced this timeout with a first attempt that it wrote slowly, and may wait for less than that.
    Doubtful(Millis),
    /// The client announced no timeout, or one that applies to this request alone: a retry, for example, announces the
    /// time that remains.
    #[default]
    Individual,
}

/// An event that the proxy reports to the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// An event of the connection to discovery, over a transport that may lose updates.
    Discovery(DiscoveryEvent),
    /// An update of the endpoint list has arrived over a transport that delivers all updates, or from a cache.
    List {
        /// The scope of the update.
        scope: ListScope,
        /// The entries of the update.
        entries: Vec<Endpoint>,
    },
    /// Listed endpoints are found to have started later than their entries state.
    StartTimes(Vec<(EndpointId, Millis)>),
    /// A request has arrived. It gets exactly one final response.
    Request {
        /// The number of the request.
        id: RequestId,
        /// The class of the request.
        class: ClassId,
        /// The tenant that the request counts for, if any.
        tenant: Option<TenantId>,
        /// The affinity key of the request, if any.
        key: Option<AffinityKey>,
        /// How long the client still waits, as it announced.
        timeout: Millis,
        /// The announced timeout as evidence for other clients of the same class and tenant.
        announcement: TimeoutAnnouncement,
        /// The expected processing time of the request on a standard core, if known.
        expected_cost: Option<Millis>,
    },
    /// A streamed response has started, which is the final response to the client.
    Started {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0 in the order of sends.
        attempt: u32,
    },
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0 in the order of sends.
        attempt: u32,
        /// The time from the send to the end of the attempt.
        latency: Millis,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// Whether the request is finished and needs no further attempt.
        finished: bool,
    },
    /// A request whose body is forwarded while the client is still sending it has reached another stage.
    Upload {
        /// The request.
        request: RequestId,
        /// The stage that has been reached.
        stage: UploadStage,
    },
    /// An operator takes an endpoint out of service or puts it back. Updates of the list do not change this.
    Maintenance {
        /// The endpoint, which need not be listed.
        endpoint: EndpointId,
        /// Whether the endpoint is in maintenance and must get no requests.
        enabled: bool,
    },
    /// This proxy starts draining, and directs its clients to other proxies (`true`), or stops draining (`false`).
    Draining(bool),
    /// The settings have changed. Settings that need a restart keep their current values.
    Reconfigure(Box<Reconfiguration>),
    /// During an upgrade, another process starts (`true`) or stops (`false`) using this proxy's share of the capacity.
    OverlappingProcess(bool),
    /// The client has closed its connection; the request needs no response any more.
    ClientClosed(RequestId),
    /// A timer set with [`Action::Timer`](crate::Action::Timer) has expired.
    Timer(u64),
    /// A gossip message of another proxy has arrived.
    Gossip {
        /// The index of the sender among the proxies.
        from: u32,
        /// The encoded message.
        bytes: Vec<u8>,
    },
}

/// New settings for a running proxy. A class keeps its number for as long as an open request refers to it.
#[derive(Clone, Debug)]
pub struct Reconfiguration {
    /// The settings. Their classes include all that have a number, whether or not they are offered to clients.
    pub settings: Settings,
    /// For each class, the number of the previous class whose statistics it inherits: its own if its rules are the
    /// same.
    pub inherits_from: Vec<Option<usize>>,
    /// For each class, whether it is offered to clients.
    pub offered: Vec<bool>,
}
