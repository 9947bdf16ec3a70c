//! What the model of discovery plans and what follows from what it does.

use leadrelay_core::{DiscoveryEvent, Endpoint, Millis};

use crate::index::{ConnectionIndex, ProxyIndex};

/// What the service does at a planned time.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A call's turn has come.
    Answer(ConnectionIndex),
    /// A call has waited for too long.
    Expire(ConnectionIndex),
    /// A watch may need a heartbeat.
    Heartbeat(ConnectionIndex),
    /// Changes are written to the watches.
    Push,
    /// The former address ends its watches.
    EndFormerAddress,
}

/// What follows from what the service does.
#[derive(Clone, Debug)]
pub enum Effect {
    /// The service is to be called again at a time.
    Schedule {
        /// When.
        at: Millis,
        /// With what.
        step: Step,
    },
    /// A proxy reads something from a connection then, if it has not given the call up by that time.
    Read {
        /// When.
        at: Millis,
        /// Where.
        connection: ConnectionIndex,
        /// What.
        event: DiscoveryEvent,
    },
    /// The service now has a change.
    Updated(Endpoint),
    /// The service has written lines to a proxy.
    Written {
        /// To which.
        proxy: ProxyIndex,
        /// Whether at the address that discovery has left.
        former_address: bool,
        /// Whether it is the complete list.
        complete: bool,
        /// Its entries.
        entries: Vec<Endpoint>,
    },
    /// A watch at the present address has ended.
    WatchEnded {
        /// Whose.
        proxy: ProxyIndex,
    },
}
