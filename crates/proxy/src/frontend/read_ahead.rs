//! The buffer for the part of a request's body that is received before the request is submitted. A slow client occupies
//! no backend during that time, and a body that is complete by then can be resent in a retry.

use crate::memory::{BodyBuffer, BufferSizes, ProcessMemory, SMALL_BODY_BYTES};

/// Bytes of a body that are received before the request is submitted, if there is memory for them.
const MAX_READ_AHEAD_BYTES: usize = 128 << 10;

/// The bytes of a body that have been received.
pub(super) struct ReadAheadBuffer<'a> {
    /// Without a reservation, its capacity is that of a small body and of the part that exceeds it at most.
    buffer: BodyBuffer,
    /// Length of the complete body, if it is known.
    length: Option<u64>,
    memory: &'a ProcessMemory,
    is_full: bool,
}

impl<'a> ReadAheadBuffer<'a> {
    /// Creates an empty buffer for a body of this length, or of unknown length.
    pub(super) fn new(memory: &'a ProcessMemory, length: Option<u64>) -> Self {
        ReadAheadBuffer { buffer: BodyBuffer::default(), length, memory, is_full: false }
    }

    /// Appends a part of the body that has just been read.
    pub(super) fn append(&mut self, data: &[u8]) {
        let length = self.buffer.bytes.len() + data.len();
        if length > SMALL_BODY_BYTES && self.buffer.reservation.is_none() {
            self.reserve_for_long_body(length);
        }
        if length > self.buffer.bytes.capacity() {
            let doubled = 2 * self.buffer.bytes.capacity();
            self.buffer.grow_to(doubled.clamp(length, length.max(SMALL_BODY_BYTES)));
        }
        self.buffer.bytes.extend_from_slice(data);
        self.is_full |= length > MAX_READ_AHEAD_BYTES;
    }

    /// Whether the rest of the body has to be streamed.
    pub(super) fn is_full(&self) -> bool {
        self.is_full
    }

    /// The bytes received.
    pub(super) fn into_buffer(self) -> BodyBuffer {
        self.buffer
    }

    /// Reserves memory for all that is read ahead of a body of which `received` bytes are known.
    fn reserve_for_long_body(&mut self, received: usize) {
        let longest = MAX_READ_AHEAD_BYTES + BufferSizes::WIDE.read_buffer();
        let length = self.length.and_then(|length| usize::try_from(length).ok()).unwrap_or(longest);
        let capacity = length.clamp(received, received.max(longest));
        self.buffer.reservation = self.memory.try_reserve(capacity);
        match self.buffer.reservation {
            Some(_) => self.buffer.grow_to(capacity),
            None => self.is_full = true,
        }
    }
}
