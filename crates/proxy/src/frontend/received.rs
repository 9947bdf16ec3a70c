//! A request of which hyper has read the head, and when that arrived.

use hyper::Request;
use hyper::body::{Body as _, Incoming};
use tokio::time::Instant;

use super::REQUEST_TIMEOUT;
use super::client::{Client, Stage};
use super::connection_table::MIN_STAGE_AGE;

/// A request of which the head has been read.
pub(super) struct ReceivedHead {
    pub(super) request: Request<Incoming>,
    /// When its first byte was read.
    pub(super) started_at: Instant,
    pub(super) arrived_at: Instant,
    /// The head's raw bytes, if they could be told apart from the previous request's. Their start is missing if it was
    /// read with that one, their end if the head is long.
    pub(super) raw_head: Option<Vec<u8>>,
}

impl ReceivedHead {
    /// A request that hyper has just handed over, before the connection's stage changes.
    pub(super) fn new(request: Request<Incoming>, client: &Client) -> Self {
        // A pipelined head arrived with the previous request, so its raw bytes have not been seen apart.
        let pipelined = client.stage.get() == Stage::Idle;
        if pipelined {
            client.request_deadline.set(Instant::now() + REQUEST_TIMEOUT);
        }
        // Nor if that one was answered before the end of its body: hyper read the rest since.
        let previous_body_ended = client.body_ended.replace(request.body().is_end_stream());
        let seen_apart = previous_body_ended && !pipelined;
        let raw_head = seen_apart.then(|| client.raw_head.take());
        let arrived_at = arrival_time(client, pipelined);
        let is_timed = client.stage.get() == Stage::ReadingHead;
        let started_at = if is_timed { client.head_started_at.get() } else { arrived_at };
        ReceivedHead { request, started_at, arrived_at, raw_head }
    }
}

/// When a head arrived that has been read now. What arrived while its connection was in the accept queue is as old as
/// that.
fn arrival_time(client: &Client, pipelined: bool) -> Instant {
    let read_at = if pipelined { client.last_read.get() } else { Instant::now() };
    let may_have_been_queued = client.awaits_first_request.replace(false) || pipelined;
    let was_queued = may_have_been_queued && read_at - client.accepted_at < MIN_STAGE_AGE;
    if was_queued { client.queued_since } else { read_at }
}
