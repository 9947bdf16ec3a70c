//! Tests of the memory budget for bodies.

use super::*;

// Guards against reservations that together exceed the budget, and against memory that is never released.
#[test]
fn reservations_beyond_the_budget_wait_for_released_memory() {
    let budget = MemoryBudget::new(128 << 10);
    let reservation = budget.try_reserve(100 << 10);
    assert!(reservation.is_some() && budget.try_reserve(100 << 10).is_none());
    drop(reservation);
    assert!(budget.try_reserve(100 << 10).is_some());
}
