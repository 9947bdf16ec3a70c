//! Reads from a request's head the data that the core and the frontend need; a request with an invalid head is
//! rejected.

mod fields;
mod plain;
mod platform;

use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use leadrelay_core::{AffinityKey, Millis, TenantId};

use crate::classes::{ClassHandle, Classes};
use crate::config::ClientProtocol;
use crate::rejection::Rejection;

/// The data that is read from a request's head.
pub struct RequestMeta {
    /// The request id: the one that the client sent, or else a generated one.
    pub id: String,
    /// The class of the request.
    pub class: ClassHandle,
    /// The tenant of the request, if tenants are configured and the head names one of them.
    pub tenant: Option<TenantId>,
    /// The key that is common to requests which should go to the same backend (session affinity).
    pub affinity_key: Option<AffinityKey>,
    /// The processing time that the client expects for the request on a standard core, in milliseconds.
    pub expected_cost: Option<Millis>,
    /// How long the client waits for the response; no longer than the deadline of the class.
    pub timeout: Duration,
    /// Whether the client is known to send the request for the first time. The timeout of a client's retry may be only
    /// what is left of the original one.
    pub is_first_client_attempt: bool,
    /// Whether the request is rejected if another open request has the same id.
    pub requires_unique_id: bool,
    /// Whether `X-Forwarded-*` headers, and a generated id if the client sent none, are added to the request for the
    /// backend.
    pub adds_forwarding_headers: bool,
}

/// Reads a request's head. `request_number` is unique within this process.
pub fn read(
    classes: &Classes, method: &Method, uri: &Uri, headers: &HeaderMap, request_number: u64,
) -> Result<RequestMeta, Rejection> {
    match &classes.client_protocol {
        ClientProtocol::Platform => platform::read(classes, method, uri, headers),
        ClientProtocol::Plain(plain) => plain::read(classes, plain, method, uri, headers, request_number),
    }
}
