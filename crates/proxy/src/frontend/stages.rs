//! Connections by stage and age, and which of them have to close.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::Frontend;
use super::client::{Client, Stage};
use crate::close_reason::ClientClose;

/// A connection between requests may be closed after 2 s, no sooner, and is when descriptors run short.
const MIN_IDLE_TIME: Duration = Duration::from_millis(2050);
/// It is closed in any case after this span: some clients ask once and keep their connection for good.
const MAX_IDLE_TIME: Duration = Duration::from_secs(15);
/// A new connection's first byte is waited for this long even when descriptors run short.
pub(super) const GRACE: Duration = Duration::from_millis(50);

/// Number of stages in which a connection may be evicted.
pub(super) const EVICTABLE_STAGES: usize = 4;
/// How long a connection must have been in its stage before it may be evicted.
const MIN_STAGE_AGE: [Duration; EVICTABLE_STAGES] = [GRACE, GRACE, MIN_IDLE_TIME, GRACE];

impl Frontend {
    /// Moves a connection to another stage.
    pub(super) fn set_stage(&self, client: &Rc<Client>, stage: Stage) {
        let mut by_stage = self.by_stage.borrow_mut();
        match by_stage.get_mut(client.stage.get() as usize) {
            Some(old) => drop(old.remove(&client.ticket.get())),
            None => self.in_flight.set(self.in_flight.get() - 1),
        }
        client.ticket.set(self.next_number());
        client.stage.set(stage);
        client.stage_since.set(Instant::now());
        match by_stage.get_mut(stage as usize) {
            Some(new) => drop(new.insert(client.ticket.get(), client.clone())),
            None => self.in_flight.set(self.in_flight.get() + 1),
        }
        if self.stopping.get() {
            self.changed.notify_waiters();
        }
    }

    /// Asks the first connection in the order of eviction to close, if any is old enough; each is asked once.
    ///
    /// With `spare_none`, new and lingering connections may be evicted at any age: those in the accept queue are at
    /// least as likely to send a request.
    pub(super) fn evict_one(&self, spare_none: bool) -> bool {
        let mut by_stage = self.by_stage.borrow_mut();
        for (stage, (connections, min_age)) in by_stage.iter_mut().zip(MIN_STAGE_AGE).enumerate() {
            let any_age = spare_none && stage <= Stage::New as usize;
            let min_age = if any_age { Duration::ZERO } else { min_age };
            let oldest = connections.first_entry();
            if let Some(oldest) = oldest.filter(|entry| entry.get().stage_since.get().elapsed() >= min_age) {
                oldest.remove().ask_to_close(ClientClose::Evicted);
                return true;
            }
        }
        false
    }

    /// Asks all connections of a stage to close.
    pub(super) fn close_all(&self, stage: Stage, reason: ClientClose) {
        self.by_stage.borrow()[stage as usize].values().for_each(|client| client.ask_to_close(reason));
    }

    /// Asks the connections whose time is up to close.
    pub(super) fn close_expired(&self) {
        self.metrics.connected(self.connections.get(), self.upstreams.in_use());
        let now = Instant::now();
        let by_stage = self.by_stage.borrow();
        let overdue = [Stage::New, Stage::ReadingHead]
            .iter()
            .flat_map(|stage| by_stage[*stage as usize].values())
            .filter(|client| client.request_due.get() <= now);
        let (max_idle_time, reason) = match self.draining() {
            true => (MIN_IDLE_TIME, ClientClose::Drained),
            false => (MAX_IDLE_TIME, ClientClose::Idle),
        };
        let idle = by_stage[Stage::Idle as usize]
            .values()
            .take_while(|client| now - client.stage_since.get() >= max_idle_time);
        overdue.for_each(|client| client.ask_to_close(ClientClose::RequestTimeout));
        idle.for_each(|client| client.ask_to_close(reason));
    }
}
