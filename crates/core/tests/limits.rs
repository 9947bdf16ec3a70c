//! Limits on the source of the core: the size of files, the policy files in the deploy file, and no access to clocks,
//! threads, globals or input.
use std::path::{Path, PathBuf};

/// Maximum number of lines of a source file.
const MAX_LINES: usize = 300;
/// Maximum number of characters of a line.
const MAX_COLUMNS: usize = 120;
/// Files and folders of the core that define its interface and make no decisions.
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

/// Returns the path of each source file of the core, relative to its source folder, and its text.
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

/// Returns the files that make decisions, as the deploy file lists them.
fn listed_policy_files() -> Vec<String> {
    let deploy: toml::Table =
        std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap().parse().unwrap();
    let names = deploy["policy"].as_array().expect("a list").iter();
    names.map(|name| name.as_str().expect("a path").to_owned()).collect()
}

#[test]
fn source_files_keep_to_maximum_lines_and_columns() {
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
fn deploy_file_lists_every_policy_file() {
    let mut policy_files: Vec<String> = sources()
        .into_iter()
        .map(|(name, _)| name)
        .filter(|name| !INTERFACE.contains(&name.split('/').next().expect("a first path component")))
        .map(|name| format!("crates/core/src/{name}"))
        .collect();
    policy_files.sort();
    let mut listed = listed_policy_files();
    listed.sort();
    assert_eq!(listed, policy_files);
}

#[test]
fn core_has_no_clock_thread_global_or_input() {
    for (name, text) in sources() {
        let declares = |line: &str| {
            let line = line.trim_start().trim_start_matches("pub(crate) ").trim_start_matches("pub ");
            line.starts_with("static ") || line.contains("thread_local!")
        };
        assert!(!text.lines().any(declares), "a global in {name}");
        for word in ["std::time", "std::thread", "std::io", "std::env", "std::net", "println!", "unsafe {"] {
            assert!(!text.contains(word), "{word} in {name}");
        }
    }
}
