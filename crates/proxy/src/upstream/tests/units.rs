//! Unit tests of the parts of an attempt, without connections.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use leadrelay_core::Invariant;
use tokio::time::Instant;

use super::{list_valid_until, pending_state, upstream_request};
use crate::upstream::dial::ConnectError;
use crate::upstream::endpoint::{UpstreamEndpoint, choose_idle};
use crate::upstream::guard::SendGuard;
use crate::upstream::headers::remove_hop_by_hop_headers;
use crate::upstream::keep_alive::KeepAlive;
use crate::upstream::request::UpstreamRequest;
use crate::upstream::request_framing::{RequestFraming, UNKNOWN_LENGTH};
use crate::upstream::request_progress::RequestProgress;
use crate::upstream::request_state::{RequestState, SharedRequestState};

/// ENOMEM, ENFILE, EMFILE, EADDRINUSE, EADDRNOTAVAIL, ENOBUFS.
const LOCAL_ERRORS: [i32; 6] = [12, 23, 24, 98, 99, 105];
/// ECONNRESET, ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH.
const REMOTE_ERRORS: [i32; 4] = [104, 110, 111, 113];

/// A request that has been started on a connection, and the state that its guard reads.
struct StartedRequest {
    progress: RequestProgress,
    endpoint: Rc<UpstreamEndpoint>,
    state: Rc<SharedRequestState>,
}

impl StartedRequest {
    fn new(body_length: usize) -> Self {
        let started = StartedRequest {
            progress: RequestProgress::default(),
            endpoint: UpstreamEndpoint::new("127.0.0.1:1".parse().expect("invalid address"), 0.0),
            state: pending_state(),
        };
        started.progress.start(started.guard(), body_length);
        started
    }

    /// A guard whose request has an empty body and a connected client.
    fn guard(&self) -> SendGuard {
        self.guard_with_request(upstream_request(Bytes::new(), false))
    }

    fn guard_with_request(&self, request: Rc<UpstreamRequest>) -> SendGuard {
        SendGuard {
            list_valid_until: list_valid_until(),
            availability: self.endpoint.availability().clone(),
            state: self.state.clone(),
            request,
            start_by: None,
            propagated_deadline: None,
            prepared_at: Instant::now(),
        }
    }

    /// Whether the next write is denied and the denial is recorded.
    fn is_denied(&self) -> bool {
        !self.progress.may_write() && self.progress.was_withdrawn()
    }
}

/// Guards against missing the end of a head, or counting body bytes wrongly, when a request is written in two parts.
#[test]
fn request_is_complete_with_its_last_byte_wherever_it_is_split() {
    let text = b"POST /x HTTP/1.1\r\nA: b\r\n\r\n\r\n\r\nbody";
    for split in 1..text.len() {
        let progress = StartedRequest::new(8).progress;
        progress.record_written(&text[..split]);
        assert!(progress.has_started() && !progress.is_complete(), "split at {split}");
        progress.record_written(&text[split..]);
        assert!(progress.is_complete(), "split at {split}");
    }
}

/// Guards against sending a request whose endpoint has closed, whose client has left or which already has a response
/// by the time that its connection is open.
#[test]
fn first_byte_needs_an_open_endpoint_and_a_pending_request() {
    let closed = StartedRequest::new(0);
    closed.endpoint.set_open(false);
    assert!(closed.is_denied());
    for state in [RequestState::Answered, RequestState::Abandoned] {
        let request = StartedRequest::new(0);
        request.state.set(state);
        assert!(!request.progress.may_write());
    }
    let open = StartedRequest::new(0);
    assert!(open.progress.may_write());
    open.progress.record_written(b"G");
    open.endpoint.set_open(false);
    assert!(open.progress.may_write(), "a started request may be finished");
    assert!(!RequestProgress::default().may_write(), "no write is allowed between requests");
    let disconnected = StartedRequest::new(0);
    let guard = disconnected.guard_with_request(upstream_request(Bytes::new(), true));
    disconnected.progress.start(guard, 0);
    assert!(disconnected.is_denied(), "the client has disconnected");
}

/// Guards against sending a request by an endpoint list that expired while the connection was being opened.
#[test]
fn first_byte_needs_a_valid_endpoint_list() {
    let request = StartedRequest::new(0);
    let list_valid_until = list_valid_until();
    let guard = SendGuard { list_valid_until: list_valid_until.clone(), ..request.guard() };
    request.progress.start(guard, 0);
    list_valid_until.set(Instant::now());
    assert!(request.is_denied());
    list_valid_until.set(Instant::now() + Duration::from_secs(3600));
    assert!(request.progress.may_write());
    request.progress.record_written(b"G");
    list_valid_until.set(Instant::now());
    assert!(request.progress.may_write(), "a started request may be finished");
}

/// Guards against missing a violation after a process pause of 200 ms, which is above the tolerated 150 ms, and against
/// counting an expiry without a pause as a violation.
#[test]
fn first_byte_past_the_guard_is_counted_as_a_violation() {
    let request = StartedRequest::new(0);
    let violations = |guard: &SendGuard| guard.violations().collect::<Vec<_>>();
    let guard = |prepared_at: Instant, timeout: Duration| SendGuard {
        prepared_at,
        propagated_deadline: Some(prepared_at + timeout),
        ..request.guard()
    };
    let now = Instant::now();
    assert_eq!(violations(&guard(now, Duration::from_secs(60))), []);
    let before_a_pause = now - Duration::from_millis(200);
    let short_timeout = Duration::from_millis(100);
    let late = guard(before_a_pause, Duration::from_secs(60));
    assert_eq!(violations(&late), [Invariant::DeadlinePropagated]);
    assert_eq!(violations(&guard(before_a_pause, short_timeout)), [], "the deadline had already passed");
    request.endpoint.set_open(false);
    assert_eq!(violations(&guard(now, Duration::from_secs(60))), [Invariant::BackendInService]);
    request.endpoint.set_open(true);
    request.state.set(RequestState::Answered);
    assert_eq!(violations(&guard(now, Duration::from_secs(60))), [Invariant::RequestOpen]);
    let late_retry = SendGuard { start_by: Some(now), ..guard(before_a_pause, short_timeout) };
    request.state.set(RequestState::Pending);
    assert_eq!(violations(&late_retry), [Invariant::RepeatAllowed]);
    let retry_in_time = SendGuard { prepared_at: now, ..late_retry };
    assert_eq!(violations(&retry_in_time), [], "the process was not paused");
    request.state.set(RequestState::Answered);
    let stale_list =
        SendGuard { list_valid_until: Rc::new(Cell::new(now)), ..guard(before_a_pause, short_timeout) };
    assert_eq!(violations(&stale_list), [Invariant::ListCurrent]);
}

/// Guards against forwarding hop-by-hop headers, including those that only `Connection` lists.
#[test]
fn hop_by_hop_headers_are_removed() {
    let mut headers = HeaderMap::new();
    headers.insert("connection", HeaderValue::from_static("x-own, close"));
    headers.insert("x-own", HeaderValue::from_static("1"));
    headers.insert("x-kept", HeaderValue::from_static("2"));
    headers.insert("te", HeaderValue::from_static("trailers"));
    remove_hop_by_hop_headers(&mut headers);
    assert_eq!(headers.len(), 1);
    assert!(headers.contains_key("x-kept"));
}

/// Guards against closing idle connections when backends reject because their queues are full, which also affects
/// reused connections.
#[test]
fn keep_alive_is_not_shortened_if_reused_connections_are_rejected_too() {
    let keep_alive = KeepAlive::new(Duration::from_secs(40));
    for _ in 0..100 {
        keep_alive.record(false, true);
        keep_alive.record(true, true);
    }
    assert_eq!(keep_alive.timeout(), Duration::from_secs(40));
}

/// Guards against reusing a connection on which a second response may still arrive.
#[test]
fn connection_used_last_is_not_reused_at_once_while_there_is_another() {
    let chosen = |idle_ms: &[u64]| choose_idle(idle_ms.iter().map(|ms| Duration::from_millis(*ms)));
    assert_eq!(chosen(&[]), None);
    assert_eq!(chosen(&[5]), Some(0));
    assert_eq!(chosen(&[900, 400, 30]), Some(2));
    assert_eq!(chosen(&[900, 400, 5]), Some(1));
    assert_eq!(chosen(&[900, 6, 5]), Some(0));
    assert_eq!(chosen(&[15, 6, 5]), Some(0));
}

/// Guards against counting a chunked request as complete before its last chunk is written, or never.
#[test]
fn chunked_request_is_complete_with_its_last_chunk() {
    let framing = RequestFraming::default();
    framing.start(UNKNOWN_LENGTH);
    framing.advance(b"POST /x HTTP/1.1\r\n\r\n4\r\nbody\r\n");
    assert!(!framing.is_complete());
    framing.record_body_read();
    assert!(!framing.is_complete());
    framing.advance(b"0\r\n\r\n");
    assert!(framing.is_complete());
}

/// Guards against counting a lack of resources on this machine as a failure of the backend.
#[test]
fn connect_error_is_local_only_if_this_machine_lacks_something() {
    let connect_error = |number| ConnectError::from(io::Error::from_raw_os_error(number));
    for number in LOCAL_ERRORS {
        assert!(matches!(connect_error(number), ConnectError::Local(_)), "{number}");
    }
    for number in REMOTE_ERRORS {
        assert!(matches!(connect_error(number), ConnectError::Remote(_)), "{number}");
    }
}
