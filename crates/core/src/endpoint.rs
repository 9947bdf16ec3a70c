//! Entries of the endpoint list, as read from discovery or from a file.

use crate::ids::{CellId, EndpointId, MachineClassId, Millis, ZoneId};

/// The state that the list gives for an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    #[default]
    Up,
    /// The endpoint completes the requests that it has and must get no new ones.
    Draining,
    /// The endpoint is no longer on the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The identifier of the endpoint.
    pub id: EndpointId,
    /// The zone of the endpoint, if known.
    pub zone: Option<ZoneId>,
    /// The machine class of the endpoint, if known.
    pub machine_class: Option<MachineClassId>,
    /// The deduplication cell of the endpoint, if any.
    pub cell: Option<CellId>,
    /// The state of the endpoint.
    pub state: EndpointState,
    /// The weight of the endpoint; for its meaning see [`Settings::weight_meaning`](crate::Settings::weight_meaning).
    pub weight: f64,
    /// When the endpoint last started; `None` if that was long ago.
    pub started_at: Option<Millis>,
}

/// The scope of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The update contains only changed entries.
    Delta,
    /// The update is the complete list: endpoints missing from it have been removed.
    Full,
    /// The update is the complete list as cached before a restart; it may be stale.
    Cached,
    /// The call to discovery failed, and the current list remains in use.
    Failed,
}
