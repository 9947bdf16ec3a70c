//! Submits one request to the driver and waits for the final response.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use hyper::http::request;
use leadrelay_core::{RequestId, TimeoutAnnouncement};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Frontend;
use super::admission::AdmittedRequest;
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
/// A body whose reception takes less time than this counts as having arrived together with its head.
const BODY_WITH_HEAD_TIME: Duration = Duration::from_millis(3);
/// Time from the first byte of a request to its last from which on the client counts as writing slowly. It is longer
/// than the delay that this process itself may cause between reading the two.
const SLOW_WRITE_TIME: Duration = Duration::from_millis(200);

/// A request that is ready to be submitted to the driver.
struct ReadyRequest {
    id: RequestId,
    meta: RequestMeta,
    reserved_id: Option<ReservedRequestId>,
    message: UpstreamRequest,
    /// When the request's first byte arrived.
    started_at: Instant,
    /// When the last byte arrived; for a streamed body, the last byte received so far.
    arrived_at: Instant,
    /// Whether the body is still being received.
    streamed: bool,
}

impl ReadyRequest {
    /// The timeout that the client announced, and whether it is typical of other clients too. It is not if the request
    /// is, or may be, a client's retry, or if the body is streamed, as the time that the client will take to write the
    /// rest is unknown. It is doubtful if the client wrote the request slowly.
    fn announcement(&self) -> TimeoutAnnouncement {
        let write_time = self.arrived_at.saturating_duration_since(self.started_at);
        let timeout_ms = self.meta.timeout.as_secs_f64() * MILLIS_PER_SECOND;
        if self.streamed || !self.meta.is_first_client_attempt {
            TimeoutAnnouncement::Individual
        } else if write_time < SLOW_WRITE_TIME {
            TimeoutAnnouncement::Typical(timeout_ms)
        } else {
            TimeoutAnnouncement::Doubtful(timeout_ms)
        }
    }
}

/// A request that has been submitted to the driver.
struct SubmittedRequest {
    answer: oneshot::Receiver<FinalResponse>,
    ticket: RequestTicket,
}

impl Frontend {
    /// Admits a request, receives its body and submits the request to the driver. Returns the response, which may be a
    /// rejection.
    pub(super) async fn forward(
        self: &Rc<Self>, received: ReceivedHead, client: &Rc<Client>,
    ) -> Result<Response<MessageBody>, ClientDisconnected> {
        let started_at = received.started_at;
        let head_arrived_at = received.arrived_at;
        let AdmittedRequest { meta, reserved_id, head, body } = match self.admit(received) {
            Ok(admitted) => admitted,
            Err(rejection) => return Ok(rejection_response(rejection)),
        };
        let id = RequestId(self.next_number());
        let receive_started_at = Instant::now();
        let received = self.receive_body(body, client, id, head_arrived_at, meta.timeout).await;
        let ReceivedBody { body, upload } = match received {
            Ok(received) => received,
            Err(error) => return Ok(rejection_response(error.into())),
        };
        let arrived_at = arrival_time(head_arrived_at, receive_started_at);
        let message = upstream_request(head, body, &meta, client);
        let streamed = upload.is_some();
        let ready = ReadyRequest { id, meta, reserved_id, message, started_at, arrived_at, streamed };
        self.submit_and_respond(ready, upload, client).await
    }

    /// Submits a request, waits for the driver's final response and converts it to the response to the client.
    async fn submit_and_respond(
        self: &Rc<Self>, ready: ReadyRequest, upload: Option<impl Future<Output = Result<(), BodyError>>>,
        client: &Rc<Client>,
    ) -> Result<Response<MessageBody>, ClientDisconnected> {
        let id = ready.id;
        let client_request_id = ready.meta.id.clone();
        let SubmittedRequest { answer, ticket } = self.submit(ready, client)?;
        let cancellation = CancelOnDrop::new(self, client, id, client_request_id);
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

    /// Counts a request, and submits it to the driver unless the client has disconnected.
    fn submit(&self, ready: ReadyRequest, client: &Client) -> Result<SubmittedRequest, ClientDisconnected> {
        let announcement = ready.announcement();
        let ReadyRequest { id, meta, reserved_id, message, arrived_at, .. } = ready;
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
            message,
            response_sender: answer_sender,
            access_record,
            reserved_id,
        })));
        Ok(SubmittedRequest { answer, ticket })
    }

    /// Counts a request whose last byte arrived at `arrived_at`.
    pub(super) fn count_request(&self, meta: &RequestMeta, arrived_at: Instant) -> RequestTicket {
        self.metrics.start_request(&meta.class.name, arrived_at)
    }

    /// The record for the access event of a request, if the request is sampled.
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

/// The arrival time of a request whose body has just been received, which is when its last byte arrived. If the body
/// arrived together with the head, that is the arrival time of the head, which may have waited in the accept queue.
fn arrival_time(head_arrived_at: Instant, receive_started_at: Instant) -> Instant {
    if receive_started_at.elapsed() < BODY_WITH_HEAD_TIME { head_arrived_at } else { Instant::now() }
}

/// Builds the request that is sent to backends.
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
    let uri = origin_form(&head.uri);
    UpstreamRequest::new(head.method, uri, headers, body, Box::new(client_disconnected))
}

/// Waits for the final response, and meanwhile receives the rest of a streamed body.
async fn answer_while_uploading(
    answer: oneshot::Receiver<FinalResponse>, upload: Option<impl Future<Output = Result<(), BodyError>>>,
) -> Result<FinalResponse, BodyError> {
    // The driver drops the sender without a final response only if the driver itself has failed.
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
