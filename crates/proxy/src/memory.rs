//! The memory of the process: how large the buffers of a connection are, how many connections and requests there may be
//! at once, and what may be buffered beyond that.
//!
//! The platform ends a process that exceeds its memory limit. So every buffer has either a fixed size, and the number of
//! its owners is limited, or its bytes are reserved from a budget before it is filled. `docs/memory.md` has the account.
//!
//! - `plan` divides the limit at the start of the process
//! - `buffers` has the sizes of the buffers, and what connections and requests need with them
//! - `budget` counts the bytes that are reserved, `body_buffer` reserves those of one body
//! - `trim` returns freed memory to the operating system

mod body_buffer;
mod budget;
mod buffers;
mod plan;
mod trim;

pub use body_buffer::{BodyBuffer, BodyBufferLimits, BufferedPart};
pub use budget::{MemoryReservation, reserved_bytes};
pub use buffers::{BufferSizes, ConnectionBuffers, MAX_HEAD_BYTES, SMALL_BODY_BYTES, SMALL_RESPONSE_BYTES};
pub use plan::MemoryPlan;

use budget::MemoryBudget;
use buffers::WIDE_BYTES;
use trim::AllocatorTrim;

/// The memory of this process, as the parts of the proxy share it.
pub struct ProcessMemory {
    plan: MemoryPlan,
    wide_buffers: MemoryBudget,
    bodies: MemoryBudget,
    trim: AllocatorTrim,
}

impl ProcessMemory {
    /// Creates the budgets of a process.
    pub fn new(plan: MemoryPlan) -> Self {
        ProcessMemory {
            plan,
            wide_buffers: MemoryBudget::new(plan.wide_bytes),
            bodies: MemoryBudget::new(plan.body_bytes),
            trim: AllocatorTrim::default(),
        }
    }

    /// The number of client connections that may have buffers at once.
    pub fn max_served_connections(&self) -> usize {
        self.plan.max_served_connections
    }

    /// The number of requests that may be in flight at once.
    pub fn max_requests(&self) -> usize {
        self.plan.max_requests
    }

    /// The buffers of a new connection: wide ones as long as there is memory for them.
    pub fn connection_buffers(&self) -> ConnectionBuffers {
        let reservation = self.wide_buffers.try_reserve(WIDE_BYTES);
        let sizes = if reservation.is_some() { BufferSizes::WIDE } else { BufferSizes::NARROW };
        ConnectionBuffers { sizes, _reservation: reservation }
    }

    /// Reserves memory for a part of a body that could also be streamed, if there is that much left.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.bodies.try_reserve(bytes)
    }

    /// Returns freed memory to the operating system if there are far fewer connections than before.
    pub fn return_freed(&self, connections: usize) {
        self.trim.update(connections);
    }
}
