//! Changes by operators that are not in the handover file yet. Their callers wait for the reply.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::schema::SharedState;

/// A change that can't be written for this long is replied to with no: its caller waits little longer.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// A change of the shared state.
struct PendingChange {
    apply: Box<dyn Fn(&mut SharedState)>,
    due_at: Instant,
    reply: oneshot::Sender<bool>,
}

/// Changes in the order in which they were made.
#[derive(Default)]
pub struct PendingChanges(Vec<PendingChange>);

impl PendingChanges {
    /// Adds a change.
    pub fn add(&mut self, apply: impl Fn(&mut SharedState) + 'static, reply: oneshot::Sender<bool>) {
        let due_at = Instant::now() + WRITE_TIMEOUT;
        self.0.push(PendingChange { apply: Box::new(apply), due_at, reply });
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Applies all of them.
    pub fn apply(&self, state: &mut SharedState) {
        for change in &self.0 {
            (change.apply)(state);
        }
    }

    /// Splits them into those that have waited too long and those that may wait on.
    pub fn split_overdue(self) -> (Self, Self) {
        let now = Instant::now();
        let (overdue, waiting) = self.0.into_iter().partition(|change| change.due_at <= now);
        (PendingChanges(overdue), PendingChanges(waiting))
    }

    /// Tells all callers whether their change is written.
    pub fn reply(self, written: bool) {
        for change in self.0 {
            let _ = change.reply.send(written); // the caller may have disconnected
        }
    }
}
