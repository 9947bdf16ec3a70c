//! Admission: accepts or rejects a request by its head, before its body is received.

use hyper::Request;
use hyper::body::{Body as _, Incoming};
use hyper::header;
use hyper::http::request;

use super::Frontend;
use super::received::ReceivedHead;
use crate::body_stream::MAX_BODY_BYTES;
use crate::head::{self, RequestMeta};
use crate::open_ids::ReservedRequestId;
use crate::rejection::Rejection;

/// A request that has been admitted, with its body not yet received.
pub(super) struct AdmittedRequest {
    pub(super) meta: RequestMeta,
    /// Reserves the request's id; `None` if another open request has the same id.
    pub(super) reserved_id: Option<ReservedRequestId>,
    pub(super) head: request::Parts,
    pub(super) body: Incoming,
}

impl Frontend {
    /// Admits or rejects a request by its head.
    pub(super) fn admit(&self, received: ReceivedHead) -> Result<AdmittedRequest, Rejection> {
        let ReceivedHead { request, raw_head, .. } = received;
        let meta = self.read_head(&request)?;
        let (head, body) = request.into_parts();
        // If a request has both Transfer-Encoding and Content-Length, hyper's parsed headers contain only one of the
        // two. Such a request may be request smuggling: one of the two lengths is wrong or hides a second request.
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        if is_chunked && !raw_head.is_some_and(|raw_head| raw_head.has_no_content_length(&head.headers)) {
            return Err(Rejection::AmbiguousLength);
        }
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err(Rejection::BodyTooLarge);
        }
        let reserved_id = self.open_ids.reserve(&meta.id, !head.method.is_safe());
        if meta.requires_unique_id && reserved_id.is_none() {
            return Err(Rejection::IdInUse);
        }
        Ok(AdmittedRequest { meta, reserved_id, head, body })
    }

    /// Parses a request's head and looks up its class.
    pub(super) fn read_head(&self, request: &Request<Incoming>) -> Result<RequestMeta, Rejection> {
        let number = self.next_number.get();
        head::read(&self.classes.borrow(), request.method(), request.uri(), request.headers(), number)
    }
}
