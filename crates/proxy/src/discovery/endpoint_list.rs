//! Parses the JSON form of the endpoint list.

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::Value;
use tracing::warn;

use crate::listed_endpoint::{EntryError, ListedEndpoint};

/// The complete endpoint list, or the entries that have changed.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version of the list once this update is applied.
    pub version: u64,
    /// Whether this is the complete list: endpoints missing from it have been removed.
    pub complete: bool,
    /// The entries of the list.
    pub endpoints: Vec<ListedEndpoint>,
}

/// Why a list is rejected. None of its entries is used in that case, because an entry that can't be read may be a
/// removal.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The text is not the JSON object that the protocol requires.
    #[error("not a list: {0}")]
    Json(#[from] serde_json::Error),
    /// An entry is invalid.
    #[error("entry {number}: {error}")]
    Entry {
        /// The entry's position in the list, counted from 1.
        number: usize,
        /// Why the entry is invalid.
        error: EntryError,
    },
    /// Two entries for the same endpoint differ.
    #[error("backend {0} is listed twice, with different entries")]
    Duplicate(String),
}

/// The list as the protocol encodes it.
#[derive(Deserialize)]
struct RawList {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    complete: bool,
    #[serde(rename = "hosts")]
    entries: Vec<Value>,
}

impl EndpointList {
    /// Parses one object of the protocol.
    ///
    /// # Errors
    /// If any part of the object is invalid.
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        EndpointList::from_raw(serde_json::from_slice(text)?)
    }

    fn from_raw(raw: RawList) -> Result<Self, ListError> {
        let mut endpoints: Vec<ListedEndpoint> = Vec::with_capacity(raw.entries.len());
        let mut index_by_name: FxHashMap<String, usize> = FxHashMap::default();
        for (index, entry) in raw.entries.iter().enumerate() {
            let endpoint =
                ListedEndpoint::read(entry).map_err(|error| ListError::Entry { number: index + 1, error })?;
            match index_by_name.get(&endpoint.name) {
                Some(&previous) if endpoints[previous] == endpoint => {}
                Some(_) => return Err(ListError::Duplicate(endpoint.name)),
                None => {
                    index_by_name.insert(endpoint.name.clone(), endpoints.len());
                    endpoints.push(endpoint);
                }
            }
        }
        Ok(EndpointList { version: raw.version, complete: raw.complete, endpoints })
    }
}

/// Reads the cached list from the configuration; `None` if there is none or it is malformed. Invalid entries are
/// skipped rather than rejecting the list, because a cached list may be out of date anyway.
pub fn parse_cached_list(list: &Value) -> Option<Vec<ListedEndpoint>> {
    if list.is_null() {
        return None;
    }
    let raw = match RawList::deserialize(list) {
        Ok(raw) => raw,
        Err(error) => {
            warn!(%error, "cached endpoint list is malformed and ignored");
            return None;
        }
    };
    let mut endpoints = Vec::new();
    for entry in &raw.entries {
        match ListedEndpoint::read(entry) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(error) => warn!(%error, "invalid entry of the cached endpoint list ignored"),
        }
    }
    Some(endpoints)
}
