//! The form of the endpoint list.

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::Value;
use tracing::warn;

use crate::listed_endpoint::{EntryError, ListedEndpoint};

/// The complete list, or what has changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version that it leads to.
    pub version: u64,
    /// Whether it is the complete list: what it lacks has been removed.
    pub complete: bool,
    /// Its entries.
    pub endpoints: Vec<ListedEndpoint>,
}

/// Why a list can't be used. No entry of it is used then: one that can't be read may be a removal.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is not the JSON object that the protocol describes.
    #[error("not a list: {0}")]
    Json(#[from] serde_json::Error),
    /// An entry can't be used.
    #[error("entry {number}: {error}")]
    Entry {
        /// Its place in the list, from 1.
        number: usize,
        /// What is wrong with it.
        error: EntryError,
    },
    /// Two entries name the same endpoint and differ.
    #[error("backend {0} is listed twice, with different entries")]
    Duplicate(String),
}

/// The list in the form of the protocol.
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
    /// If any part of it can't be used.
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
                Some(&first) if endpoints[first] == endpoint => {}
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

/// Reads the cached list of a configuration. As it may be out of date anyway, entries that can't be read are left out.
pub fn read_cached(list: &Value) -> Option<Vec<ListedEndpoint>> {
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
            Err(error) => warn!(%error, "entry of the cached endpoint list ignored"),
        }
    }
    Some(endpoints)
}
