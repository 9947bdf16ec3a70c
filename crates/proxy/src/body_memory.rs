//! Bounds the memory of all bodies that are not small.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that one permit stands for.
const BYTES_PER_PERMIT: usize = 1 << 10;
/// However little memory is configured, a chunk must fit.
const MIN_PERMITS: usize = 64;

/// A bound on the memory of bodies.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Semaphore>);

/// Memory of a budget, reserved until this is dropped.
pub type MemoryReservation = OwnedSemaphorePermit;

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        let permits = (bytes / BYTES_PER_PERMIT).max(MIN_PERMITS);
        MemoryBudget(Arc::new(Semaphore::new(permits)))
    }

    /// Waits until this much can be reserved.
    pub async fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.0.clone().acquire_many_owned(permits(bytes)).await.ok()
    }

    /// Reserves this much if it is available now.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.0.clone().try_acquire_many_owned(permits(bytes)).ok()
    }
}

fn permits(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_PERMIT) as u32 // a chunk is far smaller than a u32 can count
}

/// Memory for all bodies that are not small. The budgets are separate, so that slow clients can't take that of streamed
/// bodies.
pub struct BodyMemory {
    /// For the chunks of streamed bodies.
    pub streamed: MemoryBudget,
    /// For what is read of requests before they are submitted.
    pub read_ahead: MemoryBudget,
}

#[cfg(test)]
mod tests;
