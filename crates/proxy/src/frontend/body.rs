//! Receives a request's body before the request is submitted, and streams the rest of a long one.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::Incoming;
use leadrelay_core::RequestId;
use tokio::time::Instant;

use super::Frontend;
use super::client::Client;
use crate::body_memory::MemoryReservation;
use crate::body_stream::BodyStream;
use crate::body_upload::{BodyError, BodyReceiver, PartialBody, forward_body};
use crate::inbox::Input;
use crate::upstream::{RequestBody, Upload};

/// Bytes of a body that are received before the request is submitted, if there is memory: until then a slow client
/// occupies no backend, and a body that is complete by then can be sent again.
const MAX_READ_AHEAD_BYTES: usize = 128 << 10;
/// Bytes of a body for which every connection has memory.
const SMALL_BODY_BYTES: usize = 16 << 10;

/// What has been received of a body when its request is submitted.
enum ReadAhead {
    Complete { bytes: Bytes, memory: Option<MemoryReservation> },
    Partial(PartialBody),
}

/// A request's body in the form in which it is sent.
pub(super) struct ReceivedBody<U> {
    pub(super) body: RequestBody,
    /// Receives the rest of a streamed body, for as long as it is polled.
    pub(super) upload: Option<U>,
}

impl Frontend {
    /// Receives a request's body until its deadline, as far as it is buffered. The response to a streamed one may take
    /// `response_timeout` from its last byte on, less the time that it has waited for an attempt.
    pub(super) async fn receive_body(
        &self, body: Incoming, client: &Client, id: RequestId, response_timeout: Duration,
    ) -> Result<ReceivedBody<impl Future<Output = Result<(), BodyError>>>, BodyError> {
        let receiver = BodyReceiver::new(body, client.request_deadline.get(), client.body_ended.clone());
        let partial = match self.read_ahead(receiver).await? {
            ReadAhead::Complete { bytes, memory } => {
                let body = RequestBody::Buffered { bytes, _memory: memory };
                return Ok(ReceivedBody { body, upload: None });
            }
            ReadAhead::Partial(partial) => partial,
        };
        let (sender, stream) = BodyStream::new(partial.length());
        let upload = forward_body(partial, sender, self.upstreams.memory.streamed.clone());
        let body = RequestBody::Streamed(self.upload(stream, id, response_timeout));
        Ok(ReceivedBody { body, upload: Some(upload) })
    }

    /// A streamed body that notifies the driver when an attempt starts to read it, and when it is complete.
    fn upload(&self, stream: BodyStream, id: RequestId, response_timeout: Duration) -> Upload {
        let on_start_inbox = self.inbox.clone();
        let on_complete_inbox = self.inbox.clone();
        Upload {
            stream: RefCell::new(Some(stream)),
            response_deadline: Instant::now() + response_timeout,
            on_start: Box::new(move |client_timeout| {
                on_start_inbox.put(Input::UploadStarted { request: id, client_timeout });
            }),
            on_complete: Rc::new(move || on_complete_inbox.put(Input::UploadComplete(id))),
        }
    }

    /// Receives a body to its end, or as far as there is memory for it.
    async fn read_ahead(&self, mut receiver: BodyReceiver) -> Result<ReadAhead, BodyError> {
        let mut read = BytesMut::new();
        let mut memory = None;
        while let Some(data) = receiver.next().await? {
            read.extend_from_slice(&data);
            if receiver.received() > SMALL_BODY_BYTES && memory.is_none() {
                memory = self.upstreams.memory.read_ahead.try_reserve(MAX_READ_AHEAD_BYTES);
            }
            let limit = if memory.is_some() { MAX_READ_AHEAD_BYTES } else { SMALL_BODY_BYTES };
            if receiver.received() > limit {
                let partial = PartialBody { read: read.freeze(), memory, rest: receiver };
                return Ok(ReadAhead::Partial(partial));
            }
        }
        Ok(ReadAhead::Complete { bytes: read.freeze(), memory })
    }
}
