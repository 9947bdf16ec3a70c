//! The buffer for a response that is not streamed. Until such a response is complete, the proxy can still replace it by
//! another backend's.

use super::response_deadline::MAX_SHORT_RESPONSE_BYTES;
use crate::memory::{BodyBuffer, BufferSizes, ProcessMemory, SMALL_RESPONSE_BYTES};

/// The bytes of a response body that have been read into a buffer.
pub(super) struct ResponseBuffer<'a> {
    /// Without a reservation, its capacity is that of a small response and of the part that exceeds it at most.
    buffer: BodyBuffer,
    memory: &'a ProcessMemory,
    /// Whether the body is too long for the buffer, or for the memory that is left.
    is_full: bool,
}

impl<'a> ResponseBuffer<'a> {
    /// Creates a buffer for a body of this length, or of unknown length. Returns `None` if the body has to be streamed,
    /// because it is too long or there is no memory for it.
    pub(super) fn for_length(length: Option<u64>, memory: &'a ProcessMemory) -> Option<Self> {
        let mut buffer = BodyBuffer::default();
        if let Some(length) = length {
            let length = usize::try_from(length).ok().filter(|length| *length <= MAX_SHORT_RESPONSE_BYTES)?;
            if length > SMALL_RESPONSE_BYTES {
                buffer.reservation = Some(memory.try_reserve(length)?);
            }
            buffer.grow_to(length);
        }
        Some(ResponseBuffer { buffer, memory, is_full: false })
    }

    /// Appends a part of the body that is no longer than a read buffer.
    pub(super) fn append(&mut self, data: &[u8]) {
        let length = self.buffer.bytes.len() + data.len();
        if length > self.buffer.bytes.capacity() {
            self.grow_to(length);
        }
        self.buffer.bytes.extend_from_slice(data);
        self.is_full |= length > MAX_SHORT_RESPONSE_BYTES;
    }

    /// Whether no more can be buffered, and the rest of the body has to be streamed.
    pub(super) fn is_full(&self) -> bool {
        self.is_full
    }

    /// The bytes read so far.
    pub(super) fn into_buffer(self) -> BodyBuffer {
        self.buffer
    }

    /// Makes room for `length` bytes of a body of unknown length: up to those of a small response, and beyond that for the
    /// longest body that is buffered.
    fn grow_to(&mut self, length: usize) {
        if length <= SMALL_RESPONSE_BYTES {
            let doubled = 2 * self.buffer.bytes.capacity();
            return self.buffer.grow_to(doubled.clamp(length, SMALL_RESPONSE_BYTES));
        }
        let capacity = MAX_SHORT_RESPONSE_BYTES + BufferSizes::WIDE.read_buffer();
        self.buffer.reservation = self.memory.try_reserve(capacity);
        match self.buffer.reservation {
            Some(_) => self.buffer.grow_to(capacity),
            None => {
                self.is_full = true;
                self.buffer.grow_to(length);
            }
        }
    }
}
