//! What operators have said, laid over what the list says.
use crate::interface::*;
use rustc_hash::FxHashMap;

/// What operators have said of servers; it is laid over each line of the list.
#[derive(Default)]
pub(crate) struct Overlay {
    /// Those in maintenance, and since when.
    pub banned: FxHashMap<EndpointId, Millis>,
    /// Those back from it: since when they were in it, and when they came back.
    pub back: FxHashMap<EndpointId, (Millis, Millis)>,
    /// Another process shares this proxy's part.
    pub twin: bool,
    /// Clients are sent elsewhere.
    pub leaving: bool,
    /// Other proxies that do so, as told by them.
    pub left: u32,
}

impl Overlay {
    pub fn is_banned(&self, id: EndpointId) -> bool {
        self.banned.contains_key(&id)
    }

    /// When a server last started. What comes back from maintenance was most likely restarted there, and the
    /// list may tell so only later: until it does, the return counts as the start.
    pub fn since(&mut self, e: &Endpoint) -> Option<Millis> {
        match self.back.get(&e.id) {
            Some(&(away, back)) if e.started_at.is_none_or(|since| since < away) => Some(back),
            Some(_) => {
                self.back.remove(&e.id);
                e.started_at
            }
            None => e.started_at,
        }
    }
}
