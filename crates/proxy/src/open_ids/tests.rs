//! Tests that an id can be reserved by one open request at a time.

use super::*;

/// A second open request with the same id could be mistaken for the first.
#[test]
fn id_is_reserved_until_its_request_ends() {
    let ids = OpenRequestIds::default();
    let reserved = ids.reserve("a");
    assert!(reserved.is_some() && ids.reserve("a").is_none());
    assert!(ids.reserve("b").is_some());
    drop(reserved);
    assert!(ids.reserve("a").is_some());
}
