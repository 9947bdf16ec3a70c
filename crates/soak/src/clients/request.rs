//! Random choice and serialization of a client's next request.

use std::time::Duration;

use super::behavior::{ClientBehavior, RequestBehavior};
use crate::settings::RequestClass;

/// Lengths in bytes of long request bodies. The longest one exceeds what the socket buffers of a proxy and a backend hold,
/// but fits into those of a client and a proxy with them.
const LONG_BODIES: [usize; 4] = [200 << 10, 200 << 10, 200 << 10, 6 << 20];

/// A request that is about to be sent.
pub(super) struct PlannedRequest {
    pub(super) id: String,
    pub(super) class: RequestClass,
    pub(super) timeout: Duration,
    pub(super) behavior: RequestBehavior,
    pub(super) long_response: bool,
    body_length: usize,
}

impl PlannedRequest {
    /// Chooses the request's class, timeout and body at random, and its behavior by the given percentages.
    pub(super) fn random(id: String, behavior: ClientBehavior) -> Self {
        let chosen = behavior.choose();
        let is_upload = chosen == RequestBehavior::Wait && fastrand::u32(0..100) < behavior.upload_percent;
        let class = if is_upload {
            RequestClass::Submit
        } else {
            RequestClass::ALL[fastrand::usize(0..RequestClass::ALL.len())]
        };
        let body_length = match class {
            RequestClass::Read => 0,
            _ if is_upload => LONG_BODIES[fastrand::usize(0..LONG_BODIES.len())],
            _ => fastrand::usize(1..2000),
        };
        PlannedRequest {
            id,
            class,
            timeout: Duration::from_millis(fastrand::u64(400..2000)),
            behavior: chosen,
            long_response: chosen == RequestBehavior::ReadSlowly,
            body_length,
        }
    }

    /// Serializes the request for the wire.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let method = if self.class == RequestClass::Read { "GET" } else { "POST" };
        let class = self.class.name();
        let long = if self.long_response { "&long=1" } else { "" };
        let mut head = format!("{method} /{class}?sid=7{long} HTTP/1.1\r\nHost: x\r\n");
        head += &format!("X-Request-ID: {}\r\nX-Tenant-Id: acme\r\n", self.id);
        head += &format!("X-Timeout: {:.3}\r\n", self.timeout.as_secs_f64());
        if self.class == RequestClass::Booking {
            head += &format!("Idempotency-Key: {}\r\n", self.id);
        }
        if self.class != RequestClass::Read {
            head += &format!("Content-Length: {}\r\n", self.body_length);
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + self.body_length, b'y');
        bytes
    }
}
