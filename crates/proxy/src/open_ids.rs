//! The ids of open requests.

use std::cell::RefCell;
use std::rc::Rc;

use rustc_hash::FxHashSet;

/// The ids of open requests. A second request with one of them could be taken for the first.
#[derive(Clone, Default)]
pub struct OpenIds(Rc<RefCell<FxHashSet<Rc<str>>>>);

/// Reserves an id until the request and its attempts have ended.
pub struct OpenId {
    ids: OpenIds,
    id: Rc<str>,
}

impl OpenIds {
    /// Reserves an id; `None` if a request with it is open.
    pub fn reserve(&self, id: &str) -> Option<OpenId> {
        let id: Rc<str> = id.into();
        let is_new = self.0.borrow_mut().insert(id.clone());
        is_new.then(|| OpenId { ids: self.clone(), id })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
