//! Events to standard error, as text or JSON: never so many that they flood, never in the proxy's way.

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

/// Lines that wait for whoever reads them; more are left out.
const LINES: usize = 1024;
/// Events that one place in the code may write in a window; more are left out, counted and told. Those of the levels
/// below `info` are asked for by whoever follows single requests, and all of them are written.
const BURST: u32 = 20;
const WINDOW: Duration = Duration::from_secs(1);

/// Writes what the filter lets through until the guard is dropped, which waits a moment for the last lines.
///
/// # Errors
/// If the filter can't be read, or if there is a log already.
pub fn start(logging: &Logging) -> anyhow::Result<WorkerGuard> {
    let targets: Targets =
        logging.filter.parse().with_context(|| format!("'{}' is no filter for the log", logging.filter))?;
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES).thread_name("log");
    let (writer, guard) = builder.finish(std::io::stderr());
    let json = logging.format == Format::Json;
    let limit = PerSite::new(json, writer.clone());
    let layer = tracing_subscriber::fmt::layer().with_writer(writer);
    let layer = if json { layer.json().flatten_event(true).boxed() } else { layer.boxed() };
    let layer = Limited { limit, inner: layer }.with_filter(targets);
    tracing_subscriber::registry().with(layer).try_init().context("the log")?;
    Ok(guard)
}

/// What one place in the code has written in its window.
struct Site {
    since: Instant,
    events: u32,
}

/// Lets a burst through at each call site and counts the rest.
struct PerSite {
    sites: Mutex<HashMap<Identifier, Site>>,
    json: bool,
    writer: Arc<Mutex<NonBlocking>>,
}

impl PerSite {
    fn new(json: bool, writer: NonBlocking) -> Self {
        PerSite { sites: Mutex::default(), json, writer: Arc::new(Mutex::new(writer)) }
    }

    /// Counts an event; whether it goes through, and how many were left out of the window before.
    fn count(&self, site: Identifier, now: Instant) -> (bool, u32) {
        let mut sites = self.sites.lock().unwrap_or_else(PoisonError::into_inner);
        let site = sites.entry(site).or_insert(Site { since: now, events: 0 });
        let mut left_out = 0;
        if now.duration_since(site.since) >= WINDOW {
            left_out = site.events.saturating_sub(BURST);
            (site.since, site.events) = (now, 0);
        }
        site.events += 1;
        (site.events <= BURST, left_out)
    }

    /// Tells how many events of a place were left out. The events of the log can't: they would count themselves.
    fn tell(&self, place: &Metadata, left_out: u32) {
        let (file, line) = (place.file().unwrap_or("?"), place.line().unwrap_or(0));
        let text = if self.json {
            format!(
                "{{\"level\":\"WARN\",\"message\":\"events left out\",\"left_out\":{left_out},\"place\":\"{file}:{line}\"}}\n"
            )
        } else {
            format!("WARN leadrelay::log: events left out left_out={left_out} place=\"{file}:{line}\"\n")
        };
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writer.write_all(text.as_bytes()); // what the queue has no room for is lost
    }
}

/// A layer that gets what its limit lets through. It passes on events alone: the proxy has no spans.
struct Limited<L> {
    limit: PerSite,
    inner: L,
}

impl<S: Subscriber, L: Layer<S>> Layer<S> for Limited<L> {
    fn on_event(&self, event: &Event, context: Context<S>) {
        let place = event.metadata();
        if *place.level() > Level::INFO {
            return self.inner.on_event(event, context);
        }
        let (passes, left_out) = self.limit.count(place.callsite(), Instant::now());
        if left_out > 0 {
            self.limit.tell(place, left_out);
        }
        if passes {
            self.inner.on_event(event, context);
        }
    }
}

#[cfg(test)]
mod tests;
