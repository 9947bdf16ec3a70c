//! Receives a request's body before the request is submitted, and streams the rest of a long body.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use leadrelay_core::RequestId;
use tokio::time::Instant;

use super::Frontend;
use super::client::Client;
use crate::body_stream::BodyStream;
use crate::body_upload::{BodyError, BodyReceiver, PartialBody, forward_body};
use crate::inbox::Input;
use crate::memory::{BodyBuffer, BodyBufferLimits, SMALL_BODY_BYTES};
use crate::upload_clock::UploadClock;
use crate::upstream::{RequestBody, Upload};

/// How much of a body is received before the request is submitted. A slow client occupies no backend during that time, and
/// a body that is complete by then can be resent in a retry.
const READ_AHEAD: BodyBufferLimits = BodyBufferLimits { unreserved: SMALL_BODY_BYTES, max: 128 << 10 };

/// The part of a body that has been received when its request is submitted.
enum ReadAhead {
    Complete(Bytes),
    Partial(PartialBody),
}

/// A request's body as it is sent to a backend.
pub(super) struct ReceivedBody<U> {
    pub(super) body: RequestBody,
    /// The future that receives and forwards the rest of a streamed body; `None` for a buffered body.
    pub(super) upload: Option<U>,
}

impl Frontend {
    /// Receives the body of a request whose head arrived at `head_arrived_at`, or its first part if the body is to be
    /// streamed. A small body has to be complete by the request's deadline; a body that is sent fast enough may take
    /// longer. For a streamed body, the client waits `client_timeout` after the body's last byte for the response.
    pub(super) async fn receive_body(
        &self, body: Incoming, client: &Client, id: RequestId, head_arrived_at: Instant,
        client_timeout: Duration,
    ) -> Result<ReceivedBody<impl Future<Output = Result<(), BodyError>>>, BodyError> {
        let clock = client.start_upload_clock(head_arrived_at);
        let receiver = BodyReceiver::new(
            body,
            client.request_deadline.get(),
            client.body_ended.clone(),
            clock.clone(),
            client.stream.clone(),
        );
        let partial = match self.read_ahead(receiver).await? {
            ReadAhead::Complete(bytes) => {
                let body = RequestBody::Buffered(bytes.into());
                return Ok(ReceivedBody { body, upload: None });
            }
            ReadAhead::Partial(partial) => partial,
        };
        let (sender, stream) = BodyStream::new(partial.length(), client.buffers.get());
        let upload = forward_body(partial, sender);
        let body = RequestBody::Streamed(self.upload(stream, id, clock, client_timeout));
        Ok(ReceivedBody { body, upload: Some(upload) })
    }

    /// Wraps a streamed body so that the driver is notified when an attempt starts to read it and when it is complete.
    fn upload(
        &self, stream: BodyStream, id: RequestId, clock: Rc<UploadClock>, client_timeout: Duration,
    ) -> Upload {
        let on_start_inbox = self.inbox.clone();
        let on_stall_inbox = self.inbox.clone();
        let on_complete_inbox = self.inbox.clone();
        Upload {
            stream: RefCell::new(Some(stream)),
            clock,
            client_timeout,
            on_start: Box::new(move || on_start_inbox.put(Input::UploadStarted(id))),
            on_stall: Box::new(move |stalled| {
                on_stall_inbox.put(Input::UploadStalled { request: id, stalled })
            }),
            on_complete: Rc::new(move || on_complete_inbox.put(Input::UploadComplete(id))),
        }
    }

    /// Receives a body to its end, or until it exceeds the limit for which there is memory.
    async fn read_ahead(&self, mut receiver: BodyReceiver) -> Result<ReadAhead, BodyError> {
        let mut buffer = BodyBuffer::new(&self.memory, READ_AHEAD, receiver.bytes_remaining());
        while let Some(data) = receiver.next().await? {
            buffer.append(&data);
            if buffer.is_full() {
                return Ok(ReadAhead::Partial(PartialBody { received: buffer.into_part(), rest: receiver }));
            }
        }
        Ok(ReadAhead::Complete(buffer.into_part().into_bytes()))
    }
}
