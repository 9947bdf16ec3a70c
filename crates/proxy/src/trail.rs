//! What becomes of one request, for its access event.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use leadrelay_core::BackendId;
use tokio::time::Instant;
use tracing::info;

use crate::cause::Cause;

/// Filled in by the parts that a request passes.
pub struct Trail {
    id: String,
    class: String,
    tenant: Option<String>,
    came: Instant,
    /// When the first attempt went out, and when the last one.
    first: Cell<Option<Instant>>,
    last: Cell<Option<Instant>>,
    attempts: Cell<u32>,
    backend: RefCell<Option<String>>,
}

impl Trail {
    /// A request with these names, whose last byte came at `came`.
    pub fn new(id: &str, class: &str, tenant: Option<&str>, came: Instant) -> Self {
        let (first, last, attempts, backend) = Default::default();
        let (id, class, tenant) = (id.to_owned(), class.to_owned(), tenant.map(str::to_owned));
        Trail { id, class, tenant, came, first, last, attempts, backend }
    }

    /// Notes that an attempt goes out; `name` is the backend's, or its number where it has none any more.
    pub fn sent(&self, backend: BackendId, name: Option<&str>) {
        let now = Instant::now();
        self.first.set(self.first.get().or(Some(now)));
        self.last.set(Some(now));
        self.attempts.set(self.attempts.get() + 1);
        *self.backend.borrow_mut() = Some(name.map_or_else(|| format!("{:016x}", backend.0), str::to_owned));
    }

    /// Writes the event. Times are in milliseconds: until the first attempt, since the last one, in all.
    pub fn tell(&self, cause: Cause, took: Duration) {
        let ms = |span: Duration| (span.as_secs_f64() * 1e6).round() / 1e3;
        let since = |at: Instant| at.saturating_duration_since(self.came);
        let (waited, last) = (self.first.get().map_or(took, since), self.last.get().map(|at| at.elapsed()));
        info!(
            target: "leadrelay::access",
            request = self.id,
            class = self.class,
            tenant = self.tenant,
            cause = cause.name(),
            backend = self.backend.borrow().as_deref(),
            attempts = self.attempts.get(),
            waited_ms = ms(waited),
            backend_ms = last.map(ms),
            total_ms = ms(took),
            "request"
        );
    }
}
