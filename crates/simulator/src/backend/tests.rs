//! Tests of processor sharing, the queue, the key cache and slow start of one backend.

use leadrelay_core::CellId;

use super::*;
use crate::index::{MachineClassIndex, ZoneIndex};
use crate::workload::{Contention, KeyCacheParameters, SlowStart};

const LIMIT: OverloadLimit = OverloadLimit { multiple: 3.0, window: 1000.0 };

fn machine() -> Machine {
    Machine {
        zone: ZoneIndex(0),
        machine_class: MachineClassIndex(0),
        cell: CellId(0),
        cores: 1.0,
        speed: 2.0,
        slots: 2,
        queue: 1,
        contention: Contention { loss_per_request: 0.0, threshold: 10.0 },
        slow_start: SlowStart { initial_capacity: 0.5, duration: 1000.0 },
        error_rate: 0.0,
        max_connections: 10,
        weight: 1.0,
        key_cache: KeyCacheParameters { saving: 0.5, retention: 1000.0, capacity: 8 },
    }
}

/// Lets a request arrive whose affinity key equals its attempt number, so that no two requests share a key.
fn arrive(backend: &mut Backend, now: Millis, attempt: usize, work: Millis) -> Admission {
    backend.arrive(now, AttemptIndex(attempt), work, AffinityKey(attempt as u64))
}

#[test]
fn requests_share_a_core_evenly_and_the_queue_is_bounded() {
    let mut backend = Backend::new(machine());
    assert_eq!(arrive(&mut backend, 0.0, 1, 20.0), Admission::Accepted);
    assert_eq!(backend.next_completion(0.0), Some(10.0));
    assert_eq!(arrive(&mut backend, 5.0, 2, 20.0), Admission::Accepted);
    // Request 1 has 10 units of work left at 5 ms and gets half of the core's speed of 2 from then on.
    assert_eq!(backend.next_completion(5.0), Some(15.0));
    assert_eq!(arrive(&mut backend, 5.0, 3, 1.0), Admission::Accepted);
    assert_eq!(arrive(&mut backend, 5.0, 4, 1.0), Admission::Rejected);
    assert_eq!(backend.complete_next(15.0), Some(AttemptIndex(1)));
    // Request 2 has received 10 of its 20 units of work; request 3 has just started with 1 unit.
    assert_eq!(backend.next_completion(15.0), Some(16.0));
    assert_eq!(backend.complete_next(16.0), Some(AttemptIndex(3)));
    assert_eq!(backend.next_completion(16.0), Some(20.5));
    assert!((backend.busy_core_time - 16.0).abs() < 1e-9);
}

#[test]
fn cached_key_needs_less_work_and_slow_start_reduces_speed() {
    let key = AffinityKey(7);
    let mut backend = Backend::new(machine());
    backend.arrive(0.0, AttemptIndex(1), 20.0, key);
    backend.complete_next(10.0);
    backend.arrive(20.0, AttemptIndex(2), 20.0, key);
    assert_eq!(backend.next_completion(20.0), Some(25.0));
    assert_eq!(backend.crash(21.0), [AttemptIndex(2)]);
    assert_eq!(backend.arrive(22.0, AttemptIndex(3), 1.0, AffinityKey(1)), Admission::Down);
    backend.start(100.0);
    backend.arrive(100.0, AttemptIndex(4), 20.0, key);
    assert_eq!(backend.next_completion(100.0), Some(120.0), "half of the speed, and the key is not cached");
    assert!((backend.slow_start_factor(600.0) - 0.75).abs() < 1e-9);
    assert!(!backend.is_warming_up(1100.0));
}

#[test]
fn slow_start_overload_is_reported_beyond_the_multiple() {
    let mut backend = Backend::new(machine());
    assert!(!backend.record_slow_start_work(0.0, 1e9, LIMIT), "the slow start is over");
    backend.start(0.0);
    // The capacity is 1 unit of work per ms, so the limit is 3,000 units within the window of one second.
    assert!(!backend.record_slow_start_work(1.0, 2900.0, LIMIT));
    assert!(backend.record_slow_start_work(2.0, 200.0, LIMIT));
}
