//! The operators' configuration: JSON, with the settings of their simulator.

use std::net::SocketAddr;

use leadrelay_core::NotificationBounds;
use leadrelay_core::names::hash_name;
use leadrelay_core::settings::json as settings;
use serde::Deserialize;
use serde_json::Value;

use super::fault::Fault;
use super::{Config, Dialect, Logging, Origin, PeerAddresses, Source, max_open_requests};

/// The file as it stands; unknown keys are passed over.
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
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// A fault, at the place that a JSON parser tells if it has one.
fn fault(e: &serde_json::Error) -> Fault {
    Fault { line: e.line(), column: e.column(), message: e.to_string() }
}

fn plain(message: String) -> Fault {
    Fault { line: 0, column: 0, message }
}

/// Reads the file for a process that runs by `running`: nothing may be missing or out of place.
pub(super) fn reparse(text: &str, running: &Value) -> Result<Config, Vec<Fault>> {
    let raw = serde_json::from_str(text).map_err(|e| vec![fault(&e)])?;
    complete(running, &raw, "").map_err(|e| vec![plain(e.to_string())])?;
    strict(&raw)?;
    parse(text).map_err(|e| vec![e])
}

/// What is wrong with the settings of a file. A process that starts bears more than this: it fills in what is missing.
fn strict(raw: &Value) -> Result<(), Vec<Fault>> {
    let faults: Vec<Fault> = settings::faults(&raw["settings"]).into_iter().map(plain).collect();
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}

/// All that is wrong with a file that nobody runs by yet.
pub(super) fn check(text: &str) -> Result<Config, Vec<Fault>> {
    let raw: Value = serde_json::from_str(text).map_err(|e| vec![fault(&e)])?;
    match (parse(text), strict(&raw)) {
        (Ok(config), Ok(())) => Ok(config),
        (parsed, strict) => Err(parsed.err().into_iter().chain(strict.err().into_iter().flatten()).collect()),
    }
}

/// Keys that may come and go.
const OPTIONAL: [&str; 5] = ["known", "aimStretch", "passesDeadline", "warmKeys", "admin_addr"];

/// A key of the running file that a new one lacks, or has with a value of another kind.
#[derive(Debug, thiserror::Error)]
#[error("'{path}' is missing or of another kind")]
struct IncompleteFile {
    /// The key, with those above it, separated by dots.
    path: String,
}

/// Whether a file has all keys that another one has, with values of the same kinds; its classes, those that all
/// classes of the other one have.
fn complete(old: &Value, new: &Value, path: &str) -> Result<(), IncompleteFile> {
    if old.is_null() {
        return Ok(());
    }
    if old.is_number() != new.is_number()
        || old.is_string() != new.is_string()
        || old.is_object() != new.is_object()
        || old.is_array() != new.is_array()
        || old.is_boolean() != new.is_boolean()
    {
        return Err(IncompleteFile { path: path.to_owned() });
    }
    for (key, old) in
        old.as_object().into_iter().flatten().filter(|(key, _)| !OPTIONAL.contains(&key.as_str()))
    {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        complete(old, &new[key], &path)?;
    }
    if let (Some(old), Some(new)) = (old.as_array(), new.as_array())
        && let Some((first, others)) = old.split_first()
        && let Some(first) = first.as_object()
    {
        let mut common = first.clone();
        common.retain(|key, _| others.iter().all(|other| !other[key].is_null()));
        let common = Value::Object(common);
        new.iter().try_for_each(|new| complete(&common, new, path))?;
    }
    Ok(())
}

/// Reads the file; a fault names what is wrong with it.
pub(super) fn parse(text: &str) -> Result<Config, Fault> {
    let mut raw: Value = serde_json::from_str(text).map_err(|e| fault(&e))?;
    let file: File = serde_json::from_str(text).map_err(|e| fault(&e))?;
    if let Some(all) = raw.as_object_mut() {
        all.remove("known");
    }
    if !file.settings.is_object() {
        return Err(plain("'settings' is no object".into()));
    }
    let (mut settings, names) = settings::parse(&file.settings);
    if settings.classes.is_empty() || names.classes.iter().any(String::is_empty) {
        return Err(plain("'settings' has no named classes".into()));
    }
    // A wrong number would make this proxy claim another's part of the servers.
    if settings.proxy_index >= settings.proxies {
        return Err(plain(format!(
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
    let sockets = file.limits.sockets.unwrap_or(1024).max(64);
    settings.limits.max_open_requests = max_open_requests(sockets);
    settings.notification_bounds = Some(NotificationBounds::default());
    Ok(Config {
        name: file.name,
        listen: file.listen,
        admin: file.admin_addr,
        source: Source::Discovery(file.discovery),
        seed: seed(&file.seed).ok_or_else(|| plain("'seed' is neither text nor a whole number".into()))?,
        max_sockets: sockets,
        max_memory: (file.limits.memory_mb.unwrap_or(64.0).clamp(16.0, 65_536.0) * 1e6) as usize,
        peers,
        cached_list: file.known,
        connections: settings::connections(&file.settings),
        settings,
        names,
        dialect: Dialect::Platform,
        logging: Logging::default(),
        origin: Origin::Platform(raw),
    })
}

/// Hexadecimal as a rule; other text still gives the same number each time.
fn seed(value: &Value) -> Option<u64> {
    match value {
        Value::String(text) => Some(u64::from_str_radix(text, 16).unwrap_or_else(|_| hash_name(text))),
        other => other.as_u64(),
    }
}

#[cfg(test)]
mod tests;
