//! Timing rules for discovery: when to cancel a call, when to make the next call, and how long the endpoint list may be
//! used.

use super::phase::Phase;
use super::subscription::Subscription;
use crate::actions::CancelReason;
use crate::ids::Millis;
use crate::schedule::TICK;
use crate::settings::{DiscoveryMode, Settings};

/// Longest time for establishing a connection. Connections are accepted without queueing for the service, so one that
/// takes longer will not be established at all.
const CONNECT_TIMEOUT: Millis = 1000.0;
/// Longest time from the start of a call to the list or update that it returns. A call receives nothing while it waits
/// in the queue of the service. With a shorter timeout, an overloaded service would spend its time on calls that have
/// already been cancelled, and would answer none of them in time.
const CALL_TIMEOUT: Millis = 3000.0;
/// Longest silence of a watch. Heartbeats arrive every 2 s, so a watch that is silent for longer is broken.
const SILENCE_TIMEOUT: Millis = 3000.0;
/// The endpoint list stops being valid this long before the latest permitted time of a send. Discovery writes a change
/// to one watch after another, so a heartbeat may arrive on one watch after a change has been sent on another.
/// The margin also covers the transit times of the heartbeat and of the request.
const STALE_MARGIN: Millis = 400.0;
/// Number of doublings after which the backoff no longer grows.
const MAX_DOUBLINGS: u32 = 16;
/// Longest backoff while connections are refused: such calls put no load on the service.
const MAX_BACKOFF_UNREACHABLE: Millis = 1000.0;

/// A call that may extend the validity of the list is scheduled this long before the validity ends: calls start on a
/// tick, and the result takes a moment to arrive.
const REVALIDATION_LEAD: Millis = 2.0 * TICK;
/// Longest time, from the start of a call that may extend the validity of a stale list, for which requests wait for its
/// result.
const REVALIDATION_TIMEOUT: Millis = 250.0;

/// Upper bounds of the random delay after a failed call: `base` after the first failure, doubled with each consecutive
/// failure, up to `max`.
struct Backoff {
    base: Millis,
    max: Millis,
}

/// Backoff where lists are requested from the service. Its maximum leaves room for three calls within the 6 s after
/// which a change counts as notified.
const BACKOFF_ON_REQUEST: Backoff = Backoff { base: 500.0, max: 2000.0 };
/// Backoff where an agent pushes the lists. It is shorter because the agent has no other callers and less time remains
/// before a change counts as notified.
const BACKOFF_PUSHED: Backoff = Backoff { base: 50.0, max: 500.0 };

/// The reason to cancel the open call, if one of its timeouts has expired.
pub(crate) fn cancel_reason(phase: Phase, now: Millis) -> Option<CancelReason> {
    let (deadline, reason) = match phase {
        Phase::Disconnected { .. } => return None,
        Phase::Connecting { since, .. } => (since + CONNECT_TIMEOUT, CancelReason::ConnectTimeout),
        Phase::Waiting { since, .. } => (since + CALL_TIMEOUT, CancelReason::AnswerTimeout),
        Phase::Synchronized { last_read_at, .. } => (last_read_at + SILENCE_TIMEOUT, CancelReason::Silent),
    };
    (now >= deadline).then_some(reason)
}

/// The time of the next call after a failed one: exponential backoff with full jitter, where `uniform` is a random
/// number in [0, 1). An overloaded service is called less often the longer the overload lasts, and never by all proxies
/// at once. The call is made earlier if the list would otherwise become stale.
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
    // Let the next call complete before the list becomes stale. Once there is no time left for that, earlier calls
    // would only add load to the service.
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

/// Whether another refused connection would extend the validity of the list: an agent that pushes lists receives no
/// changes while it is not running, so a refusal shows that the proxy has missed none until then.
pub(crate) fn refusal_extends_validity(subscription: &Subscription, settings: &Settings) -> bool {
    settings.discovery == DiscoveryMode::Pushed
        && settings.limits.drain_grace > STALE_MARGIN
        && subscription.is_unreachable()
}

/// Whether requests still wait for the result of the open call, which may extend the validity of a stale list.
pub(crate) fn is_revalidating(phase: Phase, now: Millis) -> bool {
    match phase {
        Phase::Connecting { since, .. } | Phase::Waiting { since, .. } => now < since + REVALIDATION_TIMEOUT,
        Phase::Disconnected { .. } | Phase::Synchronized { .. } => false,
    }
}

/// The time until which requests may be sent on the basis of the current list. Until then, no change that is missing
/// from the list has counted as notified for longer than the drain grace.
pub(crate) fn list_valid_until(subscription: &Subscription, settings: &Settings) -> Millis {
    let Some(bounds) = &settings.notification_bounds else { return Millis::INFINITY };
    let limits = &settings.limits;
    let notified_at = subscription.notified_at(settings.discovery, bounds, limits.notified_without_watch);
    notified_at + limits.drain_grace - STALE_MARGIN
}
