//! The bound on the memory of bodies.

use super::*;

#[test]
fn reservations_beyond_the_budget_wait_for_released_memory() {
    let budget = MemoryBudget::new(128 << 10);
    let first = budget.try_reserve(100 << 10);
    assert!(first.is_some() && budget.try_reserve(100 << 10).is_none());
    drop(first);
    assert!(budget.try_reserve(100 << 10).is_some());
}
