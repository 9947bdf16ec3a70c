//! Tracks the ids of open requests, to recognize requests that reuse one.

use std::cell::RefCell;
use std::rc::Rc;

use rustc_hash::FxHashSet;

/// The ids of open requests. A second open request with the same id could be mistaken for the first.
#[derive(Clone, Default)]
pub struct OpenRequestIds(Rc<RefCell<FxHashSet<Rc<str>>>>);

/// A reserved id. Dropping this, once the request and its attempts have ended, releases the id.
pub struct ReservedRequestId {
    ids: OpenRequestIds,
    id: Rc<str>,
}

impl OpenRequestIds {
    /// Reserves an id. Returns `None` if another open request has reserved it.
    pub fn reserve(&self, id: &str) -> Option<ReservedRequestId> {
        let id: Rc<str> = id.into();
        let is_new = self.0.borrow_mut().insert(id.clone());
        is_new.then(|| ReservedRequestId { ids: self.clone(), id })
    }
}

impl Drop for ReservedRequestId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
