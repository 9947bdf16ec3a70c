//! Tracks the ids of open requests, to recognize requests that reuse one, also at another process of this proxy.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::handover::{IdClaim, IdClaims};

/// The ids of open requests. A second open request with the same id could be mistaken for the first.
#[derive(Clone, Default)]
pub struct OpenRequestIds(Rc<Table>);

#[derive(Default)]
struct Table {
    ids: RefCell<FxHashMap<Rc<str>, OpenId>>,
    /// The claims that this process shares with another one; `None` if no two processes ever run at the same time.
    claims: Option<IdClaims>,
    /// Whether another process runs, so that ids have to be claimed.
    is_shared: Cell<bool>,
}

/// The id of an open request.
struct OpenId {
    /// Whether the request must not run twice.
    runs_once: bool,
    /// The claim that keeps another process from sending a request with this id.
    claim: Option<IdClaim>,
}

/// A reserved id. Dropping this, once the request and its attempts have ended, releases the id.
pub struct ReservedRequestId {
    ids: OpenRequestIds,
    id: Rc<str>,
}

impl OpenRequestIds {
    /// Creates an empty table that shares these claims with another process, whenever there is one.
    pub fn new(claims: Option<IdClaims>) -> Self {
        OpenRequestIds(Rc::new(Table { claims, ..Table::default() }))
    }

    /// Reserves an id. Returns `None` if another open request has reserved it: one of this process or, if the request must
    /// run once, also one of another process.
    pub fn reserve(&self, id: &str, runs_once: bool) -> Option<ReservedRequestId> {
        let mut ids = self.0.ids.borrow_mut();
        if ids.contains_key(id) {
            return None;
        }
        let claim = match self.shared_claims().filter(|_| runs_once) {
            Some(claims) => claims.claim(id).ok()?,
            None => None,
        };
        let id: Rc<str> = id.into();
        ids.insert(id.clone(), OpenId { runs_once, claim });
        Some(ReservedRequestId { ids: self.clone(), id })
    }

    /// Records whether another process of this proxy runs. When one begins, the ids that are open here are claimed; when it
    /// has ended, all claims are released.
    pub fn set_shared(&self, is_shared: bool) {
        let Some(claims) = &self.0.claims else { return };
        if self.0.is_shared.replace(is_shared) == is_shared {
            return;
        }
        let mut ids = self.0.ids.borrow_mut();
        if is_shared {
            claims.open();
            for (id, open) in ids.iter_mut().filter(|(_, open)| open.runs_once) {
                open.claim = claims.claim(id).unwrap_or(None); // the other process may have it open too by now
            }
        } else {
            ids.values_mut().for_each(|open| open.claim = None);
            claims.clear();
        }
    }

    fn shared_claims(&self) -> Option<&IdClaims> {
        self.0.claims.as_ref().filter(|_| self.0.is_shared.get())
    }
}

impl Drop for ReservedRequestId {
    fn drop(&mut self) {
        self.ids.0.ids.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
