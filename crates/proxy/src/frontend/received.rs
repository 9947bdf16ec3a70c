//! A request whose head hyper has read, and when the head arrived.

use hyper::Request;
use hyper::body::{Body as _, Incoming};
use tokio::time::Instant;

use super::REQUEST_TIMEOUT;
use super::client::{Client, Stage};
use super::connection_table::MIN_STAGE_AGE;
use super::raw_head::RawHead;

/// A request whose head has been read.
pub(super) struct ReceivedHead {
    pub(super) request: Request<Incoming>,
    /// When the first byte of the head was read.
    pub(super) started_at: Instant,
    /// When the head was read completely, or the earliest time at which its connection may have entered the accept
    /// queue, if the head may have arrived there.
    pub(super) arrived_at: Instant,
    /// What the raw bytes of the head have shown, if they can be distinguished from those of the previous request. Their
    /// start is missing if it was read together with the previous request.
    pub(super) raw_head: Option<RawHead>,
}

impl ReceivedHead {
    /// Creates the record of a request that hyper has just passed to the service. Has to be called before the
    /// connection's stage changes.
    pub(super) fn new(request: Request<Incoming>, client: &Client) -> Self {
        // A pipelined head arrived together with the previous request, so its raw bytes were not recorded separately.
        // Hyper reads it before the end of a streamed response has been written if the client reads slowly.
        let pipelined = client.stage.get() == Stage::Idle || client.write_watchdog.is_streaming();
        if pipelined {
            client.request_deadline.set(Instant::now() + REQUEST_TIMEOUT);
        }
        // Neither were they if the previous request got its response before the end of its body: hyper has read the
        // rest of that body since then, so the recorded bytes may begin with it.
        let previous_body_ended = client.body_ended.replace(request.body().is_end_stream());
        let has_separate_bytes = previous_body_ended && !pipelined;
        let raw_head = has_separate_bytes.then(|| client.raw_head.take());
        let arrived_at = arrival_time(client, pipelined);
        let has_recorded_start = client.stage.get() == Stage::ReadingHead;
        let started_at = if has_recorded_start { client.head_started_at.get() } else { arrived_at };
        ReceivedHead { request, started_at, arrived_at, raw_head }
    }
}

/// The arrival time of a head that has just been read. The head may have arrived while the connection was still in the
/// accept queue, if it was read within [`MIN_STAGE_AGE`] of the accept. Its arrival time is then the earliest time at
/// which the connection may have entered the queue.
fn arrival_time(client: &Client, pipelined: bool) -> Instant {
    let read_at = if pipelined { client.last_read.get() } else { Instant::now() };
    let may_have_been_queued = client.awaits_first_request.replace(false) || pipelined;
    let was_queued = may_have_been_queued && read_at - client.accepted_at < MIN_STAGE_AGE;
    if was_queued { client.queued_since } else { read_at }
}
