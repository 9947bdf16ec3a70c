//! The file that two processes share.

use std::path::PathBuf;

use leadrelay_core::{EndpointId, LearnedState, MachineClassState, MaintenanceReturn, WeightedMean};

use super::schema::{MachineClassRecord, MeanRecord};
use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("handover-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn successor_reads_what_was_left_and_replaces_a_broken_file() {
    let folder = folder("left");
    let (first, left) = Handover::open(&folder, "n/0");
    assert!(left.is_none());
    first
        .update(|state| {
            state.drained = true;
            state.in_maintenance = vec![u64::MAX];
        })
        .expect("a file");
    let (second, left) = Handover::open(&folder, "n/0");
    let left = left.expect("a state");
    assert_eq!((left.drained, left.in_maintenance), (true, vec![u64::MAX]));
    assert!(first.read_if_replaced().is_some(), "it was replaced");
    assert!(first.read_if_replaced().is_none(), "once");
    for broken in ["", "{", "{\"version\":99}", "[]"] {
        std::fs::write(second.file.path(), broken).expect("a file");
        assert!(second.file.read().expect("a file").is_none(), "{broken}");
        second.update(|state| state.drained = true).expect("a file");
        assert!(second.file.read().expect("a file").expect("mended").drained);
    }
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn change_by_the_other_process_is_seen_after_an_own_change_too() {
    let folder = folder("news");
    let (first, _) = Handover::open(&folder, "n0");
    let (second, _) = Handover::open(&folder, "n0");
    assert!(second.read_if_replaced().is_none(), "its own word");
    first.update(|state| state.drained = true).expect("a file");
    second.update(|state| state.in_maintenance.push(1)).expect("a file");
    assert!(second.read_if_replaced().expect("the drain").drained);
    assert!(second.read_if_replaced().is_none(), "once");
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn processes_that_have_ended_do_not_overlap() {
    let folder = folder("ended");
    let (own, _) = Handover::open(&folder, "n0");
    let mut child = std::process::Command::new("sleep").arg("30").spawn().expect("a process");
    let other = ProcessRecord { pid: child.id(), stage: Stage::Serving };
    own.update(|state| state.processes.push(other)).expect("a file");
    own.check_processes();
    assert!(own.has_overlap() && !own.is_owner());
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    own.check_processes();
    assert!(!own.has_overlap());
    assert!(own.set_serving());
    own.update(|_| {}).expect("a file");
    assert!(own.is_owner() && !own.announce_stop());
    std::fs::remove_dir_all(folder).expect("it is there");
}

/// The file as version 0.2.0 writes it. Processes of other versions read and write this form: it must not change.
const RECORDED_FILE: &str = include_str!("tests/recorded.json");

fn mean(value: f64, weight: f64) -> MeanRecord {
    MeanRecord { value, weight }
}

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
    let written = std::fs::read_to_string(&file).expect("a file");
    assert_eq!(without_processes(&written), without_processes(RECORDED_FILE));
    std::fs::remove_dir_all(folder).expect("it is there");
}

/// The context in which the recorded file is converted: `page` is the second class of the balancer.
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

#[test]
fn maintenance_returns_of_an_older_version_are_read_in_unix_time() {
    let mut recorded: SharedState = serde_json::from_str(RECORDED_FILE).expect("the recorded state");
    recorded.learned.maintenance_return_ages.clear();
    let learned = recorded.learned.to_learned(&context(&[]));
    let returned = MaintenanceReturn { endpoint: EndpointId(7), out_at: 1000.0, back_at: 2000.0 };
    assert_eq!(learned.maintenance_returns, [returned]);
}

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
