//! Reads a request's body before the request is submitted, and streams the rest of a long one.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body as _, Incoming};
use leadrelay_core::RequestId;
use tokio::time::Instant;

use super::Frontend;
use crate::body_stream::{BodyStream, Fault, MemoryReservation, Pace, forward_body};
use crate::inbox::Input;
use crate::upstream::{RequestBody, Upload};

/// Bytes of a body that are read before the request is submitted, if there is memory: until then a slow client
/// occupies no backend, and a body that is complete by then can be sent again.
const READ_AHEAD: usize = 128 << 10;
/// Bytes of a body for which every connection has memory.
const SMALL_BODY: usize = 16 << 10;

/// What has been read of a body when its request is submitted.
enum ReadAhead {
    Complete { bytes: Bytes, memory: Option<MemoryReservation> },
    Partial(PartialBody),
}

/// A body whose end has not been read yet.
struct PartialBody {
    read: Bytes,
    memory: Option<MemoryReservation>,
    rest: Incoming,
    pace: Pace,
}

/// A request's body in the form in which it is sent.
pub(super) struct ReceivedBody<U> {
    pub(super) body: RequestBody,
    /// Reads the rest of a streamed body, for as long as it is polled.
    pub(super) upload: Option<U>,
}

impl Frontend {
    /// Reads a request's body until `due`, as far as it is buffered. A streamed one's answer may take
    /// `answer_timeout` from its last byte on, less what it has waited until it was read on.
    pub(super) async fn receive_body(
        &self, body: Incoming, due: Instant, id: RequestId, answer_timeout: Duration,
    ) -> Result<ReceivedBody<impl Future<Output = Result<(), Fault>>>, Fault> {
        let partial = match self.read_ahead(body, due).await? {
            ReadAhead::Complete { bytes, memory } => {
                let body = RequestBody::Buffered { bytes, _memory: memory };
                return Ok(ReceivedBody { body, upload: None });
            }
            ReadAhead::Partial(partial) => partial,
        };
        let PartialBody { read, memory, rest, pace } = partial;
        let length = rest.size_hint().exact().map(|rest| read.len() as u64 + rest);
        let (sender, stream) = BodyStream::new(length);
        let upload = forward_body(rest, (read, memory), pace, sender, self.upstreams.memory.pieces.clone());
        let (begun, complete) = (self.inbox.clone(), self.inbox.clone());
        let on_begin =
            Box::new(move |client_timeout| begun.put(Input::UploadStarted { request: id, client_timeout }));
        let on_complete = Rc::new(move || complete.put(Input::UploadComplete(id)));
        let stream = RefCell::new(Some(stream));
        let answer_by = Instant::now() + answer_timeout;
        let body = RequestBody::Streamed(Upload { stream, answer_by, on_begin, on_complete });
        Ok(ReceivedBody { body, upload: Some(upload) })
    }

    /// Reads a body to its end, or as far as there is memory for it.
    async fn read_ahead(&self, mut body: Incoming, due: Instant) -> Result<ReadAhead, Fault> {
        let mut read = BytesMut::new();
        let mut memory = None;
        let mut pace = Pace::new(due);
        while let Some(data) = pace.next(&mut body).await? {
            read.extend_from_slice(&data);
            if pace.got() > SMALL_BODY && memory.is_none() {
                memory = self.upstreams.memory.ahead.try_reserve(READ_AHEAD);
            }
            let limit = if memory.is_some() { READ_AHEAD } else { SMALL_BODY };
            if pace.got() > limit {
                let read = read.freeze();
                return Ok(ReadAhead::Partial(PartialBody { read, memory, rest: body, pace }));
            }
        }
        Ok(ReadAhead::Complete { bytes: read.freeze(), memory })
    }
}
