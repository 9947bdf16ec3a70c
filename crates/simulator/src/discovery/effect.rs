//! The steps that the discovery model schedules, and the effects that it returns.

use leadrelay_core::{DiscoveryEvent, Endpoint, Millis};

use crate::index::{ConnectionIndex, ProxyIndex};

/// An operation that the service performs at a scheduled time.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Accepts a call that has reached the head of the queue.
    Accept(ConnectionIndex),
    /// Fails a call that has waited for the maximum time.
    Expire(ConnectionIndex),
    /// Writes a heartbeat to a watch if one is due.
    Heartbeat(ConnectionIndex),
    /// Writes changes to the watches.
    Push,
    /// Ends the watches at the former address.
    EndFormerAddress,
}

/// A consequence of an operation of the service, which the caller carries out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// The caller has to run a step of the service at a later time.
    Schedule {
        /// Time of the step.
        at: Millis,
        /// The step.
        step: Step,
    },
    /// A proxy reads an event from a connection at a later time, unless it has given the call up by then.
    Read {
        /// Time of the read.
        at: Millis,
        /// The connection that the proxy reads from.
        connection: ConnectionIndex,
        /// The event that the proxy reads.
        event: DiscoveryEvent,
    },
    /// The service has received a change of an endpoint.
    Updated(Endpoint),
    /// The service has written endpoint list entries to a watch.
    Written {
        /// The proxy that the watch belongs to.
        proxy: ProxyIndex,
        /// Whether the watch is at the address that the service had before its last move.
        former_address: bool,
        /// Whether the entries are the complete list rather than changes.
        complete: bool,
        /// The entries that were written.
        entries: Vec<Endpoint>,
    },
    /// A watch at the current address has ended.
    WatchEnded {
        /// The proxy that the watch belonged to.
        proxy: ProxyIndex,
    },
}
