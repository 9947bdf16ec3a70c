//! Requests that are written slowly. Their clients may give up earlier than the timeout that they announce, so the
//! proxy limits it to what other clients announce. The timeout counts from the last byte of the request.
mod sockets;

use std::time::Instant;

use sockets::slow_writers::*;
use sockets::*;

#[test]
fn slow_head_is_rejected_within_the_timeout_that_others_announce() {
    let fixture = SlowWriterFixture::new();
    let _busy_clients = fixture.keep_busy();
    fixture.announce(&request_without_body(SHORT_TIMEOUT));
    let mut client = fixture.proxy.client();
    let written_at = write_slowly(&mut client, &request_without_body(LONG_TIMEOUT));
    let waited = read_rejection(&mut client, written_at);
    assert!(waited < SHORT_TIMEOUT, "its client may give up after {SHORT_TIMEOUT:?}, waited {waited:?}");
    assert!(fixture.received_request("r-slow").is_none());
}

#[test]
fn slow_head_after_another_request_is_rejected_within_the_timeout_that_others_announce() {
    let fixture = SlowWriterFixture::new();
    let _busy_clients = fixture.keep_busy();
    fixture.announce(&request_without_body(SHORT_TIMEOUT));
    let mut client = fixture.proxy.client();
    client.send(&request_without_body(SHORT_TIMEOUT).replace("r-slow", "r-first"));
    read_rejection(&mut client, Instant::now());
    let written_at = write_slowly(&mut client, &request_without_body(LONG_TIMEOUT));
    let waited = read_rejection(&mut client, written_at);
    assert!(waited < SHORT_TIMEOUT, "its client may give up after {SHORT_TIMEOUT:?}, waited {waited:?}");
}

#[test]
fn slow_head_is_sent_to_free_backend_with_the_timeout_that_others_announce() {
    let fixture = SlowWriterFixture::new();
    fixture.announce(&request_without_body(SHORT_TIMEOUT));
    let mut client = fixture.proxy.client();
    write_slowly(&mut client, &request_without_body(LONG_TIMEOUT));
    assert_eq!(status(client.response()), 200);
    let sent_timeout = fixture.forwarded_timeout("r-slow");
    assert!(sent_timeout <= SHORT_TIMEOUT, "sent with a timeout of {sent_timeout:?}");
    assert!(sent_timeout > SHORT_TIMEOUT - MAX_ATTEMPT_DELAY, "sent with a timeout of {sent_timeout:?}");
}

#[test]
fn slow_head_is_served_by_backend_that_becomes_free_within_its_timeout() {
    let fixture = SlowWriterFixture::new();
    let _busy_clients = fixture.keep_busy();
    fixture.announce(&request_without_body(LONG_TIMEOUT));
    let mut client = fixture.proxy.client();
    write_slowly(&mut client, &request_without_body(LONG_TIMEOUT));
    fixture.release_once_queued();
    assert_eq!(status(client.response()), 200);
}

#[test]
fn slow_head_waits_for_its_timeout_from_its_last_byte_if_others_announce_the_same() {
    let fixture = SlowWriterFixture::new();
    let _busy_clients = fixture.keep_busy();
    fixture.announce(&request_without_body(LONG_TIMEOUT));
    let mut client = fixture.proxy.client();
    let written_at = write_slowly(&mut client, &request_without_body(LONG_TIMEOUT));
    assert_rejected_near_timeout(read_rejection(&mut client, written_at), LONG_TIMEOUT);
}
