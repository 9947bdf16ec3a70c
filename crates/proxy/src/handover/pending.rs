//! The queue of operators' changes that are not in the handover file yet. The caller of each change waits for a reply.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::schema::SharedState;

/// Longest time for which a change may wait to be written. After that, its reply is `false`. Callers wait only a little
/// longer than this.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// An operator's change to the shared state, with the time by which it has to be written.
struct PendingChange {
    apply: Box<dyn Fn(&mut SharedState)>,
    due_at: Instant,
    reply: oneshot::Sender<bool>,
}

/// Changes that wait to be written, in the order in which operators made them.
#[derive(Default)]
pub struct PendingChanges(Vec<PendingChange>);

impl PendingChanges {
    /// Adds a change. `reply` receives whether it was written.
    pub fn add(&mut self, apply: impl Fn(&mut SharedState) + 'static, reply: oneshot::Sender<bool>) {
        let due_at = Instant::now() + WRITE_TIMEOUT;
        self.0.push(PendingChange { apply: Box::new(apply), due_at, reply });
    }

    /// Whether no change waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Applies all changes to the state, in their order.
    pub fn apply(&self, state: &mut SharedState) {
        for change in &self.0 {
            (change.apply)(state);
        }
    }

    /// Splits the changes into those that have waited too long and those that may continue to wait.
    pub fn split_overdue(self) -> (Self, Self) {
        let now = Instant::now();
        let (overdue, waiting) = self.0.into_iter().partition(|change| change.due_at <= now);
        (PendingChanges(overdue), PendingChanges(waiting))
    }

    /// Replies to all callers whether their changes were written.
    pub fn reply(self, written: bool) {
        for change in self.0 {
            let _ = change.reply.send(written); // the caller may have disconnected
        }
    }
}
