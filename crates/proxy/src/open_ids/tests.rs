//! Tests that an id can be reserved by one open request at a time.

use super::*;

/// A second open request with the same id could be mistaken for the first.
#[test]
fn id_is_reserved_until_its_request_ends() {
    let ids = OpenRequestIds::default();
    let reserved = ids.reserve("a", true);
    assert!(reserved.is_some() && ids.reserve("a", true).is_none());
    assert!(ids.reserve("b", true).is_some());
    drop(reserved);
    assert!(ids.reserve("a", true).is_some());
}

/// The ids of two processes that share a folder for this test.
fn two_processes(test: &str) -> [OpenRequestIds; 2] {
    let folder = std::env::temp_dir().join(format!("leadrelay-ids-{}-{test}", std::process::id()));
    [folder.clone(), folder].map(|folder| OpenRequestIds::new(Some(IdClaims::new(folder))))
}

/// Guards against a request that runs twice because it comes again at another process of this proxy.
#[test]
fn id_is_reserved_at_one_of_two_processes() {
    let [old, new] = two_processes("one");
    let open_before = old.reserve("before", true);
    new.set_shared(true);
    old.set_shared(true);
    let open_since = new.reserve("since", true);
    assert!(open_before.is_some() && open_since.is_some());
    assert!(new.reserve("before", true).is_none());
    assert!(old.reserve("since", true).is_none());
    assert!(new.reserve("other", true).is_some());
    drop(open_before);
    assert!(new.reserve("before", true).is_some(), "its request has ended");
    old.set_shared(false);
}

/// Guards against claims where they are not needed: for requests that may run twice, and after the other process has ended.
#[test]
fn ids_are_claimed_only_while_two_processes_may_run_a_request_twice() {
    let [old, new] = two_processes("needed");
    old.set_shared(true);
    new.set_shared(true);
    let repeatable = old.reserve("repeatable", false);
    assert!(repeatable.is_some() && new.reserve("repeatable", false).is_some());
    let left_by_killed = old.reserve("killed", true);
    assert!(new.reserve("killed", true).is_none());
    new.set_shared(false);
    assert!(new.reserve("killed", true).is_some(), "its process has ended");
    drop(left_by_killed);
}

/// Guards against a folder that can't be written and stops the service.
#[test]
fn id_is_reserved_though_it_cannot_be_claimed() {
    let ids = OpenRequestIds::new(Some(IdClaims::new("/proc/none".into())));
    ids.set_shared(true);
    assert!(ids.reserve("a", true).is_some());
}
