//! Proxies: delivery of events to their policies, execution of the resulting actions, and starts and stops of the
//! processes.

use leadrelay_core::{Action, Endpoint, Event as ProxyEvent, Millis};
use rustc_hash::FxHashMap;

use super::Simulation;
use super::event::{ClientResponse, Event};
use crate::index::{BackendIndex, ClientAttemptIndex, ProxyIndex, ZoneIndex};
use crate::policy::{FleetView, Policy};
use crate::report::Rule;

/// The largest gossip message, in bytes.
const MAX_GOSSIP_BYTES: usize = 256;

/// The simulated state of a proxy.
pub(super) struct Proxy {
    pub(super) zone: ZoneIndex,
    /// Weight of the proxy in the front-end load balancer of its zone.
    pub(super) front_weight: f64,
    /// Whether the process is running.
    pub(super) up: bool,
    /// Number of restarts so far.
    pub(super) incarnation: u32,
    /// Time at which the process last stopped; negative infinity if it never has.
    pub(super) crashed_at: Millis,
    /// Whether the proxy is shutting down gracefully: clients are directed to other proxies.
    pub(super) draining: bool,
    pub(super) policy: Box<dyn Policy>,
    /// Number of open connections to each backend that no request uses.
    pub(super) idle_connections: FxHashMap<BackendIndex, u32>,
    /// The endpoint list as last received, which the next process starts with.
    pub(super) cached_list: Vec<Endpoint>,
    /// Time of the last start of each backend that the proxy has been notified of.
    pub(super) known_starts: FxHashMap<BackendIndex, Millis>,
}

impl Proxy {
    /// Takes an idle connection to a backend, if there is one.
    pub(super) fn take_idle_connection(&mut self, backend: BackendIndex) -> bool {
        match self.idle_connections.get_mut(&backend) {
            Some(idle) if *idle > 0 => {
                *idle -= 1;
                true
            }
            _ => false,
        }
    }
}

impl Simulation<'_> {
    /// Whether the given incarnation of a proxy is still running.
    pub(super) fn is_running(&self, proxy: ProxyIndex, incarnation: u32) -> bool {
        self.proxies[proxy].up && self.proxies[proxy].incarnation == incarnation
    }

    /// Delivers an event to the policy of a proxy and performs the resulting actions.
    pub(super) fn deliver(&mut self, proxy: ProxyIndex, event: ProxyEvent) {
        self.recorder.counters.events += 1;
        let now = self.now();
        let mut actions = std::mem::take(&mut self.actions);
        let fleet = FleetView { current: &self.true_state, delayed: &self.delayed_state };
        let policy = &mut self.proxies[proxy].policy;
        let violations = policy.violations();
        policy.handle(now, event, fleet, &mut actions);
        if policy.violations() > violations {
            self.record_violation(Rule::PolicyInvariants, format!("proxy {proxy}"));
        }
        // The consequences of an action are scheduled as separate events, so this function is never reentered.
        for action in actions.drain(..) {
            self.perform(proxy, action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, proxy: ProxyIndex, action: Action) {
        let incarnation = self.proxies[proxy].incarnation;
        match action {
            Action::Send { request, endpoint, timeout, .. } => {
                let backend = BackendIndex(endpoint.0 as usize);
                self.send(proxy, ClientAttemptIndex(request.0 as usize), backend, timeout);
            }
            Action::Reject { request, retry_after, .. } => {
                let has_no_list = self.now() >= self.proxies[proxy].policy.list_valid_until();
                self.recorder.counters.rejected_without_list += u64::from(has_no_list);
                let response = ClientResponse::Rejected { retry_after: retry_after.unwrap_or(0.0) };
                self.respond(ClientAttemptIndex(request.0 as usize), response);
            }
            Action::Fail(request) => {
                self.respond(ClientAttemptIndex(request.0 as usize), ClientResponse::Failed);
            }
            Action::Timer { token, at } => {
                self.events.schedule_at(at, Event::Timer { proxy, incarnation, token });
            }
            Action::Broadcast(bytes) => self.broadcast(proxy, bytes),
            Action::Subscribe { call, after } => self.subscribe(proxy, call, after),
            Action::Unsubscribe { call, .. } => self.unsubscribe(proxy, call),
        }
    }

    /// Sends the final response of a proxy to a client attempt.
    fn respond(&mut self, index: ClientAttemptIndex, response: ClientResponse) {
        let client_attempt = &mut self.clients.attempts[index];
        if std::mem::replace(&mut client_attempt.responded, true) {
            return self.record_violation(Rule::OneFinalAnswer, format!("client attempt {index}"));
        }
        self.check_response(index, response);
        self.send_to_client(index, response);
    }

    fn broadcast(&mut self, from: ProxyIndex, bytes: Vec<u8>) {
        if bytes.len() > MAX_GOSSIP_BYTES {
            self.record_violation(Rule::GossipSize, format!("proxy {from}: {}", bytes.len()));
        }
        let receivers = self.proxies.len() as u64 - 1;
        self.recorder.counters.gossip_messages += 1;
        self.recorder.counters.gossip_bytes += bytes.len() as u64 * receivers;
        let latency = self.network.gossip_latency();
        self.events.schedule_after(latency, Event::Gossip { from, bytes });
    }

    /// Delivers a gossip message to every reachable proxy, except where the datagram is lost.
    pub(super) fn gossip_arrives(&mut self, from: ProxyIndex, bytes: &[u8]) {
        let zone = self.proxies[from].zone;
        for proxy in self.proxies.indices() {
            let receiver = &self.proxies[proxy];
            let is_reachable = receiver.up && !self.network.is_partitioned(zone, receiver.zone);
            if proxy != from && is_reachable && !self.network.loses_datagram() {
                self.deliver(proxy, ProxyEvent::Gossip { from: from.0 as u32, bytes: bytes.to_vec() });
            }
        }
    }

    /// Starts the graceful shutdown of a proxy.
    pub(super) fn proxy_drains(&mut self, proxy: ProxyIndex) {
        self.proxies[proxy].draining = true;
        if self.proxies[proxy].up {
            self.deliver(proxy, ProxyEvent::Draining(true));
        }
    }

    /// Stops the process of a proxy, which breaks its connections.
    pub(super) fn proxy_stops(&mut self, index: ProxyIndex) {
        let now = self.now();
        let proxy = &mut self.proxies[index];
        if !std::mem::replace(&mut proxy.up, false) {
            return;
        }
        proxy.crashed_at = now;
        let incarnation = proxy.incarnation;
        for (backend, idle) in proxy.idle_connections.drain() {
            let connections = &mut self.backends[backend].connections;
            *connections = connections.saturating_sub(idle as usize);
        }
        self.discovery.close_connections(index);
        for client_attempt in self.clients.attempts.indices() {
            let waiting = &self.clients.attempts[client_attempt];
            let was_connected = waiting.proxy == index && waiting.incarnation == incarnation;
            if was_connected && waiting.open && !waiting.responded {
                self.break_connection(client_attempt);
            }
        }
    }

    /// Starts a new process of a proxy, with a new policy and the cached endpoint list.
    pub(super) fn proxy_recovers(&mut self, index: ProxyIndex) {
        let seed = self.policy_seeds.seed();
        let proxy = &mut self.proxies[index];
        proxy.up = true;
        proxy.draining = false;
        proxy.incarnation += 1;
        proxy.policy = (self.policy_factory)(index, seed);
        self.deliver_cached_list(index);
    }
}
