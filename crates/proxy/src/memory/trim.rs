//! Returns freed memory to the operating system. The allocator keeps freed blocks that lie between used ones for later
//! use, so a process goes on using what it needed at its peak. In an upgrade that memory is missing to the successor.

use std::cell::Cell;

/// How many fewer connections there have to be than at the peak before freed memory is returned.
const MIN_CLOSED_CONNECTIONS: usize = 32;
/// The same as a part of the peak: its denominator.
const CLOSED_PART: usize = 8;

/// Decides when freed memory is returned.
#[derive(Default)]
pub(super) struct AllocatorTrim {
    /// The highest number of connections since freed memory was last returned.
    peak: Cell<usize>,
}

impl AllocatorTrim {
    /// Returns freed memory if there are far fewer connections than at the peak.
    pub(super) fn update(&self, connections: usize) {
        if self.is_due(connections) {
            return_freed_memory();
        }
    }

    /// Records the number of connections, and returns whether it has fallen far enough since the peak.
    fn is_due(&self, connections: usize) -> bool {
        let peak = self.peak.get().max(connections);
        let closed = peak - connections;
        let is_due = closed >= MIN_CLOSED_CONNECTIONS.max(peak / CLOSED_PART);
        self.peak.set(if is_due { connections } else { peak });
        is_due
    }
}

#[cfg(all(target_os = "linux", target_env = "gnu"))]
fn return_freed_memory() {
    // SAFETY: the function has no preconditions; it only takes the allocator's own locks.
    #[allow(unsafe_code)]
    unsafe {
        libc::malloc_trim(0);
    }
}

/// Other allocators return freed memory by themselves.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
fn return_freed_memory() {}

#[cfg(test)]
mod tests;
