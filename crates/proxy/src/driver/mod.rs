//! The event loop around the [`Balancer`]: passes every event to the balancer and carries out the resulting actions in
//! order.
//!
//! [`Driver`], its event loop and the dispatch of inputs, timers and actions are in this file; its other methods are in
//! the modules below.
//!
//! - `endpoint_updates` handles endpoint lists; `endpoints` holds the listed endpoints and their upstreams, and
//!   `start_times` their start times
//! - `operator_commands` handles commands to drain the proxy or to put an endpoint into maintenance
//! - `takeover` restores state from a predecessor process and saves state for a successor
//! - `open_requests`, `attempts` and `attempt_report` handle a request from its arrival to its final response
//! - `housekeeping` does periodic work; `periodic_stats` holds the statistics that it logs
//! - `clock` and `timers` provide the balancer's clock and the timer queue

mod attempt_report;
mod attempts;
mod clock;
mod endpoint_updates;
mod endpoints;
mod housekeeping;
mod open_requests;
mod operator_commands;
mod periodic_stats;
mod start_times;
mod takeover;
mod timers;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use leadrelay_core::names::Names;
use leadrelay_core::{Action, Balancer, Event, RequestId, UploadStage};
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tracing::error;

use crate::admin::CommandRequest;
use crate::classes::Classes;
use crate::discovery::{DiscoveryCalls, DiscoveryReceiver};
use crate::handover::Handover;
use crate::inbox::{Inbox, Input, ReloadedSettings};
use crate::metrics::Metrics;
use crate::peers::GossipSocket;
use crate::upstream::UpstreamPool;
use clock::Clock;
use endpoint_updates::{ListStatus, next_report};
use endpoints::Endpoints;
use housekeeping::Schedule;
use open_requests::OpenRequest;
use periodic_stats::PeriodicStats;
use timers::{Timer, TimerQueue};

/// The other parts of the proxy that the driver uses.
pub struct DriverParts {
    pub classes: Rc<RefCell<Classes>>,
    /// Receives operators' commands.
    pub commands: mpsc::UnboundedReceiver<CommandRequest>,
    pub inbox: Inbox,
    pub upstreams: Rc<UpstreamPool>,
    /// The socket for gossip with the other proxies, if there is one.
    pub peers: Option<Rc<GossipSocket>>,
    /// The calls to discovery and their reports; `None` if the endpoint list is fixed.
    pub discovery: Option<(DiscoveryCalls, DiscoveryReceiver)>,
    pub metrics: Arc<Metrics>,
    /// Whether an operator has drained the proxy.
    pub drained: Rc<Cell<bool>>,
    /// The handover file; `None` if no two processes of this proxy ever run at the same time.
    pub handover: Option<Rc<Handover>>,
}

/// Runs the balancer on the events that the other parts of the proxy report.
pub struct Driver {
    balancer: Balancer,
    names: Names,
    parts: DriverParts,
    clock: Clock,
    endpoints: Endpoints,
    open_requests: FxHashMap<RequestId, OpenRequest>,
    timers: TimerQueue,
    /// An empty buffer for the balancer's actions, kept to reuse its allocation.
    actions: Vec<Action>,
    stats: PeriodicStats,
    list_status: ListStatus,
    /// Whether another process of this proxy overlapped with this one when last checked.
    has_overlapping_process: bool,
    /// The instant by which every request must have its response; `None` unless the process is shutting down.
    shutdown_deadline: Option<Instant>,
}

impl Driver {
    /// Creates a driver without endpoints and requests.
    pub fn new(balancer: Balancer, names: Names, parts: DriverParts) -> Self {
        Driver {
            balancer,
            names,
            parts,
            clock: Clock::new(),
            endpoints: Endpoints::default(),
            open_requests: FxHashMap::default(),
            timers: TimerQueue::default(),
            actions: Vec::new(),
            stats: PeriodicStats::default(),
            list_status: ListStatus::new(),
            has_overlapping_process: false,
            shutdown_deadline: None,
        }
    }

    /// Handles inputs and timers for as long as the process runs.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut schedule = Schedule::new();
        loop {
            let housekeeping_at = schedule.next_due_at();
            let wake_at = self.timers.next_due_at().map_or(housekeeping_at, |at| at.min(housekeeping_at));
            tokio::select! {
                biased; // operators wait for a reply, so their commands take precedence over clients' requests
                Some(command) = self.parts.commands.recv() => self.handle_command(command),
                Some(report) = next_report(&mut self.parts.discovery) => self.handle_discovery(report),
                () = sleep_until(wake_at) => {}
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
            }
            let now = Instant::now();
            self.run_timers(now);
            self.housekeeping(&mut schedule, now);
        }
    }

    /// Runs the timers that are due, including those added in the meantime.
    fn run_timers(&mut self, now: Instant) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Balancer(token) => self.handle(Event::Timer(token)),
                Timer::ResponseDue(id) => self.respond_if_due(id, now),
                Timer::ShutdownDeadline => self.respond_to_all(),
            }
        }
    }

    /// Handles an input from another part of the proxy.
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Request(arrival) => self.accept(*arrival),
            Input::ClientDisconnected(id) => self.client_disconnected(id),
            Input::Reconfigure(settings) => self.reconfigure(*settings),
            Input::ShutdownDeadline(deadline) => {
                self.shutdown_deadline = Some(deadline);
                self.timers.add(deadline, Timer::ShutdownDeadline);
            }
            Input::ShutdownWithoutSuccessor => self.handle(Event::Draining(true)),
            Input::UploadStarted(id) => self.upload_started(id),
            Input::UploadStalled { request, stalled } => {
                let stage = if stalled { UploadStage::Stalled } else { UploadStage::Resumed };
                self.handle(Event::Upload { request, stage });
            }
            Input::UploadComplete(id) => self.upload_complete(id),
            Input::AttemptEnded(end) => self.attempt_ended(end),
            Input::EndpointList { scope, endpoints } => self.apply_list(scope, endpoints),
            Input::Gossip { from, bytes } => {
                self.stats.gossip_received += 1;
                self.handle(Event::Gossip { from, bytes });
            }
        }
    }

    fn reconfigure(&mut self, settings: ReloadedSettings) {
        self.parts.upstreams.reconfigure(&settings.connections);
        self.handle(Event::Reconfigure(Box::new(settings.balancer)));
    }

    /// Passes an event to the balancer and carries out its actions.
    fn handle(&mut self, event: Event) {
        let now = self.clock.to_millis(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        let violations_before = *self.balancer.violations();
        self.balancer.handle(now, event, &mut actions);
        let violations = self.balancer.violations();
        if *violations != violations_before {
            error!(?violations, "decision violates an invariant and was not carried out");
        }
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
        self.update_list_validity();
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout, start_by } => {
                self.start_attempt(request, endpoint, timeout, start_by);
            }
            Action::Reject { request, retry_after, reason } => self.reject(request, retry_after, reason),
            Action::Fail(request) => self.fail(request),
            Action::Timer { token, at } => self.timers.add(self.clock.to_instant(at), Timer::Balancer(token)),
            Action::Broadcast(bytes) => self.broadcast(&bytes),
            Action::Subscribe { call, after } => self.subscribe(call, after),
            Action::Unsubscribe { call, reason } => self.unsubscribe(call, reason),
        }
    }

    fn broadcast(&mut self, message: &[u8]) {
        if let Some(peers) = &self.parts.peers {
            self.stats.gossip_sent += 1;
            peers.broadcast(message);
        }
    }
}
