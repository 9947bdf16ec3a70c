//! What decides for a proxy, and what of the fleet's true state it may see.

use leadrelay_core::{Action, Balancer, Event, Millis};

use crate::index::{BackendIndex, IndexedVec};

/// The true state of all backends. Only baselines that are documented to see it use it.
#[derive(Clone, Debug, Default)]
pub struct TrueState {
    /// Requests at each backend, waiting ones included.
    pub in_flight: IndexedVec<BackendIndex, f64>,
    /// Work that each does in a millisecond; 0 if it can't serve.
    pub capacity: IndexedVec<BackendIndex, f64>,
}

impl TrueState {
    /// Adds a backend of which nothing is known.
    pub fn push_backend(&mut self) {
        self.in_flight.push(0.0);
        self.capacity.push(0.0);
    }
}

/// The true state at present and as it was a while ago.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// At present.
    pub current: &'a TrueState,
    /// A while ago.
    pub delayed: &'a TrueState,
}

/// The decisions of one proxy.
pub trait Policy {
    /// Takes an event and appends what is to be done.
    fn handle(&mut self, now: Millis, event: Event, fleet: FleetView<'_>, actions: &mut Vec<Action>);

    /// Whether it takes what its calls to discovery meet as [`Event::Discovery`]; others get [`Event::List`] alone.
    fn observes_calls(&self) -> bool {
        false
    }

    /// How many of its decisions violated an invariant.
    fn violations(&self) -> u64 {
        0
    }

    /// Until when it may send by the list that it has, as far as it knows.
    fn list_valid_until(&self) -> Millis {
        f64::INFINITY
    }
}

impl Policy for Balancer {
    fn handle(&mut self, now: Millis, event: Event, _: FleetView<'_>, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn observes_calls(&self) -> bool {
        true
    }

    fn violations(&self) -> u64 {
        Balancer::violations(self).total()
    }

    fn list_valid_until(&self) -> Millis {
        Balancer::list_valid_until(self)
    }
}
