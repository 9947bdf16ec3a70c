//! Forwards one request to the driver and waits for its final answer.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use hyper::http::request;
use leadrelay_core::{RequestId, TimeoutAnnouncement};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Frontend;
use super::admission::AcceptedHead;
use super::body::ReceivedBody;
use super::cancellation::CancelOnDrop;
use super::client::{Client, ClientDisconnected};
use super::forwarded_head::{add_forwarding_headers, origin_form};
use super::received::ReceivedHead;
use super::response::rejection_response;
use crate::access_record::AccessRecord;
use crate::body_upload::BodyError;
use crate::cause::Cause;

use crate::head::RequestMeta;
use crate::inbox::{Arrival, FinalResponse, Input};
use crate::metrics::RequestTicket;
use crate::open_ids::ReservedRequestId;
use crate::upstream::{MessageBody, RequestBody, UpstreamRequest, remove_hop_by_hop_headers};

const MILLIS_PER_SECOND: f64 = 1000.0;
/// A body that was received within this time arrived with its head.
const WITH_HEAD: Duration = Duration::from_millis(3);
/// A request is written slowly that takes this long from its first byte to its last: longer than the process may be held
/// up between reading the two.
const SLOW_WRITE: Duration = Duration::from_millis(200);

/// A request that can be submitted to the driver.
struct ReadyRequest {
    id: RequestId,
    meta: RequestMeta,
    reserved_id: Option<ReservedRequestId>,
    message: UpstreamRequest,
    /// When its first byte arrived.
    started_at: Instant,
    /// When its last byte arrived, as far as its body has been received.
    arrived_at: Instant,
    /// Whether its body is still being received.
    streamed: bool,
}

impl ReadyRequest {
    /// What its client announced. A streamed body is still being written, for how long is not known.
    fn announcement(&self) -> TimeoutAnnouncement {
        let write_time = self.arrived_at.saturating_duration_since(self.started_at);
        let timeout = self.meta.timeout.as_secs_f64() * MILLIS_PER_SECOND;
        if self.streamed || !self.meta.is_first_try {
            TimeoutAnnouncement::Individual
        } else if write_time < SLOW_WRITE {
            TimeoutAnnouncement::Typical(timeout)
        } else {
            TimeoutAnnouncement::Doubtful(timeout)
        }
    }
}

/// A request that has been submitted to the driver.
struct SubmittedRequest {
    answer: oneshot::Receiver<FinalResponse>,
    ticket: RequestTicket,
}

impl Frontend {
    /// Forwards a request; returns the response, which may be a rejection.
    pub(super) async fn forward(
        self: &Rc<Self>, received: ReceivedHead, client: &Rc<Client>,
    ) -> Result<Response<MessageBody>, ClientDisconnected> {
        let started_at = received.started_at;
        let head_arrived_at = received.arrived_at;
        let AcceptedHead { meta, reserved_id, head, body } = match self.admit(received) {
            Ok(accepted) => accepted,
            Err(rejection) => return Ok(rejection_response(rejection)),
        };
        let id = RequestId(self.next_number());
        let receive_started_at = Instant::now();
        let received = self.receive_body(body, client, id, meta.timeout).await;
        let ReceivedBody { body, upload } = match received {
            Ok(received) => received,
            Err(error) => return Ok(rejection_response(error.into())),
        };
        let arrived_at = arrival_time(head_arrived_at, receive_started_at);
        let message = upstream_request(head, body, &meta, client);
        let streamed = upload.is_some();
        let ready = ReadyRequest { id, meta, reserved_id, message, started_at, arrived_at, streamed };
        self.respond_with_answer(ready, upload, client).await
    }

    /// Submits a request and responds with its answer.
    async fn respond_with_answer(
        self: &Rc<Self>, ready: ReadyRequest, upload: Option<impl Future<Output = Result<(), BodyError>>>,
        client: &Rc<Client>,
    ) -> Result<Response<MessageBody>, ClientDisconnected> {
        let id = ready.id;
        let request = ready.meta.id.clone();
        let SubmittedRequest { answer, ticket } = self.submit(ready, client)?;
        let cancellation = CancelOnDrop::new(self, client, id, request);
        let answer = tokio::select! {
            biased;
            answer = answer_while_uploading(answer, upload) => answer,
            () = client.disconnected() => return Err(ClientDisconnected),
        };
        Ok(match answer {
            Ok(answer) => {
                cancellation.disarm();
                self.final_response(answer, ticket, client)
            }
            Err(error) => {
                cancellation.answer_without_driver();
                ticket.end(Cause::RequestBodyBroken);
                rejection_response(error.into())
            }
        })
    }

    /// Counts a request and submits it to the driver, unless its client has disconnected.
    fn submit(&self, ready: ReadyRequest, client: &Client) -> Result<SubmittedRequest, ClientDisconnected> {
        let announcement = ready.announcement();
        let ReadyRequest { id, meta, reserved_id, message, arrived_at, streamed, .. } = ready;
        let mut ticket = self.count_request(&meta, arrived_at);
        let access_record = self.access_record(&meta, arrived_at);
        ticket.set_access_record(access_record.clone());
        if client.has_disconnected() {
            return Err(ClientDisconnected);
        }
        let (answer_sender, answer) = oneshot::channel();
        self.inbox.put(Input::Request(Box::new(Arrival {
            id,
            class: meta.class.id,
            class_lease: meta.class.lease,
            tenant: meta.tenant,
            affinity_key: meta.affinity_key,
            expected_cost: meta.expected_cost,
            deadline: arrived_at + meta.timeout,
            announcement,
            timeout_after_upload: streamed.then_some(meta.timeout),
            message,
            response_sender: answer_sender,
            access_record,
            reserved_id,
        })));
        Ok(SubmittedRequest { answer, ticket })
    }

    /// Counts a request whose last byte arrived then.
    pub(super) fn count_request(&self, meta: &RequestMeta, arrived_at: Instant) -> RequestTicket {
        self.metrics.start_request(&meta.class.name, arrived_at)
    }

    /// The record of a request that is sampled for an access event.
    fn access_record(&self, meta: &RequestMeta, arrived_at: Instant) -> Option<Rc<AccessRecord>> {
        if !self.access_sampler.sample() {
            return None;
        }
        let classes = self.classes.borrow();
        let tenant = meta.tenant.and_then(|tenant| classes.tenants.get(tenant.0));
        let record = AccessRecord::new(&meta.id, &meta.class.name, tenant.map(String::as_str), arrived_at);
        Some(Rc::new(record))
    }
}

/// When a request arrived whose body has been received now. Its time starts with its last byte; one that arrived with
/// its head is as old as that.
fn arrival_time(head_arrived_at: Instant, receive_started_at: Instant) -> Instant {
    if receive_started_at.elapsed() < WITH_HEAD { head_arrived_at } else { Instant::now() }
}

/// The request in the form in which it is sent to backends.
fn upstream_request(
    head: request::Parts, body: RequestBody, meta: &RequestMeta, client: &Rc<Client>,
) -> UpstreamRequest {
    let mut headers = head.headers;
    remove_hop_by_hop_headers(&mut headers);
    if meta.adds_forwarding_headers {
        add_forwarding_headers(&mut headers, &meta.id, client.address);
    }
    let client = Rc::downgrade(client);
    let client_disconnected = move || client.upgrade().is_none_or(|client| client.has_disconnected());
    UpstreamRequest {
        method: head.method,
        uri: origin_form(&head.uri),
        headers,
        body,
        client_disconnected: Box::new(client_disconnected),
    }
}

/// Waits for the final answer, while the rest of a streamed body is received.
async fn answer_while_uploading(
    answer: oneshot::Receiver<FinalResponse>, upload: Option<impl Future<Output = Result<(), BodyError>>>,
) -> Result<FinalResponse, BodyError> {
    // The driver drops the sender only if it fails.
    let answer = async { answer.await.unwrap_or(FinalResponse::Failed) };
    let Some(upload) = upload else { return Ok(answer.await) };
    tokio::pin!(answer, upload);
    tokio::select! {
        biased;
        answer = answer.as_mut() => Ok(answer),
        uploaded = upload => match uploaded {
            Ok(()) => Ok(answer.await),
            Err(error) => Err(error),
        },
    }
}
