//! All connections of clients by stage and age, and which of them have to close.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::client::{Client, Stage};
use crate::close_reason::ClientClose;

/// A connection between requests may be closed after this time, no sooner: clients may reuse it for 2 s.
pub(super) const MIN_IDLE_TIME: Duration = Duration::from_millis(2050);
/// A connection is spared by an eviction until it has been in its stage for this long.
pub(super) const MIN_STAGE_AGE: Duration = Duration::from_millis(50);

/// The stages in which a connection may be evicted, those to evict first in front.
const EVICTION_ORDER: [Stage; 4] = [Stage::Lingering, Stage::New, Stage::Idle, Stage::ReadingHead];

/// The connections of one stage, in the order in which they entered it.
type StageConnections = BTreeMap<u64, Rc<Client>>;

/// All connections of clients, by stage.
#[derive(Default)]
pub(super) struct ConnectionTable {
    open: Cell<usize>,
    in_flight: Cell<usize>,
    /// Those that may be evicted, by stage.
    evictable: RefCell<[StageConnections; EVICTION_ORDER.len()]>,
}

/// Which connections an eviction spares.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum EvictionAge {
    /// Those that have entered their stage just now.
    SpareYoung,
    /// Idle ones and those that send a request, if they have entered their stage just now. New and lingering ones are
    /// evicted at any age: those in the accept queue are at least as likely to send a request.
    AnyWithoutRequest,
}

impl ConnectionTable {
    /// Adds a connection, which counts as in flight until it enters another stage.
    pub(super) fn add(&self) {
        self.open.set(self.open.get() + 1);
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Removes a connection that is in flight.
    pub(super) fn remove(&self) {
        self.in_flight.set(self.in_flight.get() - 1);
        self.open.set(self.open.get() - 1);
    }

    /// Open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Those with a request in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Whether any connection has a request in flight, or a part of one has arrived.
    pub(super) fn has_requests(&self) -> bool {
        self.in_flight.get() > 0 || !self.evictable.borrow()[Stage::ReadingHead as usize].is_empty()
    }

    /// Moves a connection to another stage; `order` is greater than all before.
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

    /// Asks the first connection in the order of eviction to close, if any is old enough; each is asked once.
    pub(super) fn evict_one(&self, age: EvictionAge) -> bool {
        let mut evictable = self.evictable.borrow_mut();
        for (connections, stage) in evictable.iter_mut().zip(EVICTION_ORDER) {
            let min_age = min_age(stage, age);
            let Some(oldest) = connections.first_entry() else { continue };
            if oldest.get().stage_since.get().elapsed() >= min_age {
                oldest.remove().request_close(ClientClose::Evicted);
                return true;
            }
        }
        false
    }

    /// Asks all connections of a stage to close.
    pub(super) fn close_all(&self, stage: Stage, reason: ClientClose) {
        for client in self.evictable.borrow()[stage as usize].values() {
            client.request_close(reason);
        }
    }

    /// Asks the connections to close whose request has not arrived in time.
    pub(super) fn close_overdue(&self, now: Instant) {
        let evictable = self.evictable.borrow();
        for stage in [Stage::New, Stage::ReadingHead] {
            let clients = evictable[stage as usize].values();
            for client in clients.filter(|client| client.request_deadline.get() <= now) {
                client.request_close(ClientClose::RequestTimeout);
            }
        }
    }

    /// Asks the connections to close that have been idle for this long.
    pub(super) fn close_idle(&self, now: Instant, max_idle_time: Duration, reason: ClientClose) {
        let evictable = self.evictable.borrow();
        let longest_idle_first = evictable[Stage::Idle as usize].values();
        for client in longest_idle_first.take_while(|client| now - client.stage_since.get() >= max_idle_time)
        {
            client.request_close(reason);
        }
    }
}

/// How long a connection must have been in its stage before it may be evicted.
fn min_age(stage: Stage, age: EvictionAge) -> Duration {
    match stage {
        Stage::Lingering | Stage::New if age == EvictionAge::AnyWithoutRequest => Duration::ZERO,
        Stage::Idle => MIN_IDLE_TIME,
        Stage::Lingering | Stage::New | Stage::ReadingHead | Stage::InFlight => MIN_STAGE_AGE,
    }
}
