//! What the parts of the proxy tell the driver, and where they put it.

use std::rc::Rc;
use std::time::Duration;

use leadrelay_core::settings::json::Connections;
use leadrelay_core::{
    AffinityKey, ClassId, ListScope, Millis, Outcome, Reconfiguration, RequestId, TenantId,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::access_record::AccessRecord;
use crate::classes::Hold;
use crate::host::Host;
use crate::open_ids::OpenId;
use crate::upstream::{UpstreamRequest, UpstreamResponse};

/// What happens outside the module.
pub enum Input {
    /// A whole request has been read.
    Request(Box<Arrival>),
    /// Its client has left.
    Gone(RequestId),
    /// The process ends, and no other takes its clients.
    Leaving,
    /// The process ends: by then every request has its answer.
    Ending(Instant),
    /// Other settings.
    Retune(Box<(Reconfiguration, Connections)>),
    /// An attempt has begun to take a body that is sent on while it comes; its client then had so much time left.
    UploadBegun(RequestId, Duration),
    /// The last byte of a body that is sent on while it comes has been taken.
    Uploaded(RequestId),
    /// An attempt has ended.
    Ended {
        request: RequestId,
        attempt: u32,
        latency: Millis,
        outcome: Outcome,
        reply: Option<UpstreamResponse>,
    },
    /// A list that is fixed or remembered.
    List(ListScope, Vec<Host>),
    /// Another proxy's message.
    Datagram { from: u32, bytes: Vec<u8> },
}

/// A client's request.
pub struct Arrival {
    pub id: RequestId,
    pub class: ClassId,
    pub hold: Hold,
    pub tenant: Option<TenantId>,
    pub key: Option<AffinityKey>,
    pub hint: Option<Millis>,
    /// When the client gives up.
    pub deadline: Instant,
    /// How long it waits, where its time begins only with the last byte of its body.
    pub upload: Option<Duration>,
    pub message: UpstreamRequest,
    pub answer: oneshot::Sender<Answer>,
    /// `None` for requests that leave no access event.
    pub access_record: Option<Rc<AccessRecord>>,
    /// Holds its id, unless another open request bears it too.
    pub open: Option<OpenId>,
}

/// The one final answer.
pub enum Answer {
    Served(UpstreamResponse),
    /// Trying again is harmless.
    Refused {
        /// After which span.
        after: Option<Millis>,
        /// Whether an attempt was made.
        tried: bool,
    },
    /// A backend's error, passed on.
    Passed(UpstreamResponse),
    Failed,
}

/// Where all parts put what they have seen.
#[derive(Clone)]
pub struct Inbox(mpsc::UnboundedSender<Input>);

impl Inbox {
    /// An inbox and the end that the driver reads. Its length is bounded by the budget of sockets: each
    /// connection holds one request, and each request a few attempts.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Inbox(sender), receiver)
    }

    pub fn put(&self, input: Input) {
        let _ = self.0.send(input); // fails only while the process ends
    }
}
