//! The file that two processes share.

use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("handover-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn a_successor_finds_what_was_left_and_survives_what_is_broken() {
    let folder = folder("left");
    let (first, left) = Handover::open(&folder, "n/0");
    assert!(left.is_none());
    first.update(|s| (s.drained, s.bans) = (true, vec![u64::MAX])).expect("a file");
    let (second, left) = Handover::open(&folder, "n/0");
    let left = left.expect("a state");
    assert_eq!((left.drained, left.bans), (true, vec![u64::MAX]));
    assert!(first.news().is_some(), "it was replaced");
    assert!(first.news().is_none(), "once");
    for broken in ["", "{", "{\"version\":99}", "[]"] {
        std::fs::write(&second.file, broken).expect("a file");
        assert!(second.load().expect("a file").is_none(), "{broken}");
        second.update(|s| s.drained = true).expect("a file");
        assert!(second.load().expect("a file").expect("mended").drained);
    }
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn what_the_other_process_wrote_is_news_after_an_own_change_too() {
    let folder = folder("news");
    let (first, _) = Handover::open(&folder, "n0");
    let (second, _) = Handover::open(&folder, "n0");
    assert!(second.news().is_none(), "its own word");
    first.update(|s| s.drained = true).expect("a file");
    second.update(|s| s.bans.push(1)).expect("a file");
    assert!(second.news().expect("the drain").drained);
    assert!(second.news().is_none(), "once");
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn processes_that_have_ended_are_no_twins() {
    let folder = folder("ended");
    let (own, _) = Handover::open(&folder, "n0");
    let mut child = std::process::Command::new("sleep").arg("30").spawn().expect("a process");
    let other = Process { pid: child.id(), stage: Stage::Serving };
    own.update(|s| s.processes.push(other)).expect("a file");
    own.look();
    assert!(own.twin() && !own.owner());
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    own.look();
    assert!(!own.twin());
    assert!(own.serves());
    own.update(|_| {}).expect("a file");
    assert!(own.owner() && !own.leave());
    std::fs::remove_dir_all(folder).expect("it is there");
}
