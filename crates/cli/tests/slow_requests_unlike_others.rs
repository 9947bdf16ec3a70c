//! Cases in which a request must keep the timeout that its client announces, even if other clients announce shorter
//! ones.
mod sockets;

use std::thread;
use std::time::{Duration, Instant};

use sockets::slow_writers::*;
use sockets::*;

/// How long the proxy process is stopped. The proxy has to tolerate such a delay: a request that arrives meanwhile must
/// not count as written slowly.
const PROCESS_PAUSE: Duration = Duration::from_millis(130);

#[test]
fn head_written_at_once_waits_for_its_timeout_whatever_others_announce() {
    let fixture = SlowWriterFixture::new();
    let _busy_clients = fixture.keep_busy();
    fixture.announce(&request_without_body(SHORT_TIMEOUT));
    let mut client = fixture.proxy.client();
    client.send(&request_without_body(LONG_TIMEOUT));
    assert_rejected_near_timeout(read_rejection(&mut client, Instant::now()), LONG_TIMEOUT);
}

#[test]
fn slow_head_waits_for_its_timeout_if_only_retries_announce_less() {
    let fixture = SlowWriterFixture::new();
    let _busy_clients = fixture.keep_busy();
    fixture.announce(&marked_as_retry(&request_without_body(SHORT_TIMEOUT)));
    let mut client = fixture.proxy.client();
    let written_at = write_slowly(&mut client, &request_without_body(LONG_TIMEOUT));
    assert_rejected_near_timeout(read_rejection(&mut client, written_at), LONG_TIMEOUT);
}

#[test]
fn slow_body_with_key_waits_for_its_timeout_whatever_others_announce() {
    let fixture = SlowWriterFixture::new();
    let _busy_clients = fixture.keep_busy();
    fixture.announce(&request_with_key(SHORT_TIMEOUT));
    let mut client = fixture.proxy.client();
    let written_at = write_slowly(&mut client, &request_with_key(LONG_TIMEOUT));
    assert_rejected_near_timeout(read_rejection(&mut client, written_at), LONG_TIMEOUT);
}

#[test]
fn attempt_of_slow_request_that_must_not_run_twice_is_not_cancelled_whatever_others_announce() {
    let fixture = SlowWriterFixture::new();
    fixture.announce(&non_idempotent_request(SHORT_TIMEOUT));
    let mut client = fixture.proxy.client();
    write_slowly(&mut client, &non_idempotent_request(LONG_TIMEOUT).replace("r-slow", "r-held"));
    wait_for("the attempt", || fixture.received_request("r-held").is_some());
    thread::sleep(SHORT_TIMEOUT + PAUSE);
    fixture.release.open();
    assert_eq!(status(client.response()), 200, "it may have run, and its client waits for {LONG_TIMEOUT:?}");
}

#[test]
fn wait_of_others_before_they_were_read_is_not_subtracted_from_their_announced_timeouts() {
    let fixture = SlowWriterFixture::new();
    let mut pipelining_client = fixture.proxy.client();
    let pipelined_request =
        |number| request_without_body(LONG_TIMEOUT).replace("r-slow", &format!("r-behind-{number}"));
    pipelining_client.send(
        &(submit("r-held", "60", "x") + &(0..ANNOUNCEMENTS).map(pipelined_request).collect::<String>()),
    );
    wait_for("the first request", || fixture.received_request("r-held").is_some());
    thread::sleep(LONG_TIMEOUT - PAUSE);
    fixture.release.open();
    for _ in 0..=ANNOUNCEMENTS {
        assert_eq!(status(pipelining_client.response()), 200);
    }
    let mut client = fixture.proxy.client();
    write_slowly(&mut client, &request_without_body(LONG_TIMEOUT));
    assert_eq!(status(client.response()), 200);
    fixture.assert_timeout_forwarded("r-slow");
}

#[test]
fn announced_timeouts_of_zero_do_not_shorten_the_timeout_of_a_slow_head() {
    let fixture = SlowWriterFixture::new();
    fixture.announce(&request_without_body(Duration::ZERO));
    let mut client = fixture.proxy.client();
    write_slowly(&mut client, &request_without_body(LONG_TIMEOUT));
    assert_eq!(status(client.response()), 200);
    fixture.assert_timeout_forwarded("r-slow");
}

#[test]
fn request_written_at_once_keeps_its_timeout_if_the_process_is_stopped() {
    let fixture = SlowWriterFixture::new();
    fixture.announce(&request_without_body(SHORT_TIMEOUT));
    let mut client = fixture.proxy.client();
    let request = request_without_body(LONG_TIMEOUT);
    let (first_part, last_part) = request.split_at(request.len() - 20);
    let started_at = Instant::now();
    client.send(first_part);
    thread::sleep(Duration::from_millis(20)); // until the proxy has read the first part
    fixture.proxy.pause();
    client.send(last_part);
    let write_time = started_at.elapsed();
    thread::sleep(PROCESS_PAUSE);
    fixture.proxy.resume();
    assert!(write_time < PROCESS_PAUSE / 2, "the client itself was delayed: {write_time:?}");
    assert_eq!(status(client.response()), 200);
    fixture.assert_timeout_forwarded("r-slow");
}

#[test]
fn blank_line_long_before_a_request_does_not_make_it_slow() {
    let fixture = SlowWriterFixture::new();
    fixture.announce(&request_without_body(SHORT_TIMEOUT));
    let mut client = fixture.proxy.client();
    assert_eq!(
        status(client.request(&request_without_body(SHORT_TIMEOUT).replace("r-slow", "r-first"))),
        200
    );
    client.send("\r\n"); // an empty line before a request is ignored (RFC 9112, section 2.2)
    thread::sleep(PAUSE);
    client.send(&request_without_body(LONG_TIMEOUT));
    assert_eq!(status(client.response()), 200);
    fixture.assert_timeout_forwarded("r-slow");
}

#[test]
fn request_written_at_once_on_a_connection_open_for_long_keeps_its_timeout() {
    let fixture = SlowWriterFixture::new();
    fixture.announce(&request_without_body(SHORT_TIMEOUT));
    let mut client = fixture.proxy.client();
    assert_eq!(
        status(client.request(&request_without_body(SHORT_TIMEOUT).replace("r-slow", "r-first"))),
        200
    );
    thread::sleep(PAUSE);
    assert_eq!(status(client.request(&request_without_body(LONG_TIMEOUT))), 200);
    fixture.assert_timeout_forwarded("r-slow");
}
