//! One request, from its head to its final answer.

use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::header;
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use leadrelay_core::{Invariant, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Frontend;
use super::body::ReceivedBody;
use super::client::{Client, ClientDisconnected};
use super::response::{body_rejection, rejection_response, text_response};
use crate::access_record::AccessRecord;
use crate::body_stream::{Fault, MAX_BODY};
use crate::cause::Cause;
use crate::config::Dialect;
use crate::head::{self, Rejection, RequestMeta};
use crate::inbox::{Answer, Arrival, Input};
use crate::metrics::RequestTicket;
use crate::open_ids::OpenId;
use crate::upstream::{MessageBody, Outgoing, RequestBody, remove_hop_by_hop};

/// A body that was read within this span arrived with its head.
const AT_ONCE: Duration = Duration::from_millis(3);

/// A request of which the head has been read.
pub(super) struct Received {
    pub(super) request: Request<Incoming>,
    pub(super) arrived_at: Instant,
    /// The head's raw bytes, if they could be told apart from the previous request's.
    pub(super) raw_head: Option<Vec<u8>>,
}

/// A request that can be accepted, by its head.
struct Accepted {
    meta: RequestMeta,
    open_id: Option<OpenId>,
    head: request::Parts,
    body: Incoming,
}

/// A request that can be submitted to the driver.
struct ReadyRequest {
    id: RequestId,
    meta: RequestMeta,
    open_id: Option<OpenId>,
    message: Outgoing,
    /// When its last byte arrived, as far as its body has been read.
    arrived_at: Instant,
    /// Whether its body is still being received.
    streamed: bool,
}

/// A request that the driver has got.
struct Submitted {
    answered: oneshot::Receiver<Answer>,
    ticket: RequestTicket,
}

impl Frontend {
    /// Answers a request.
    pub(super) async fn respond(
        self: &Rc<Self>, received: Received, client: &Rc<Client>,
    ) -> Result<Response<MessageBody>, ClientDisconnected> {
        if self.asks_for_readiness(received.request.uri().path()) {
            return Ok(self.readiness());
        }
        let arrived_at = received.arrived_at;
        let Accepted { meta, open_id, head, body } = match self.accept_request(received) {
            Ok(accepted) => accepted,
            Err(rejection) => return Ok(rejection_response(rejection)),
        };
        let id = RequestId(self.next_number());
        let begun = Instant::now();
        let received = self.receive_body(body, client.request_due.get(), id, meta.patience).await;
        let ReceivedBody { body, upload } = match received {
            Ok(received) => received,
            Err(fault) => return Ok(rejection_response(body_rejection(fault))),
        };
        // A request's time begins with its last byte; one that arrived at once is as old as its head.
        let arrived_at = if begun.elapsed() < AT_ONCE { arrived_at } else { Instant::now() };
        let message = outgoing(head, body, &meta, client);
        let streamed = upload.is_some();
        let ready = ReadyRequest { id, meta, open_id, message, arrived_at, streamed };
        let request = ready.meta.id.clone();
        let Submitted { answered, ticket } = self.submit(ready, client)?;
        let cancel = CancelOnDrop { frontend: self, client, id, request, armed: true };
        let answer = tokio::select! {
            biased;
            answer = answer_while_uploading(answered, upload) => answer,
            () = client.disconnected() => return Err(ClientDisconnected),
        };
        Ok(match answer {
            Ok(answer) => {
                cancel.disarm();
                self.final_response(answer, ticket, client)
            }
            Err(fault) => {
                ticket.end(Cause::BodyBroken);
                rejection_response(body_rejection(fault))
            }
        })
    }

    /// Counts a request and hands it to the driver, unless its client has disconnected.
    fn submit(&self, ready: ReadyRequest, client: &Client) -> Result<Submitted, ClientDisconnected> {
        let ReadyRequest { id, meta, open_id, message, arrived_at, streamed } = ready;
        let mut ticket = self.count_request(&meta, arrived_at);
        let access_record = self.access_record(&meta, arrived_at);
        ticket.set_access_record(access_record.clone());
        if client.has_disconnected() {
            return Err(ClientDisconnected);
        }
        let (answer, answered) = oneshot::channel();
        self.inbox.put(Input::Request(Box::new(Arrival {
            id,
            class: meta.class.id,
            class_lease: meta.class.lease,
            tenant: meta.tenant,
            key: meta.key,
            expected_cost: meta.hint,
            deadline: arrived_at + meta.patience,
            upload_timeout: streamed.then_some(meta.patience),
            message,
            answer,
            access_record,
            open_id,
        })));
        Ok(Submitted { answered, ticket })
    }

    /// Decides by its head whether a request can be accepted.
    fn accept_request(&self, received: Received) -> Result<Accepted, Rejection> {
        let Received { request, raw_head, .. } = received;
        let meta = self.check(&request)?;
        let (head, body) = request.into_parts();
        // Hyper shows only one of two lengths, and one of them lies or hides a second request.
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        if is_chunked && raw_head.is_none_or(|raw_head| head::tells_length(&raw_head)) {
            return Err(Rejection::new(StatusCode::LENGTH_REQUIRED, "the length must be told, and once"));
        }
        if body.size_hint().lower() > MAX_BODY {
            return Err(Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
        }
        let open_id = OpenId::take(&self.open_ids, &meta.id);
        if meta.sole && open_id.is_none() {
            return Err(Rejection::new(StatusCode::CONFLICT, "a request with this id is open"));
        }
        Ok(Accepted { meta, open_id, head, body })
    }

    /// Checks a request's head.
    pub(super) fn check(&self, request: &Request<Incoming>) -> Result<RequestMeta, Rejection> {
        let number = self.next_number.get();
        head::read(&self.classes.borrow(), request.method(), request.uri(), request.headers(), number)
    }

    /// Counts a request whose last byte arrived then.
    pub(super) fn count_request(&self, meta: &RequestMeta, arrived_at: Instant) -> RequestTicket {
        self.metrics.start_request(&meta.class.name, arrived_at)
    }

    /// The record of a request that is sampled for an access event. Samples are spaced evenly, not drawn at random.
    fn access_record(&self, meta: &RequestMeta, arrived_at: Instant) -> Option<Rc<AccessRecord>> {
        let credit = self.access_credit.get() + self.access_rate.get();
        let sampled = credit >= 1.0;
        self.access_credit.set(if sampled { credit - 1.0 } else { credit });
        sampled.then(|| {
            let classes = self.classes.borrow();
            let tenant = meta.tenant.and_then(|tenant| classes.tenants.get(tenant.0));
            Rc::new(AccessRecord::new(&meta.id, &meta.class.name, tenant.map(String::as_str), arrived_at))
        })
    }

    /// Whether the configured protocol is plain HTTP, not the operators' own.
    pub(super) fn is_plain(&self) -> bool {
        matches!(self.classes.borrow().dialect, Dialect::Plain(_))
    }

    /// Whether a path asks if clients may be sent here.
    fn asks_for_readiness(&self, path: &str) -> bool {
        match &self.classes.borrow().dialect {
            Dialect::Platform => path == "/up",
            Dialect::Plain(plain) => plain.up_path.as_deref() == Some(path),
        }
    }

    fn readiness(&self) -> Response<MessageBody> {
        let ready = self.metrics.ready.load(Relaxed) && !self.draining();
        text_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
    }
}

/// The request in the form in which it is sent to backends.
fn outgoing(head: request::Parts, body: RequestBody, meta: &RequestMeta, client: &Rc<Client>) -> Outgoing {
    let mut headers = head.headers;
    remove_hop_by_hop(&mut headers);
    if !meta.sole {
        head::introduce(&mut headers, &meta.id, client.address);
    }
    let client = Rc::downgrade(client);
    Outgoing {
        method: head.method,
        uri: head::target(&head.uri),
        headers,
        body,
        client_disconnected: Box::new(move || {
            client.upgrade().is_none_or(|client| client.has_disconnected())
        }),
    }
}

/// Waits for the final answer, while the rest of a streamed body is read.
async fn answer_while_uploading(
    answered: oneshot::Receiver<Answer>, upload: Option<impl Future<Output = Result<(), Fault>>>,
) -> Result<Answer, Fault> {
    // The driver drops the sender only if it fails.
    let answer = async { answered.await.unwrap_or(Answer::Failed) };
    let Some(upload) = upload else { return Ok(answer.await) };
    tokio::pin!(answer, upload);
    tokio::select! {
        biased;
        answer = answer.as_mut() => Ok(answer),
        uploaded = upload => match uploaded {
            Ok(()) => Ok(answer.await),
            Err(fault) => Err(fault),
        },
    }
}

/// Tells the driver that the client has left, unless the request is answered first. Hyper drops the request's future
/// if it notices that first.
struct CancelOnDrop<'a> {
    frontend: &'a Frontend,
    client: &'a Client,
    id: RequestId,
    /// The request's own id.
    request: String,
    armed: bool,
}

impl CancelOnDrop<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        self.frontend.inbox.put(Input::ClientDisconnected(self.id));
        if !self.client.has_disconnected() {
            self.frontend.metrics.violated(Invariant::AnsweredBeforeClose, &self.request);
        }
    }
}
