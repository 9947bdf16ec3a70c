use super::*;

const FIRST_BYTE_DELAY: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(1);
const NO_WAIT: Duration = Duration::ZERO;

/// The deadline of a response whose request was sent at `sent_at`.
fn deadline(sent_at: Instant, length: Option<u64>) -> ResponseDeadline {
    ResponseDeadline {
        request_deadline: sent_at + TIMEOUT,
        first_byte_at: sent_at + FIRST_BYTE_DELAY,
        length,
    }
}

#[test]
fn short_response_is_due_at_the_deadline() {
    let sent_at = Instant::now();
    let of_known_length = deadline(sent_at, Some(MAX_SHORT_RESPONSE_BYTES as u64));
    assert_eq!(
        of_known_length.complete_by(MAX_SHORT_RESPONSE_BYTES as u64 - 1, NO_WAIT),
        Some(sent_at + TIMEOUT)
    );
    assert_eq!(deadline(sent_at, None).complete_by(5, NO_WAIT), Some(sent_at + TIMEOUT));
}

#[test]
fn long_response_has_no_limit() {
    let sent_at = Instant::now();
    let longest_short = MAX_SHORT_RESPONSE_BYTES as u64;
    assert_eq!(deadline(sent_at, Some(longest_short + 1)).complete_by(0, NO_WAIT), None);
    assert_eq!(deadline(sent_at, None).complete_by(longest_short + 1, NO_WAIT), None);
}

#[test]
fn steady_response_of_unknown_length_may_outlast_the_deadline() {
    let sent_at = Instant::now();
    let deadline = deadline(sent_at, None);
    let one_second_of_bytes = MIN_PEER_BYTES_PER_SECOND as u64;
    let one_second_after_first_byte = sent_at + FIRST_BYTE_DELAY + Duration::from_secs(1);
    assert_eq!(deadline.complete_by(one_second_of_bytes, NO_WAIT), Some(one_second_after_first_byte));
}

#[test]
fn time_for_which_the_client_takes_nothing_does_not_count() {
    let sent_at = Instant::now();
    let client_wait = Duration::from_secs(3);
    assert_eq!(deadline(sent_at, None).complete_by(5, client_wait), Some(sent_at + TIMEOUT + client_wait));
}
