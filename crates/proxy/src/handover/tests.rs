//! Tests of the handover file: its use by two processes, its JSON schema and the conversion of learned state.

use std::path::PathBuf;

use leadrelay_core::{EndpointId, LearnedState, MachineClassState, MaintenanceReturn, WeightedMean};

use super::schema::{MachineClassRecord, MeanRecord};
use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("handover-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    folder
}

/// A file that is malformed or of another version must not stop a successor: it counts as missing, and the next update
/// replaces it.
#[test]
fn successor_reads_what_was_left_and_replaces_a_broken_file() {
    let folder = folder("left");
    let (predecessor, left_state) = Handover::open(&folder, "n/0");
    assert!(left_state.is_none());
    predecessor
        .update(|state| {
            state.drained = true;
            state.in_maintenance = vec![u64::MAX];
        })
        .expect("the file can be written");
    let (successor, left_state) = Handover::open(&folder, "n/0");
    let left_state = left_state.expect("the state of the predecessor");
    assert_eq!((left_state.drained, left_state.in_maintenance), (true, vec![u64::MAX]));
    assert!(predecessor.read_if_replaced().is_some(), "the successor replaced the file");
    assert!(predecessor.read_if_replaced().is_none(), "each change is returned once");
    for broken in ["", "{", "{\"version\":99}", "[]"] {
        std::fs::write(successor.file.path(), broken).expect("the file can be written");
        assert!(successor.file.read().expect("the file can be read").is_none(), "{broken}");
        successor.update(|state| state.drained = true).expect("the file can be written");
        assert!(
            successor.file.read().expect("the file can be read").expect("the state is valid again").drained
        );
    }
    std::fs::remove_dir_all(folder).expect("the folder can be removed");
}

/// An update by this process creates a new revision of the file, which must not hide a change that the other process
/// wrote before it.
#[test]
fn change_by_the_other_process_is_seen_after_an_own_change_too() {
    let folder = folder("news");
    let (first, _) = Handover::open(&folder, "n0");
    let (second, _) = Handover::open(&folder, "n0");
    assert!(second.read_if_replaced().is_none(), "its own announcement is not a change");
    first.update(|state| state.drained = true).expect("the file can be written");
    second.update(|state| state.in_maintenance.push(1)).expect("the file can be written");
    assert!(second.read_if_replaced().expect("the drain is a change").drained);
    assert!(second.read_if_replaced().is_none(), "each change is returned once");
    std::fs::remove_dir_all(folder).expect("the folder can be removed");
}

/// A killed process leaves its entry in the file. The entry must no longer count as an overlapping or serving process.
#[test]
fn processes_that_have_ended_do_not_overlap() {
    let folder = folder("ended");
    let (handover, _) = Handover::open(&folder, "n0");
    let mut child = std::process::Command::new("sleep").arg("30").spawn().expect("the child process starts");
    let other_process = ProcessRecord { pid: child.id(), stage: Stage::Serving };
    handover.update(|state| state.processes.push(other_process)).expect("the file can be written");
    handover.check_processes();
    assert!(handover.has_overlap() && !handover.is_latest_serving());
    child.kill().expect("the child process runs");
    child.wait().expect("the child process ends");
    handover.check_processes();
    assert!(!handover.has_overlap());
    assert!(handover.set_serving());
    handover.update(|_| {}).expect("the file can be written");
    assert!(handover.is_latest_serving() && !handover.announce_stop());
    std::fs::remove_dir_all(folder).expect("the folder can be removed");
}

/// The handover file as version 0.2.0 writes it. Processes of other versions read and write the same schema, so it must
/// not change.
const RECORDED_FILE: &str = include_str!("tests/recorded.json");

fn mean(value: f64, weight: f64) -> MeanRecord {
    MeanRecord { value, weight }
}

/// The text of a handover file without its processes, whose pids differ from run to run.
fn without_processes(text: &str) -> String {
    let (start, rest) = text.split_once("\"processes\":[").expect("processes");
    let (_, end) = rest.split_once(']').expect("the end of processes");
    format!("{start}{end}")
}

/// A changed key, order or tuple would make processes of another version ignore or misread the file.
#[test]
fn recorded_file_is_read_and_written_back_unchanged() {
    let folder = folder("recorded");
    let file = folder.join("leadrelay-n0.json");
    std::fs::write(&file, RECORDED_FILE).expect("the file can be written");
    let (_, state) = Handover::open(&folder, "n0");
    let state = state.expect("the recorded state");
    assert!(state.drained);
    assert_eq!(state.in_maintenance, [7, u64::MAX]);
    assert_eq!(state.ever_listed, [7, 8, u64::MAX]);
    assert_eq!(state.endpoints.len(), 2);
    let first = serde_json::to_value(&state.endpoints[0]).expect("JSON");
    let expected = serde_json::json!({
        "host": "s-1", "dial": "127.0.0.1:9001", "site": "a", "class": "m1", "block": 3,
        "health": "up", "share": 1.5, "born_ms": 1_764_700_000_000.0_f64,
    });
    assert_eq!(first, expected);
    let learned = &state.learned;
    assert_eq!(learned.endpoints, [(7, mean(1.25, 10.0)).into(), (8, mean(0.75, 4.5)).into()]);
    assert_eq!(learned.classes["page"], mean(41.5, 100.0));
    assert_eq!(learned.machine_classes["m1"], (mean(0.5, 8.0), 3.25, 0.875).into());
    assert_eq!(learned.maintenance_returns, [(7, 1_764_700_001_000.0, 1_764_700_002_000.0).into()]);
    assert_eq!(learned.maintenance_return_ages, [(7, 2000.0, 1000.5).into()]);
    let written = std::fs::read_to_string(&file).expect("the file can be read");
    assert_eq!(without_processes(&written), without_processes(RECORDED_FILE));
    std::fs::remove_dir_all(folder).expect("the folder can be removed");
}

/// The context in which the recorded file is converted. `page` is the second of the balancer's classes.
fn context(machine_classes: &[String]) -> ConversionContext<'_> {
    ConversionContext {
        classes: vec![("buy", 0), ("page", 1)],
        machine_classes,
        now: 10_000.0,
        wall_clock_offset: 1_764_700_000_000.0,
    }
}

fn weighted(value: f64, weight: f64) -> WeightedMean {
    WeightedMean { value, weight }
}

/// Learned state must survive the conversion in both directions, although the file lists classes by name and times as
/// ages, where the balancer has indices and times of its clock.
#[test]
fn recorded_learned_state_is_converted_for_the_balancer_and_back() {
    let recorded: SharedState = serde_json::from_str(RECORDED_FILE).expect("the recorded state");
    let machine_classes = ["m1".to_owned()];
    let learned = recorded.learned.to_learned(&context(&machine_classes));
    assert_eq!(
        learned.endpoints,
        [(EndpointId(7), weighted(1.25, 10.0)), (EndpointId(8), weighted(0.75, 4.5))]
    );
    assert_eq!(learned.classes, [weighted(120.25, 3.0), weighted(41.5, 100.0)]);
    let m1 =
        MachineClassState { relative_latency: weighted(0.5, 8.0), baseline: 3.25, concurrency_factor: 0.875 };
    assert_eq!(learned.machine_classes.len(), 2);
    assert_eq!(learned.machine_classes[1], m1);
    let returned = MaintenanceReturn { endpoint: EndpointId(7), out_at: 8000.0, back_at: 8999.5 };
    assert_eq!(learned.maintenance_returns, [returned]);
    let record = LearnedRecord::from_learned(learned, &context(&machine_classes));
    assert_eq!(record.endpoints, recorded.learned.endpoints);
    assert_eq!(record.classes, recorded.learned.classes);
    assert_eq!(record.machine_classes, recorded.learned.machine_classes);
    assert_eq!(record.maintenance_return_ages, recorded.learned.maintenance_return_ages);
    assert_eq!(record.maintenance_returns, [(7, 1_764_700_008_000.0, 1_764_700_008_999.5).into()]);
}

/// An older version writes no ages, so the Unix times must be used in their place.
#[test]
fn maintenance_returns_of_an_older_version_are_read_in_unix_time() {
    let mut recorded: SharedState = serde_json::from_str(RECORDED_FILE).expect("the recorded state");
    recorded.learned.maintenance_return_ages.clear();
    let learned = recorded.learned.to_learned(&context(&[]));
    let returned = MaintenanceReturn { endpoint: EndpointId(7), out_at: 1000.0, back_at: 2000.0 };
    assert_eq!(learned.maintenance_returns, [returned]);
}

/// JSON has no infinity, so a machine class without a measured baseline must be left out of the file.
#[test]
fn unmeasured_baseline_is_not_written() {
    let unmeasured = MachineClassState {
        relative_latency: weighted(1.0, 0.0),
        baseline: f64::INFINITY,
        concurrency_factor: 1.0,
    };
    let learned = LearnedState {
        endpoints: Vec::new(),
        classes: Vec::new(),
        machine_classes: vec![unmeasured, MachineClassState { baseline: 2.0, ..unmeasured }],
        maintenance_returns: Vec::new(),
    };
    let record = LearnedRecord::from_learned(learned, &context(&["m1".to_owned()]));
    let measured =
        MachineClassRecord { relative_latency: mean(1.0, 0.0), baseline: 2.0, concurrency_factor: 1.0 };
    assert_eq!(record.machine_classes.into_iter().collect::<Vec<_>>(), [("m1".to_owned(), measured)]);
}
