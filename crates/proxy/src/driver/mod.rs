//! The sole owner of the decision module [`Balancer`]: passes it every event and carries out its actions in order.
//!
//! [`Driver`] has its state here, with the event loop and the dispatch of events and actions; the modules below hold
//! its methods by subject.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::sync::Arc;

use leadrelay_core::names::Names;
use leadrelay_core::{Action, Balancer, Event, RequestId};
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tracing::{error, info, warn};

use crate::admin::Command;
use crate::classes::Classes;
use crate::discovery::{Calls, NewsReceiver};
use crate::handover::Handover;
use crate::inbox::{Inbox, Input};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::tally::Tally;
use crate::upstream::UpstreamPool;

mod backends;
mod clock;
mod discovery_news;
mod handover;
mod housekeeping;
mod live;
mod operators;
mod report;

use backends::Backends;
use clock::Clock;
use discovery_news::next_news;
use housekeeping::Schedule;
use live::LiveRequest;

/// What happens at a point in time. Of those due at the same instant the first in this order comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The balancer asked for it, under this token.
    Balancer(u64),
    /// The request is answered now unless it has been.
    LastResort(RequestId),
    /// The process ends: every request is answered now.
    ShutdownDeadline,
}

/// What the driver needs of the other parts.
pub struct Parts {
    pub classes: Rc<RefCell<Classes>>,
    /// What operators ask for.
    pub commands: mpsc::UnboundedReceiver<Command>,
    pub inbox: Inbox,
    pub upstreams: Rc<UpstreamPool>,
    pub peers: Option<Rc<Peers>>,
    /// The calls to discovery and what is seen of them; `None` where the list of backends is fixed.
    pub discovery: Option<(Calls, NewsReceiver)>,
    pub metrics: Arc<Metrics>,
    /// Whether the operators have taken the proxy out of service.
    pub drained: Rc<Cell<bool>>,
    /// Where another process of this proxy may run beside this one.
    pub handover: Option<Rc<Handover>>,
}

/// Runs the balancer on what the other parts report.
pub struct Driver {
    balancer: Balancer,
    names: Names,
    parts: Parts,
    clock: Clock,
    backends: Backends,
    live: FxHashMap<RequestId, LiveRequest>,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    /// An empty buffer, reused from event to event.
    actions: Vec<Action>,
    tally: Tally,
    /// Whether there is a remembered list to serve from: one that names a backend in use.
    has_remembered_list: bool,
    /// Whether the balancer knows of another process.
    twin: bool,
    /// When the last line of discovery was read.
    last_news: Instant,
    /// Whether the list may be used.
    list_is_valid: bool,
    /// By when every request has its answer, once the process ends.
    shutdown_deadline: Option<Instant>,
}

impl Driver {
    pub fn new(balancer: Balancer, names: Names, parts: Parts) -> Self {
        Driver {
            balancer,
            names,
            parts,
            clock: Clock::new(),
            backends: Backends::default(),
            live: FxHashMap::default(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            tally: Tally::default(),
            has_remembered_list: false,
            twin: false,
            last_news: Instant::now(),
            list_is_valid: true,
            shutdown_deadline: None,
        }
    }

    /// Takes inputs and timers for as long as the process runs.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut schedule = Schedule::new();
        loop {
            let wake_at = self.next_timer().map_or(schedule.next(), |at| at.min(schedule.next()));
            tokio::select! {
                biased; // operators wait for their answer, and what they order goes before what clients want
                Some(command) = self.parts.commands.recv() => self.obey(command),
                Some(news) = next_news(&mut self.parts.discovery) => self.discover(news),
                () = sleep_until(wake_at) => {}
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
            let now = Instant::now();
            self.run_timers(now);
            self.keep_house(&mut schedule, now);
        }
    }

    fn next_timer(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    fn add_timer(&mut self, at: Instant, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    /// Runs the timers that are due, those included that are added meanwhile.
    fn run_timers(&mut self, now: Instant) {
        while self.next_timer().is_some_and(|at| at <= now) {
            let Some(Reverse((_, timer))) = self.timers.pop() else { break };
            match timer {
                Timer::Balancer(token) => self.handle(Event::Timer(token)),
                Timer::LastResort(id) => self.last_resort_due(id, now),
                Timer::ShutdownDeadline => self.answer_all(),
            }
        }
    }

    /// Passes on what another part reports.
    fn take(&mut self, input: Input) {
        match input {
            Input::Request(arrival) => self.accept(*arrival),
            Input::Gone(id) => self.abandon(id),
            Input::Retune(to) => {
                let (retuning, connections) = *to;
                self.parts.upstreams.reconfigure(&connections);
                self.handle(Event::Reconfigure(Box::new(retuning)));
            }
            Input::Ending(end) => {
                self.shutdown_deadline = Some(end);
                self.add_timer(end, Timer::ShutdownDeadline);
            }
            Input::Leaving => self.handle(Event::Draining(true)),
            Input::UploadBegun(id, patience) => self.body_begun(id, patience),
            Input::Uploaded(id) => self.body_complete(id),
            Input::Ended { request, attempt, latency, outcome, reply } => {
                self.attempt_ended(request, attempt, latency, outcome, reply);
            }
            Input::List(scope, hosts) => self.apply_list(scope, hosts),
            Input::Datagram { from, bytes } => {
                self.tally.messages_received += 1;
                self.handle(Event::Gossip { from, bytes });
            }
        }
    }

    /// Passes an event to the balancer and carries out its actions.
    fn handle(&mut self, event: Event) {
        let now = self.clock.at(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        let violations = *self.balancer.violations();
        self.balancer.handle(now, event, &mut actions);
        if *self.balancer.violations() != violations {
            error!(violations = ?self.balancer.violations(), "a decision breaks an invariant and is not carried out");
        }
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        self.follow_validity();
    }

    /// Tells the upstream side until when the list may be used: after that it writes no request's first byte.
    fn follow_validity(&mut self) {
        let valid_until = self.balancer.list_valid_until();
        self.parts.upstreams.set_list_valid_until(self.clock.instant(valid_until));
        let is_valid = self.clock.at(Instant::now()) < valid_until;
        if std::mem::replace(&mut self.list_is_valid, is_valid) != is_valid {
            let silent_ms = self.last_news.elapsed().as_millis() as u64;
            match is_valid {
                true => info!(silent_ms, "the server list is current again"),
                false => {
                    warn!(silent_ms, "the server list is stale: requests are refused until discovery is back")
                }
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout, start_by } => {
                self.send(request, endpoint, timeout, start_by);
            }
            Action::Reject { request, retry_after, reason } => self.refuse(request, retry_after, reason),
            Action::Fail(request) => self.fail(request),
            Action::Timer { token, at } => self.add_timer(self.clock.instant(at), Timer::Balancer(token)),
            Action::Broadcast(bytes) => {
                if let Some(peers) = &self.parts.peers {
                    self.tally.messages_sent += 1;
                    peers.broadcast(&bytes);
                }
            }
            Action::Subscribe { call, after } => self.subscribe(call, after),
            Action::Unsubscribe { call, reason } => self.unsubscribe(call, reason),
        }
    }
}
