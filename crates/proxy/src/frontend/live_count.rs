//! Counts things by the number of guards that exist.

use std::cell::Cell;
use std::rc::Rc;

/// The number of guards that exist.
#[derive(Default)]
pub(super) struct LiveCount(Rc<Cell<usize>>);

impl LiveCount {
    /// Counts one more for as long as the returned guard exists.
    pub(super) fn start(&self) -> CountGuard {
        self.0.set(self.0.get() + 1);
        CountGuard(self.0.clone())
    }

    /// The number of guards.
    pub(super) fn get(&self) -> usize {
        self.0.get()
    }
}

/// Is counted for as long as it exists.
pub(super) struct CountGuard(Rc<Cell<usize>>);

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
