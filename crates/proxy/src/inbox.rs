//! What the other parts of the proxy report to the driver, and the channel that carries it.

use std::rc::Rc;
use std::time::Duration;

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
use crate::open_ids::OpenId;
use crate::upstream::{UpstreamRequest, UpstreamResponse};

/// What the other parts report to the driver.
pub enum Input {
    /// A request can be dispatched.
    Request(Box<Arrival>),
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// The process shuts down, and no successor takes its clients.
    ShutdownStarted,
    /// The process shuts down: every request must be answered by then.
    ShutdownDeadline(Instant),
    /// The configuration has been reloaded.
    Reconfigure(Box<Reconfigured>),
    /// An attempt has started to take a request body that is forwarded while it is received.
    UploadStarted {
        request: RequestId,
        /// How long the client waits after the last byte of the body.
        client_timeout: Duration,
    },
    /// The last byte of a request body that is forwarded while it is received has been taken.
    UploadComplete(RequestId),
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// An endpoint list from the configuration, fixed or cached.
    EndpointList { scope: ListScope, endpoints: Vec<ListedEndpoint> },
    /// A gossip message from another proxy, which is named by its index.
    Gossip { from: u32, bytes: Vec<u8> },
}

/// The settings that a reload has changed.
pub struct Reconfigured {
    pub balancer: Reconfiguration,
    pub connections: ConnectionTimeouts,
}

/// How an attempt ended.
pub struct AttemptEnd {
    pub request: RequestId,
    /// Which attempt of the request it was, from 0.
    pub attempt: u32,
    /// From the send of the request's last byte to the start of the reply, or to the end without one.
    pub latency: Millis,
    pub outcome: Outcome,
    /// The reply to pass on to the client, if there is one.
    pub reply: Option<UpstreamResponse>,
}

/// A client's request.
pub struct Arrival {
    pub id: RequestId,
    pub class: ClassId,
    pub class_lease: ClassLease,
    pub tenant: Option<TenantId>,
    pub key: Option<AffinityKey>,
    pub expected_cost: Option<Millis>,
    /// When the client gives up, by what it announced.
    pub deadline: Instant,
    /// What that says of clients like it.
    pub announcement: TimeoutAnnouncement,
    /// How long the client waits after the last byte of its body, if the body is still being received.
    pub upload_timeout: Option<Duration>,
    pub message: UpstreamRequest,
    pub answer: oneshot::Sender<Answer>,
    /// `None` for requests that leave no access event.
    pub access_record: Option<Rc<AccessRecord>>,
    /// Reserves the request's own id, unless another open request has the same one.
    pub open_id: Option<OpenId>,
}

/// The one final answer to a request.
pub enum Answer {
    Served(UpstreamResponse),
    /// The request has not been processed: a retry is harmless.
    Rejected {
        /// When the client should retry.
        retry_after: Option<Millis>,
        /// Whether an attempt was made.
        attempted: bool,
    },
    /// An upstream's error response, passed on.
    UpstreamError(UpstreamResponse),
    /// The request may have been processed.
    Failed,
}

/// The sender of inputs to the driver.
#[derive(Clone)]
pub struct Inbox(mpsc::UnboundedSender<Input>);

impl Inbox {
    /// An inbox and its receiver. The queue's length is bounded by the socket budget: each connection has one request
    /// at a time, and each request a few attempts.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Inbox(sender), receiver)
    }

    /// Queues an input.
    pub fn put(&self, input: Input) {
        let _ = self.0.send(input); // fails only once the driver has been dropped at process exit
    }
}
