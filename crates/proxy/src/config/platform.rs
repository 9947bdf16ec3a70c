//! The operators' configuration file: JSON whose `settings` object has the same format as in their simulator.

use std::net::SocketAddr;

use leadrelay_core::NotificationBounds;
use leadrelay_core::names::hash_name;
use leadrelay_core::settings::json as settings;
use serde::Deserialize;
use serde_json::Value;

use super::fault::Fault;
use super::{ClientProtocol, Config, EndpointSource, Logging, Origin, PeerAddresses, max_open_requests};

/// Limit on sockets if the file gives none.
const DEFAULT_SOCKETS: usize = 1024;
/// Lowest limit on sockets with which a proxy can work; a lower one in the file is raised to it.
const MIN_SOCKETS: usize = 64;
/// Memory limit if the file gives none, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 64.0;
/// Lowest memory limit in megabytes; a lower one in the file is raised to it.
const MIN_MEMORY_MB: f64 = 16.0;
/// Highest memory limit in megabytes; a higher one in the file is lowered to it.
const MAX_MEMORY_MB: f64 = 65_536.0;
const BYTES_PER_MB: f64 = 1e6;

/// The keys of the file; unknown keys are ignored.
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

/// A fault at the position of a JSON parser's error.
fn syntax_fault(error: &serde_json::Error) -> Fault {
    Fault { line: error.line(), column: error.column(), message: error.to_string() }
}

/// A fault without a position.
fn fault(message: String) -> Fault {
    Fault { line: 0, column: 0, message }
}

/// Parses the file for a reload of a process that runs with the content `running`. Unlike at a start, missing or
/// malformed settings are errors.
pub(super) fn reparse(text: &str, running: &Value) -> Result<Config, Vec<Fault>> {
    let raw = serde_json::from_str(text).map_err(|error| vec![syntax_fault(&error)])?;
    check_complete(running, &raw, "").map_err(|error| vec![fault(error.to_string())])?;
    check_settings(&raw)?;
    parse(text).map_err(|fault| vec![fault])
}

/// Reports all faults of the settings. A starting process tolerates some of them and uses defaults for missing
/// settings.
fn check_settings(raw: &Value) -> Result<(), Vec<Fault>> {
    let faults: Vec<Fault> =
        settings::validate(&raw["settings"]).iter().map(|error| fault(error.to_string())).collect();
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}

/// Parses a file and reports all its faults, including those that a starting process tolerates.
pub(super) fn check(text: &str) -> Result<Config, Vec<Fault>> {
    let raw: Value = serde_json::from_str(text).map_err(|error| vec![syntax_fault(&error)])?;
    match (parse(text), check_settings(&raw)) {
        (Ok(config), Ok(())) => Ok(config),
        (parsed, settings_check) => {
            let faults = parsed.err().into_iter();
            Err(faults.chain(settings_check.err().into_iter().flatten()).collect())
        }
    }
}

/// Keys that a reloaded file may omit even if the running one has them.
const OPTIONAL_KEYS: [&str; 5] = ["known", "aimStretch", "passesDeadline", "warmKeys", "admin_addr"];

/// A key of the running file that is missing in the new one, or has a value of another type there.
#[derive(Debug, thiserror::Error)]
#[error("'{path}' is missing or has another type than in the running configuration")]
struct IncompleteFile {
    /// The path of the key from the root of the file, separated by dots.
    path: String,
}

/// Checks that a new file has all keys of the running one, with values of the same types. Each object in a list must
/// have the keys that all objects of the running file's list have in common.
fn check_complete(running: &Value, new: &Value, path: &str) -> Result<(), IncompleteFile> {
    if running.is_null() {
        return Ok(());
    }
    if std::mem::discriminant(running) != std::mem::discriminant(new) {
        return Err(IncompleteFile { path: path.to_owned() });
    }
    for (key, value) in running.as_object().into_iter().flatten() {
        if OPTIONAL_KEYS.contains(&key.as_str()) {
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

/// The entries of the first item whose keys all items have; `None` if the list is empty or its first item is not an
/// object.
fn common_keys(items: &[Value]) -> Option<Value> {
    let (first, others) = items.split_first()?;
    let mut common = first.as_object()?.clone();
    common.retain(|key, _| others.iter().all(|other| !other[key].is_null()));
    Some(Value::Object(common))
}

/// Parses a file for a starting process, which uses defaults for missing settings.
pub(super) fn parse(text: &str) -> Result<Config, Fault> {
    let mut raw: Value = serde_json::from_str(text).map_err(|error| syntax_fault(&error))?;
    let file: File = serde_json::from_str(text).map_err(|error| syntax_fault(&error))?;
    if let Some(entries) = raw.as_object_mut() {
        entries.remove("known");
    }
    if !file.settings.is_object() {
        return Err(fault("'settings' is not an object".into()));
    }
    let (mut settings, names) = settings::parse(&file.settings);
    if settings.classes.is_empty() || names.classes.iter().any(String::is_empty) {
        return Err(fault("'settings' has no named classes".into()));
    }
    // With a wrong index this proxy would claim another proxy's share of the capacity.
    if settings.proxy_index >= settings.proxies {
        return Err(fault(format!(
            "'settings': proxy number {} of {} (numbers start at 0)",
            settings.proxy_index, settings.proxies
        )));
    }
    let peers = match (file.peer_listen, file.peers_all) {
        (Some(listen), Some(all)) if settings.gossip_enabled => {
            Some(PeerAddresses { listen, peers: file.peers, broadcast: Some(all) })
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
        source: EndpointSource::Discovery(file.discovery),
        seed: seed(&file.seed).ok_or_else(|| fault("'seed' is neither text nor a whole number".into()))?,
        max_sockets,
        max_memory: max_memory(&file.limits),
        peers,
        cached_list: file.cached_list,
        connections: settings::parse_connection_timeouts(&file.settings),
        settings,
        names,
        client_protocol: ClientProtocol::Platform,
        logging: Logging::default(),
        origin: Origin::Platform(raw),
    })
}

/// The memory limit of the process, in bytes.
fn max_memory(limits: &Limits) -> usize {
    let megabytes = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).clamp(MIN_MEMORY_MB, MAX_MEMORY_MB);
    (megabytes * BYTES_PER_MB) as usize
}

/// The seed that a file gives as a whole number or as hexadecimal text; other text is hashed. `None` for any other
/// value.
fn seed(value: &Value) -> Option<u64> {
    match value {
        Value::String(text) => Some(u64::from_str_radix(text, 16).unwrap_or_else(|_| hash_name(text))),
        other => other.as_u64(),
    }
}

#[cfg(test)]
mod tests;
