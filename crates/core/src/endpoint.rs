//! Entries of the endpoint list, as discovery or a file gives them.

use crate::ids::{CellId, EndpointId, MachineClassId, Millis, ZoneId};

/// The state of an endpoint on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    #[default]
    Up,
    /// Finishes what it has.
    Draining,
    /// Has left the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Which endpoint.
    pub id: EndpointId,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its class of machines.
    pub machine_class: Option<MachineClassId>,
    /// Its cell.
    pub cell: Option<CellId>,
    /// Its state.
    pub state: EndpointState,
    /// Its weight, see [`Settings::weight_meaning`](crate::Settings::weight_meaning).
    pub weight: f64,
    /// When it last started; `None` if long ago.
    pub started_at: Option<Millis>,
}

/// How far a list update reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Delta,
    /// The complete list: what it lacks has been removed.
    Full,
    /// The complete list as last seen before a restart, perhaps stale.
    Cached,
    /// The call failed; the list that is held stands.
    Failed,
}
