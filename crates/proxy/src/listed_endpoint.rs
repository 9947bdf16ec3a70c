//! An entry of the endpoint list, in the form that discovery, the configuration and the handover file use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The state of an endpoint's process, as given by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// The endpoint takes requests.
    Up,
    /// The endpoint finishes its requests and takes no new ones.
    Draining,
    /// The endpoint has left the list. Occurs only in lists of changes.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The endpoint's name, which is the same at every proxy.
    #[serde(rename = "host")]
    pub name: String,
    /// The address at which the endpoint accepts connections. Required for endpoints that take requests.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// The endpoint's zone.
    #[serde(rename = "site")]
    pub zone: Option<String>,
    /// The endpoint's machine class.
    #[serde(rename = "class")]
    pub machine_class: Option<String>,
    /// The endpoint's cell: a small group of endpoints that deduplicate each other's requests by idempotency key.
    #[serde(rename = "block")]
    pub cell: Option<u64>,
    /// Whether the endpoint takes requests.
    pub health: Health,
    /// The endpoint's capacity relative to the other endpoints.
    #[serde(rename = "share")]
    pub weight: Option<f64>,
    /// Unix time of the process's last start, in milliseconds; 0 for long ago.
    #[serde(rename = "born_ms")]
    pub started_unix_ms: f64,
}

/// Why an entry is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The entry does not name an endpoint.
    #[error("'host' is missing")]
    NoName,
    /// The entry's health is missing, or none of the values that the protocol defines.
    #[error("backend {name}: unknown health {health}")]
    UnknownHealth {
        /// The name of the endpoint.
        name: String,
        /// The health in the entry, as JSON.
        health: String,
    },
    /// The endpoint takes requests but has no valid address.
    #[error("backend {name}: 'dial' is missing or not an address")]
    NoAddress {
        /// The name of the endpoint.
        name: String,
    },
}

impl ListedEndpoint {
    /// Reads an entry. Zone, machine class, cell, weight and start time are optional.
    ///
    /// # Errors
    /// If the entry lacks the endpoint's name, a known health, or the address of an endpoint that takes requests.
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
