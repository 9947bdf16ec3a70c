//! A memory budget for bodies, and bytes that hold their part of it for as long as they exist.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of memory that one semaphore permit represents.
const BYTES_PER_PERMIT: usize = 1 << 10;

/// A limit on the memory that bodies occupy. Clones share the same budget.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Semaphore>);

/// Memory reserved from a budget. Dropping the reservation releases it.
pub type MemoryReservation = OwnedSemaphorePermit;

impl MemoryBudget {
    /// Creates a budget of `bytes`, rounded down to whole permits.
    pub fn new(bytes: usize) -> Self {
        MemoryBudget(Arc::new(Semaphore::new(bytes / BYTES_PER_PERMIT)))
    }

    /// Reserves `bytes` if the budget has that much left now.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.0.clone().try_acquire_many_owned(permits(bytes)).ok()
    }
}

fn permits(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_PERMIT) as u32 // never truncates: a chunk needs far fewer permits than u32::MAX
}

/// Bytes with the reservation of their memory.
struct ReservedBytes<T> {
    bytes: T,
    _reservation: MemoryReservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for ReservedBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Joins bytes with the reservation of their memory, which is released with the last of the result's clones and slices.
pub fn reserved_bytes(bytes: impl AsRef<[u8]> + Send + 'static, reservation: MemoryReservation) -> Bytes {
    Bytes::from_owner(ReservedBytes { bytes, _reservation: reservation })
}

#[cfg(test)]
mod tests;
