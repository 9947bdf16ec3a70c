//! Memory budgets for request and response bodies, except small ones.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of memory that one semaphore permit represents.
const BYTES_PER_PERMIT: usize = 1 << 10;
/// Smallest number of permits in a budget, so that one chunk fits into it however little memory is configured.
const MIN_PERMITS: usize = 64;

/// A limit on the memory that bodies occupy. Clones share the same budget.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Semaphore>);

/// Memory reserved from a budget. Dropping the reservation releases it.
pub type MemoryReservation = OwnedSemaphorePermit;

impl MemoryBudget {
    /// Creates a budget of `bytes`, rounded down to whole permits and raised to the minimum.
    pub fn new(bytes: usize) -> Self {
        let permits = (bytes / BYTES_PER_PERMIT).max(MIN_PERMITS);
        MemoryBudget(Arc::new(Semaphore::new(permits)))
    }

    /// Reserves `bytes`, waiting until the budget has that much left.
    pub async fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.0.clone().acquire_many_owned(permits(bytes)).await.ok()
    }

    /// Reserves `bytes` if the budget has that much left now.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.0.clone().try_acquire_many_owned(permits(bytes)).ok()
    }
}

fn permits(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_PERMIT) as u32 // never truncates: a chunk needs far fewer permits than u32::MAX
}

/// The memory budgets for all bodies that are not small. They are separate so that slow clients, whose requests occupy
/// the read-ahead budget, can't use up the memory of streamed bodies.
pub struct BodyMemory {
    /// Budget for the chunks of streamed bodies.
    pub streamed: MemoryBudget,
    /// Budget for the part of each request body that is read before the request is submitted.
    pub read_ahead: MemoryBudget,
}

#[cfg(test)]
mod tests;
