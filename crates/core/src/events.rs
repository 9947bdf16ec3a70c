//! What a proxy sees and hands to [`Balancer::handle`](crate::Balancer::handle).

use crate::endpoint::{Endpoint, ListScope};
use crate::ids::{AffinityKey, CallId, ClassId, EndpointId, Millis, RequestId, TenantId};
use crate::outcomes::Outcome;
use crate::settings::Settings;

/// How a call to discovery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Nobody accepted the connection: discovery was down, and nothing could be notified.
    Unreachable,
    /// Something was received that can't be read: an update may have been lost.
    Malformed,
    /// It was refused, broke or ended.
    Closed,
}

/// What the transport sees of discovery. Times are those at which it was read from the network.
#[derive(Clone, Debug)]
pub enum DiscoveryEvent {
    /// Discovery is at another address from now on. Open calls go to the former one.
    Moved,
    /// This process succeeds another one that still runs.
    TakeoverStarted,
    /// The connection of a call is established.
    Connected(CallId),
    /// The complete list, or what has changed in it.
    Update {
        /// The call that it answers.
        call: CallId,
        /// When it was read.
        read_at: Millis,
        /// The version of the list that it leads to.
        version: u64,
        /// Whether it is the complete list: what it lacks has been removed.
        complete: bool,
        /// Its entries.
        entries: Vec<Endpoint>,
    },
    /// Nothing has changed.
    Heartbeat {
        /// The call that it answers.
        call: CallId,
        /// When it was read.
        read_at: Millis,
    },
    /// A call has ended. Reported exactly once, and not for calls that were given up by
    /// [`Action::Unsubscribe`](crate::Action::Unsubscribe).
    Ended {
        /// The call.
        call: CallId,
        /// When it ended; for one that was never accepted, when it began.
        at: Millis,
        /// How.
        end: CallEnd,
    },
}

/// How far the body of a request is that is forwarded while it is still received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadStage {
    /// It has started. The request's deadline does not run yet.
    Started,
    /// Its last byte has been received, from which the request's deadline runs.
    Complete,
    /// It can't be sent again.
    NotReplayable,
}

/// What a client announced of its timeout, and what that says of clients like it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Announcement {
    /// It announced this timeout with a first try that it wrote at once: others of its class and tenant wait as long.
    Typical(Millis),
    /// It announced this timeout with a first try that it wrote slowly: it may wait less.
    Doubtful(Millis),
    /// Nothing, or a timeout that holds for this request alone, as a retry's does, which is what is left.
    #[default]
    Individual,
}

/// What a proxy sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// What a transport that may lose updates sees of discovery.
    Discovery(DiscoveryEvent),
    /// An update of the endpoint list by a transport that delivers all of them, or from a cache.
    List {
        /// How far it reaches.
        scope: ListScope,
        /// Its entries.
        entries: Vec<Endpoint>,
    },
    /// Listed endpoints turn out to have started later than their entries said.
    StartTimes(Vec<(EndpointId, Millis)>),
    /// A request has arrived and is owed exactly one final answer.
    Request {
        /// Its number.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: Option<TenantId>,
        /// What it is about.
        key: Option<AffinityKey>,
        /// How long the client still waits, by its own word.
        timeout: Millis,
        /// What that says of clients like it.
        announcement: Announcement,
        /// Its expected processing time on a standard core.
        expected_cost: Option<Millis>,
    },
    /// A streamed response has started: the client has its final answer.
    Started {
        /// The request.
        request: RequestId,
        /// Its attempt, counted from 0 in the order of sends.
        attempt: u32,
    },
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: u32,
        /// Time since the send.
        latency: Millis,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request is finished.
        finished: bool,
    },
    /// How far the body of a request is that is forwarded while it is still received.
    Upload {
        /// The request.
        request: RequestId,
        /// How far.
        stage: UploadStage,
    },
    /// An operator takes an endpoint out of service or puts it back; a list can't.
    Maintenance {
        /// The endpoint, listed or not.
        endpoint: EndpointId,
        /// Whether nothing more may be sent there.
        enabled: bool,
    },
    /// This proxy sends its clients elsewhere, or takes them again.
    Draining(bool),
    /// Other settings. Those that need a restart stay as they were.
    Reconfigure(Box<Reconfiguration>),
    /// Another process begins or ceases to use this proxy's part of all capacity, during an upgrade.
    OverlappingProcess(bool),
    /// The client has closed its connection; no answer is owed any more.
    ClientClosed(RequestId),
    /// A timer set with [`Action::Timer`](crate::Action::Timer) has expired.
    Timer(u64),
    /// A message of another proxy.
    Gossip {
        /// That proxy's index.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// Settings for a proxy that runs. A class keeps its number for as long as an open request refers to it.
#[derive(Clone, Debug)]
pub struct Reconfiguration {
    /// The settings; their classes are all that have a number, on offer or not.
    pub settings: Settings,
    /// For each class the number of the one whose statistics it inherits: its own, if its rules are the same.
    pub inherits_from: Vec<Option<usize>>,
    /// Which classes are on offer.
    pub offered: Vec<bool>,
}
