//! Table of all client connections by stage and age, from which connections are selected to be closed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::client::{Client, Stage};
use crate::close_reason::ClientCloseReason;

/// Minimum time for which an idle connection stays open: clients may reuse a connection for 2 s.
pub(super) const MIN_IDLE_TIME: Duration = Duration::from_millis(2050);
/// Time that a connection must have been in its stage before it may be evicted. Idle connections have to reach
/// [`MIN_IDLE_TIME`] instead.
pub(super) const MIN_STAGE_AGE: Duration = Duration::from_millis(50);

/// The stages in which a connection may be evicted, in the order of eviction.
const EVICTION_ORDER: [Stage; 4] = [Stage::Lingering, Stage::New, Stage::Idle, Stage::ReadingHead];

/// The stages of [`EVICTION_ORDER`] in which a connection has buffers.
const STAGES_WITH_BUFFERS: [Stage; 2] = [Stage::Idle, Stage::ReadingHead];

/// The connections of one stage by [`Client::stage_order`], so in the order in which they entered it.
type StageConnections = BTreeMap<u64, Rc<Client>>;

/// All client connections by stage.
#[derive(Default)]
pub(super) struct ConnectionTable {
    /// Number of connections in the stage [`Stage::InFlight`].
    in_flight: Cell<usize>,
    /// The connections in the other stages, all of which may be evicted. `Stage as usize` is the index.
    evictable: RefCell<[StageConnections; EVICTION_ORDER.len()]>,
}

/// Selects the connections that an eviction spares.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum EvictionPolicy {
    /// Spares every connection that has entered its stage recently.
    SpareRecent,
    /// Spares only idle connections, and connections that are sending a request, if they have entered their stage
    /// recently. New and lingering connections are evicted at any age, because the connections in the accept queue are
    /// at least as likely to send a request.
    SpareRecentIdleOrReading,
}

impl ConnectionTable {
    /// Adds a connection, which counts as in flight until it enters another stage.
    pub(super) fn add(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Removes a connection that is in flight.
    pub(super) fn remove(&self) {
        self.in_flight.set(self.in_flight.get() - 1);
    }

    /// The number of connections with a request in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Whether any connection has a request in flight or has received a part of a request head.
    pub(super) fn has_requests(&self) -> bool {
        self.in_flight.get() > 0 || !self.evictable.borrow()[Stage::ReadingHead as usize].is_empty()
    }

    /// Moves a connection to another stage. `order` has to be greater than in all earlier calls.
    pub(super) fn set_stage(&self, client: &Rc<Client>, stage: Stage, order: u64) {
        let mut evictable = self.evictable.borrow_mut();
        match evictable.get_mut(client.stage.get() as usize) {
            Some(old) => drop(old.remove(&client.stage_order.get())),
            None => self.in_flight.set(self.in_flight.get() - 1),
        }
        client.enter_stage(stage, order);
        match evictable.get_mut(stage as usize) {
            Some(new) => drop(new.insert(order, client.clone())),
            None => self.in_flight.set(self.in_flight.get() + 1),
        }
    }

    /// Evicts one connection that has buffers, if there is one with the required age. Returns whether there was one.
    pub(super) fn evict_one_with_buffers(&self) -> bool {
        self.evict_from(&STAGES_WITH_BUFFERS, EvictionPolicy::SpareRecent)
    }

    /// Evicts one connection: requests the close of the oldest connection in the first evictable stage whose oldest
    /// connection has the required age, and removes it from the table so that it is not selected twice. Returns whether
    /// there was one.
    pub(super) fn evict_one(&self, policy: EvictionPolicy) -> bool {
        self.evict_from(&EVICTION_ORDER, policy)
    }

    /// Evicts one connection in these stages, which are tried in their order.
    fn evict_from(&self, stages: &[Stage], policy: EvictionPolicy) -> bool {
        let mut evictable = self.evictable.borrow_mut();
        for stage in stages {
            let min_age = min_age(*stage, policy);
            let Some(oldest) = evictable[*stage as usize].first_entry() else { continue };
            if oldest.get().stage_since.get().elapsed() >= min_age {
                oldest.remove().request_close(ClientCloseReason::Evicted);
                return true;
            }
        }
        false
    }

    /// Requests the close of all connections in a stage.
    pub(super) fn close_all(&self, stage: Stage, reason: ClientCloseReason) {
        for client in self.evictable.borrow()[stage as usize].values() {
            client.request_close(reason);
        }
    }

    /// Requests the close of all connections whose request head has not arrived completely by the request's deadline.
    pub(super) fn close_overdue(&self, now: Instant) {
        let evictable = self.evictable.borrow();
        for stage in [Stage::New, Stage::ReadingHead] {
            let clients = evictable[stage as usize].values();
            for client in clients.filter(|client| client.request_deadline.get() <= now) {
                client.request_close(ClientCloseReason::RequestTimeout);
            }
        }
    }

    /// Requests the close of all connections that have been idle for at least `max_idle_time`.
    pub(super) fn close_idle(&self, now: Instant, max_idle_time: Duration, reason: ClientCloseReason) {
        let evictable = self.evictable.borrow();
        let longest_idle_first = evictable[Stage::Idle as usize].values();
        for client in longest_idle_first.take_while(|client| now - client.stage_since.get() >= max_idle_time)
        {
            client.request_close(reason);
        }
    }
}

/// The time that a connection must have been in a stage before it may be evicted.
fn min_age(stage: Stage, policy: EvictionPolicy) -> Duration {
    match stage {
        Stage::Lingering | Stage::New if policy == EvictionPolicy::SpareRecentIdleOrReading => Duration::ZERO,
        Stage::Idle => MIN_IDLE_TIME,
        Stage::Lingering | Stage::New | Stage::ReadingHead | Stage::InFlight => MIN_STAGE_AGE,
    }
}
