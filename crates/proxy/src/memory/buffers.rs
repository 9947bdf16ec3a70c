//! The sizes of the buffers of a connection, and what connections and requests need with them.

use super::budget::MemoryReservation;

/// Smallest read buffer of the HTTP library.
const NARROW_READ_BUFFER: usize = 8 << 10;
/// Read buffer where there is memory for it: long bodies take fewer calls and less processor time.
const WIDE_READ_BUFFER: usize = 2 * NARROW_READ_BUFFER;
/// Buffer of the HTTP library for the heads that it writes.
const WRITE_BUFFER: usize = 8 << 10;
/// State of a connection: its task, the connection itself, and its headers.
const CONNECTION_STATE: usize = 5 << 10;
/// State of a request in flight, without its head: in the frontend, the driver, the balancer and its attempt.
const REQUEST_STATE: usize = 8 << 10;
/// Copy of the head of a request in flight, and the head of its response.
const HEADS: usize = 4 << 10;
/// Longest request head, in bytes. It is large enough for any client of the protocol.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Bytes of a request's body that are buffered without a reservation.
pub const SMALL_BODY_BYTES: usize = 16 << 10;
/// Bytes of a response's body that are buffered without a reservation: as many as the window of its stream could hold.
pub const SMALL_RESPONSE_BYTES: usize = BufferSizes::NARROW.stream_window();

/// The sizes of the buffers of a connection, and of a body that is read from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BufferSizes {
    read_buffer: usize,
}

impl BufferSizes {
    /// The smallest buffers, which every connection may have.
    pub const NARROW: BufferSizes = BufferSizes { read_buffer: NARROW_READ_BUFFER };
    /// Larger buffers, which need a reservation.
    pub const WIDE: BufferSizes = BufferSizes { read_buffer: WIDE_READ_BUFFER };

    /// Size of the buffer into which a connection reads.
    pub const fn read_buffer(self) -> usize {
        self.read_buffer
    }

    /// Most bytes that one read takes: a read that fills the buffer makes the HTTP library double it.
    pub const fn max_read(self) -> usize {
        self.read_buffer - 1
    }

    /// Bytes of one streamed body that may have been read from the one peer and not yet been taken by the other: a full
    /// buffer, and short pieces beside it.
    pub const fn stream_window(self) -> usize {
        self.read_buffer + self.read_buffer / 2
    }

    /// Bytes that are read from a connection and are in the process at once: a part of the body that the HTTP library
    /// holds until it is taken, and the window.
    const fn read_bytes(self) -> usize {
        self.read_buffer + self.stream_window()
    }
}

/// What a client's connection needs while it is served and no body is read from it.
pub(super) const CLIENT_CONNECTION_BYTES: usize = NARROW_READ_BUFFER + WRITE_BUFFER + CONNECTION_STATE;

/// What a request in flight needs in addition, with its connection to a backend and a body that is read from one of both.
pub(super) const REQUEST_BYTES: usize = REQUEST_STATE
    + HEADS
    + BufferSizes::NARROW.read_bytes()
    + NARROW_READ_BUFFER
    + WRITE_BUFFER
    + CONNECTION_STATE;

/// What a connection with wide buffers needs in addition.
pub(super) const WIDE_BYTES: usize = BufferSizes::WIDE.read_bytes() - BufferSizes::NARROW.read_bytes();

/// The buffers of one connection.
pub struct ConnectionBuffers {
    pub(super) sizes: BufferSizes,
    /// The reservation of wide buffers.
    pub(super) _reservation: Option<MemoryReservation>,
}

impl ConnectionBuffers {
    /// The sizes of the buffers.
    pub fn sizes(&self) -> BufferSizes {
        self.sizes
    }
}
