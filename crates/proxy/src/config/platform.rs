//! The operators' configuration file: JSON, with the settings of their simulator.

use std::net::SocketAddr;

use leadrelay_core::NotificationBounds;
use leadrelay_core::names::hash_name;
use leadrelay_core::settings::json as settings;
use serde::Deserialize;
use serde_json::Value;

use super::fault::Fault;
use super::{Config, Dialect, Logging, Origin, PeerAddresses, Source, max_open_requests};

/// Sockets where the file gives no limit.
const DEFAULT_SOCKETS: usize = 1024;
/// The least sockets that a proxy works with.
const MIN_SOCKETS: usize = 64;
/// Memory where the file gives no limit.
const DEFAULT_MEMORY_MB: f64 = 64.0;
const MIN_MEMORY_MB: f64 = 16.0;
const MAX_MEMORY_MB: f64 = 65_536.0;
const BYTES_PER_MB: f64 = 1e6;

/// The form of the file; unknown keys are ignored.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    admin_addr: Option<SocketAddr>,
    discovery: SocketAddr,
    seed: Value,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    #[serde(default, rename = "known")]
    cached_list: Value,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// A fault at the place of a JSON parser's error.
fn syntax_fault(error: &serde_json::Error) -> Fault {
    Fault { line: error.line(), column: error.column(), message: error.to_string() }
}

/// A fault without a place.
fn fault(message: String) -> Fault {
    Fault { line: 0, column: 0, message }
}

/// Reads the file for a process that runs by the file `running`: nothing may be missing or malformed.
pub(super) fn reparse(text: &str, running: &Value) -> Result<Config, Vec<Fault>> {
    let raw = serde_json::from_str(text).map_err(|error| vec![syntax_fault(&error)])?;
    check_complete(running, &raw, "").map_err(|error| vec![fault(error.to_string())])?;
    check_settings(&raw)?;
    parse(text).map_err(|fault| vec![fault])
}

/// Reports all faults of the settings. A process that starts tolerates more: it uses defaults for what is missing.
fn check_settings(raw: &Value) -> Result<(), Vec<Fault>> {
    let faults: Vec<Fault> =
        settings::validate(&raw["settings"]).iter().map(|error| fault(error.to_string())).collect();
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}

/// Reports all faults of a file, those included that a process tolerates at its start.
pub(super) fn check(text: &str) -> Result<Config, Vec<Fault>> {
    let raw: Value = serde_json::from_str(text).map_err(|error| vec![syntax_fault(&error)])?;
    match (parse(text), check_settings(&raw)) {
        (Ok(config), Ok(())) => Ok(config),
        (parsed, checked) => {
            let faults = parsed.err().into_iter();
            Err(faults.chain(checked.err().into_iter().flatten()).collect())
        }
    }
}

/// Keys that a reloaded file may lack.
const OPTIONAL: [&str; 5] = ["known", "aimStretch", "passesDeadline", "warmKeys", "admin_addr"];

/// A key of the running file that a new one lacks, or has with a value of another type.
#[derive(Debug, thiserror::Error)]
#[error("'{path}' is missing or of another kind")]
struct IncompleteFile {
    /// The key, with those above it, separated by dots.
    path: String,
}

/// Checks that a file has all keys of the running one, with values of the same types. Each item of a list must have the
/// keys that all items of the running file's list have.
fn check_complete(running: &Value, new: &Value, path: &str) -> Result<(), IncompleteFile> {
    if running.is_null() {
        return Ok(());
    }
    if std::mem::discriminant(running) != std::mem::discriminant(new) {
        return Err(IncompleteFile { path: path.to_owned() });
    }
    for (key, value) in running.as_object().into_iter().flatten() {
        if OPTIONAL.contains(&key.as_str()) {
            continue;
        }
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        check_complete(value, &new[key], &path)?;
    }
    if let (Some(running), Some(new)) = (running.as_array(), new.as_array())
        && let Some(common) = common_keys(running)
    {
        new.iter().try_for_each(|item| check_complete(&common, item, path))?;
    }
    Ok(())
}

/// The entries of the first item whose keys all items have; `None` if the items are no objects.
fn common_keys(items: &[Value]) -> Option<Value> {
    let (first, others) = items.split_first()?;
    let mut common = first.as_object()?.clone();
    common.retain(|key, _| others.iter().all(|other| !other[key].is_null()));
    Some(Value::Object(common))
}

/// Parses a file for a process that starts; settings that are missing have defaults.
pub(super) fn parse(text: &str) -> Result<Config, Fault> {
    let mut raw: Value = serde_json::from_str(text).map_err(|error| syntax_fault(&error))?;
    let file: File = serde_json::from_str(text).map_err(|error| syntax_fault(&error))?;
    if let Some(entries) = raw.as_object_mut() {
        entries.remove("known");
    }
    if !file.settings.is_object() {
        return Err(fault("'settings' is no object".into()));
    }
    let (mut settings, names) = settings::parse(&file.settings);
    if settings.classes.is_empty() || names.classes.iter().any(String::is_empty) {
        return Err(fault("'settings' has no named classes".into()));
    }
    // With a wrong index this proxy would claim another one's part of the capacity.
    if settings.proxy_index >= settings.proxies {
        return Err(fault(format!(
            "'settings': proxy number {} of {}",
            settings.proxy_index, settings.proxies
        )));
    }
    let peers = match (file.peer_listen, file.peers_all) {
        (Some(listen), Some(all)) if settings.gossip_enabled => {
            Some(PeerAddresses { listen, peers: file.peers, all: Some(all) })
        }
        _ => None,
    };
    let max_sockets = file.limits.sockets.unwrap_or(DEFAULT_SOCKETS).max(MIN_SOCKETS);
    settings.limits.max_open_requests = max_open_requests(max_sockets);
    settings.notification_bounds = Some(NotificationBounds::default());
    Ok(Config {
        name: file.name,
        listen: file.listen,
        admin: file.admin_addr,
        source: Source::Discovery(file.discovery),
        seed: seed(&file.seed).ok_or_else(|| fault("'seed' is neither text nor a whole number".into()))?,
        max_sockets,
        max_memory: max_memory(&file.limits),
        peers,
        cached_list: file.cached_list,
        connections: settings::parse_connection_timeouts(&file.settings),
        settings,
        names,
        dialect: Dialect::Platform,
        logging: Logging::default(),
        origin: Origin::Platform(raw),
    })
}

fn max_memory(limits: &Limits) -> usize {
    let megabytes = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).clamp(MIN_MEMORY_MB, MAX_MEMORY_MB);
    (megabytes * BYTES_PER_MB) as usize
}

/// The seed of a number or a hexadecimal text; other text is hashed.
fn seed(value: &Value) -> Option<u64> {
    match value {
        Value::String(text) => Some(u64::from_str_radix(text, 16).unwrap_or_else(|_| hash_name(text))),
        other => other.as_u64(),
    }
}

#[cfg(test)]
mod tests;
