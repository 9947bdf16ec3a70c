//! Finds the last byte of a request among the bytes that are written to a socket.

use std::cell::Cell;

/// The end of a head.
pub(super) const HEAD_END: &[u8] = b"\r\n\r\n";
/// The end of a chunked body, without trailers.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Stands for a body of unknown length: longer than any body.
pub(super) const UNKNOWN_LENGTH: usize = usize::MAX;

/// How much of a request has been written.
#[derive(Default)]
pub(super) struct RequestFraming {
    /// How many bytes of `HEAD_END` have been written in a row.
    head_end_matched: Cell<usize>,
    /// Bytes of the body still to be written, from `UNKNOWN_LENGTH` downwards if its length is unknown.
    body_remaining: Cell<usize>,
}

impl RequestFraming {
    /// Starts over for a request with a body of this length.
    pub(super) fn start(&self, body_length: usize) {
        self.head_end_matched.set(0);
        self.body_remaining.set(body_length);
    }

    /// Records that the last byte of a streamed body has been taken from its stream.
    ///
    /// A body of unknown length still has its last chunk to come, five bytes at least: it counts as complete with
    /// the first five, rather too early than too late.
    pub(super) fn body_taken(&self) {
        if self.body_remaining.get() > UNKNOWN_LENGTH / 2 {
            self.body_remaining.set(LAST_CHUNK.len());
        }
    }

    /// Looks for the end of the head in the bytes written, and counts the bytes of the body after it.
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

    /// Whether the request's last byte has been written: from then on it may have run.
    pub(super) fn is_complete(&self) -> bool {
        self.head_end_matched.get() == HEAD_END.len() && self.body_remaining.get() == 0
    }
}
