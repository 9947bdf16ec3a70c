//! The buffer for a body that is read before it is passed on, as long as there is memory for it.

use bytes::Bytes;

use super::ProcessMemory;
use super::budget::{MemoryReservation, reserved_bytes};
use super::buffers::BufferSizes;

/// How much of a body is buffered.
#[derive(Clone, Copy)]
pub struct BodyBufferLimits {
    /// Most bytes that are buffered without a reservation.
    pub unreserved: usize,
    /// Most bytes that are buffered at all.
    pub max: usize,
}

/// A part of a body that has been read into a buffer.
#[derive(Default)]
pub struct BufferedPart {
    /// The bytes. The buffer's capacity is no larger than what is reserved; without a reservation it is that of the bytes
    /// that need none, and of the chunk that exceeds them.
    pub bytes: Vec<u8>,
    /// The reservation of the buffer, if it needs one and there was memory for it.
    pub reservation: Option<MemoryReservation>,
}

impl BufferedPart {
    /// The bytes, with their reservation if there is one.
    pub fn into_bytes(self) -> Bytes {
        match self.reservation {
            Some(reservation) => reserved_bytes(self.bytes, reservation),
            None => Bytes::from(self.bytes),
        }
    }

    /// Makes room for `length` bytes in all.
    fn grow_to(&mut self, length: usize) {
        self.bytes.reserve_exact(length.saturating_sub(self.bytes.len()));
    }
}

/// Buffers a body until it is complete, or exceeds the limit for which there is memory.
pub struct BodyBuffer<'a> {
    part: BufferedPart,
    memory: &'a ProcessMemory,
    limits: BodyBufferLimits,
    /// Length of the complete body, if it is known.
    length: Option<u64>,
    is_full: bool,
}

impl<'a> BodyBuffer<'a> {
    /// Creates an empty buffer for a body of this length, or of unknown length.
    pub fn new(memory: &'a ProcessMemory, limits: BodyBufferLimits, length: Option<u64>) -> Self {
        BodyBuffer { part: BufferedPart::default(), memory, limits, length, is_full: false }
    }

    /// Appends a chunk of the body that has just been read.
    pub fn append(&mut self, chunk: &[u8]) {
        let length = self.part.bytes.len() + chunk.len();
        if length > self.limits.unreserved && self.part.reservation.is_none() {
            self.reserve(length);
        }
        if length > self.part.bytes.capacity() {
            let doubled = 2 * self.part.bytes.capacity();
            self.part.grow_to(doubled.clamp(length, length.max(self.limits.unreserved)));
        }
        self.part.bytes.extend_from_slice(chunk);
        self.is_full |= length > self.limits.max;
    }

    /// Whether no more may be buffered, and the rest of the body has to be streamed.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// The bytes read so far.
    pub fn into_part(self) -> BufferedPart {
        self.part
    }

    /// Reserves memory for all that may be buffered of a body of which `received` bytes are known.
    fn reserve(&mut self, received: usize) {
        let longest = self.limits.max + BufferSizes::WIDE.read_buffer();
        let length = self.length.and_then(|length| usize::try_from(length).ok()).unwrap_or(longest);
        let capacity = length.clamp(received, received.max(longest));
        self.part.reservation = self.memory.try_reserve(capacity);
        match self.part.reservation {
            Some(_) => self.part.grow_to(capacity),
            None => self.is_full = true,
        }
    }
}

#[cfg(test)]
mod tests;
