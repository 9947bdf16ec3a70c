//! An entry of the endpoint list, as discovery, the configuration and the handover file write it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The state of an endpoint's process, by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// It takes requests.
    Up,
    /// It finishes its requests and takes no new ones.
    Draining,
    /// It has left. Only in changes of a list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Its name, the same at every proxy.
    #[serde(rename = "host")]
    pub name: String,
    /// Where it is reached; an endpoint that takes requests has an address.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: Option<String>,
    /// Its machine class.
    #[serde(rename = "class")]
    pub machine_class: Option<String>,
    /// Its cell.
    #[serde(rename = "block")]
    pub cell: Option<u64>,
    /// Whether it takes requests.
    pub health: Health,
    /// Its capacity relative to the others.
    #[serde(rename = "share")]
    pub weight: Option<f64>,
    /// Unix time of its last start in milliseconds; 0 for long ago.
    #[serde(rename = "born_ms")]
    pub started_unix_ms: f64,
}

/// Why an entry can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// It names no endpoint.
    #[error("no 'host'")]
    NoName,
    /// Its health is none of those that the protocol knows.
    #[error("backend {name}: unknown health {health}")]
    UnknownHealth {
        /// The endpoint.
        name: String,
        /// What the entry says.
        health: String,
    },
    /// It takes requests, but has no address.
    #[error("backend {name}: no address in 'dial'")]
    NoAddress {
        /// The endpoint.
        name: String,
    },
}

impl ListedEndpoint {
    /// Reads an entry. Zone, machine class, cell, weight and start time may be missing.
    ///
    /// # Errors
    /// If it does not say which endpoint it is, whether it takes requests, or where.
    pub fn read(entry: &Value) -> Result<Self, EntryError> {
        let text = |key: &str| entry[key].as_str().map(str::to_owned);
        let name = text("host").filter(|name| !name.is_empty()).ok_or(EntryError::NoName)?;
        let health = match entry["health"].as_str() {
            Some("up") => Health::Up,
            Some("draining") => Health::Draining,
            Some("removed") => Health::Removed,
            _ => return Err(EntryError::UnknownHealth { name, health: entry["health"].to_string() }),
        };
        let address = entry["dial"].as_str().and_then(|address| address.parse().ok());
        if address.is_none() && health == Health::Up {
            return Err(EntryError::NoAddress { name });
        }
        Ok(ListedEndpoint {
            name,
            address,
            zone: text("site"),
            machine_class: text("class"),
            cell: entry["block"].as_u64(),
            health,
            weight: entry["share"].as_f64(),
            started_unix_ms: entry["born_ms"].as_f64().unwrap_or(0.0),
        })
    }
}
