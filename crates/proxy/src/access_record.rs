//! The access record of one request: what its access event in the log says.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use leadrelay_core::EndpointId;
use tokio::time::Instant;
use tracing::info;

use crate::cause::Cause;

/// What is known of one request; filled in as the request goes through the proxy.
pub struct AccessRecord {
    id: String,
    class: String,
    tenant: Option<String>,
    arrived_at: Instant,
    /// When the first attempt went out, and when the last one.
    first_sent: Cell<Option<Instant>>,
    last_sent: Cell<Option<Instant>>,
    attempts: Cell<u32>,
    backend: RefCell<Option<String>>,
}

impl AccessRecord {
    /// A request with these names, whose last byte arrived at `arrived_at`.
    pub fn new(id: &str, class: &str, tenant: Option<&str>, arrived_at: Instant) -> Self {
        let (first_sent, last_sent, attempts, backend) = Default::default();
        let (id, class, tenant) = (id.to_owned(), class.to_owned(), tenant.map(str::to_owned));
        AccessRecord { id, class, tenant, arrived_at, first_sent, last_sent, attempts, backend }
    }

    /// Notes that an attempt goes out; `name` is the backend's, or its number where it has none any more.
    pub fn sent(&self, backend: EndpointId, name: Option<&str>) {
        let now = Instant::now();
        self.first_sent.set(self.first_sent.get().or(Some(now)));
        self.last_sent.set(Some(now));
        self.attempts.set(self.attempts.get() + 1);
        *self.backend.borrow_mut() = Some(name.map_or_else(|| format!("{:016x}", backend.0), str::to_owned));
    }

    /// Writes the event. Times are in milliseconds: until the first attempt, since the last one, in all.
    pub fn log(&self, cause: Cause, total: Duration) {
        let ms = |span: Duration| (span.as_secs_f64() * 1e6).round() / 1e3;
        let since = |at: Instant| at.saturating_duration_since(self.arrived_at);
        let (waited, last) =
            (self.first_sent.get().map_or(total, since), self.last_sent.get().map(|at| at.elapsed()));
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
            total_ms = ms(total),
            "request"
        );
    }
}
