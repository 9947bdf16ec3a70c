//! Requests that are written slowly: their clients may wait less than they announce. A client's time counts from the
//! last byte of its request.
mod sockets;

use std::time::Instant;

use sockets::slow_writers::*;
use sockets::*;

#[test]
fn slow_head_is_rejected_by_the_timeout_that_others_announce() {
    let site = Site::new();
    let _held = site.keep_busy();
    site.announce(&bodyless(SHORT_TIMEOUT));
    let mut client = site.proxy.client();
    let written_at = write_slowly(&mut client, &bodyless(LONG_TIMEOUT));
    let waited = rejected_after(&mut client, written_at);
    assert!(waited < SHORT_TIMEOUT, "its client may leave after {SHORT_TIMEOUT:?}, waited {waited:?}");
    assert!(site.seen("r-slow").is_none());
}

#[test]
fn slow_head_behind_request_is_rejected_by_the_timeout_that_others_announce() {
    let site = Site::new();
    let _held = site.keep_busy();
    site.announce(&bodyless(SHORT_TIMEOUT));
    let mut client = site.proxy.client();
    client.send(&bodyless(SHORT_TIMEOUT).replace("r-slow", "r-first"));
    rejected_after(&mut client, Instant::now());
    let written_at = write_slowly(&mut client, &bodyless(LONG_TIMEOUT));
    let waited = rejected_after(&mut client, written_at);
    assert!(waited < SHORT_TIMEOUT, "its client may leave after {SHORT_TIMEOUT:?}, waited {waited:?}");
}

#[test]
fn slow_head_is_served_by_open_backend_and_tells_it_the_time_that_others_announce() {
    let site = Site::new();
    site.announce(&bodyless(SHORT_TIMEOUT));
    let mut client = site.proxy.client();
    write_slowly(&mut client, &bodyless(LONG_TIMEOUT));
    assert_eq!(status(client.response()), 200);
    let told = site.told_timeout("r-slow");
    assert!(told <= SHORT_TIMEOUT, "told {told:?}");
    assert!(told > SHORT_TIMEOUT - MAX_ATTEMPT_DELAY, "told {told:?}");
}

#[test]
fn slow_head_is_served_by_backend_that_becomes_free_in_that_time() {
    let site = Site::new();
    let _held = site.keep_busy();
    site.announce(&bodyless(LONG_TIMEOUT));
    let mut client = site.proxy.client();
    write_slowly(&mut client, &bodyless(LONG_TIMEOUT));
    site.release_once_taken_in();
    assert_eq!(status(client.response()), 200);
}

#[test]
fn slow_head_waits_for_its_timeout_from_its_last_byte_if_others_announce_the_same() {
    let site = Site::new();
    let _held = site.keep_busy();
    site.announce(&bodyless(LONG_TIMEOUT));
    let mut client = site.proxy.client();
    let written_at = write_slowly(&mut client, &bodyless(LONG_TIMEOUT));
    assert_near_end(rejected_after(&mut client, written_at), LONG_TIMEOUT);
}
