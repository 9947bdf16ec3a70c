//! Logging: writes events to standard error as text or JSON, at a limited rate and without blocking the proxy.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::io::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use leadrelay_proxy::config::{Format, Logging};
use tracing::callsite::Identifier;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::Layer;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

/// The maximum number of lines that are buffered until they are written; further lines are dropped.
const MAX_BUFFERED_LINES: usize = 1024;
/// The maximum number of events that one call site may log per [`WINDOW`]; further ones are dropped and counted. Events
/// below level `info` are not limited, because they are enabled to trace single requests.
const MAX_EVENTS_PER_WINDOW: u32 = 20;
/// The length of the window over which the events of a call site are limited.
const WINDOW: Duration = Duration::from_secs(1);

/// Initializes logging for the process. Dropping the returned guard flushes the buffered lines.
///
/// # Errors
/// If the filter is malformed, or if logging has been initialized before.
pub fn start(logging: &Logging) -> anyhow::Result<WorkerGuard> {
    let targets: Targets = logging
        .filter
        .parse()
        .with_context(|| format!("'{}' is not a valid filter for log events", logging.filter))?;
    let builder =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LINES).thread_name("log");
    let (writer, guard) = builder.finish(std::io::stderr());
    let json = logging.format == Format::Json;
    let limiter = CallSiteLimiter::new(json, writer.clone());
    let layer = tracing_subscriber::fmt::layer().with_writer(writer);
    let layer = if json { layer.json().flatten_event(true).boxed() } else { layer.boxed() };
    let layer = LimitedLayer { limiter, inner: layer }.with_filter(targets);
    tracing_subscriber::registry().with(layer).try_init().context("cannot initialize logging")?;
    Ok(guard)
}

/// The number of events of one call site in its current window, dropped ones included.
struct CallSiteWindow {
    started_at: Instant,
    events: u32,
}

/// The limiter's decision on an event.
#[derive(Debug, PartialEq)]
struct Admission {
    is_admitted: bool,
    /// The number of events of the call site that were dropped in the preceding window if this event starts a new one,
    /// otherwise 0.
    dropped_before: u32,
}

/// Limits the rate of log events separately for each call site.
struct CallSiteLimiter {
    windows: Mutex<HashMap<Identifier, CallSiteWindow>>,
    json: bool,
    writer: Arc<Mutex<NonBlocking>>,
}

impl CallSiteLimiter {
    fn new(json: bool, writer: NonBlocking) -> Self {
        CallSiteLimiter { windows: Mutex::default(), json, writer: Arc::new(Mutex::new(writer)) }
    }

    /// Counts an event and decides whether it is logged.
    fn admit(&self, site: Identifier, now: Instant) -> Admission {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(site).or_insert(CallSiteWindow { started_at: now, events: 0 });
        let mut dropped_before = 0;
        if now.duration_since(window.started_at) >= WINDOW {
            dropped_before = window.events.saturating_sub(MAX_EVENTS_PER_WINDOW);
            *window = CallSiteWindow { started_at: now, events: 0 };
        }
        window.events += 1;
        Admission { is_admitted: window.events <= MAX_EVENTS_PER_WINDOW, dropped_before }
    }

    /// Logs how many events of a call site were dropped. Writes the line directly, without the subscriber, because an
    /// event would itself be subject to the limit.
    fn log_dropped(&self, site: &Metadata, dropped: u32) {
        let file = site.file().unwrap_or("?");
        let line = site.line().unwrap_or(0);
        let text = if self.json {
            format!(
                "{{\"level\":\"WARN\",\"message\":\"events dropped\",\"left_out\":{dropped},\"place\":\"{file}:{line}\"}}\n"
            )
        } else {
            format!("WARN leadrelay::log: events dropped left_out={dropped} place=\"{file}:{line}\"\n")
        };
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writer.write_all(text.as_bytes()); // the line is dropped if the buffer is full
    }
}

/// A layer that forwards to its inner layer the events that its limiter admits. It forwards no spans, because the proxy
/// creates none.
struct LimitedLayer<L> {
    limiter: CallSiteLimiter,
    inner: L,
}

impl<S: Subscriber, L: Layer<S>> Layer<S> for LimitedLayer<L> {
    fn on_event(&self, event: &Event, context: Context<S>) {
        let site = event.metadata();
        if *site.level() > Level::INFO {
            return self.inner.on_event(event, context);
        }
        let admission = self.limiter.admit(site.callsite(), Instant::now());
        if admission.dropped_before > 0 {
            self.limiter.log_dropped(site, admission.dropped_before);
        }
        if admission.is_admitted {
            self.inner.on_event(event, context);
        }
    }
}
