//! Reads from a request's head what the core has to know; a request whose head is invalid is rejected.

mod fields;
mod plain;
mod platform;

use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use leadrelay_core::{AffinityKey, Millis, TenantId};

use crate::classes::{ClassHandle, Classes};
use crate::config::Dialect;
use crate::rejection::Rejection;

/// What a request's head says.
pub struct RequestMeta {
    /// The client's id of the request, or a generated one.
    pub id: String,
    /// Its class.
    pub class: ClassHandle,
    /// Its tenant, if tenants are configured.
    pub tenant: Option<TenantId>,
    /// What sticky requests have in common.
    pub affinity_key: Option<AffinityKey>,
    /// The work that its client expects it to be.
    pub expected_cost: Option<Millis>,
    /// How long the client waits for the response.
    pub timeout: Duration,
    /// Whether the client announced that with a first try, as far as is known.
    pub is_first_try: bool,
    /// Whether its id may be used by one open request only.
    pub requires_unique_id: bool,
    /// Whether backends are sent `X-Forwarded-*` headers, and the id if the client sent none.
    pub adds_forwarding_headers: bool,
}

/// Reads a head; `number` identifies the request within this process.
pub fn read(
    classes: &Classes, method: &Method, uri: &Uri, headers: &HeaderMap, number: u64,
) -> Result<RequestMeta, Rejection> {
    match &classes.dialect {
        Dialect::Platform => platform::read(classes, method, uri, headers),
        Dialect::Plain(plain) => plain::read(classes, plain, method, uri, headers, number),
    }
}
