//! Detects when the last byte of a request is written to a socket.

use std::cell::Cell;

/// The bytes that end the head of a request or response.
pub(super) const HEAD_END: &[u8] = b"\r\n\r\n";
/// The last chunk of a chunked body without trailers.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The body length, in bytes, that stands for an unknown one; greater than the length of any body.
pub(super) const UNKNOWN_LENGTH: usize = usize::MAX;

/// Tracks how much of a request has been written.
#[derive(Default)]
pub(super) struct RequestFraming {
    /// How many bytes of `HEAD_END` the most recently written bytes match.
    head_end_matched: Cell<usize>,
    /// Bytes of the body still to be written; counts down from `UNKNOWN_LENGTH` if the length is unknown.
    body_remaining: Cell<usize>,
}

impl RequestFraming {
    /// Resets the state for a new request with a body of this length in bytes.
    pub(super) fn start(&self, body_length: usize) {
        self.head_end_matched.set(0);
        self.body_remaining.set(body_length);
    }

    /// Records that the last byte of a streamed body has been read from its stream.
    ///
    /// If the length is unknown, at least the five bytes of the last chunk are still to be written. The body counts as
    /// complete once five more bytes have been written, which may be too early but is never too late.
    pub(super) fn record_body_read(&self) {
        if self.body_remaining.get() > UNKNOWN_LENGTH / 2 {
            self.body_remaining.set(LAST_CHUNK.len());
        }
    }

    /// Records bytes written: finds the end of the head, and counts the bytes of the body after it.
    pub(super) fn advance(&self, written: &[u8]) {
        let mut rest = written;
        while self.head_end_matched.get() < HEAD_END.len() {
            let Some((&byte, after)) = rest.split_first() else { return };
            rest = after;
            self.match_head_end(byte);
        }
        self.body_remaining.set(self.body_remaining.get().saturating_sub(rest.len()));
    }

    fn match_head_end(&self, byte: u8) {
        let matched = self.head_end_matched.get();
        let expected = HEAD_END[matched];
        let matched = if byte == expected { matched + 1 } else { usize::from(byte == b'\r') };
        self.head_end_matched.set(matched);
    }

    /// Whether the request's last byte has been written. From then on the request may have run.
    pub(super) fn is_complete(&self) -> bool {
        self.head_end_matched.get() == HEAD_END.len() && self.body_remaining.get() == 0
    }
}
