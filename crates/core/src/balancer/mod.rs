//! The balancer of one proxy: it dispatches events to components that each own a part of the state, and returns the
//! resulting actions.

mod answers;
mod arrivals;
mod attempts;
mod discovery;
mod dispatch;
mod endpoint_updates;
mod gauges;
mod housekeeping;
mod operators;
mod peers;
mod selection;
mod send_guard;
mod takeover;

pub use gauges::Gauges;

use crate::actions::{Action, RejectionReason};
use crate::decision::ThresholdDecisionCounts;
use crate::discovery::{Subscription, list_valid_until};
use crate::endpoints::{EndpointTable, SpeedTiers};
use crate::estimators::{ArrivalRate, ClientTimeouts, LatencyModel, RequestCosts};
use crate::events::Event;
use crate::gossip::{GossipState, UnheardLoad};
use crate::ids::{Millis, RequestId};
use crate::invariant::Violations;
use crate::limits::{CapacitySharing, ConcurrencyLimiter, RetryBudget, TenantQuotas};
use crate::operator_overrides::OperatorOverrides;
use crate::outlier_detector::OutlierDetector;
use crate::requests::{AbandonedAttempts, Priorities, RequestQueues, RequestTable};
use crate::schedule::{Schedule, TICK};
use crate::settings::{Idempotency, RequestClass, Settings};
use arrivals::NewRequest;
use attempts::AttemptEnd;

/// Token of the periodic timer. The token of a request's own timer is the request id plus one.
const PERIODIC_TIMER: u64 = 0;

/// Makes the decisions of one proxy. Pass each event to [`Balancer::handle`] and carry out the actions that it appends.
pub struct Balancer {
    settings: Settings,
    /// Whether the requests of at least one class on offer are always idempotent.
    has_idempotent_class: bool,
    rng: fastrand::Rng,
    schedule: Schedule,
    endpoints: EndpointTable,
    tiers: SpeedTiers,
    requests: RequestTable,
    queues: RequestQueues,
    abandoned: AbandonedAttempts,
    latency: LatencyModel,
    arrivals: ArrivalRate,
    request_costs: RequestCosts,
    client_timeouts: ClientTimeouts,
    quotas: TenantQuotas,
    retry_budget: RetryBudget,
    outliers: OutlierDetector,
    concurrency: ConcurrencyLimiter,
    gossip: GossipState,
    unheard_load: UnheardLoad,
    subscription: Subscription,
    overrides: OperatorOverrides,
    decisions: ThresholdDecisionCounts,
    violations: Violations,
}

impl Balancer {
    /// Creates a balancer without endpoints and without learned state. All its random choices derive from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let classes = settings.classes.len();
        Balancer {
            has_idempotent_class: settings.classes.iter().any(is_idempotent),
            rng: fastrand::Rng::with_seed(seed),
            schedule: Schedule::default(),
            endpoints: EndpointTable::default(),
            tiers: SpeedTiers::new(),
            requests: RequestTable::default(),
            queues: RequestQueues::new(classes),
            abandoned: AbandonedAttempts::default(),
            latency: LatencyModel::new(&settings),
            arrivals: ArrivalRate::default(),
            request_costs: RequestCosts::new(classes),
            client_timeouts: ClientTimeouts::default(),
            quotas: TenantQuotas::new(settings.tenants.len()),
            retry_budget: RetryBudget::new(),
            outliers: OutlierDetector::new(classes),
            concurrency: ConcurrencyLimiter::new(),
            gossip: GossipState::new(settings.proxies),
            unheard_load: UnheardLoad::default(),
            subscription: Subscription::new(),
            overrides: OperatorOverrides::default(),
            decisions: ThresholdDecisionCounts::default(),
            violations: Violations::default(),
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `out`, in the order in which they have to be carried out.
    /// `now` must never decrease from one call to the next.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if !self.schedule.is_started() {
            self.start(now, out);
        }
        match event {
            Event::Discovery(event) => self.handle_discovery(now, event, out),
            Event::List { scope, entries } => self.handle_list(now, scope, entries),
            Event::StartTimes(starts) => self.correct_start_times(now, &starts),
            Event::Request { id, class, tenant, key, timeout, announcement, expected_cost } => {
                let request = NewRequest { id, class, tenant, key, timeout, announcement, expected_cost };
                self.handle_arrival(now, request, out);
            }
            Event::Started { request, .. } => self.handle_response_start(request),
            Event::Ended { request, attempt, latency, outcome, finished } => {
                let end = AttemptEnd { request, attempt: attempt as usize, latency, outcome, finished };
                self.handle_attempt_end(now, end, out);
            }
            Event::Upload { request, stage } => self.handle_upload(now, request, stage),
            Event::Reconfigure(reconfiguration) => self.reconfigure(*reconfiguration),
            Event::Draining(draining) => self.overrides.draining = draining,
            Event::OverlappingProcess(overlapping) => self.overrides.overlapping_process = overlapping,
            Event::Maintenance { endpoint, enabled } => self.handle_maintenance(now, endpoint, enabled),
            Event::ClientClosed(request) => self.finish(request),
            Event::Timer(PERIODIC_TIMER) => self.tick(now, out),
            Event::Timer(token) => {
                self.reject_or_fail(RequestId(token - 1), RejectionReason::TooLate, out);
            }
            Event::Gossip { from, bytes } => {
                // Gossip does not trigger a dispatch: waiting requests are examined at the next event of another kind.
                return self.handle_gossip(now, from as usize, &bytes);
            }
        }
        self.dispatch(now, out);
        self.shed_load(out);
    }

    /// Initializes the times of all components at the first event, and sets the first periodic timer.
    fn start(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.schedule.advance();
        self.arrivals.start(now);
        self.gossip.start(now);
        self.subscription.start(now);
        let first_tick = now + self.rng.f64() * TICK;
        out.push(Action::Timer { token: PERIODIC_TIMER, at: first_tick });
    }

    /// The time from which requests may no longer be sent by the current endpoint list.
    pub fn list_valid_until(&self) -> Millis {
        list_valid_until(&self.subscription, &self.settings)
    }

    /// How often a send would have broken each invariant. None of these sends was carried out.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// The number of endpoint records, vacant ones included.
    pub fn endpoint_table_len(&self) -> usize {
        self.endpoints.len()
    }

    fn priorities(&self) -> Priorities<'_> {
        Priorities { settings: &self.settings, latency: &self.latency }
    }

    fn sharing(&self) -> CapacitySharing<'_> {
        CapacitySharing {
            settings: &self.settings,
            endpoints: &self.endpoints,
            latency: &self.latency,
            arrivals: &self.arrivals,
            queues: &self.queues,
            gossip: &self.gossip,
            overrides: &self.overrides,
        }
    }

    fn shares_all_endpoints(&self) -> bool {
        self.concurrency.shares_all_endpoints(&self.settings, &self.endpoints, &self.latency)
    }
}

fn is_idempotent(class: &RequestClass) -> bool {
    class.idempotency == Idempotency::Always
}
