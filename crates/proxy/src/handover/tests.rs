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

/// The file as version 0.2.0 writes it. Processes of other versions read and write this form: it must not change.
const RECORDED_FILE: &str = include_str!("tests/recorded.json");

/// The text of a file without its processes, which differ from run to run.
fn without_processes(text: &str) -> String {
    let (start, rest) = text.split_once("\"processes\":[").expect("processes");
    let (_, end) = rest.split_once(']').expect("the end of processes");
    format!("{start}{end}")
}

#[test]
fn recorded_file_is_read_and_written_back_unchanged() {
    let folder = folder("recorded");
    let file = folder.join("leadrelay-n0.json");
    std::fs::write(&file, RECORDED_FILE).expect("a file");
    let (_, state) = Handover::open(&folder, "n0");
    let state = state.expect("the recorded state");
    assert!(state.drained);
    assert_eq!(state.bans, [7, u64::MAX]);
    assert_eq!(state.listed, [7, 8, u64::MAX]);
    assert_eq!(state.hosts.len(), 2);
    let first = serde_json::to_value(&state.hosts[0]).expect("JSON");
    let expected = serde_json::json!({
        "host": "s-1", "dial": "127.0.0.1:9001", "site": "a", "class": "m1", "block": 3,
        "health": "up", "share": 1.5, "born_ms": 1_764_700_000_000.0_f64,
    });
    assert_eq!(first, expected);
    assert_eq!(state.speeds.servers, [(7, (1.25, 10.0)), (8, (0.75, 4.5))]);
    assert_eq!(state.speeds.classes["page"], (41.5, 100.0));
    assert_eq!(state.speeds.kinds["m1"], ((0.5, 8.0), 3.25, 0.875));
    assert_eq!(state.speeds.back, [(7, 1_764_700_001_000.0, 1_764_700_002_000.0)]);
    assert_eq!(state.speeds.back_ages, [(7, 2000.0, 1000.5)]);
    let written = std::fs::read_to_string(&file).expect("a file");
    assert_eq!(without_processes(&written), without_processes(RECORDED_FILE));
    std::fs::remove_dir_all(folder).expect("it is there");
}
