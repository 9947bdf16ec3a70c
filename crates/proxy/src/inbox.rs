//! The inputs that other parts of the proxy send to the driver, and the channel that carries them.

use std::rc::Rc;

use leadrelay_core::settings::json::ConnectionTimeouts;
use leadrelay_core::{
    AffinityKey, ClassId, ListScope, Millis, Outcome, Reconfiguration, RequestId, TenantId,
    TimeoutAnnouncement,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::access_record::AccessRecord;
use crate::classes::ClassLease;
use crate::listed_endpoint::ListedEndpoint;
use crate::open_ids::ReservedRequestId;
use crate::upstream::{UpstreamRequest, UpstreamResponse};

/// An input to the driver from another part of the proxy.
pub enum Input {
    /// A client's request has arrived and can be dispatched.
    Request(Box<Arrival>),
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// The process is shutting down, and no successor process takes over its clients.
    ShutdownWithoutSuccessor,
    /// The process is shutting down, and every request must have its response by this instant.
    ShutdownDeadline(Instant),
    /// The configuration has been reloaded.
    Reconfigure(Box<ReloadedSettings>),
    /// An attempt has started to read a request body that is forwarded while it is received.
    UploadStarted(RequestId),
    /// A backend takes no bytes of a request body that is forwarded while it is received, or goes on after that.
    UploadStalled { request: RequestId, stalled: bool },
    /// The last byte has been read of a request body that is forwarded while it is received.
    UploadComplete(RequestId),
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// An endpoint list from the configuration, fixed or cached.
    EndpointList { scope: ListScope, endpoints: Vec<ListedEndpoint> },
    /// A gossip message from another proxy. `from` is that proxy's index.
    Gossip { from: u32, bytes: Vec<u8> },
}

/// The settings of a reloaded configuration.
pub struct ReloadedSettings {
    pub balancer: Reconfiguration,
    pub connections: ConnectionTimeouts,
}

/// The report of how an attempt ended.
pub struct AttemptEnd {
    pub request: RequestId,
    /// The number of the attempt among those of the request, from 0.
    pub attempt: u32,
    /// The time from the start of the attempt to the start of the response, or to the end of the attempt if there is no
    /// response. For a body that is forwarded while it is received, it counts from the body's last byte if that was
    /// read.
    pub latency: Millis,
    pub outcome: Outcome,
    /// The response to pass on to the client, if there is one.
    pub response: Option<UpstreamResponse>,
}

/// A client's request that has arrived, and the state that the driver needs for it.
pub struct Arrival {
    pub id: RequestId,
    pub class: ClassId,
    pub class_lease: ClassLease,
    pub tenant: Option<TenantId>,
    pub affinity_key: Option<AffinityKey>,
    pub expected_cost: Option<Millis>,
    /// When the client stops waiting, according to the timeout that it announced.
    pub deadline: Instant,
    /// The timeout that the client announced, and whether it is typical of other clients of the same class and tenant.
    pub announcement: TimeoutAnnouncement,
    pub message: UpstreamRequest,
    /// Sends the final response.
    pub response_sender: oneshot::Sender<FinalResponse>,
    /// The record for the request's access event; `None` for requests that are not sampled.
    pub access_record: Option<Rc<AccessRecord>>,
    /// Reserves the request's id; `None` if another open request has the same id.
    pub reserved_id: Option<ReservedRequestId>,
}

/// The final response to a request; each request gets exactly one.
pub enum FinalResponse {
    /// The response of the endpoint that served the request.
    Served(UpstreamResponse),
    /// The request has not been processed: a retry is harmless.
    Rejected {
        /// How long the client should wait before a retry, in milliseconds.
        retry_after: Option<Millis>,
        /// Whether an attempt was made.
        attempted: bool,
    },
    /// An error response from an upstream, passed on to the client.
    UpstreamError(UpstreamResponse),
    /// The request has failed and may have been processed.
    Failed,
}

/// The sender of inputs to the driver.
#[derive(Clone)]
pub struct Inbox(mpsc::UnboundedSender<Input>);

impl Inbox {
    /// Creates an inbox and its receiver. The channel needs no limit, as the socket budget bounds its length: each
    /// connection has one request at a time, and each request a few attempts.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Inbox(sender), receiver)
    }

    /// Queues an input for the driver.
    pub fn put(&self, input: Input) {
        let _ = self.0.send(input); // fails only after the driver has been dropped at process exit
    }
}
