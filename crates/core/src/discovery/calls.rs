//! When a call to discovery is given up, when the next one is made, and until when the list may be used.

use super::phase::Phase;
use super::subscription::Subscription;
use crate::actions::CancelReason;
use crate::ids::Millis;
use crate::schedule::TICK;
use crate::settings::{DiscoveryMode, Settings};

/// A connection that is not established by then never will be: that needs no turn.
const CONNECT_TIMEOUT: Millis = 1000.0;
/// Timeout of a whole call, up to its first line. A call that waits its turn is silent meanwhile: given up sooner, it
/// would be served for nothing, and an overbooked service would answer nobody in time.
const CALL_TIMEOUT: Millis = 3000.0;
/// A watch that is silent for longer than its heartbeats, one each 2 s, is broken.
const SILENCE_TIMEOUT: Millis = 3000.0;
/// Sends end by so much before the last moment. Discovery writes a change to one watch after another, so a heartbeat on
/// one does not say that it has no change that others have got; and the heartbeat and the request take their time.
const STALE_MARGIN: Millis = 400.0;
/// Calls that failed in a row beyond which the backoff no longer grows.
const MAX_DOUBLINGS: u32 = 16;
/// Longest backoff while nobody accepts the calls, which costs nobody anything.
const MAX_BACKOFF_UNREACHABLE: Millis = 1000.0;

/// A call that may extend the validity of the list is made this long before that ends: it starts with a tick, and its
/// result takes a moment.
const REVALIDATION_LEAD: Millis = 2.0 * TICK;
/// Requests are held for this long after the start of a call that may extend the validity of a stale list.
const REVALIDATION_TIMEOUT: Millis = 250.0;

/// Bounds of the wait after a failed call. The bound doubles with each call that fails in a row.
struct Backoff {
    base: Millis,
    max: Millis,
}

/// The longest one leaves room for three calls within the 6 s after which a change counts as notified.
const BACKOFF_ON_REQUEST: Backoff = Backoff { base: 500.0, max: 2000.0 };
/// Where lists are pushed by an agent that has no other callers, and with less time.
const BACKOFF_PUSHED: Backoff = Backoff { base: 50.0, max: 500.0 };

/// Why the open call is to be given up, if it is.
pub(crate) fn overdue(phase: Phase, now: Millis) -> Option<CancelReason> {
    let (deadline, reason) = match phase {
        Phase::Disconnected { .. } => return None,
        Phase::Connecting { since, .. } => (since + CONNECT_TIMEOUT, CancelReason::ConnectTimeout),
        Phase::Waiting { since, .. } => (since + CALL_TIMEOUT, CancelReason::AnswerTimeout),
        Phase::Synchronized { last_read_at, .. } => (last_read_at + SILENCE_TIMEOUT, CancelReason::Silent),
    };
    (now >= deadline).then_some(reason)
}

/// When the next call is made after a failed one: exponential backoff with full jitter, of which `uniform` in [0, 1) is
/// the random part. A service with more callers than it can answer is called less often the longer that lasts, and
/// never by all proxies at once. A list about to become stale is asked for sooner.
pub(crate) fn retry_at(
    now: Millis, subscription: &Subscription, settings: &Settings, uniform: f64,
) -> Millis {
    let backoff = match settings.discovery {
        DiscoveryMode::Pushed => BACKOFF_PUSHED,
        DiscoveryMode::OnRequest => BACKOFF_ON_REQUEST,
    };
    let unreachable = subscription.is_unreachable();
    let max = if unreachable { backoff.max.min(MAX_BACKOFF_UNREACHABLE) } else { backoff.max };
    let doublings = subscription.failures().saturating_sub(1).min(MAX_DOUBLINGS);
    let bound = (backoff.base * f64::from(1u32 << doublings)).min(max);
    // Once it is too late for a call in time, more calls would only keep the service busy.
    let time_left = list_valid_until(subscription, settings) - CALL_TIMEOUT - now;
    let bound = if time_left > backoff.base { bound.min(time_left) } else { bound };
    let retry_at = now + bound * uniform;
    let revalidate_at = list_valid_until(subscription, settings) - REVALIDATION_LEAD;
    if refusal_extends_validity(subscription, settings) && revalidate_at > now {
        retry_at.min(revalidate_at)
    } else {
        retry_at
    }
}

/// Whether one more refused call shows that the list is still valid: an agent that pushes lists learns nothing while it
/// does not run.
pub(crate) fn refusal_extends_validity(subscription: &Subscription, settings: &Settings) -> bool {
    settings.discovery == DiscoveryMode::Pushed
        && settings.limits.drain_grace > STALE_MARGIN
        && subscription.is_unreachable()
}

/// Whether the result of the open call may still come in time for the requests that wait for it.
pub(crate) fn is_revalidating(phase: Phase, now: Millis) -> bool {
    match phase {
        Phase::Connecting { since, .. } | Phase::Waiting { since, .. } => now < since + REVALIDATION_TIMEOUT,
        Phase::Disconnected { .. } | Phase::Synchronized { .. } => false,
    }
}

/// Until when requests may be sent by the list that is held: no change that it lacks can have counted as notified for
/// longer than the drain grace before that.
pub(crate) fn list_valid_until(subscription: &Subscription, settings: &Settings) -> Millis {
    let Some(bounds) = &settings.notification_bounds else { return Millis::INFINITY };
    let limits = &settings.limits;
    let notified_at = subscription.notified_at(settings.discovery, bounds, limits.notified_without_watch);
    notified_at + limits.drain_grace - STALE_MARGIN
}
