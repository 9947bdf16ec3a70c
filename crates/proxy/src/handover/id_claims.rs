//! Claims on the ids of requests, in a folder that the processes of a proxy share. While one process has a request open,
//! the other one can claim its id no more.

use std::fs::{self, OpenOptions};
use std::io::ErrorKind;
use std::path::PathBuf;

use leadrelay_core::names::hash_name;

/// The claims of all processes of a proxy: an empty file for each, whose name is the hash of the id.
pub struct IdClaims {
    folder: PathBuf,
}

/// A claim of this process. Dropping it releases the id.
pub struct IdClaim {
    file: PathBuf,
}

/// Another process has claimed the id.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("claimed by another process")]
pub struct ClaimedElsewhere;

impl IdClaims {
    /// The claims in this folder, which is created once the first process claims an id.
    pub fn new(folder: PathBuf) -> Self {
        IdClaims { folder }
    }

    /// Claims an id. Returns `None` if the claim can't be written: a folder that fails must not stop the service.
    pub fn claim(&self, id: &str) -> Result<Option<IdClaim>, ClaimedElsewhere> {
        let file = self.folder.join(format!("{:016x}", hash_name(id)));
        match OpenOptions::new().write(true).create_new(true).open(&file) {
            Ok(_) => Ok(Some(IdClaim { file })),
            Err(error) if error.kind() == ErrorKind::AlreadyExists => Err(ClaimedElsewhere),
            Err(_) => Ok(None),
        }
    }

    /// Creates the folder.
    pub fn open(&self) {
        let _ = fs::create_dir_all(&self.folder); // without it, no id can be claimed
    }

    /// Removes all claims, also those that a process has left which was killed.
    pub fn clear(&self) {
        let _ = fs::remove_dir_all(&self.folder); // fails if there is none
    }
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.file); // fails if all claims have been removed
    }
}
