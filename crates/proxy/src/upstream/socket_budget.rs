//! Limits the number of open sockets to backends.

use std::cell::Cell;
use std::io;
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A limit on the number of sockets to backends that are open at once.
pub(super) struct SocketBudget {
    permits: Arc<Semaphore>,
    capacity: usize,
    waiting: Cell<usize>,
}

impl SocketBudget {
    pub(super) fn new(capacity: usize) -> Self {
        SocketBudget { permits: Arc::new(Semaphore::new(capacity)), capacity, waiting: Cell::new(0) }
    }

    /// Waits until a socket is free, and returns its permit.
    pub(super) async fn acquire(&self) -> io::Result<OwnedSemaphorePermit> {
        let _waiter = Waiter::new(&self.waiting);
        self.permits.clone().acquire_owned().await.map_err(io::Error::other)
    }

    /// Whether all sockets are in use.
    pub(super) fn is_exhausted(&self) -> bool {
        self.permits.available_permits() == 0
    }

    /// Whether an attempt waits for a socket.
    pub(super) fn has_waiters(&self) -> bool {
        self.waiting.get() > 0
    }

    /// The number of sockets in use.
    pub(super) fn in_use(&self) -> usize {
        self.capacity - self.permits.available_permits()
    }
}

/// Counts one attempt as waiting for a socket until the `Waiter` is dropped.
struct Waiter<'a>(&'a Cell<usize>);

impl<'a> Waiter<'a> {
    fn new(waiting: &'a Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Waiter(waiting)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
