use std::time::Duration;

use super::*;

const RECEIVE_BUFFER: u64 = 1 << 20;
/// The longest rest of a body that the client may have written completely.
const LONGEST_WRITTEN_REST: u64 = MAX_CLIENT_SEND_BUFFER + RECEIVE_BUFFER;

#[test]
fn rest_that_fits_into_the_socket_buffers_may_have_been_written_with_the_head() {
    let head_arrived_at = Instant::now() - Duration::from_secs(1);
    let clock = UploadClock::new(head_arrived_at);
    clock.record_remaining(LONGEST_WRITTEN_REST, || RECEIVE_BUFFER);
    assert_eq!(clock.client_waits_since(), head_arrived_at);
}

#[test]
fn client_is_still_writing_while_the_rest_exceeds_the_socket_buffers() {
    let clock = UploadClock::new(Instant::now() - Duration::from_secs(1));
    let now = Instant::now();
    clock.record_remaining(LONGEST_WRITTEN_REST + 1, || RECEIVE_BUFFER);
    assert!(clock.client_waits_since() >= now);
}

#[test]
fn client_is_still_writing_while_the_proxy_waits_for_it() {
    let head_arrived_at = Instant::now() - Duration::from_secs(1);
    let clock = UploadClock::new(head_arrived_at);
    clock.set_awaits_client(true);
    let now = Instant::now();
    assert!(clock.client_waits_since() >= now);
    clock.set_awaits_client(false);
    assert_eq!(clock.client_waits_since(), head_arrived_at, "the bytes may have arrived earlier");
    clock.record_arrival();
    assert!(clock.client_waits_since() >= now);
}
