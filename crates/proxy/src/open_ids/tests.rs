//! Reservation of ids.

use super::*;

#[test]
fn id_is_reserved_until_its_request_ends() {
    let ids = OpenIds::default();
    let first = ids.reserve("a");
    assert!(first.is_some() && ids.reserve("a").is_none());
    assert!(ids.reserve("b").is_some());
    drop(first);
    assert!(ids.reserve("a").is_some());
}
