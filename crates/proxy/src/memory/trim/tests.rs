use super::*;

/// Guards against a process that keeps the memory of its peak, and against one that returns memory all the time.
#[test]
fn freed_memory_is_returned_once_many_connections_have_closed() {
    let trim = AllocatorTrim::default();
    let due = [(400, false), (360, false), (350, true), (350, false), (310, false), (300, true)];
    for (connections, expected) in due {
        assert_eq!(trim.is_due(connections), expected, "{connections}");
    }
    let small = AllocatorTrim::default();
    assert!(!small.is_due(31));
    assert!(!small.is_due(0));
}
