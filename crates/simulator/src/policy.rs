//! The interface to the decision logic of a proxy, and the true state of the fleet that some baselines may use.

use leadrelay_core::{Action, Balancer, Event, Millis};

use crate::index::{BackendIndex, IndexedVec};

/// The true state of all backends. Only baselines that are documented to use it may do so.
#[derive(Clone, Debug, Default)]
pub struct TrueState {
    /// Number of requests at each backend, including queued ones.
    pub in_flight: IndexedVec<BackendIndex, f64>,
    /// Work that each backend does per millisecond; 0 if it can't serve.
    pub capacity: IndexedVec<BackendIndex, f64>,
}

impl TrueState {
    /// Adds a backend without requests and capacity.
    pub fn push_backend(&mut self) {
        self.in_flight.push(0.0);
        self.capacity.push(0.0);
    }
}

/// The true state of the fleet, as it is now and as of the last snapshot.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// The true state now.
    pub current: &'a TrueState,
    /// The true state as of the last snapshot.
    pub delayed: &'a TrueState,
}

/// The decision logic of one proxy.
pub trait Policy {
    /// Handles an event and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Millis, event: Event, fleet: FleetView<'_>, actions: &mut Vec<Action>);

    /// Whether the policy handles events on its calls to discovery as [`Event::Discovery`]; otherwise it receives only
    /// [`Event::List`].
    fn handles_discovery_events(&self) -> bool {
        false
    }

    /// Returns how many decisions of the policy have violated an invariant.
    fn violations(&self) -> u64 {
        0
    }

    /// Returns the time until which the policy believes that its endpoint list allows sends.
    fn list_valid_until(&self) -> Millis {
        f64::INFINITY
    }
}

impl Policy for Balancer {
    fn handle(&mut self, now: Millis, event: Event, _: FleetView<'_>, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn handles_discovery_events(&self) -> bool {
        true
    }

    fn violations(&self) -> u64 {
        Balancer::violations(self).total()
    }

    fn list_valid_until(&self) -> Millis {
        Balancer::list_valid_until(self)
    }
}
