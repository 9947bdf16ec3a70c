//! Limits on the source of the core: files stay short and narrow, and keep to what they may know.
use std::path::{Path, PathBuf};

/// Lines of a source file at most.
const MAX_LINES: usize = 300;
/// Characters of a line at most.
const MAX_COLUMNS: usize = 120;
/// Files and folders of the core that hold its interface and no decision.
const INTERFACE: [&str; 11] = [
    "actions.rs",
    "decision.rs",
    "endpoint.rs",
    "endpoint_status.rs",
    "events.rs",
    "ids.rs",
    "learned_state.rs",
    "lib.rs",
    "names.rs",
    "outcomes.rs",
    "settings",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All source files of the core, relative to its source folder, with their text.
fn sources() -> Vec<(String, String)> {
    let source = root().join("crates/core/src");
    let mut folders = vec![source.clone()];
    let mut sources = Vec::new();
    while let Some(folder) = folders.pop() {
        for path in std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()) {
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let name = path.strip_prefix(&source).unwrap().to_str().unwrap().to_owned();
            sources.push((name, std::fs::read_to_string(&path).unwrap()));
        }
    }
    assert!(sources.len() > 15, "{} files", sources.len());
    sources
}

/// The files that decide, as the deploy file names them.
fn policy() -> Vec<String> {
    let deploy: toml::Table =
        std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap().parse().unwrap();
    let names = deploy["policy"].as_array().expect("a list").iter();
    names.map(|name| name.as_str().expect("a path").to_owned()).collect()
}

#[test]
fn source_files_stay_short_and_narrow() {
    for (name, text) in sources() {
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{name}: {lines} lines");
        for (n, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(columns <= MAX_COLUMNS, "{name}, line {}: {columns} columns", n + 1);
        }
    }
}

#[test]
fn deploy_file_names_every_file_that_decides() {
    let mut deciding: Vec<String> = sources()
        .into_iter()
        .map(|(name, _)| name)
        .filter(|name| !INTERFACE.contains(&name.split('/').next().expect("a first part")))
        .map(|name| format!("crates/core/src/{name}"))
        .collect();
    deciding.sort();
    let mut named = policy();
    named.sort();
    assert_eq!(named, deciding);
}

#[test]
fn core_has_no_clock_thread_global_or_input() {
    for (name, text) in sources() {
        let declares = |line: &str| {
            let line = line.trim_start().trim_start_matches("pub(crate) ").trim_start_matches("pub ");
            line.starts_with("static ") || line.contains("thread_local!")
        };
        assert!(!text.lines().any(declares), "a static in {name}");
        for word in ["std::time", "std::thread", "std::io", "std::env", "std::net", "println!", "unsafe {"] {
            assert!(!text.contains(word), "{word} in {name}");
        }
    }
}
