//! Divides the memory limit of the process.

use super::buffers::{CLIENT_CONNECTION_BYTES, REQUEST_BYTES};

/// What a process needs without any connection, in bytes: its heap at rest, its tables, and the log lines and lists that
/// it is working on.
const PROCESS_BYTES: usize = 2_000_000;
/// Part of the rest that is given out, as numerator and denominator. The allocator loses the remainder between blocks.
const GIVEN_OUT: (usize, usize) = (19, 20);
/// Denominator of the part of the descriptors that clients use at most to send requests.
const CLIENT_DIVISOR: usize = 3;
/// Denominator of the part of the memory beyond those clients that is for further connections and requests.
const CONNECTION_DIVISOR: usize = 4;
/// Denominator of the part of that memory that is for wide buffers. The rest is for bodies.
const WIDE_DIVISOR: usize = 4;

/// How the memory limit is divided.
#[derive(Clone, Copy, Debug)]
pub struct MemoryPlan {
    /// The number of client connections that may have buffers at once.
    pub(super) max_served_connections: usize,
    /// The number of requests that may be in flight at once.
    pub(super) max_requests: usize,
    /// The bytes that may be reserved for wide buffers.
    pub(super) wide_bytes: usize,
    /// The bytes that may be reserved for bodies.
    pub(super) body_bytes: usize,
}

impl MemoryPlan {
    /// Plans for a process that may use `max_memory` bytes and `max_descriptors` file descriptors. With `can_overlap`,
    /// another process of this proxy may run beside it for a while and share both. The clients that may send requests
    /// are shared then too, but what is beyond them may be used up by both processes.
    pub fn new(max_memory: usize, max_descriptors: usize, can_overlap: bool) -> Self {
        let processes = if can_overlap { 2 } else { 1 };
        let (numerator, denominator) = GIVEN_OUT;
        let given_out = max_memory.saturating_sub(processes * PROCESS_BYTES) / denominator * numerator;
        let clients = max_descriptors.div_ceil(CLIENT_DIVISOR);
        let client_bytes = CLIENT_CONNECTION_BYTES + REQUEST_BYTES;
        let left = given_out.saturating_sub(clients * client_bytes) / processes;
        let for_connections = left / CONNECTION_DIVISOR;
        let wide_bytes = left / WIDE_DIVISOR;
        MemoryPlan {
            max_served_connections: clients + for_connections / CLIENT_CONNECTION_BYTES,
            max_requests: clients + for_connections / client_bytes,
            wide_bytes,
            body_bytes: left - for_connections - wide_bytes,
        }
    }
}

#[cfg(test)]
mod tests;
